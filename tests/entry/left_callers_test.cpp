// A caller that has closed its connection hands its job in elsewhere after a
// while. An entry that stood still meanwhile must not start it here then.

#include "emulator/leased_world.h"
#include "tests/entry/long_job.h"

#include <fmt/format.h>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seeds = 20;
constexpr std::chrono::milliseconds CallerWaits{1200};

} // namespace

TEST_GROUP(LeftCallersTest){};

// What an entry does once it goes on may rest on what it was told long ago,
// while its caller has handed the job in elsewhere since.
TEST(LeftCallersTest, AnEntryThatStoodStillStartsNothingForACallerWhoLeft) {
  struct Row {
    const char *Name;
    /// The job has been handed in at this entry before.
    bool TakenBefore;
    /// It stands still from before the request comes, from between its being
    /// read and handed on, or from after its dispatch.
    std::chrono::milliseconds FreezeAfter;
    /// The dispatch does not arrive.
    bool DispatchLost;
  };
  const Row Rows[] = {{"not read", false, 0ms, false},
                      {"not read, handed in here before", true, 0ms, false},
                      {"read and not handed on", false, 1ms, false},
                      {"dispatched in vain", false, 10ms, true}};
  for (const Row &Row : Rows)
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      LeasedWorldOptions Options;
      Options.Seed = Seed;
      Options.Entries = 2;
      if (Row.FreezeAfter == 1ms)
        Options.EntryHandOver = 2ms;
      LeasedWorld World(Options);
      auto HandIn = [&](std::size_t Entry) {
        return World.handIn(Entry, longJob(), {LongTaskDuration},
                            [](const auto &) {});
      };
      if (Row.TakenBefore) {
        World.entry(0).hangUp(HandIn(0));
        World.world().run(ResubmitAfter);
      }
      for (std::size_t I = 0; Row.DispatchLost && I < World.agents(); ++I)
        World.world().cutOneWay("entry-0", World.agent(I).name());
      if (Row.FreezeAfter == 0ms)
        World.world().freeze("entry-0");
      std::uint64_t First = HandIn(0);
      World.world().run(Row.FreezeAfter);
      World.world().freeze("entry-0");
      World.world().run(CallerWaits);
      World.entry(0).hangUp(First);
      World.world().healAll();
      World.world().run(ResubmitAfter);
      HandIn(1);
      World.world().run(500ms);
      World.world().thaw("entry-0", ThawOrder::TimersLast);
      World.world().run(2 * LongTaskDuration);
      std::string Case = fmt::format("{}, seed {}", Row.Name, Seed);
      LONGS_EQUAL_TEXT(0, World.doubledRuns(), Case.c_str());
    }
}
