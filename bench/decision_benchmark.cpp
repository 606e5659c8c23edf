//===- bench/decision_benchmark.cpp - Time of one placement decision ------===//

#include "catalog/policy_names.h"
#include "dispatch/fair_queue.h"
#include "dispatch/route_policy.h"
#include "dispatch/upstream_table.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

namespace {

using namespace yardwheel;

constexpr std::uint32_t Slots = 8;

UpstreamTable makeTable(std::int64_t Upstreams) {
  UpstreamTable Table;
  for (std::int64_t I = 0; I < Upstreams; ++I) {
    peer::Member Member;
    Member.set_name(fmt::format("a{}", I));
    Member.set_incarnation(1);
    Member.set_slots(Slots);
    Member.set_state(peer::MEMBER_ALIVE);
    bool Replaced = false;
    Table.update(Member, Replaced);
  }
  Table.setShares(0, 3);
  return Table;
}

/// Chooses an upstream, records the sent task and settles the oldest task in
/// flight, so that about half of the slots stay in use.
void decide(benchmark::State &State, std::string_view Name) {
  UpstreamTable Table = makeTable(State.range(0));
  std::unique_ptr<RoutePolicy> Policy = makePolicy(Name);
  std::mt19937_64 Random(1);
  std::vector<UpstreamIndex> InFlight(static_cast<std::size_t>(State.range(0)) *
                                      Slots / 4);
  for (std::size_t I = 0; I < InFlight.size(); ++I) {
    InFlight[I] = static_cast<UpstreamIndex>(I % Table.size());
    Table.onSent(InFlight[I]);
  }
  std::size_t Next = 0;
  for (auto Unused : State) {
    (void)Unused;
    std::optional<UpstreamIndex> Chosen = Policy->choose(Table, Random);
    Table.onSettled(InFlight[Next]);
    InFlight[Next] = Chosen.value_or(0);
    Table.onSent(InFlight[Next]);
    Next = (Next + 1) % InFlight.size();
  }
}

/// Takes the next task out of the queues of many workspaces and adds a new task
/// to the same workspace.
void order(benchmark::State &State) {
  FairQueue Queue;
  for (std::int64_t I = 0; I < State.range(0); ++I) {
    std::string Name = fmt::format("w{}", I);
    Queue.configure(Name, 100, 1000000);
    for (JobNumber Job = 0; Job < 10; ++Job)
      Queue.push(Name, 0, Job, 0);
  }
  JobNumber Number = 100;
  for (auto Unused : State) {
    (void)Unused;
    std::optional<WaitingTask> Next = Queue.front();
    Queue.pop();
    Queue.onSettled(Next->Workspace);
    Queue.push(Next->Workspace, 0, ++Number, 0);
  }
}

} // namespace

int main(int Count, char **Arguments) {
  for (std::string_view Name : PolicyNames)
    benchmark::RegisterBenchmark(
        fmt::format("decide/{}", Name).c_str(),
        [Name](benchmark::State &State) { decide(State, Name); })
        ->Arg(11)
        ->Arg(110)
        ->Arg(1100);
  benchmark::RegisterBenchmark("order/workspaces", order)
      ->Arg(1)
      ->Arg(17)
      ->Arg(170);
  benchmark::Initialize(&Count, Arguments);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
