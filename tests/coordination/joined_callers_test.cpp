//===- Jobs with several callers, some of which disconnect ----------------===//

#include "tests/coordination/coordinator_fixture.h"

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP_BASE(JoinedCallersTest, CoordinatorFixture){
    /// Advances to \p End while the agent keeps sending its load.
    void runUntil(TimePoint End){while (Now.Steady < End){advance(100ms);
reportLoad("a");
}
}
}
;

// A connection may be dead without being closed. Its caller, whose deadline has
// passed, may have resubmitted the job elsewhere.
TEST(JoinedCallersTest, NoJobOutlivesTheDeadlinesOfItsRemainingCallers) {
  struct Row {
    const char *Name;
    std::chrono::milliseconds NewerDeadline;
    /// Delay after the older submission, whose deadline is 1,500 ms.
    std::chrono::milliseconds NewerAfter;
    bool NewerLeaves;
    bool IsStopped;
  };
  const Row Rows[] = {
      {"newer caller waits", 1500ms, 1000ms, false, false},
      {"newer caller disconnects", 1500ms, 1000ms, true, true},
      {"newer caller with more time disconnects", 15000ms, 200ms, true, true},
  };
  for (const Row &Row : Rows) {
    Sink.Stops.clear();
    addAgent("a");
    LeasedJobRequest Older = request(1);
    Older.Estimate = 10s;
    LeasedJobRequest Newer = Older;
    Newer.Deadline = Row.NewerDeadline;
    TimePoint Begin = Now.Steady;
    Coordinator.submit(Older, 1, Now);
    std::size_t Sent = Sink.Dispatches.size();
    this->runUntil(Begin + Row.NewerAfter);
    Coordinator.submit(Newer, 2, Now);
    if (Row.NewerLeaves)
      Coordinator.withdraw("j", 2, "the caller has gone", Now);
    LONGS_EQUAL_TEXT(0, Sink.Stops.size(), Row.Name);
    this->runUntil(Begin + 1600ms);
    CHECK_TEXT(Row.IsStopped == !Sink.Stops.empty(), Row.Name);
    answer(Sent - 1, peer::LEASED_DONE);
    LONGS_EQUAL_TEXT(0, Coordinator.inFlight(), Row.Name);
  }
}
