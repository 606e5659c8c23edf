#include "tool/comparison.h"

#include <CppUTest/TestHarness.h>

using namespace yardwheel;

namespace {

ArmSummary arm(const char *Name, std::uint32_t Fast, std::uint32_t Slow) {
  ArmSummary Arm;
  Arm.Policy = Name;
  Arm.Slowdown[1.1] = Fast;
  Arm.Slowdown[4.0] = Slow;
  return Arm;
}

} // namespace

TEST_GROUP(ComparisonTest){};

TEST(ComparisonTest, NamesTheLowerPolicyOnlyIfIntervalsAreDisjoint) {
  struct Row {
    ArmSummary A;
    ArmSummary B;
    const char *Verdict;
  };
  const Row Rows[] = {
      {arm("a", 10000, 10), arm("b", 9000, 1000), "a is lower"},
      {arm("a", 9000, 1000), arm("b", 10000, 10), "b is lower"},
      {arm("a", 9900, 101), arm("b", 9905, 95), "no more than noise"},
      {arm("a", 100, 0), arm("b", 10, 90), "too few jobs to tell"},
  };
  for (const Row &Case : Rows)
    STRCMP_EQUAL(Case.Verdict, verdict(Case.A, Case.B, 0.99).c_str());
}

TEST(ComparisonTest, MergesReportsOfSeveralEntries) {
  api::WorkspaceReport Report;
  api::ArmReport *Arm = Report.add_arms();
  Arm->set_policy("p");
  Arm->set_jobs(3);
  Arm->set_tasks(10);
  Arm->set_wasted_messages(1);
  api::Bucket *Bucket = Arm->add_slowdown();
  Bucket->set_upper(1.5);
  Bucket->set_count(3);
  std::vector<ArmSummary> Merged = mergeReports({Report, Report});
  LONGS_EQUAL(1, Merged.size());
  LONGS_EQUAL(6, Merged[0].Jobs);
  LONGS_EQUAL(6, Merged[0].completed());
  DOUBLES_EQUAL(0.1, Merged[0].wastedPerTask(), 1e-9);
}
