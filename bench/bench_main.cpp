//===- bench/bench_main.cpp - Compares dispatch policies ------------------===//

#include "bench/policy_bench.h"
#include "catalog/policy_names.h"

#include <fmt/format.h>
#include <future>
#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "Seed of all random numbers.");
DEFINE_uint32(seconds, 120, "Length of the load in virtual seconds.");
DEFINE_string(policies, "", "Comma-separated names of policies; all if empty.");
DEFINE_string(deployment, "", "trading, archive, or both if empty.");

namespace {

using namespace yardwheel;

void printRow(const BenchRow &Row, const BenchRow &Ideal) {
  fmt::print("{:<13} {:<15} {:>6.2f} {:>7.2f} {:>7.2f} {:>7.2f} {:>8.4f} "
             "{:>7} {:>6} {:>7}{}\n",
             Row.Policy, Row.Load, Row.Slowdown.P50, Row.Slowdown.P99,
             Row.Slowdown.P999, Row.Slowdown.P99 / Ideal.Slowdown.P99,
             Row.WastedPerTask, Row.Refused, Row.Failed, Row.DoubleStarts,
             Row.Violation.empty() ? "" : "  VIOLATION: " + Row.Violation);
}

std::vector<std::string> chosenPolicies() {
  std::vector<std::string> Chosen;
  for (std::string_view Name : PolicyNames)
    if (FLAGS_policies.empty() ||
        FLAGS_policies.find(Name) != std::string::npos)
      Chosen.emplace_back(Name);
  return Chosen;
}

/// Runs all loads for one deployment and prints a row for each run.
/// \returns whether no invariant was violated.
bool runDeployment(const Deployment &Site) {
  Duration Length = std::chrono::seconds(FLAGS_seconds);
  fmt::print(
      "\n{}: {} entries, {} upstreams of {} slots, {} data centres, seed "
      "{}, {} s\n",
      Site.Name, Site.Entries, Site.Upstreams, Site.Slots, Site.DataCentres,
      FLAGS_seed, FLAGS_seconds);
  fmt::print("{:<13} {:<15} {:>6} {:>7} {:>7} {:>7} {:>8} {:>7} {:>6} {:>7}\n",
             "policy", "load", "p50", "p99", "p99.9", "/ideal", "wasted",
             "refused", "failed", "doubled");
  bool Good = true;
  for (const LoadSpec &Load : allLoads()) {
    BenchRow Ideal = runIdeal(Site, Load, Length, FLAGS_seed);
    printRow(Ideal, Ideal);
    std::vector<std::future<BenchRow>> Runs;
    for (const std::string &Policy : chosenPolicies())
      Runs.push_back(
          std::async(std::launch::async, [&Site, &Load, Policy, Length] {
            return runPolicy(Site, Load, Policy, Length, FLAGS_seed);
          }));
    for (std::future<BenchRow> &Run : Runs) {
      BenchRow Row = Run.get();
      printRow(Row, Ideal);
      Good = Good && Row.DoubleStarts == 0 && Row.Violation.empty();
    }
  }
  return Good;
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::SetUsageMessage("Compares dispatch policies in virtual time.");
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  bool Good = true;
  for (const Deployment &Site : {tradingUnit(), skyArchive()})
    if (FLAGS_deployment.empty() || FLAGS_deployment == Site.Name)
      Good = runDeployment(Site) && Good;
  return Good ? 0 : 1;
}
