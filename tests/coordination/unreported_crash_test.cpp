//===- Holds for crashes that no agent reports ----------------------------===//
//
// A task under which several workers were lost is on hold until it is known
// whether they have crashed. Each test guards against a job that waits until
// its deadline for a report that never comes.
//
//===----------------------------------------------------------------------===//

#include "tests/coordination/coordinator_fixture.h"

#include <functional>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

/// \returns a crash under the task, which was started last there.
peer::WorkerCrash crashUnder(const std::string &Job,
                             std::uint64_t Incarnation) {
  peer::WorkerCrash Crash;
  Crash.set_incarnation(Incarnation);
  peer::CrashedTask *Task = Crash.add_tasks();
  Task->set_job(Job);
  Task->set_started_last(true);
  return Crash;
}

} // namespace

TEST_GROUP(UnreportedCrashTest){};

// Guards against a record that waits although an agent's list of crashes shows
// that it has none to report, and against one that forgets real crashes.
TEST(UnreportedCrashTest, AListOfCrashesSettlesEarlierIncarnations) {
  struct Event {
    enum { Lost, Crashed, Listed } Kind;
    const char *Agent;
    std::uint64_t Incarnation;
  };
  struct Row {
    const char *Name;
    std::vector<Event> Events;
    CrashVerdict Expected;
    /// Jobs that the last event takes off hold.
    std::size_t Cleared;
  };
  const Row Rows[] = {
      {"the next incarnation lists no crash",
       {{Event::Lost, "a", 1}, {Event::Lost, "b", 1}, {Event::Listed, "b", 2}},
       CrashVerdict::Allowed,
       1},
      {"the same incarnation may still crash",
       {{Event::Lost, "a", 1}, {Event::Lost, "b", 1}, {Event::Listed, "b", 1}},
       CrashVerdict::OnHold,
       0},
      {"another agent",
       {{Event::Lost, "a", 1}, {Event::Lost, "b", 1}, {Event::Listed, "c", 2}},
       CrashVerdict::OnHold,
       0},
      {"one of three is settled",
       {{Event::Lost, "a", 1},
        {Event::Lost, "b", 1},
        {Event::Lost, "c", 1},
        {Event::Listed, "b", 2}},
       CrashVerdict::OnHold,
       0},
      {"the other has crashed",
       {{Event::Lost, "a", 1},
        {Event::Lost, "b", 1},
        {Event::Crashed, "a", 1},
        {Event::Listed, "b", 2}},
       CrashVerdict::Allowed,
       1},
      {"both have crashed, and later lists leave them out",
       {{Event::Lost, "a", 1},
        {Event::Lost, "b", 1},
        {Event::Crashed, "a", 1},
        {Event::Crashed, "b", 1},
        {Event::Listed, "a", 2},
        {Event::Listed, "b", 3}},
       CrashVerdict::GivenUp,
       0},
      {"a loss that is told after the list",
       {{Event::Lost, "a", 1}, {Event::Listed, "b", 2}, {Event::Lost, "b", 1}},
       CrashVerdict::Allowed,
       0},
      {"a loss of the incarnation that sent the list",
       {{Event::Lost, "a", 1}, {Event::Listed, "b", 2}, {Event::Lost, "b", 2}},
       CrashVerdict::OnHold,
       0},
      {"a crash that an earlier process of the agent reports late",
       {{Event::Lost, "a", 1},
        {Event::Lost, "b", 1},
        {Event::Listed, "b", 1000},
        {Event::Crashed, "b", 1},
        {Event::Crashed, "a", 1}},
       CrashVerdict::GivenUp,
       1},
  };
  for (const Row &Row : Rows) {
    CrashRecord Record;
    std::vector<std::string> Cleared;
    for (const Event &What : Row.Events) {
      Cleared.clear();
      if (What.Kind == Event::Lost)
        Record.onWorkerLost("job", 0, What.Agent, What.Incarnation, Start);
      else if (What.Kind == Event::Crashed)
        Cleared = Record.onWorkerCrashed(
            What.Agent, crashUnder("job", What.Incarnation), Start);
      else
        Cleared = Record.onCrashesListed(What.Agent, What.Incarnation);
    }
    CHECK_TEXT(Row.Expected == Record.verdict("job", 0), Row.Name);
    LONGS_EQUAL_TEXT(Row.Cleared, Cleared.size(), Row.Name);
  }
}

// Guards against a record that waits for the crash of a worker that was only
// cut off, and against one that takes an old message for a sign of life.
TEST(UnreportedCrashTest, AWorkerThatIsReadyAfterItsLossHasNotCrashed) {
  struct Event {
    enum { Lost, Crashed, Ready } Kind;
    const char *Agent;
    std::uint64_t Incarnation;
    std::uint64_t Stamp;
  };
  struct Row {
    const char *Name;
    std::vector<Event> Events;
    CrashVerdict Expected;
    /// Jobs that the last event takes off hold.
    std::size_t Cleared;
  };
  const Row Rows[] = {
      {"ready after the loss",
       {{Event::Lost, "a", 1, 10},
        {Event::Lost, "b", 1, 10},
        {Event::Ready, "b", 1, 11}},
       CrashVerdict::Allowed,
       1},
      {"told in the same millisecond",
       {{Event::Lost, "a", 1, 10},
        {Event::Lost, "b", 1, 10},
        {Event::Ready, "b", 1, 10}},
       CrashVerdict::OnHold,
       0},
      {"told before, and late",
       {{Event::Lost, "a", 1, 10},
        {Event::Lost, "b", 1, 10},
        {Event::Ready, "b", 1, 9}},
       CrashVerdict::OnHold,
       0},
      {"told before, and again after",
       {{Event::Lost, "a", 1, 10},
        {Event::Lost, "b", 1, 10},
        {Event::Ready, "b", 1, 9},
        {Event::Ready, "b", 1, 11}},
       CrashVerdict::Allowed,
       1},
      {"the next incarnation",
       {{Event::Lost, "a", 1, 10},
        {Event::Lost, "b", 1, 10},
        {Event::Ready, "b", 2, 11}},
       CrashVerdict::OnHold,
       0},
      {"another agent",
       {{Event::Lost, "a", 1, 10},
        {Event::Lost, "b", 1, 10},
        {Event::Ready, "c", 1, 11}},
       CrashVerdict::OnHold,
       0},
      {"lost again",
       {{Event::Lost, "a", 1, 10},
        {Event::Lost, "b", 1, 10},
        {Event::Ready, "b", 1, 11},
        {Event::Lost, "b", 1, 12}},
       CrashVerdict::OnHold,
       0},
      {"crashes later",
       {{Event::Lost, "a", 1, 10},
        {Event::Lost, "b", 1, 10},
        {Event::Ready, "b", 1, 11},
        {Event::Crashed, "a", 1, 0},
        {Event::Crashed, "b", 1, 0}},
       CrashVerdict::GivenUp,
       1},
      {"a late message of an incarnation that has crashed",
       {{Event::Lost, "a", 1, 10},
        {Event::Lost, "b", 1, 10},
        {Event::Crashed, "a", 1, 0},
        {Event::Crashed, "b", 1, 0},
        {Event::Ready, "b", 1, 11}},
       CrashVerdict::GivenUp,
       0},
  };
  for (const Row &Row : Rows) {
    CrashRecord Record;
    std::vector<std::string> Cleared;
    for (const Event &What : Row.Events) {
      Cleared.clear();
      if (What.Kind == Event::Lost)
        Record.onWorkerLost("job", 0, What.Agent, What.Incarnation, Start,
                            What.Stamp);
      else if (What.Kind == Event::Crashed)
        Cleared = Record.onWorkerCrashed(
            What.Agent, crashUnder("job", What.Incarnation), Start);
      else
        Cleared =
            Record.onWorkerReady(What.Agent, What.Incarnation, What.Stamp);
    }
    CHECK_TEXT(Row.Expected == Record.verdict("job", 0), Row.Name);
    LONGS_EQUAL_TEXT(Row.Cleared, Cleared.size(), Row.Name);
  }
}

namespace {

/// A job whose only task has lost its worker at two agents, while a third one
/// could take it.
class JobOnHold : public CoordinatorFixture {
public:
  JobOnHold() {
    for (const char *Agent : {"a", "b", "c"})
      addAgent(Agent);
    LeasedJobRequest Job = request(1);
    Job.Deadline = 10s;
    Coordinator.submit(Job, 1, Now);
    // The task may be placed at the same agent again.
    std::set<std::string> Agents;
    while (Agents.size() < 2) {
      Agents.insert(this->lastAgent());
      this->loseWorker(this->Sink.Dispatches.back());
    }
    for (const char *Agent : {"a", "b", "c"})
      if (!Agents.contains(Agent))
        this->Third = Agent;
    this->Before = this->Sink.Dispatches.size();
  }
  /// Whether the job has been taken off hold.
  bool isPlaced() const { return this->Sink.Dispatches.size() > this->Before; }
  void
  loseWorker(const std::pair<std::string, peer::LeasedDispatch> &Placement) {
    peer::Message Message;
    peer::LeasedUpdate *Update = Message.mutable_leased_update();
    Update->set_job(Placement.second.job());
    Update->set_attempt(Placement.second.tasks(0).attempt());
    Update->set_order(Placement.second.tasks(0).order());
    Update->set_event(peer::LEASED_ENDED_EARLY);
    Update->set_worker_lost(true);
    Update->mutable_load()->set_incarnation(AgentIncarnation);
    Update->mutable_load()->set_stamp(++Stamp);
    Coordinator.onMessage({Placement.first, "10.0.0.1:1"}, Message, Now);
    Coordinator.placeScheduled(Now);
  }
  /// The agent that lost its worker last.
  std::string lastAgent() const { return Sink.Dispatches.back().first; }
  void receive(const std::string &Agent, const peer::WorkerLoad &Load) {
    peer::Message Message;
    *Message.mutable_worker_load() = Load;
    Message.mutable_worker_load()->set_stamp(++Stamp);
    Coordinator.onMessage({Agent, "10.0.0.1:1"}, Message, Now);
    Coordinator.placeScheduled(Now);
  }
  static peer::WorkerLoad loadOf(std::uint64_t Incarnation, bool ListsAll) {
    peer::WorkerLoad Load;
    Load.set_incarnation(Incarnation);
    Load.set_lists_held(ListsAll);
    return Load;
  }
  /// Control announces the state of the agent that lost its worker last.
  void setLast(peer::MemberState State) {
    this->setState(this->lastAgent(), State);
  }
  /// Lets time pass in which only the third agent is heard.
  void pass(std::chrono::milliseconds Time) {
    for (auto Passed = 0ms; Passed < Time; Passed += 20ms) {
      this->reportLoad(this->Third);
      this->advance(20ms);
    }
  }

private:
  std::string Third;
  std::size_t Before = 0;
};

} // namespace

TEST_GROUP(JobOnHoldTest){};

// Guards against a job that stays on hold after the agent's process has
// restarted, or after its next worker has turned out not to follow a crash.
TEST(JobOnHoldTest, TheNextIncarnationsListTakesAJobOffHold) {
  struct Row {
    const char *Name;
    std::uint64_t Incarnation;
    bool ListsAll;
    bool IsPlaced;
  };
  const Row Rows[] = {
      {"the same incarnation", AgentIncarnation, true, false},
      {"a report that leaves out older crashes", AgentIncarnation + 1, false,
       false},
      {"the next incarnation", AgentIncarnation + 1, true, true},
      {"a restarted process", AgentIncarnation + 1000, true, true},
  };
  for (const Row &Row : Rows) {
    JobOnHold Job;
    Job.receive(Job.lastAgent(),
                JobOnHold::loadOf(Row.Incarnation, Row.ListsAll));
    CHECK_EQUAL_TEXT(Row.IsPlaced, Job.isPlaced(), Row.Name);
  }
}

// Guards against a job that stays on hold although its workers were only cut
// off and are back.
TEST(JobOnHoldTest, AWorkerThatIsBackTakesAJobOffHold) {
  struct Row {
    const char *Name;
    bool IsReady;
    bool IsPlaced;
  };
  const Row Rows[] = {{"not back yet", false, false}, {"back", true, true}};
  for (const Row &Row : Rows) {
    JobOnHold Job;
    peer::WorkerLoad Load = JobOnHold::loadOf(AgentIncarnation, false);
    Load.set_worker_ready(Row.IsReady);
    Job.receive(Job.lastAgent(), Load);
    CHECK_EQUAL_TEXT(Row.IsPlaced, Job.isPlaced(), Row.Name);
  }
}

// Guards against a job that stays on hold for an agent which is not probed any
// more, so that no report of it arrives.
TEST(JobOnHoldTest, AnAgentThatIsGoneTakesAJobOffHold) {
  struct Row {
    const char *Name;
    std::function<void(JobOnHold &Job)> Happens;
    bool IsPlaced;
  };
  const Row Rows[] = {
      {"nothing", [](JobOnHold &) {}, false},
      {"control says that it leaves",
       [](JobOnHold &Job) { Job.setLast(peer::MEMBER_LEAVING); }, true},
      {"it says that it leaves",
       [](JobOnHold &Job) {
         peer::WorkerLoad Load = JobOnHold::loadOf(AgentIncarnation, false);
         Load.set_leaving(true);
         Job.receive(Job.lastAgent(), Load);
       },
       true},
      {"control has lost it, and it is heard here",
       [](JobOnHold &Job) { Job.setLast(peer::MEMBER_LOST); }, false},
      {"control has lost it, and it is not heard any more",
       [](JobOnHold &Job) {
         Job.setLast(peer::MEMBER_LOST);
         Job.pass(4s);
       },
       true},
  };
  for (const Row &Row : Rows) {
    JobOnHold Job;
    Row.Happens(Job);
    Job.pass(20ms);
    CHECK_EQUAL_TEXT(Row.IsPlaced, Job.isPlaced(), Row.Name);
  }
}

TEST_GROUP_BASE(SuspectTaskTest, CoordinatorFixture){};

// The agent that refuses a task beside another suspect one looks free, so that
// the task would be sent there again and again.
TEST(SuspectTaskTest, ASuspectTaskIsMarkedAndAvoidsAgentsThatRefuseIt) {
  for (const char *Agent : {"a", "b", "c"})
    addAgent(Agent);
  Coordinator.submit(request(1), 1, Now);
  CHECK_FALSE(Sink.Dispatches[0].second.suspect());
  peer::Message Message;
  peer::LeasedUpdate *Update = Message.mutable_leased_update();
  Update->set_job("j");
  Update->set_attempt(1);
  Update->set_order(Sink.Dispatches[0].second.tasks(0).order());
  Update->set_event(peer::LEASED_ENDED_EARLY);
  Update->set_worker_lost(true);
  Update->mutable_load()->set_incarnation(AgentIncarnation);
  Update->mutable_load()->set_stamp(++Stamp);
  Coordinator.onMessage({Sink.Dispatches[0].first, "10.0.0.1:1"}, Message, Now);
  Coordinator.placeScheduled(Now);
  std::set<std::string> Asked;
  for (std::size_t I = 1; I <= 3; ++I) {
    LONGS_EQUAL(I + 1, Sink.Dispatches.size());
    CHECK(Sink.Dispatches[I].second.suspect());
    CHECK(Asked.insert(Sink.Dispatches[I].first).second);
    answer(I, peer::LEASED_NOT_STARTED, peer::REFUSAL_BUSY);
  }
}
