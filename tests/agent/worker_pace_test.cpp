#include "agent/worker_pace.h"
#include "tests/agent/keeper_fixture.h"

#include <fmt/format.h>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds Declared{100};

} // namespace

TEST_GROUP(WorkerPaceTest) {
  WorkerPace Pace;
  TimePoint Now{1h};
  int Jobs = 0;

  void finishJobs(int Count, std::chrono::milliseconds RunTime) {
    for (int I = 0; I < Count; ++I)
      Pace.onDone(fmt::format("job-{}", ++Jobs), RunTime, Declared, Now);
  }
};

TEST(WorkerPaceTest, TheMiddleOfTheLastJobsIsTold) {
  struct Row {
    const char *Name;
    int Usual;
    int Slow;
    std::uint32_t Permille;
  };
  const Row Rows[] = {{"none", 0, 0, 0},
                      {"too few", 17, 0, 0},
                      {"enough", 18, 0, 1000},
                      {"some stragglers", 20, 4, 1000},
                      {"turning slow", 24, 9, 2000},
                      {"turned slow", 24, 14, 3000},
                      {"long slow", 24, 100, 3000}};
  for (const Row &Row : Rows) {
    Pace.reset();
    finishJobs(Row.Usual, Declared);
    finishJobs(Row.Slow, 3 * Declared);
    LONGS_EQUAL_TEXT(Row.Permille, Pace.permille(Now), Row.Name);
  }
}

// The declared time of a job is off by as much for all its tasks.
TEST(WorkerPaceTest, TheTasksOfAJobCountOnce) {
  finishJobs(23, Declared);
  for (int I = 0; I < 100; ++I)
    Pace.onDone("wide", 5 * Declared, Declared, Now);
  LONGS_EQUAL(1000, Pace.permille(Now));
}

TEST(WorkerPaceTest, JobsCountForALimitedTime) {
  finishJobs(24, 2 * Declared);
  LONGS_EQUAL(2000, Pace.permille(Now));
  Now += 10s;
  LONGS_EQUAL(0, Pace.permille(Now));
}

TEST(WorkerPaceTest, TasksWithoutADeclaredTimeAreIgnored) {
  for (int I = 0; I < 50; ++I)
    Pace.onDone(fmt::format("job-{}", I), 1s, 0ms, Now);
  LONGS_EQUAL(0, Pace.permille(Now));
}

TEST_GROUP_BASE(KeeperPaceTest, KeeperFixture) {
  static constexpr std::chrono::milliseconds RunTime = 200ms;
  static constexpr int EnoughJobs = 20;

  /// Runs jobs of one task each, one after the other.
  void runJobs(LeaseKeeper & Keeper, int Count, RunOutcome Outcome,
               std::chrono::milliseconds Lasts) {
    for (int I = 0; I < Count; ++I) {
      peer::Message Message =
          dispatch(fmt::format("job-{}", ++Jobs), stamp(), 1000);
      Message.mutable_leased_dispatch()->set_estimate_ms(100);
      Keeper.onMessage(EntryA, Message, Now);
      pass(Keeper, Lasts);
      end(Keeper, Port.Starts.size() - 1, Outcome);
    }
  }
  std::uint32_t told(LeaseKeeper & Keeper) {
    Keeper.onMessage(EntryA, renewal(stamp()), Now);
    return Sink.Load.run_time_permille();
  }
  int Jobs = 0;
};

TEST(KeeperPaceTest, OnlyTasksThatAreDoneCount) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  runJobs(Keeper, EnoughJobs, RunOutcome::Failed, 20ms);
  LONGS_EQUAL(0, told(Keeper));
  runJobs(Keeper, EnoughJobs, RunOutcome::Done, RunTime);
  LONGS_EQUAL(2000, told(Keeper));
  runJobs(Keeper, EnoughJobs, RunOutcome::Failed, 20ms);
  LONGS_EQUAL(2000, told(Keeper));
}

TEST(KeeperPaceTest, AnotherIncarnationStartsOver) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  runJobs(Keeper, EnoughJobs, RunOutcome::Done, RunTime);
  LONGS_EQUAL(2000, told(Keeper));
  Keeper.onWorkerAttached(Now);
  Keeper.onMessage(EntryB, renewal(stamp()), Now);
  LONGS_EQUAL(0, Sink.Load.run_time_permille());
}

TEST(KeeperPaceTest, ColdRunsDoNotCount) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  WorkerProfile Profile;
  Profile.Id = WorkerId;
  Profile.Room.set_cpu_milli(4000);
  Profile.Room.set_memory_mb(1000);
  Profile.ColdLeft = 1min;
  Keeper.onProfile(Profile, Now);
  Keeper.session().onHoldReply({WorkerId}, plainReply(), Now);
  runJobs(Keeper, EnoughJobs, RunOutcome::Done, RunTime);
  LONGS_EQUAL(EnoughJobs, Port.Starts.size());
  LONGS_EQUAL(0, told(Keeper));
}

TEST(KeeperPaceTest, TheWaitIsTheWorkOfTheQueueDividedByTheRoom) {
  LeaseKeeper Keeper(optionsWith(true), Sink, Port);
  attach(Keeper);
  struct Row {
    std::uint32_t Tasks;
    std::uint32_t StartDelayMs;
  };
  // Four tasks run at a time; the others wait, and add to the queue.
  const Row Rows[] = {{4, 0}, {4, 100}, {2, 150}};
  for (const Row &Row : Rows) {
    peer::Message Message =
        dispatch(fmt::format("job-{}", ++Jobs), stamp(), 1000, 1000, Row.Tasks);
    Message.mutable_leased_dispatch()->set_estimate_ms(100);
    Keeper.onMessage(EntryA, Message, Now);
    told(Keeper);
    LONGS_EQUAL(Row.StartDelayMs, Sink.Load.start_delay_ms());
  }
}
