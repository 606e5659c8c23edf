#include "coordination/share_check.h"
#include "coordination/worker_table.h"

#include <algorithm>
#include <fmt/format.h>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

/// Refuses from a pressure of 1.2 on, whoever asks.
class StandingRule final : public AdmissionCheck {
public:
  std::optional<AdmissionRefusal> check(const AdmissionQuery &Query,
                                        Instant) override {
    if (Query.Pressure < 1.2)
      return std::nullopt;
    return AdmissionRefusal{"standing", "", 1.2, {}};
  }
};

} // namespace

TEST_GROUP(ShareCheckTest) {
  static constexpr double CapacityMilliCores = 100000;
  WorkerTable Workers{WorkerTableOptions(), 1};
  std::unique_ptr<ShareCheck> Check = makeCheck(true);
  Instant Now{TimePoint(1h), fromUnixMillis(1800000000000)};

  void setup() override {
    peer::Member Member;
    Member.set_name("a1");
    Member.set_role(peer::ROLE_AGENT);
    Member.set_state(peer::MEMBER_ALIVE);
    Member.set_incarnation(1);
    Member.set_address("10.0.0.1:1");
    Member.set_pool("pool");
    Member.mutable_room()->set_cpu_milli(
        static_cast<std::uint32_t>(CapacityMilliCores));
    Workers.update(Member, Now.Steady);
    peer::WorkerLoad Load;
    Load.set_incarnation(1);
    Load.set_stamp(1);
    Workers.onLoadReport("a1", Load, Now.Steady);
  }
  static std::unique_ptr<ShareCheck> makeCheck(bool UsesOwnDemand) {
    ShareOptions Options;
    Options.UsesOwnDemand = UsesOwnDemand;
    return std::make_unique<ShareCheck>(Options,
                                        std::make_unique<StandingRule>());
  }
  static LeasedJobRequest request(const DemandPair &Pair, double MilliCores) {
    LeasedJobRequest Request;
    Request.Route = Pair.Route;
    Request.DataCentre = Pair.DataCentre;
    Request.Pool = "pool";
    Request.TaskCount = 1;
    Request.Needs.set_cpu_milli(static_cast<std::uint32_t>(MilliCores));
    // Ten jobs a second ask for this demand.
    Request.Estimate = 100ms;
    return Request;
  }
  /// Tells the sums over all entries.
  void tell(const std::map<DemandPair, double> &Demand) {
    std::vector<peer::RouteDemand> Rows;
    for (const auto &[Pair, MilliCores] : Demand) {
      peer::RouteDemand &Row = Rows.emplace_back();
      Row.set_route(Pair.Route);
      Row.set_data_centre(Pair.DataCentre);
      Row.set_cpu_milli(static_cast<std::uint32_t>(MilliCores));
    }
    Check->onSums(Rows, Now.Steady, Now);
  }
  /// Ten jobs of each pair a second, for a time.
  /// \returns the share of each pair's jobs that is taken.
  std::map<DemandPair, double> submitJobs(
      const std::map<DemandPair, double> &Demand, double Pressure,
      std::chrono::milliseconds Time, bool TellsSums = true) {
    std::map<DemandPair, double> Taken;
    int Steps = 0;
    for (auto Passed = 0ms; Passed < Time; Passed += 100ms, ++Steps) {
      Now.Steady += 100ms;
      if (TellsSums && Steps % 5 == 0)
        tell(Demand);
      for (const auto &[Pair, MilliCores] : Demand) {
        LeasedJobRequest Job = request(Pair, MilliCores);
        AdmissionQuery Query{Job, Workers, Pressure};
        Check->onSubmitted(Query, Now);
        LastRefusal = Check->check(Query, Now);
        Taken[Pair] += LastRefusal ? 0 : 1;
      }
    }
    for (auto &[Pair, Count] : Taken)
      Count /= Steps;
    return Taken;
  }
  std::optional<AdmissionRefusal> LastRefusal;
  const DemandPair A{"a", "north"};
  const DemandPair B{"b", "north"};
  const DemandPair C{"b", "south"};
};

// The usual demand is 30 cores of each pair, 95 of 100 cores are divided.
TEST(ShareCheckTest, WhoAsksForMoreThanItsShareIsRefusedFirst) {
  struct Row {
    const char *Name;
    std::map<DemandPair, double> Demand;
    double Pressure;
    /// Shares of the jobs of A, B and C that are taken.
    std::vector<double> Taken;
  };
  const Row Rows[] = {
      {"room is left", {{A, 72000}, {B, 30000}, {C, 30000}}, 0.95, {1, 1, 1}},
      {"a class asks for 2.4 times its usual work",
       {{A, 72000}, {B, 30000}, {C, 30000}},
       1.03,
       {0.49, 1, 1}},
      {"the same in a pool that is further over",
       {{A, 72000}, {B, 30000}, {C, 30000}},
       1.1,
       {0, 1, 1}},
      {"the same beyond the standing rule's limit",
       {{A, 72000}, {B, 30000}, {C, 30000}},
       1.5,
       {0, 1, 1}},
      {"far beyond full", {{A, 72000}, {B, 30000}, {C, 30000}}, 2.3, {0, 0, 0}},
      {"two ask for more",
       {{A, 72000}, {B, 30000}, {C, 72000}},
       1.03,
       {0.45, 1, 0.45}},
      {"what one leaves is lent",
       {{A, 72000}, {B, 5000}, {C, 30000}},
       1.03,
       {0.83, 1, 1}},
      {"nobody asks for more than usual: the standing rule",
       {{A, 30000}, {B, 30000}, {C, 30000}},
       1.1,
       {1, 1, 1}},
      {"the same in a pool that is further over",
       {{A, 30000}, {B, 30000}, {C, 30000}},
       1.3,
       {0, 0, 0}}};
  for (const Row &Row : Rows) {
    Check = makeCheck(true);
    submitJobs({{A, 30000}, {B, 30000}, {C, 30000}}, 0.9, 120000ms);
    submitJobs(Row.Demand, Row.Pressure, 2000ms);
    auto Taken = submitJobs(Row.Demand, Row.Pressure, 6000ms);
    std::size_t I = 0;
    for (const auto &[Pair, Share] : Taken)
      DOUBLES_EQUAL_TEXT(
          Row.Taken[I++], Share, 0.07,
          fmt::format("{}: {}@{}", Row.Name, Pair.Route, Pair.DataCentre)
              .c_str());
  }
}

TEST(ShareCheckTest, WhatIsLentIsGivenBackAtOnce) {
  submitJobs({{A, 30000}, {B, 30000}, {C, 30000}}, 0.9, 120000ms);
  // B and C are idle, and A borrows.
  auto Borrowed = submitJobs({{A, 72000}, {B, 0}, {C, 0}}, 1.03, 5000ms);
  CHECK(Borrowed[A] > 0.95);
  auto Returned =
      submitJobs({{A, 72000}, {B, 30000}, {C, 30000}}, 1.03, 2000ms);
  DOUBLES_EQUAL(1, Returned[B], 0.001);
  DOUBLES_EQUAL(1, Returned[C], 0.001);
  // Soon the borrower has used what is tolerated, too.
  Returned = submitJobs({{A, 72000}, {B, 30000}, {C, 30000}}, 1.03, 4000ms);
  DOUBLES_EQUAL(1, Returned[B], 0.001);
  DOUBLES_EQUAL(1, Returned[C], 0.001);
  CHECK(Returned[A] < 0.55);
}

// On either side of a cut.
TEST(ShareCheckTest, WithoutSumsAnEntryTakesItsOwnUsualDemand) {
  struct Row {
    const char *Name;
    bool UsesOwnDemand;
    double Pressure;
    double TakenA;
    double TakenB;
  };
  const Row Rows[] = {{"an entry", true, 1.03, 0.45, 1},
                      {"an entry, the pool further over", true, 1.5, 0, 1},
                      {"an agent: the standing rule", false, 1.1, 1, 1},
                      {"an agent, the pool further over", false, 1.5, 0, 0}};
  for (const Row &Row : Rows) {
    Check = makeCheck(Row.UsesOwnDemand);
    submitJobs({{A, 30000}, {B, 30000}}, 0.9, 120000ms);
    // The last sums become too old.
    submitJobs({{A, 72000}, {B, 30000}}, 1.03, 4000ms, false);
    auto Taken =
        submitJobs({{A, 72000}, {B, 30000}}, Row.Pressure, 4000ms, false);
    DOUBLES_EQUAL_TEXT(Row.TakenA, Taken[A], 0.1, Row.Name);
    DOUBLES_EQUAL_TEXT(Row.TakenB, Taken[B], 0.001, Row.Name);
  }
}

// Half of the workers are lost: nobody's usual demand fits.
TEST(ShareCheckTest, TheStandingRuleDecidesWhereUsualDemandDoesNotFit) {
  submitJobs({{A, 60000}, {B, 60000}, {C, 60000}}, 0.9, 120000ms);
  auto Taken = submitJobs({{A, 60000}, {B, 60000}, {C, 60000}}, 1.3, 4000ms);
  for (const auto &[Pair, Share] : Taken)
    DOUBLES_EQUAL(0, Share, 0.001);
  STRCMP_EQUAL("standing", LastRefusal->Rule);
}

TEST(ShareCheckTest, DelegatedJobsCountAsDemand) {
  LeasedJobRequest Job = request(A, 30000);
  for (int I = 0; I < 30; ++I) {
    Now.Steady += 100ms;
    Check->onDelegated(Job, Now);
  }
  std::vector<peer::RouteDemand> Rows = Check->report(Now);
  LONGS_EQUAL(1, Rows.size());
  STRCMP_EQUAL("a", Rows[0].route().c_str());
  STRCMP_EQUAL("north", Rows[0].data_centre().c_str());
  CHECK(Rows[0].cpu_milli() > 27000 && Rows[0].cpu_milli() < 33000);
}

TEST(ShareCheckTest, MetricsAreBounded) {
  submitJobs({{A, 30000}, {B, 30000}, {C, 30000}}, 0.9, 10000ms);
  submitJobs({{A, 72000}, {B, 30000}, {C, 30000}}, 1.1, 5000ms);
  std::string Text = Check->text(Now);
  CHECK(
      Text.find("yardwheel_over_share{route=\"a\",data_centre=\"north\"} 1") !=
      std::string::npos);
  CHECK(
      Text.find("yardwheel_over_share{route=\"b\",data_centre=\"south\"} 0") !=
      std::string::npos);
  CHECK(Text.find("yardwheel_demand_sums_known 1") != std::string::npos);
  std::map<DemandPair, double> Many;
  for (int I = 0; I < 200; ++I)
    Many[{fmt::format("r{}", I), "north"}] = 1000;
  submitJobs(Many, 1.1, 1000ms);
  std::string Long = Check->text(Now);
  LONGS_EQUAL(1 + 5 * 16, std::ranges::count(Long, '\n'));
}
