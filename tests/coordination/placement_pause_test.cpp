//===- Tasks that are refused many times in a row -------------------------===//
//
// Guards against a job that is given up within some round trips, although one
// of its tasks runs and it has seconds left, because many workers were lost
// together and the others are full.
//
//===----------------------------------------------------------------------===//

#include "tests/coordination/coordinator_fixture.h"

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP_BASE(PlacementPauseTest, CoordinatorFixture) {
  const CoordinatorOptions Options = CoordinatorOptions();

  /// Refuses the last dispatch until a task has been placed \p Times times.
  void refuseUntilPlaced(std::uint32_t Times) {
    while (Sink.Dispatches.back().second.tasks(0).attempt() < Times)
      this->refuseLast();
  }
  void refuseLast() {
    answer(Sink.Dispatches.size() - 1, peer::LEASED_NOT_STARTED,
           peer::REFUSAL_STALE);
  }
};

TEST(PlacementPauseTest, AJobThatHasRunInPartWaits) {
  addAgent("a", 1000);
  addAgent("b", 1000);
  Coordinator.submit(patientRequest(2), 1, Now);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  answer(0, peer::LEASED_DONE);
  refuseUntilPlaced(Options.MaxPlacements);
  refuseLast();
  LONGS_EQUAL(0, Answers.Answers.size());
  std::size_t Before = Sink.Dispatches.size();
  advance(Options.PlacementPause - 20ms);
  LONGS_EQUAL(Before, Sink.Dispatches.size());
  advance(40ms);
  LONGS_EQUAL(Before + 1, Sink.Dispatches.size());
  // It may be refused as often again.
  refuseUntilPlaced(2 * Options.MaxPlacements);
  refuseLast();
  LONGS_EQUAL(0, Answers.Answers.size());
  advance(Options.PlacementPause + 20ms);
  answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
  CHECK(LeasedEnd::Completed == onlyAnswer().End);
}

TEST(PlacementPauseTest, AJobThatPausesEndsAtItsDeadline) {
  addAgent("a", 1000);
  addAgent("b", 1000);
  LeasedJobRequest Request = patientRequest(2);
  Request.Deadline = Options.PlacementPause / 2;
  Coordinator.submit(Request, 1, Now);
  answer(0, peer::LEASED_DONE);
  refuseUntilPlaced(Options.MaxPlacements);
  refuseLast();
  advance(Options.PlacementPause);
  CHECK(LeasedEnd::Unknown == onlyAnswer().End);
}

// Its caller may try another entry at once.
TEST(PlacementPauseTest, AJobOfWhichNothingHasRunIsRefused) {
  addAgent("a", 4000);
  Coordinator.submit(patientRequest(1), 1, Now);
  refuseUntilPlaced(Options.MaxPlacements);
  refuseLast();
  CHECK(LeasedEnd::NotRun == onlyAnswer().End);
}
