#include "dispatch/fair_queue.h"

#include <CppUTest/TestHarness.h>
#include <map>

using namespace yardwheel;

TEST_GROUP(FairQueueTest) {
  FairQueue Queue;

  /// Pops up to \p Count tasks and returns their number by workspace.
  std::map<std::string, int> take(int Count) { return take(Queue, Count); }
  static std::map<std::string, int> take(FairQueue & Queue, int Count) {
    std::map<std::string, int> Taken;
    for (int I = 0; I < Count; ++I) {
      std::optional<WaitingTask> Next = Queue.front();
      if (!Next)
        break;
      Queue.pop();
      ++Taken[Next->Workspace];
    }
    return Taken;
  }
  void fill(const char *Workspace, int Tasks, JobNumber Job = 1) {
    fill(Queue, Workspace, Tasks, Job);
  }
  static void fill(FairQueue & Queue, const char *Workspace, int Tasks,
                   JobNumber Job = 1) {
    for (int I = 0; I < Tasks; ++I)
      Queue.push(Workspace, 0, Job, static_cast<std::uint32_t>(I));
  }
};

TEST(FairQueueTest, WorkspacesShareByWeight) {
  struct Row {
    std::uint32_t First;
    std::uint32_t Second;
    int ExpectedFirst;
  };
  const Row Rows[] = {{100, 100, 60}, {200, 100, 80}, {500, 100, 100}};
  for (const Row &Case : Rows) {
    FairQueue Fresh;
    Fresh.configure("a", Case.First, 1000);
    Fresh.configure("b", Case.Second, 1000);
    fill(Fresh, "a", 200);
    fill(Fresh, "b", 200);
    int Share = take(Fresh, 120)["a"];
    CHECK_TRUE(Share >= Case.ExpectedFirst - 1 &&
               Share <= Case.ExpectedFirst + 1);
  }
}

TEST(FairQueueTest, AnIdleWorkspaceAccumulatesNoCredit) {
  Queue.configure("a", 100, 1000);
  Queue.configure("b", 100, 1000);
  fill("a", 100);
  take(50);
  fill("b", 100);
  LONGS_EQUAL(10, take(20)["b"]);
}

TEST(FairQueueTest, ACapacityLimitsOnlyItsWorkspace) {
  Queue.configure("a", 100, 3);
  Queue.configure("b", 100, 1000);
  fill("a", 10);
  fill("b", 10);
  std::map<std::string, int> Taken = take(20);
  LONGS_EQUAL(3, Taken["a"]);
  LONGS_EQUAL(10, Taken["b"]);
  Queue.onSettled("a");
  LONGS_EQUAL(1, take(20)["a"]);
}

TEST(FairQueueTest, JobsGoByRankAndThenByNumber) {
  Queue.push("a", 5, 1, 0);
  Queue.push("a", 2, 3, 0);
  Queue.push("a", 2, 2, 0);
  for (JobNumber Expected : {2U, 3U, 1U}) {
    LONGS_EQUAL(Expected, Queue.front()->Job);
    Queue.pop();
  }
}

TEST(FairQueueTest, ARemovedJobLeavesTheOthers) {
  fill("a", 5, 1);
  fill("a", 5, 2);
  Queue.removeJob("a", 0, 1);
  LONGS_EQUAL(5, Queue.waiting("a"));
  LONGS_EQUAL(2, Queue.front()->Job);
  Queue.removeJob("a", 0, 9);
  LONGS_EQUAL(5, Queue.waiting());
}
