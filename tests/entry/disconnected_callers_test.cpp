// A caller that has closed its connection resubmits its job at another entry
// after a delay. An entry that was frozen meanwhile must not start the job when
// it continues.

#include "emulator/leased_world.h"
#include "tests/entry/long_job.h"

#include <fmt/format.h>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seeds = 20;
constexpr std::chrono::milliseconds CallerWaits{1200};

} // namespace

TEST_GROUP(DisconnectedCallersTest){};

// An entry that continues after a freeze handles old messages, while the caller
// may have resubmitted the job elsewhere.
TEST(DisconnectedCallersTest, AFrozenEntryStartsNothingForADisconnectedCaller) {
  struct Row {
    const char *Name;
    /// The job has been submitted at this entry before.
    bool SubmittedBefore;
    /// The entry is frozen before the request arrives, between reading it and
    /// passing it on, or after its dispatch.
    std::chrono::milliseconds FreezeAfter;
    /// Whether the dispatch is lost.
    bool DispatchLost;
  };
  const Row Rows[] = {{"not read", false, 0ms, false},
                      {"not read, submitted here before", true, 0ms, false},
                      {"read and not passed on", false, 1ms, false},
                      {"dispatched, dispatch lost", false, 10ms, true}};
  for (const Row &Row : Rows)
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      LeasedWorldOptions Options;
      Options.Seed = Seed;
      Options.Entries = 2;
      if (Row.FreezeAfter == 1ms)
        Options.EntryHandOverDelay = 2ms;
      LeasedWorld World(Options);
      auto Submit = [&](std::size_t Entry) {
        return World.submitJob(Entry, longJob(), {LongTaskDuration},
                               [](const auto &) {});
      };
      if (Row.SubmittedBefore) {
        World.entry(0).disconnect(Submit(0));
        World.world().run(ResubmitAfter);
      }
      for (std::size_t I = 0; Row.DispatchLost && I < World.agents(); ++I)
        World.world().cutOneWay("entry-0", World.agent(I).name());
      if (Row.FreezeAfter == 0ms)
        World.world().freeze("entry-0");
      std::uint64_t First = Submit(0);
      World.world().run(Row.FreezeAfter);
      World.world().freeze("entry-0");
      World.world().run(CallerWaits);
      World.entry(0).disconnect(First);
      World.world().reconnectAll();
      World.world().run(ResubmitAfter);
      Submit(1);
      World.world().run(500ms);
      World.world().thaw("entry-0", ThawOrder::TimersLast);
      World.world().run(2 * LongTaskDuration);
      std::string Case = fmt::format("{}, seed {}", Row.Name, Seed);
      LONGS_EQUAL_TEXT(0, World.overlappingRuns(), Case.c_str());
    }
}
