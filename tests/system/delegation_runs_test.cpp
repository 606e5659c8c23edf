//===- Delegated jobs whose entry or delegate dies ------------------------===//

#include "tests/system/platform_cluster.h"

#include <fmt/format.h>
#include <future>
#include <thread>

// Included last because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr int Tasks = 4;
constexpr int TaskMillis = 2500;
constexpr int Submissions = 3;
constexpr const char *JobId = "00000000000000d1";

/// Starts a fleet in which the first entry delegates all jobs to the first
/// agent, and waits until it does.
/// \param TwoWayLinks Whether these two send replies on each other's streams.
void startDelegating(PlatformCluster &Cluster, bool TwoWayLinks) {
  Cluster.AnnouncesBorn = false;
  Cluster.RouteTimeout = 20s;
  Cluster.Flags["front1"] = {"--delegates", "1", "--delegate_at", "0"};
  Cluster.Flags["side1"] = {"--coordinates"};
  if (TwoWayLinks)
    for (const char *Name : {"front1", "side1", "core1", "core2", "core3"})
      Cluster.Flags[Name].emplace_back("--two_way_links");
  Cluster.startAll();
  int Jobs = 0;
  CHECK(waitFor([&] {
    Cluster.submit(1, fmt::format("{:016x}", 0xd100 + ++Jobs), 1, 5);
    return Cluster.count("front1", "delegated_job_ended") > 0;
  }));
}

} // namespace

TEST_GROUP(DelegationRunsTest){};

TEST(DelegationRunsTest, NoTaskRunsTwiceAtOnceAfterAProcessDies) {
  struct Row {
    const char *Killed;
    /// The entry that the job is submitted to again.
    int Next;
    bool TwoWayLinks;
  };
  const Row Rows[] = {{"front1", 2, false},
                      {"side1", 1, false},
                      {"side1", 2, false},
                      {"front1", 2, true},
                      {"side1", 1, true}};
  for (const Row &Case : Rows) {
    PlatformCluster Cluster;
    startDelegating(Cluster, Case.TwoWayLinks);
    std::future<long> Call = std::async(std::launch::async, [&] {
      return Cluster.submit(1, JobId, Tasks, TaskMillis).Status;
    });
    CHECK_TEXT(waitFor([&] { return Cluster.Recorder.alive() == Tasks; }),
               Case.Killed);
    Cluster.kill(Case.Killed);
    // After which a caller without an answer submits its job again.
    std::this_thread::sleep_for(1300ms);
    // Several times, as an agent that still has a run refuses another one, so
    // that a run in excess shows only at the other agent.
    long Again = 0;
    for (int I = 0; I < Submissions && Again != 200; ++I) {
      Again = Cluster.submit(Case.Next, JobId, Tasks, TaskMillis).Status;
      CHECK_TEXT(Again == 200 || Again == 503 || Again == 504, Case.Killed);
    }
    CHECK_TEXT(Call.get() != 200, Case.Killed);
    CHECK_TEXT(Cluster.Recorder.overlappingTasks().empty(), Case.Killed);
  }
}
