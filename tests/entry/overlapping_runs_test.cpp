// A caller that was answered, or whose connection broke, resubmits its job at
// another entry after a delay. By then no run of the job may be left, or two
// runs overlap.

#include "emulator/leased_world.h"
#include "tests/entry/long_job.h"

#include <fmt/format.h>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seeds = 20;
/// Longer than the test runs.
constexpr std::chrono::hours Never{1};

bool isAgent(const std::string &Node) { return Node.starts_with("agent"); }

} // namespace

TEST_GROUP(OverlappingRunsTest){};

// An entry that no longer receives messages from an agent answers its caller.
// The messages that it still sends must not renew the agent's lease.
TEST(OverlappingRunsTest, NoRunOutlivesTheAnswerOfAnEntryThatReceivesNothing) {
  struct Row {
    const char *Name;
    bool FromAgents;
    bool ToAgents;
    bool Stops;
  };
  const Row Rows[] = {
      {"nothing reaches the entry", true, false, false},
      {"nothing reaches the entry, and its stops are lost", true, false, true},
      {"nothing from the entry arrives", false, true, false},
      {"both directions blocked", true, true, false}};
  for (const Row &Row : Rows)
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      LeasedWorldOptions Options;
      Options.Seed = Seed;
      Options.Entries = 2;
      LeasedWorld World(Options);
      World.submit(0, longJob(), {LongTaskDuration}, 2 * LongTaskDuration);
      World.world().run(300ms);
      World.world().setFilter([&](const PeerRef &From, const PeerRef &To,
                                  const peer::Message &Message) -> Duration {
        bool ToAgent = From.Node == "entry-0" && isAgent(To.Node);
        bool Lost =
            (Row.FromAgents && isAgent(From.Node) && To.Node == "entry-0") ||
            (Row.ToAgents && ToAgent) ||
            (Row.Stops && ToAgent && Message.has_leased_stop());
        return Lost ? Duration(Never) : Duration(0);
      });
      std::string Case = fmt::format("{}, seed {}", Row.Name, Seed);
      for (int I = 0; I < 300 && World.outcomes().at("long").Failed == 0; ++I)
        World.world().run(10ms);
      LONGS_EQUAL_TEXT(1, World.outcomes().at("long").Failed, Case.c_str());
      World.world().run(ResubmitAfter);
      World.submit(1, longJob(), {LongTaskDuration}, 2 * LongTaskDuration);
      World.world().run(2 * LongTaskDuration);
      LONGS_EQUAL_TEXT(0, World.overlappingRuns(), Case.c_str());
      LONGS_EQUAL_TEXT(1, World.outcomes().at("long").InTime, Case.c_str());
    }
}
