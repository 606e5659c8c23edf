#include "coordination/share_check.h"

#include "coordination/worker_table.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <limits>

namespace yardwheel {

namespace {

/// How long a division is used. Shorter than the interval of the sums.
constexpr std::chrono::milliseconds DivisionInterval{100};
/// Time in which most of a negative balance is forgiven, so that a pair that
/// rarely asks is not refused for its last job.
constexpr std::chrono::milliseconds ForgivenessTime{20000};
/// A pair whose demand is this far beyond its share is named as the cause of
/// the shortage; smaller differences are chance.
constexpr double MaxNormalFactor = 0.85;
/// Maximum number of pairs with an account, of pairs in a log line, and of
/// routes whose pool is known.
constexpr std::size_t MaxAccounts = 64;
constexpr std::size_t MaxLoggedPairs = 4;
constexpr std::size_t MaxRoutes = 1024;
constexpr std::chrono::milliseconds LogInterval{1000};
constexpr double Infinite = std::numeric_limits<double>::infinity();

DemandPair pairOf(const LeasedJobRequest &Request) {
  return {Request.Route, Request.DataCentre};
}

} // namespace

// ---- Demand ----

void ShareCheck::record(const LeasedJobRequest &Request, Instant Now) {
  this->Demand.add(pairOf(Request), Request.coreMilliseconds(), Now.Steady);
  if (this->PoolOfRoute.size() < MaxRoutes ||
      this->PoolOfRoute.contains(Request.Route))
    this->PoolOfRoute[Request.Route] = Request.Pool;
}

void ShareCheck::onSubmitted(const AdmissionQuery &Query, Instant Now) {
  this->record(Query.Request, Now);
  this->Overload->onSubmitted(Query, Now);
}

void ShareCheck::onDelegated(const LeasedJobRequest &Request, Instant Now) {
  this->record(Request, Now);
  this->Overload->onDelegated(Request, Now);
}

// ---- Division ----

double ShareCheck::capacityOf(const WorkerTable &Workers,
                              const std::string &Pool) {
  double Capacity = 0;
  for (const auto &[Name, Worker] : Workers.workers())
    if (Worker.Pool == Pool && Worker.isReachable() && !Worker.Evacuated)
      Capacity += Worker.Capacity.cpu_milli();
  return Capacity;
}

ShareCheck::Division ShareCheck::makeDivision(const AdmissionQuery &Query,
                                              TimePoint Now) const {
  Division Made;
  Made.Made = Now;
  bool KnowsSums = this->Demand.knowsSums(Now);
  if (!KnowsSums && !this->Options.UsesOwnDemand)
    return Made;
  Made.Claims =
      KnowsSums ? this->Demand.claims(Now) : this->Demand.ownClaims(Now);
  std::erase_if(Made.Claims, [&](const auto &Item) {
    auto Pool = this->PoolOfRoute.find(Item.first.Route);
    return Pool != this->PoolOfRoute.end() &&
           Pool->second != Query.Request.Pool;
  });
  double Level = 1;
  if (KnowsSums) {
    double Room = this->Options.DividedPart *
                  this->capacityOf(Query.Workers, Query.Request.Pool);
    Level = divideRoom(Made.Claims, Room).Level;
  }
  // Where guaranteed shares are far from fitting, the rule for an overloaded
  // pool decides between those who ask for no more than theirs.
  bool AreGuaranteed = Level >= MaxNormalFactor;
  Level = std::max(Level, 1.0);
  for (const auto &[Pair, Claim] : Made.Claims) {
    double Limit = Level * std::max(Claim.Guaranteed, MinGuaranteedShare);
    double Factor = Claim.Demand > 0 ? Limit / Claim.Demand : Infinite;
    Made.Factors[Pair] = Factor;
    if (AreGuaranteed && Factor < MaxNormalFactor)
      Made.IsExceeded = true;
  }
  double Seconds =
      std::chrono::duration<double>(this->Options.Tolerance).count();
  for (const auto &[Pair, Claim] : this->Demand.ownClaims(Now)) {
    auto Known = Made.Factors.find(Pair);
    bool IsLimited = Known != Made.Factors.end() && !std::isinf(Known->second);
    // Callers may have come from another entry, or just have been idle.
    double Share = IsLimited ? Known->second * Claim.Demand : 0.0;
    Made.Tolerated[Pair] = std::max(Share, Claim.Guaranteed) * Seconds;
  }
  return Made;
}

const ShareCheck::Division &ShareCheck::divide(const AdmissionQuery &Query,
                                               TimePoint Now) {
  Division &Present = this->Divisions[Query.Request.Pool];
  if (Present.Made == TimePoint::min() ||
      Now - Present.Made >= DivisionInterval)
    Present = this->makeDivision(Query, Now);
  return Present;
}

// ---- Jobs ----

ShareCheck::Account &ShareCheck::accountOf(const DemandPair &Pair,
                                           TimePoint Now) {
  bool IsNew = !this->Accounts.contains(Pair);
  if (IsNew && this->Accounts.size() >= MaxAccounts)
    this->Accounts.erase(
        std::ranges::min_element(this->Accounts, {}, [](const auto &Item) {
          return Item.second.Updated;
        }));
  Account &Known = this->Accounts[Pair];
  if (!IsNew && Known.Balance < 0) {
    std::chrono::duration<double> Age = Now - Known.Updated;
    Known.Balance *=
        std::exp(-Age / std::chrono::duration<double>(ForgivenessTime));
  }
  Known.Updated = Now;
  return Known;
}

std::optional<AdmissionRefusal> ShareCheck::check(const AdmissionQuery &Query,
                                                  Instant Now) {
  const Division &Present = this->divide(Query, Now.Steady);
  DemandPair Pair = pairOf(Query.Request);
  auto Found = Present.Factors.find(Pair);
  double Factor = Infinite;
  if (Found != Present.Factors.end())
    Factor = Found->second;
  double Work = Query.Request.coreMilliseconds();
  auto Known = Present.Tolerated.find(Pair);
  double Tolerated = Known == Present.Tolerated.end() ? 0.0 : Known->second;
  Account &Own = this->accountOf(Pair, Now.Steady);
  bool IsFull = Query.Pressure >= this->Options.FullPressure;
  if (!Present.IsExceeded) {
    Own.Balance = std::min(std::max(Own.Balance, 0.0) + Work, Tolerated);
    return this->Overload->check(Query, Now);
  }
  if (!IsFull) {
    // Room that nobody else asks for is lent free.
    double Lent = std::min(Own.Balance, 0.0);
    Own.Balance = std::clamp(Own.Balance + (Factor - 1) * Work, Lent,
                             std::max(Tolerated, Lent));
    return this->Overload->check(Query, Now);
  }
  bool IsBeyond = Factor < MaxNormalFactor;
  bool IsTooFull = Query.Pressure >= this->Options.MaxExceededPressure;
  bool IsWithin = Own.Balance >= 0 && !(IsBeyond && IsTooFull);
  Own.Balance += std::min(Factor * Work, std::max(Tolerated, Work));
  if (IsWithin)
    Own.Balance -= Work;
  Own.Balance = std::min(Own.Balance, Tolerated);
  if (!IsWithin)
    return this->refuse(Own, Present, Query,
                        IsBeyond && IsTooFull
                            ? this->Options.MaxExceededPressure
                            : this->Options.FullPressure,
                        Now.Steady);
  if (Query.Pressure < this->Options.MaxPressure)
    return std::nullopt;
  return AdmissionRefusal{
      "overload", "upstreams are short of room", this->Options.MaxPressure, {}};
}

AdmissionRefusal ShareCheck::refuse(Account &Own, const Division &Present,
                                    const AdmissionQuery &Query, double Limit,
                                    TimePoint Now) {
  ++Own.Refused;
  this->logExceeded(Present, Query, Now);
  return {"share",
          "its callers ask for more than their share of the upstreams, which "
          "are full",
          Limit,
          {}};
}

// ---- Reports ----

void ShareCheck::logExceeded(const Division &Present,
                             const AdmissionQuery &Query, TimePoint Now) {
  if (Now < this->NextLog)
    return;
  this->NextLog = Now + LogInterval;
  std::string Pairs;
  std::size_t Count = 0;
  for (const auto &[Pair, Factor] : Present.Factors) {
    if (Factor >= MaxNormalFactor || ++Count > MaxLoggedPairs)
      continue;
    const ShareClaim &Claim = Present.Claims.at(Pair);
    Pairs += fmt::format("{}{}@{}: {:.0f} of {:.0f}", Pairs.empty() ? "" : ", ",
                         Pair.Route, Pair.DataCentre, Claim.Demand,
                         Factor * Claim.Demand);
  }
  constexpr int Percent = 100;
  this->Log.decision(
      "shares_exceeded",
      {{"pool", Query.Request.Pool},
       {"taken_percent", static_cast<int>(Query.Pressure * Percent)},
       {"all_entries", this->Demand.knowsSums(Now)},
       {"pairs", Count},
       {"cpu_milli", Pairs}});
}

std::string ShareCheck::text(Instant Now) const {
  std::string Text = fmt::format("yardwheel_demand_sums_known {}\n",
                                 this->Demand.knowsSums(Now.Steady) ? 1 : 0);
  struct Row {
    DemandPair Pair;
    ShareClaim Claim;
    double Factor;
  };
  std::vector<Row> Rows;
  for (const auto &[Pool, Present] : this->Divisions)
    for (const auto &[Pair, Claim] : Present.Claims)
      Rows.push_back({Pair, Claim, Present.Factors.at(Pair)});
  std::ranges::stable_sort(Rows, std::ranges::greater(),
                           [](const Row &Item) { return Item.Claim.Demand; });
  if (Rows.size() > MaxReportedPairs)
    Rows.resize(MaxReportedPairs);
  for (const Row &Item : Rows) {
    std::string Label = fmt::format("route=\"{}\",data_centre=\"{}\"",
                                    Item.Pair.Route, Item.Pair.DataCentre);
    double Share = std::isinf(Item.Factor) ? Item.Claim.Guaranteed
                                           : Item.Factor * Item.Claim.Demand;
    auto Known = this->Accounts.find(Item.Pair);
    std::uint64_t Refused =
        Known == this->Accounts.end() ? 0 : Known->second.Refused;
    Text += fmt::format("yardwheel_demand_millicores{{{}}} {:.0f}\n", Label,
                        Item.Claim.Demand);
    Text += fmt::format("yardwheel_usual_demand_millicores{{{}}} {:.0f}\n",
                        Label, Item.Claim.Guaranteed);
    Text +=
        fmt::format("yardwheel_share_millicores{{{}}} {:.0f}\n", Label, Share);
    Text += fmt::format("yardwheel_over_share{{{}}} {}\n", Label,
                        Item.Factor < MaxNormalFactor ? 1 : 0);
    Text += fmt::format("yardwheel_share_refusals_total{{{}}} {}\n", Label,
                        Refused);
  }
  return Text;
}

} // namespace yardwheel
