#include "coordination/crash_record.h"

#include <fmt/format.h>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

/// \param Tasks Indices of the tasks named; the last of them was started last.
peer::WorkerCrash crash(std::uint64_t Incarnation,
                        const std::vector<std::uint32_t> &Tasks) {
  peer::WorkerCrash Crash;
  Crash.set_incarnation(Incarnation);
  for (std::uint32_t Index : Tasks) {
    peer::CrashedTask *Task = Crash.add_tasks();
    Task->set_job(Index == 0 ? "job" : "beside");
    Task->set_index(Index);
    Task->set_started_last(Index == Tasks.back());
  }
  return Crash;
}

} // namespace

TEST_GROUP(CrashRecordTest){};

TEST(CrashRecordTest, ATaskIsGivenUpAfterTwoCrashesAndNotBefore) {
  struct Event {
    enum { Lost, Crashed } Kind;
    const char *Agent;
    std::uint64_t Incarnation;
    /// For a crash, the indices of the tasks that its report names.
    std::vector<std::uint32_t> Named;
  };
  struct Row {
    const char *Name;
    std::vector<Event> Events;
    CrashVerdict Expected;
  };
  // Expected verdicts are those of task 0.
  const Row Rows[] = {
      {"nothing known", {}, CrashVerdict::Allowed},
      {"one lost", {{Event::Lost, "a", 1, {}}}, CrashVerdict::Allowed},
      {"one crashed", {{Event::Crashed, "a", 1, {0}}}, CrashVerdict::Allowed},
      {"lost, then reported as crashed",
       {{Event::Lost, "a", 1, {}}, {Event::Crashed, "a", 1, {0}}},
       CrashVerdict::Allowed},
      {"the same crash reported twice",
       {{Event::Crashed, "a", 1, {0}}, {Event::Crashed, "a", 1, {0}}},
       CrashVerdict::Allowed},
      {"two lost, possibly just cut off",
       {{Event::Lost, "a", 1, {}}, {Event::Lost, "b", 1, {}}},
       CrashVerdict::OnHold},
      {"one of the two has crashed",
       {{Event::Lost, "a", 1, {}},
        {Event::Lost, "b", 1, {}},
        {Event::Crashed, "a", 1, {0}}},
       CrashVerdict::OnHold},
      {"both have crashed",
       {{Event::Lost, "a", 1, {}},
        {Event::Lost, "b", 1, {}},
        {Event::Crashed, "a", 1, {0}},
        {Event::Crashed, "b", 1, {0}}},
       CrashVerdict::GivenUp},
      {"two incarnations of one worker",
       {{Event::Crashed, "a", 1, {0}}, {Event::Crashed, "a", 2, {0}}},
       CrashVerdict::GivenUp},
      {"crashes reported by agents, without a loss here",
       {{Event::Crashed, "a", 1, {1, 0}}, {Event::Crashed, "b", 4, {0}}},
       CrashVerdict::GivenUp},
      {"twice beside the cause",
       {{Event::Crashed, "a", 1, {0, 1}}, {Event::Crashed, "b", 1, {0, 1}}},
       CrashVerdict::Allowed},
      {"twice beside the cause, then lost",
       {{Event::Crashed, "a", 1, {0, 1}},
        {Event::Crashed, "b", 1, {0, 1}},
        {Event::Lost, "c", 1, {}}},
       CrashVerdict::OnHold},
      {"once beside the cause, once started last",
       {{Event::Crashed, "a", 1, {0, 1}}, {Event::Crashed, "b", 1, {1, 0}}},
       CrashVerdict::Allowed},
      {"three crashes beside others",
       {{Event::Crashed, "a", 1, {0, 1}},
        {Event::Crashed, "b", 1, {0, 2}},
        {Event::Crashed, "c", 1, {0, 3}}},
       CrashVerdict::GivenUp},
      {"a crash under other tasks",
       {{Event::Lost, "a", 1, {}}, {Event::Crashed, "a", 1, {1}}},
       CrashVerdict::Allowed},
      {"crash reported before the loss",
       {{Event::Crashed, "a", 1, {1}}, {Event::Lost, "a", 1, {}}},
       CrashVerdict::Allowed},
      {"one crashed under other tasks, one unknown",
       {{Event::Lost, "a", 1, {}},
        {Event::Lost, "b", 1, {}},
        {Event::Crashed, "a", 1, {1}}},
       CrashVerdict::Allowed},
  };
  for (const Row &Row : Rows) {
    CrashRecord Record;
    for (const Event &What : Row.Events)
      if (What.Kind == Event::Lost)
        Record.onWorkerLost("job", 0, What.Agent, What.Incarnation, Start);
      else
        Record.onWorkerCrashed(What.Agent, crash(What.Incarnation, What.Named),
                               Start);
    CHECK_TEXT(Row.Expected == Record.verdict("job", 0), Row.Name);
    bool GivenUp = !Record.describeGivenUp("job").empty();
    CHECK_EQUAL_TEXT(Row.Expected == CrashVerdict::GivenUp, GivenUp, Row.Name);
    CHECK_TEXT(Record.verdict("other", 0) == CrashVerdict::Allowed, Row.Name);
  }
}

TEST(CrashRecordTest, DescribesTheGivenUpTaskAndItsAgents) {
  CrashRecord Record;
  Record.onWorkerCrashed("a", crash(1, {3}), Start);
  Record.onWorkerCrashed("b", crash(1, {2, 3}), Start);
  STRCMP_EQUAL("task 3 has crashed the upstreams of a, b",
               Record.describeGivenUp("beside").c_str());
  STRCMP_EQUAL("", Record.describeGivenUp("job").c_str());
}

TEST(CrashRecordTest, RemembersALimitedNumberOfTasks) {
  CrashRecordOptions Options;
  Options.MaxTasks = 10;
  CrashRecord Record(Options);
  for (std::uint32_t I = 0; I < 100; ++I)
    Record.onWorkerLost(fmt::format("job-{}", I), 0, "a", 1,
                        Start + std::chrono::milliseconds(I));
  LONGS_EQUAL(10, Record.tasks());
  Record.onWorkerLost("job-99", 0, "b", 1, Start + 100ms);
  CHECK(Record.verdict("job-99", 0) == CrashVerdict::OnHold);
  Record.sweep(Start + Options.Retention + 200ms);
  LONGS_EQUAL(0, Record.tasks());
}
