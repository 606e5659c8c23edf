#include "entry/lease_coordinator.h"

#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

class CollectingSink final : public PeerSink {
public:
  void send(const PeerRef &To, peer::Message Message) override {
    if (Message.has_leased_dispatch())
      this->Dispatches.push_back({To.Node, Message.leased_dispatch()});
    else if (Message.has_leased_stop() &&
             Message.leased_stop().longer_than_ms() > 0)
      this->Stalls.push_back({To.Node, Message.leased_stop()});
    else if (Message.has_leased_stop())
      this->Stops.push_back(To.Node);
    else if (Message.has_lease_renewal())
      ++this->Renewals[To.Node];
    else if (Message.has_leased_interest())
      this->Interests.push_back({To.Node, Message.leased_interest()});
    else if (Message.has_offer_reply())
      ++this->Declined[To.Node];
  }
  void reconnect(const PeerRef &To) override { ++this->Reconnects[To.Node]; }
  std::vector<std::pair<std::string, peer::LeasedDispatch>> Dispatches;
  std::vector<std::string> Stops;
  std::vector<std::pair<std::string, peer::LeasedStop>> Stalls;
  std::vector<std::pair<std::string, peer::LeasedInterest>> Interests;
  std::map<std::string, int> Declined;
  std::map<std::string, int> Renewals;
  std::map<std::string, int> Reconnects;
};

class CollectingAnswers final : public LeasedAnswerSink {
public:
  void onLeasedAnswer(LeaseTicket Ticket, const LeasedAnswer &Answer) override {
    this->Answers.push_back({Ticket, Answer});
  }
  std::vector<std::pair<LeaseTicket, LeasedAnswer>> Answers;
};

constexpr std::uint64_t Life = 9;

/// Spread placement: a job's tasks go to several agents, so that the tests see
/// how these are told apart.
CoordinatorOptions spreadOptions() {
  CoordinatorOptions Options;
  Options.Board.Placement = "spread";
  return Options;
}

} // namespace

TEST_GROUP(LeaseCoordinatorTest) {
  CollectingSink Sink;
  CollectingAnswers Answers;
  LeaseCoordinator Coordinator{spreadOptions(), Sink, Answers};
  Instant Now{TimePoint(1h), fromUnixMillis(1800000000000)};

  /// Tells of an agent, which then answers the entry's first question.
  void addAgent(const std::string &Name, std::uint32_t CpuMilli = 4000) {
    this->tellOf(Name, CpuMilli);
    this->hear(Name);
  }
  void hear(const std::string &Name, std::uint64_t Incarnation = Life) {
    peer::Message Load;
    Load.mutable_worker_load()->set_incarnation(Incarnation);
    Load.mutable_worker_load()->set_stamp(++this->Stamp);
    Coordinator.onMessage({Name, "10.0.0.1:1"}, Load, Now);
  }
  void tellOf(const std::string &Name, std::uint32_t CpuMilli = 4000) {
    peer::Member Member;
    Member.set_name(Name);
    Member.set_role(peer::ROLE_AGENT);
    Member.set_state(peer::MEMBER_ALIVE);
    Member.set_incarnation(Life);
    Member.set_address("10.0.0.1:1");
    Member.set_pool("pool");
    Member.mutable_room()->set_cpu_milli(CpuMilli);
    Member.mutable_room()->set_memory_mb(1000);
    Coordinator.onMember(Member, Now);
  }
  void setState(const std::string &Name, peer::MemberState State) {
    peer::Member Member;
    Member.set_name(Name);
    Member.set_role(peer::ROLE_AGENT);
    Member.set_state(State);
    Member.set_incarnation(Life);
    Coordinator.onMember(Member, Now);
  }
  /// Control has lost an agent that this entry has not heard for long either.
  void loseToControl(const std::string &Name) {
    Now.Steady += 3s;
    this->setState(Name, peer::MEMBER_LOST);
  }
  LeasedJobRequest request(std::uint32_t Tasks, const char *Id = "j") {
    LeasedJobRequest Request;
    Request.Id = Id;
    Request.Route = "r";
    Request.Pool = "pool";
    Request.TaskCount = Tasks;
    Request.Needs.set_cpu_milli(1000);
    Request.Estimate = 100ms;
    Request.MaxAttempts = 2;
    Request.Objective = 220ms;
    Request.Deadline = 1500ms;
    return Request;
  }
  /// With time to spare: it may wait in any queue.
  LeasedJobRequest patientRequest(std::uint32_t Tasks, const char *Id = "j") {
    LeasedJobRequest Request = this->request(Tasks, Id);
    Request.Objective = 1000ms;
    return Request;
  }
  void offer(const std::string &Agent, const std::string &Job,
             std::uint32_t Tasks) {
    peer::Message Message;
    peer::LeasedOffer *Offer = Message.mutable_leased_offer();
    Offer->set_job(Job);
    Offer->set_offer(++this->LastOffer);
    Offer->set_tasks(Tasks);
    Offer->mutable_load()->set_incarnation(Life);
    Offer->mutable_load()->set_stamp(++this->Stamp);
    Coordinator.onMessage({Agent, "10.0.0.1:1"}, Message, Now);
  }
  std::uint64_t LastOffer = 0;
  /// Reports that a message of this kind did not reach the agent.
  void loseMessage(const std::string &Agent, const peer::Message &Message) {
    auto Sent = std::make_shared<peer::Envelope>();
    *Sent->add_messages() = Message;
    Coordinator.onUndelivered({{Agent, "10.0.0.1:1"}, Now.Steady, Sent}, Now);
  }
  /// An agent lists the placements that it holds for this entry.
  void list(const std::string &Agent,
            const std::vector<std::uint64_t> &Orders) {
    peer::Message Message;
    peer::WorkerLoad *Load = Message.mutable_worker_load();
    Load->set_incarnation(Life);
    Load->set_stamp(++this->Stamp);
    Load->set_lists_held(true);
    for (std::uint64_t Order : Orders)
      Load->add_held_orders(Order);
    Coordinator.onMessage({Agent, "10.0.0.1:1"}, Message, Now);
  }
  void loseDispatch(std::size_t Which) {
    peer::Message Message;
    *Message.mutable_leased_dispatch() = Sink.Dispatches.at(Which).second;
    this->loseMessage(Sink.Dispatches.at(Which).first, Message);
  }
  /// Answers the dispatch with this number, for all of its tasks.
  void answer(std::size_t Which, peer::LeasedEvent Event,
              peer::LeasedRefusal Refusal = peer::REFUSAL_NONE) {
    auto [Agent, Dispatch] = Sink.Dispatches.at(Which);
    for (const peer::LeasedTask &Task : Dispatch.tasks()) {
      peer::Message Message;
      peer::LeasedUpdate *Update = Message.mutable_leased_update();
      Update->set_job(Dispatch.job());
      Update->set_index(Task.index());
      Update->set_attempt(Task.attempt());
      Update->set_order(Task.order());
      Update->set_event(Event);
      Update->set_refusal(Refusal);
      Update->set_service_us(100000);
      Update->mutable_load()->set_incarnation(Life);
      Update->mutable_load()->set_stamp(++this->Stamp);
      // As an agent counts: at least the one that it tells of.
      bool Failure =
          Event == peer::LEASED_FAILED || Refusal == peer::REFUSAL_WORKER;
      Update->mutable_load()->set_failures_in_row(Failure ? 1 : 0);
      Coordinator.onMessage({Agent, "10.0.0.1:1"}, Message, Now);
    }
    Coordinator.placeDue(Now);
  }
  void pass(std::chrono::milliseconds Time) {
    for (std::chrono::milliseconds Step = 0ms; Step < Time; Step += 20ms) {
      Now.Steady += 20ms;
      Coordinator.tick(Now);
    }
  }
  const LeasedAnswer &onlyAnswer() {
    LONGS_EQUAL(1, Answers.Answers.size());
    return Answers.Answers.at(0).second;
  }
  std::uint64_t Stamp = 0;
};

TEST(LeaseCoordinatorTest, AJobIsCompleteWhenEveryTaskIsDone) {
  addAgent("a");
  addAgent("b");
  Coordinator.submit(request(4), 1, Now);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  answer(0, peer::LEASED_DONE);
  LONGS_EQUAL(0, Answers.Answers.size());
  answer(1, peer::LEASED_DONE);
  CHECK(onlyAnswer().End == LeasedEnd::Completed);
  LONGS_EQUAL(0, Coordinator.inFlight());
}

TEST(LeaseCoordinatorTest, AStaleRefusalIsAnsweredWithTheNewStampThere) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  answer(0, peer::LEASED_NOT_STARTED, peer::REFUSAL_STALE);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  LONGS_EQUAL(Stamp, Sink.Dispatches[1].second.stamp());
  LONGS_EQUAL(2, Sink.Dispatches[1].second.tasks(0).attempt());
}

TEST(LeaseCoordinatorTest, WithoutAWorkerAJobIsRefusedAtOnceAsNotRun) {
  Coordinator.submit(request(1), 1, Now);
  CHECK(onlyAnswer().End == LeasedEnd::NotRun);
  CHECK(onlyAnswer().RetryAfter > 0ms);
}

TEST(LeaseCoordinatorTest, NotRunIsSaidOnlyWhereEveryTaskIsProvedUnstarted) {
  struct Row {
    peer::LeasedEvent First;
    LeasedEnd Expected;
  };
  const Row Rows[] = {{peer::LEASED_NOT_STARTED, LeasedEnd::NotRun},
                      {peer::LEASED_DONE, LeasedEnd::Unknown},
                      {peer::LEASED_ENDED_EARLY, LeasedEnd::Unknown}};
  addAgent("a");
  addAgent("b");
  std::size_t Sent = 0;
  for (const Row &Row : Rows) {
    Answers.Answers.clear();
    Coordinator.submit(request(2), 1, Now);
    LONGS_EQUAL(Sent + 2, Sink.Dispatches.size());
    Coordinator.cancel("j", "test", Now);
    answer(Sent, Row.First, peer::REFUSAL_STOPPED);
    answer(Sent + 1, peer::LEASED_NOT_STARTED, peer::REFUSAL_STOPPED);
    CHECK(onlyAnswer().End == Row.Expected);
    Sent += 2;
  }
}

// The task has not started for this entry, but one of its job is there for
// another, to which the caller handed it in before.
TEST(LeaseCoordinatorTest, AJobThatRunsForAnotherEntryIsNotSaidNotToHaveRun) {
  struct Row {
    peer::LeasedRefusal Refusal;
    LeasedEnd Expected;
  };
  const Row Rows[] = {{peer::REFUSAL_LEAVING, LeasedEnd::NotRun},
                      {peer::REFUSAL_OTHER_OWNER, LeasedEnd::Unknown}};
  addAgent("a");
  for (const Row &Row : Rows) {
    Answers.Answers.clear();
    Coordinator.submit(request(1), 1, Now);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_NOT_STARTED, Row.Refusal);
    CHECK(onlyAnswer().End == Row.Expected);
  }
}

TEST(LeaseCoordinatorTest, AGivenUpJobDoesNotWaitLongForProof) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  Coordinator.cancel("j", "test", Now);
  LONGS_EQUAL(1, Sink.Stops.size());
  LONGS_EQUAL(0, Answers.Answers.size());
  pass(60ms);
  CHECK(onlyAnswer().End == LeasedEnd::Unknown);
}

// Until its runs are proved ended, the same job may not begin again here, and
// nobody may be told that it has not run.
TEST(LeaseCoordinatorTest, AJobHandedInWhileItIsStoppedBeginsWhenThatHasEnded) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  Coordinator.cancel("j", "test", Now);
  pass(60ms);
  LONGS_EQUAL(1, Answers.Answers.size());
  Coordinator.submit(request(1), 2, Now);
  Coordinator.submit(request(1), 3, Now);
  pass(60ms);
  LONGS_EQUAL(1, Sink.Dispatches.size());
  LONGS_EQUAL(1, Answers.Answers.size());
  answer(0, peer::LEASED_ENDED_EARLY);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  answer(1, peer::LEASED_DONE);
  LONGS_EQUAL(3, Answers.Answers.size());
  CHECK(Answers.Answers[2].second.End == LeasedEnd::Completed);
  LONGS_EQUAL(0, Coordinator.inFlight());
}

TEST(LeaseCoordinatorTest, ACallerWhoLeavesTakesNothingFromOthers) {
  struct Row {
    const char *Name;
    LeaseTicket Leaves;
    LeasedEnd Second;
    LeasedEnd Third;
  };
  // The first has been answered; the others wait for the job to begin again.
  const Row Rows[] = {
      {"the first", 1, LeasedEnd::Completed, LeasedEnd::Completed},
      {"the second", 2, LeasedEnd::Unknown, LeasedEnd::Completed},
      {"the third", 3, LeasedEnd::Completed, LeasedEnd::Unknown},
      {"a stranger", 4, LeasedEnd::Completed, LeasedEnd::Completed},
  };
  for (const Row &Row : Rows) {
    addAgent("a");
    Answers.Answers.clear();
    Coordinator.submit(request(1), 1, Now);
    Coordinator.cancel("j", "test", Now);
    pass(60ms);
    Coordinator.submit(request(1), 2, Now);
    Coordinator.submit(request(1), 3, Now);
    Coordinator.withdraw("j", Row.Leaves, "test", Now);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_ENDED_EARLY);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
    std::map<LeaseTicket, LeasedEnd> Ends;
    for (const auto &[Ticket, Answer] : Answers.Answers)
      Ends[Ticket] = Answer.End;
    LONGS_EQUAL_TEXT(3, Answers.Answers.size(), Row.Name);
    CHECK_TEXT(Ends[2] == Row.Second, Row.Name);
    CHECK_TEXT(Ends[3] == Row.Third, Row.Name);
    LONGS_EQUAL_TEXT(0, Coordinator.inFlight(), Row.Name);
  }
}

TEST(LeaseCoordinatorTest, WhoWaitsForAStoppedJobIsToldTheTruthInTime) {
  struct Row {
    const char *Name;
    bool CallerLeaves;
  };
  const Row Rows[] = {{"its deadline passes", false}, {"it leaves", true}};
  for (const Row &Row : Rows) {
    Answers.Answers.clear();
    addAgent("a");
    std::string Id = Row.Name;
    Coordinator.submit(request(1, Id.c_str()), 1, Now);
    Coordinator.cancel(Id, "test", Now);
    LeasedJobRequest Again = request(1, Id.c_str());
    Again.Deadline = 200ms;
    Coordinator.submit(Again, 2, Now);
    if (Row.CallerLeaves)
      Coordinator.cancel(Id, "test", Now);
    else
      pass(240ms);
    // One of its runs may have begun.
    CHECK_TEXT(Answers.Answers.back().first == 2 ||
                   Answers.Answers.front().first == 2,
               Row.Name);
    for (const auto &[Ticket, Answer] : Answers.Answers)
      CHECK_TEXT(Answer.End == LeasedEnd::Unknown, Row.Name);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_ENDED_EARLY);
    pass(60ms);
    LONGS_EQUAL_TEXT(0, Coordinator.inFlight(), Row.Name);
  }
}

// "Not run" is said of the job, not of a hand-in: its caller hands it in again
// since nobody could tell him how the first one ended.
TEST(LeaseCoordinatorTest,
     AJobThatRanHereIsNotSaidNotToHaveRunWhenItComesAgain) {
  struct Row {
    const char *Name;
    /// How the first hand-in's only task is answered.
    peer::LeasedEvent First;
    /// What has the second refused.
    std::function<void()> Refuse;
    /// Handed in while the first is still being stopped.
    bool Early;
    LeasedEnd Expected;
  };
  auto NoRoom = [&] { setState("a", peer::MEMBER_LEAVING); };
  auto Overload = [&] {
    for (int I = 0; I < 40; ++I)
      Coordinator.submit(patientRequest(4, ("o" + std::to_string(I)).c_str()),
                         100, Now);
  };
  const Row Rows[] = {
      {"ran, no worker now", peer::LEASED_ENDED_EARLY, NoRoom, false,
       LeasedEnd::Unknown},
      {"ran, waits for its end", peer::LEASED_ENDED_EARLY, NoRoom, true,
       LeasedEnd::Unknown},
      {"ran, overload now", peer::LEASED_ENDED_EARLY, Overload, false,
       LeasedEnd::Unknown},
      {"never began, no worker now", peer::LEASED_NOT_STARTED, NoRoom, false,
       LeasedEnd::NotRun},
  };
  for (const Row &Row : Rows) {
    addAgent("a");
    Coordinator.submit(request(1, Row.Name), 1, Now);
    std::size_t First = Sink.Dispatches.size() - 1;
    Coordinator.cancel(Row.Name, "test", Now);
    if (Row.Early) {
      pass(60ms);
      Coordinator.submit(request(1, Row.Name), 2, Now);
      Row.Refuse();
      answer(First, Row.First, peer::REFUSAL_STOPPED);
    } else {
      answer(First, Row.First, peer::REFUSAL_STOPPED);
      pass(1000ms);
      Row.Refuse();
      Coordinator.submit(request(1, Row.Name), 2, Now);
    }
    LONGS_EQUAL_TEXT(2, Answers.Answers.back().first, Row.Name);
    CHECK_TEXT(Answers.Answers.back().second.End == Row.Expected, Row.Name);
  }
}

TEST(LeaseCoordinatorTest, AFailedTaskIsRunElsewhereAsOftenAsItMay) {
  addAgent("a");
  addAgent("b");
  Coordinator.submit(request(1), 1, Now);
  answer(0, peer::LEASED_FAILED);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  CHECK(Sink.Dispatches[0].first != Sink.Dispatches[1].first);
  answer(1, peer::LEASED_FAILED);
  CHECK(onlyAnswer().End == LeasedEnd::Failed);
  LONGS_EQUAL(2, Sink.Dispatches.size());
}

TEST(LeaseCoordinatorTest, AnAgentThatIsGoneLeavesItsJobsUnknown) {
  struct Row {
    const char *Name;
    std::function<void()> Lose;
  };
  const Row Rows[] = {
      {"lost", [&] { loseToControl("a"); }},
      {"unreachable",
       [&] {
         loseDispatch(Sink.Dispatches.size() - 1);
         LONGS_EQUAL(0, Answers.Answers.size());
         Now.Steady += 20ms;
         loseDispatch(Sink.Dispatches.size() - 1);
       }},
      {"silent", [&] { pass(1000ms); }},
  };
  for (const Row &Row : Rows) {
    Answers.Answers.clear();
    addAgent("a");
    Now.Steady += 20ms;
    Coordinator.submit(request(1), 1, Now);
    Row.Lose();
    LONGS_EQUAL_TEXT(1, Answers.Answers.size(), Row.Name);
    CHECK_TEXT(Answers.Answers[0].second.End == LeasedEnd::Unknown, Row.Name);
  }
}

// Its connection may have broken or gone silent while new ones work.
TEST(LeaseCoordinatorTest, ADispatchWithoutReceiptIsSentAgain) {
  addAgent("a");
  Coordinator.submit(request(3), 1, Now);
  std::uint64_t First = Sink.Dispatches[0].second.tasks(0).order();
  Now.Steady += 300ms;
  auto Sent = std::make_shared<peer::Envelope>();
  *Sent->add_messages()->mutable_leased_dispatch() = Sink.Dispatches[0].second;
  Coordinator.onUndelivered({{"a", "10.0.0.1:1"}, Now.Steady - 300ms, Sent},
                            Now);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  const peer::LeasedDispatch &Again = Sink.Dispatches[1].second;
  LONGS_EQUAL(3, Again.tasks_size());
  LONGS_EQUAL(First, Again.tasks(0).order());
  LONGS_EQUAL(Sink.Dispatches[0].second.start_by_ms() - 300,
              Again.start_by_ms());
  LONGS_EQUAL(1, Sink.Renewals["a"]);
  // All that was under way on the broken connection fails with it.
  Coordinator.onUndelivered({{"a", "10.0.0.1:1"}, Now.Steady - 200ms, Sent},
                            Now);
  LONGS_EQUAL(0, Answers.Answers.size());
  // Only what still waits for an end is sent again.
  answer(0, peer::LEASED_DONE);
  CHECK(onlyAnswer().End == LeasedEnd::Completed);
  std::size_t Before = Sink.Dispatches.size();
  Now.Steady += 300ms;
  loseDispatch(0);
  LONGS_EQUAL(Before, Sink.Dispatches.size());
}

// The same job may have been handed in, given up and handed in again.
TEST(LeaseCoordinatorTest, AnUpdateOfAnEarlierSubmissionChangesNothing) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  loseToControl("a");
  LONGS_EQUAL(1, Answers.Answers.size());
  addAgent("a");
  Coordinator.submit(request(1), 2, Now);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  answer(0, peer::LEASED_DONE);
  LONGS_EQUAL(1, Answers.Answers.size());
  answer(1, peer::LEASED_DONE);
  CHECK(Answers.Answers.back().second.End == LeasedEnd::Completed);
}

// An entry that stood still misses the ends that were told meanwhile. What it
// believes to be running must not keep it from taking jobs for ever.
TEST(LeaseCoordinatorTest, TasksThatTheirAgentNoLongerListsHaveEnded) {
  struct Row {
    const char *Name;
    bool Listed;
    std::chrono::milliseconds After;
    std::size_t Dispatches;
  };
  const Row Rows[] = {{"it lists it", true, 3000ms, 1},
                      {"on its way", false, 800ms, 1},
                      {"its update may come", false, 1200ms, 1},
                      {"lost", false, 2000ms, 2}};
  addAgent("a", 2000);
  addAgent("b", 500);
  for (const Row &Row : Rows) {
    Sink.Dispatches.clear();
    LeasedJobRequest Long = request(1, Row.Name);
    Long.Deadline = 60s;
    Coordinator.submit(Long, 1, Now);
    for (auto Passed = 0ms; Passed < Row.After; Passed += 200ms) {
      pass(200ms);
      peer::Message Message;
      peer::WorkerLoad *Load = Message.mutable_worker_load();
      Load->set_incarnation(Life);
      Load->set_stamp(++Stamp);
      Load->set_lists_held(true);
      if (Row.Listed)
        Load->add_held_orders(Sink.Dispatches[0].second.tasks(0).order());
      Coordinator.onMessage({"a", "10.0.0.1:1"}, Message, Now);
      // What another agent lists says nothing of this one.
      Load->clear_held_orders();
      Coordinator.onMessage({"b", "10.0.0.1:1"}, Message, Now);
    }
    LONGS_EQUAL_TEXT(Row.Dispatches, Sink.Dispatches.size(), Row.Name);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
    CHECK_TEXT(Answers.Answers.back().second.End == LeasedEnd::Completed,
               Row.Name);
    LONGS_EQUAL_TEXT(0, Coordinator.board().workers().at("a").OwnTasks,
                     Row.Name);
  }
}

// Its second copy carries a stamp of its own, and may start the task for as
// long after it was sent as the first one.
TEST(LeaseCoordinatorTest, ADispatchThatWasSentAgainMayBeOnItsWayAgain) {
  struct Row {
    const char *Name;
    bool Repeated;
    std::size_t Placed;
  };
  const Row Rows[] = {{"sent once", false, 2}, {"sent again", true, 1}};
  addAgent("a");
  for (const Row &Row : Rows) {
    LeasedJobRequest Long = request(1, Row.Name);
    Long.Deadline = 60s;
    Coordinator.submit(Long, 1, Now);
    std::size_t First = Sink.Dispatches.size() - 1;
    for (auto Passed = 0ms; Passed < 1800ms; Passed += 200ms) {
      pass(200ms);
      if (Row.Repeated && Passed == 1200ms)
        loseDispatch(First);
      list("a", {});
    }
    Coordinator.placeDue(Now);
    std::set<std::uint64_t> Orders;
    for (std::size_t I = First; I < Sink.Dispatches.size(); ++I)
      Orders.insert(Sink.Dispatches[I].second.tasks(0).order());
    LONGS_EQUAL_TEXT(Row.Placed, Orders.size(), Row.Name);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
  }
}

// An agent keeps what it holds for this entry while its lease is renewed, for
// whatever job that is. A caller who was told that his job's end is unknown may
// have it run elsewhere by then.
TEST(LeaseCoordinatorTest, WhatAnAgentHoldsForNoJobHereIsStopped) {
  struct Row {
    const char *Name;
    std::function<std::uint64_t()> Hold;
    std::size_t Stops;
  };
  auto Place = [&] {
    Coordinator.submit(request(1), 1, Now);
    return Sink.Dispatches.back().second.tasks(0).order();
  };
  const Row Rows[] = {
      {"wanted", Place, 0},
      {"given up when its agent fell silent",
       [&] {
         std::uint64_t Order = Place();
         pass(1000ms);
         LONGS_EQUAL(1, Answers.Answers.size());
         return Order;
       },
       1},
      {"given up, and the job has a newer placement there",
       [&] {
         std::uint64_t Order = Place();
         pass(1000ms);
         hear("a");
         Place();
         return Order;
       },
       0},
      {"its stop was lost",
       [&] {
         std::uint64_t Order = Place();
         Coordinator.cancel("j", "test", Now);
         return Order;
       },
       1},
  };
  for (const Row &Row : Rows) {
    Answers.Answers.clear();
    addAgent("a");
    std::uint64_t Order = Row.Hold();
    Sink.Stops.clear();
    list("a", {Order});
    LONGS_EQUAL_TEXT(Row.Stops, Sink.Stops.size(), Row.Name);
    // Its runs end before the next row.
    Coordinator.cancel("j", "test", Now);
    pass(2000ms);
    list("a", {});
    pass(600ms);
    list("a", {});
    LONGS_EQUAL_TEXT(0, Coordinator.inFlight(), Row.Name);
  }
}

// It may be cut off from control only, and its worker has room.
TEST(LeaseCoordinatorTest, AnAgentThatControlLostIsUsedWhileItIsHeardHere) {
  auto Hear = [&] { this->hear("a"); };
  addAgent("a");
  Hear();
  LeasedJobRequest Long = request(1);
  Long.Deadline = 10s;
  Coordinator.submit(Long, 1, Now);
  setState("a", peer::MEMBER_LOST);
  LONGS_EQUAL(0, Answers.Answers.size());
  for (int I = 0; I < 10; ++I) {
    pass(400ms);
    Hear();
  }
  answer(0, peer::LEASED_DONE);
  CHECK(onlyAnswer().End == LeasedEnd::Completed);
  Coordinator.submit(request(1, "k"), 2, Now);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  answer(1, peer::LEASED_DONE);
  // Idle and no longer heard: neither control nor this entry knows of it.
  pass(3000ms);
  Coordinator.submit(request(1, "l"), 3, Now);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  CHECK(Answers.Answers.back().second.End == LeasedEnd::NotRun);
  // Control hears it again.
  addAgent("a");
  Coordinator.submit(request(1, "m"), 4, Now);
  LONGS_EQUAL(3, Sink.Dispatches.size());
}

// Control may tell of the new life later than the agent itself does.
TEST(LeaseCoordinatorTest, ARestartedAgentIsKnownByItsOwnWords) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  peer::Message Load;
  Load.mutable_worker_load()->set_incarnation(Life + 1);
  Load.mutable_worker_load()->set_stamp(5);
  Coordinator.onMessage({"a", "10.0.0.1:1"}, Load, Now);
  pass(80ms);
  CHECK(onlyAnswer().End == LeasedEnd::Unknown);
  Coordinator.submit(request(1, "k"), 2, Now);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  LONGS_EQUAL(Life + 1, Sink.Dispatches[1].second.agent_incarnation());
  // The stamp that was heard, and the time since then.
  CHECK(Sink.Dispatches[1].second.stamp() > 5);
  CHECK(Sink.Dispatches[1].second.stamp() <= 5 + 80);
}

// After a common restart control knows of agents before this entry can reach
// them. What is sent then fails, and its callers never learn what became of it.
TEST(LeaseCoordinatorTest, AnAgentGetsNoTasksUntilItHasBeenHeardHere) {
  tellOf("a");
  CHECK_FALSE(Coordinator.hasWorkers());
  Coordinator.submit(request(1), 1, Now);
  CHECK(onlyAnswer().End == LeasedEnd::NotRun);
  Coordinator.tick(Now);
  LONGS_EQUAL(1, Sink.Renewals["a"]);
  hear("a");
  CHECK(Coordinator.hasWorkers());
  Coordinator.submit(request(1), 2, Now);
  LONGS_EQUAL(1, Sink.Dispatches.size());
}

// An entry on a slow host answers late, and so hears late.
TEST(LeaseCoordinatorTest, AnEntryThatIsBehindTakesNobodyForSilent) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  LeasedJobRequest Other = request(1, "k");
  for (auto Passed = 0ms; Passed < 3000ms; Passed += 100ms) {
    Now.Steady += 100ms;
    Coordinator.tick(Now, /*LastBehind=*/Now.Steady);
    if (Passed == 500ms)
      loseDispatch(0);
  }
  // Its caller's deadline is its own.
  LONGS_EQUAL(1, Answers.Answers.size());
  STRCMP_EQUAL("deadline", onlyAnswer().Step.c_str());
  LONGS_EQUAL(0, Sink.Reconnects["a"]);
  LONGS_EQUAL(0, Coordinator.counters().AgentsLost);
  // Once it has read all, what is unanswered from then on counts.
  Now.Steady += 1000ms;
  hear("a");
  Coordinator.submit(Other, 2, Now);
  pass(1000ms);
  LONGS_EQUAL(1, Coordinator.counters().AgentsLost);
}

// Until it is taken for lost, each job sent there may be lost with it.
TEST(LeaseCoordinatorTest, AnAgentThatLeavesAQuestionOpenGetsNoMoreTasks) {
  addAgent("a", 64000);
  addAgent("b", 1000);
  Coordinator.submit(request(2), 1, Now);
  STRCMP_EQUAL("a", Sink.Dispatches[0].first.c_str());
  pass(400ms);
  LONGS_EQUAL(0, Answers.Answers.size());
  Coordinator.submit(request(1, "k"), 2, Now);
  STRCMP_EQUAL("b", Sink.Dispatches.back().first.c_str());
  // It is heard again.
  peer::Message Load;
  Load.mutable_worker_load()->set_incarnation(Life);
  Load.mutable_worker_load()->set_stamp(++Stamp);
  Coordinator.onMessage({"a", "10.0.0.1:1"}, Load, Now);
  Coordinator.submit(request(2, "l"), 3, Now);
  STRCMP_EQUAL("a", Sink.Dispatches.back().first.c_str());
}

TEST(LeaseCoordinatorTest, AnotherConnectionIsTriedBeforeAnAgentIsLost) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  pass(400ms);
  LONGS_EQUAL(0, Sink.Reconnects["a"]);
  pass(200ms);
  CHECK(Sink.Reconnects["a"] >= 1);
  LONGS_EQUAL(0, Answers.Answers.size());
}

// What its last life left unanswered says nothing of its present one.
TEST(LeaseCoordinatorTest, ARestartedAgentIsNotSilentForItsLastLife) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  pass(300ms);
  loseDispatch(0);
  pass(20ms);
  loseDispatch(0);
  CHECK(onlyAnswer().End == LeasedEnd::Unknown);
  // Back before it was asked again whether it is there.
  Now.Steady += 450ms;
  peer::Member Member;
  Member.set_name("a");
  Member.set_role(peer::ROLE_AGENT);
  Member.set_state(peer::MEMBER_ALIVE);
  Member.set_incarnation(Life + 1);
  Member.set_address("10.0.0.1:1");
  Member.set_pool("pool");
  Member.mutable_room()->set_cpu_milli(4000);
  Coordinator.onMember(Member, Now);
  hear("a", Life + 1);
  Coordinator.submit(request(1, "k"), 2, Now);
  pass(100ms);
  LONGS_EQUAL(1, Answers.Answers.size());
}

TEST(LeaseCoordinatorTest, WhatARestartedAgentRefusesIsSentAgain) {
  addAgent("a");
  Coordinator.submit(request(3), 1, Now);
  peer::Message Message;
  for (std::uint32_t I = 0; I < 3; ++I) {
    peer::LeasedUpdate *Update = Message.mutable_leased_update();
    Update->set_job("j");
    Update->set_index(I);
    Update->set_attempt(1);
    Update->set_order(
        Sink.Dispatches[0].second.tasks(static_cast<int>(I)).order());
    Update->set_event(peer::LEASED_NOT_STARTED);
    Update->set_refusal(peer::REFUSAL_STALE);
    Update->mutable_load()->set_incarnation(Life + 1);
    Update->mutable_load()->set_stamp(5);
    Coordinator.onMessage({"a", "10.0.0.1:1"}, Message, Now);
  }
  pass(100ms);
  LONGS_EQUAL(0, Answers.Answers.size());
  LONGS_EQUAL(2, Sink.Dispatches.size());
  LONGS_EQUAL(3, Sink.Dispatches[1].second.tasks_size());
  LONGS_EQUAL(Life + 1, Sink.Dispatches[1].second.agent_incarnation());
}

// What an earlier life had is given up a little later than the new one is heard
// of; the new one's own tasks must stay counted, or their lease is not renewed.
TEST(LeaseCoordinatorTest,
     TasksOfAnAgentsNewLifeStayCountedWhenOldOnesAreLost) {
  struct Row {
    const char *Name;
    bool ByControl;
  };
  const Row Rows[] = {{"told by the agent", false}, {"told by control", true}};
  std::uint64_t Newest = Life;
  for (const Row &Row : Rows) {
    addAgent("a");
    hear("a", Newest);
    Coordinator.submit(request(2, "old"), 1, Now);
    ++Newest;
    if (Row.ByControl) {
      peer::Member Member;
      Member.set_name("a");
      Member.set_role(peer::ROLE_AGENT);
      Member.set_state(peer::MEMBER_ALIVE);
      Member.set_incarnation(Newest);
      Member.set_address("10.0.0.1:1");
      Member.set_pool("pool");
      Member.mutable_room()->set_cpu_milli(4000);
      Member.mutable_room()->set_memory_mb(1000);
      Coordinator.onMember(Member, Now);
    }
    hear("a", Newest);
    Coordinator.submit(request(1, "new"), 2, Now);
    pass(100ms);
    LONGS_EQUAL_TEXT(1, Coordinator.board().workers().at("a").OwnTasks,
                     Row.Name);
    LONGS_EQUAL_TEXT(1000, Coordinator.board().workers().at("a").OwnCpu,
                     Row.Name);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
    LONGS_EQUAL_TEXT(0, Coordinator.board().workers().at("a").OwnTasks,
                     Row.Name);
  }
}

// Its present life refuses the second copy of a dispatch. The first may have
// reached the life before, which may have begun the task.
TEST(LeaseCoordinatorTest, ARestartedAgentsRefusalOfASecondCopyProvesNothing) {
  addAgent("a");
  Now.Steady += 20ms;
  Coordinator.submit(request(1), 1, Now);
  loseDispatch(0);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  peer::Message Message;
  peer::LeasedUpdate *Update = Message.mutable_leased_update();
  Update->set_job("j");
  Update->set_attempt(1);
  Update->set_order(Sink.Dispatches[0].second.tasks(0).order());
  Update->set_event(peer::LEASED_NOT_STARTED);
  Update->set_refusal(peer::REFUSAL_STALE);
  Update->mutable_load()->set_incarnation(Life + 1);
  Update->mutable_load()->set_stamp(5);
  Coordinator.onMessage({"a", "10.0.0.1:1"}, Message, Now);
  pass(100ms);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  CHECK(onlyAnswer().End == LeasedEnd::Unknown);
}

TEST(LeaseCoordinatorTest, LeasesAreRenewedOnlyOftenWhileTasksRun) {
  addAgent("a");
  pass(1000ms);
  int Idle = Sink.Renewals["a"];
  Coordinator.submit(request(1), 1, Now);
  for (int I = 0; I < 5; ++I) {
    pass(200ms);
    peer::Message Load;
    Load.mutable_worker_load()->set_incarnation(Life);
    Load.mutable_worker_load()->set_stamp(++Stamp);
    Coordinator.onMessage({"a", "10.0.0.1:1"}, Load, Now);
  }
  CHECK(Idle <= 2);
  CHECK(Sink.Renewals["a"] - Idle >= 4);
  LONGS_EQUAL(0, Answers.Answers.size());
}

// At 70 agents these would be most of an entry's messages.
TEST(LeaseCoordinatorTest,
     ADispatchRenewsTheLeaseAndNewsOfAnAgentSpareAQuestion) {
  addAgent("a");
  pass(100ms);
  int Before = Sink.Renewals["a"];
  for (int I = 0; I < 20; ++I) {
    Coordinator.submit(request(1, ("j" + std::to_string(I)).c_str()), 1, Now);
    pass(100ms);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
    pass(100ms);
  }
  LONGS_EQUAL(Before, Sink.Renewals["a"]);
  LONGS_EQUAL(20, Answers.Answers.size());
}

// Of tasks that seem to run for long the end may have been missed.
TEST(LeaseCoordinatorTest,
     AnAgentWithAnOldTaskIsAskedWhatItHoldsBetweenDispatches) {
  addAgent("a");
  LeasedJobRequest Long = request(1, "long");
  Long.Estimate = 5s;
  Long.Deadline = 60s;
  Coordinator.submit(Long, 1, Now);
  int Before = Sink.Renewals["a"];
  for (int I = 0; I < 20; ++I) {
    Coordinator.submit(request(1, ("j" + std::to_string(I)).c_str()), 1, Now);
    pass(100ms);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
  }
  CHECK(Sink.Renewals["a"] - Before >= 2);
}

// The clocks of two hosts run on while nothing is said.
TEST(LeaseCoordinatorTest, AStampIsCarriedOnByAtMostTheTimeThatHasPassed) {
  struct Row {
    std::chrono::milliseconds Passed;
    std::uint64_t Least;
    std::uint64_t Most;
  };
  const Row Rows[] = {{0ms, 1000, 1000},
                      {100ms, 1097, 1100},
                      {1000ms, 1970, 2000},
                      {60s, 1000 + 4000, 1000 + 5000}};
  addAgent("a");
  for (const Row &Row : Rows) {
    LeasedWorker Worker;
    Worker.Stamp = 1000;
    Worker.StampHeard = Now.Steady;
    std::uint64_t Carried = Worker.stampAt(Now.Steady + Row.Passed);
    CHECK(Carried >= Row.Least);
    CHECK(Carried <= Row.Most);
  }
}

// What is known of others' tasks is a message old, so entries meet at workers
// that each takes for empty.
TEST(LeaseCoordinatorTest,
     WhatABusyAgentRefusesIsSentToAnotherAtOnceAndTogether) {
  addAgent("a", 4000);
  addAgent("b", 4000);
  Coordinator.submit(request(4), 1, Now);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  CHECK(Sink.Dispatches[0].second.start_or_refuse());
  std::string Busy = Sink.Dispatches[0].first;
  // Its load comes with the refusals.
  for (const peer::LeasedTask &Task : Sink.Dispatches[0].second.tasks()) {
    peer::Message Message;
    peer::LeasedUpdate *Update = Message.mutable_leased_update();
    Update->set_job("j");
    Update->set_index(Task.index());
    Update->set_order(Task.order());
    Update->set_event(peer::LEASED_NOT_STARTED);
    Update->set_refusal(peer::REFUSAL_BUSY);
    Update->mutable_load()->set_incarnation(Life);
    Update->mutable_load()->set_stamp(++Stamp);
    Update->mutable_load()->set_others_cpu_milli(4000);
    Coordinator.onMessage({Busy, "10.0.0.1:1"}, Message, Now);
  }
  LONGS_EQUAL(2, Sink.Dispatches.size());
  Coordinator.placeDue(Now);
  LONGS_EQUAL(3, Sink.Dispatches.size());
  CHECK(Sink.Dispatches[2].first != Busy);
  LONGS_EQUAL(2, Sink.Dispatches[2].second.tasks_size());
}

// Else tasks would travel for as long as all workers are full.
TEST(LeaseCoordinatorTest, AfterSomeRefusalsTasksWaitWhereTheyAreSent) {
  addAgent("a", 1000);
  CoordinatorOptions Options;
  Coordinator.submit(patientRequest(1), 1, Now);
  for (std::uint32_t I = 0; I < Options.MaxBounces; ++I) {
    CHECK(Sink.Dispatches.back().second.start_or_refuse());
    answer(Sink.Dispatches.size() - 1, peer::LEASED_NOT_STARTED,
           peer::REFUSAL_BUSY);
  }
  LONGS_EQUAL(Options.MaxBounces + 1, Sink.Dispatches.size());
  CHECK_FALSE(Sink.Dispatches.back().second.start_or_refuse());
}

TEST(LeaseCoordinatorTest, WhatCanOnlyWaitIsNotRefusedForThat) {
  addAgent("a", 1000);
  Coordinator.submit(patientRequest(1, "j"), 1, Now);
  CHECK(Sink.Dispatches.back().second.start_or_refuse());
  Coordinator.submit(patientRequest(1, "k"), 2, Now);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  CHECK_FALSE(Sink.Dispatches.back().second.start_or_refuse());
}

// In the queue of one worker it would wait for a slot of that one.
TEST(LeaseCoordinatorTest, UrgentTasksWithoutRoomTakeWhatFallsFreeFirst) {
  for (const char *Agent : {"a", "b", "c"})
    addAgent(Agent, 1000);
  Coordinator.submit(patientRequest(3, "full"), 1, Now);
  LONGS_EQUAL(3, Sink.Dispatches.size());
  Coordinator.submit(request(2, "urgent"), 2, Now);
  LONGS_EQUAL(3, Sink.Dispatches.size());
  LONGS_EQUAL(3, Sink.Interests.size());
  for (const auto &[Agent, Interest] : Sink.Interests) {
    STRCMP_EQUAL("urgent", Interest.job().c_str());
    LONGS_EQUAL(2, Interest.tasks());
    LONGS_EQUAL(120, Interest.start_by_ms());
  }
  offer("c", "urgent", 1);
  offer("a", "urgent", 2);
  LONGS_EQUAL(5, Sink.Dispatches.size());
  for (std::size_t I : {3, 4}) {
    LONGS_EQUAL(1, Sink.Dispatches[I].second.tasks_size());
    CHECK(Sink.Dispatches[I].second.start_or_refuse());
    CHECK(Sink.Dispatches[I].second.offer() > 0);
  }
  // All are placed: whoever offers more gets its room back at once.
  offer("b", "urgent", 1);
  LONGS_EQUAL(5, Sink.Dispatches.size());
  LONGS_EQUAL(1, Sink.Declined["b"]);
  answer(3, peer::LEASED_DONE);
  answer(4, peer::LEASED_DONE);
  CHECK(onlyAnswer().End == LeasedEnd::Completed);
}

// An interest or an offer may have been lost.
TEST(LeaseCoordinatorTest, WithoutOffersUrgentTasksGoIntoQueuesInTime) {
  addAgent("a", 1000);
  Coordinator.submit(patientRequest(1, "full"), 1, Now);
  Coordinator.submit(request(1, "urgent"), 2, Now);
  LONGS_EQUAL(1, Sink.Dispatches.size());
  pass(60ms);
  LONGS_EQUAL(1, Sink.Dispatches.size());
  pass(40ms);
  LONGS_EQUAL(2, Sink.Dispatches.size());
  CHECK(Sink.Dispatches[1].second.start_by_ms() > 0);
  CHECK_FALSE(Sink.Dispatches[1].second.start_or_refuse());
  // What comes late finds nothing to take.
  offer("a", "urgent", 1);
  LONGS_EQUAL(1, Sink.Declined["a"]);
}

// Offers cost messages, and another worker is easily found.
TEST(LeaseCoordinatorTest, InALargePoolTasksWaitAtWorkers) {
  WaitingOptions Limits;
  std::size_t Workers = Limits.MaxWorkers + 1;
  for (std::size_t I = 0; I < Workers; ++I)
    addAgent("a" + std::to_string(I), 1000);
  auto All = static_cast<std::uint32_t>(Workers);
  Coordinator.submit(patientRequest(All, "full"), 1, Now);
  Coordinator.submit(request(1, "urgent"), 2, Now);
  LONGS_EQUAL(0, Sink.Interests.size());
  LONGS_EQUAL(Workers + 1, Sink.Dispatches.size());
}

// They are refused as others are: what waits here takes room as well.
TEST(LeaseCoordinatorTest, TasksThatWaitForOffersCountAsLoad) {
  addAgent("a", 1000);
  Coordinator.submit(patientRequest(1, "full"), 1, Now);
  Coordinator.submit(request(3, "u1"), 2, Now);
  LONGS_EQUAL(0, Answers.Answers.size());
  Coordinator.submit(request(3, "u2"), 3, Now);
  CHECK(onlyAnswer().End == LeasedEnd::NotRun);
}

TEST(LeaseCoordinatorTest, AJobThatEndsWhileItWaitsForOffersHasNotRun) {
  addAgent("a", 1000);
  Coordinator.submit(patientRequest(1, "full"), 1, Now);
  Coordinator.submit(request(1, "urgent"), 2, Now);
  Coordinator.cancel("urgent", "test", Now);
  CHECK(onlyAnswer().End == LeasedEnd::NotRun);
  offer("a", "urgent", 1);
  LONGS_EQUAL(1, Sink.Declined["a"]);
  LONGS_EQUAL(1, Sink.Dispatches.size());
}

TEST(LeaseCoordinatorTest, ASecondHandInOfARunningJobGetsTheSameAnswer) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  Coordinator.submit(request(1), 2, Now);
  LONGS_EQUAL(1, Sink.Dispatches.size());
  answer(0, peer::LEASED_DONE);
  LONGS_EQUAL(2, Answers.Answers.size());
}

TEST(LeaseCoordinatorTest, AJobIsNotGivenUpWhileALaterCallerStillWaits) {
  struct Row {
    const char *Name;
    bool Again;
    std::size_t AnsweredInBetween;
  };
  const Row Rows[] = {{"handed in once", false, 1},
                      {"handed in again", true, 0}};
  for (const Row &Row : Rows) {
    Answers.Answers.clear();
    addAgent("a");
    Coordinator.submit(request(1, Row.Name), 1, Now);
    for (auto Passed = 0ms; Passed < 2000ms; Passed += 100ms) {
      pass(100ms);
      hear("a");
      if (Row.Again && Passed == 1000ms)
        Coordinator.submit(request(1, Row.Name), 2, Now);
    }
    LONGS_EQUAL_TEXT(Row.AnsweredInBetween, Answers.Answers.size(), Row.Name);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
    LONGS_EQUAL_TEXT(0, Coordinator.inFlight(), Row.Name);
  }
}

// A worker on which tasks stand still answers every call well.
TEST(LeaseCoordinatorTest, ATaskFarBehindItsSiblingsIsStoppedAndMoved) {
  addAgent("a", 2000);
  addAgent("b", 2000);
  addAgent("c", 2000);
  Coordinator.submit(request(6), 1, Now);
  LONGS_EQUAL(3, Sink.Dispatches.size());
  pass(100ms);
  answer(0, peer::LEASED_DONE);
  answer(1, peer::LEASED_DONE);
  pass(100ms);
  LONGS_EQUAL(0, Sink.Stalls.size());
  pass(400ms);
  // Of both tasks there, told again only after a while.
  CHECK(Sink.Stalls.size() >= 2);
  CHECK(Sink.Stalls[0].second.longer_than_ms() > 100);
  STRCMP_EQUAL(Sink.Dispatches[2].first.c_str(), Sink.Stalls[0].first.c_str());
  answer(2, peer::LEASED_ENDED_EARLY);
  LONGS_EQUAL(5, Sink.Dispatches.size());
  for (std::size_t I = 3; I < 5; ++I)
    CHECK(Sink.Dispatches[I].first != Sink.Dispatches[2].first);
}

// Such a worker holds nothing and so looks emptier than all others.
TEST(LeaseCoordinatorTest, AWorkerThatLeavesStartsUnansweredIsAvoided) {
  addAgent("a");
  addAgent("b");
  for (int I = 0; I < 4; ++I) {
    Coordinator.submit(request(1, ("j" + std::to_string(I)).c_str()), 1, Now);
    std::string First = Sink.Dispatches.back().first;
    answer(Sink.Dispatches.size() - 1, peer::LEASED_ENDED_EARLY,
           peer::REFUSAL_WORKER);
    CHECK(Sink.Dispatches.back().first != First);
    answer(Sink.Dispatches.size() - 1, peer::LEASED_DONE);
  }
  LONGS_EQUAL(4, Answers.Answers.size());
}

TEST(LeaseCoordinatorTest, AWorkerIsEjectedForStartsItLeavesUnanswered) {
  addAgent("a", 100000);
  addAgent("b", 2000);
  Coordinator.submit(request(8), 1, Now);
  std::size_t ToA = Sink.Dispatches[0].first == "a" ? 0 : 1;
  answer(ToA, peer::LEASED_ENDED_EARLY, peer::REFUSAL_WORKER);
  LONGS_EQUAL(1, Coordinator.counters().Ejections);
}

// It lets its runs end, which takes longer than a lease lasts.
TEST(LeaseCoordinatorTest, LeasesAtALeavingAgentAreRenewedWhileTasksRunThere) {
  addAgent("a");
  Coordinator.submit(request(1), 1, Now);
  setState("a", peer::MEMBER_LEAVING);
  int Before = Sink.Renewals["a"];
  for (int I = 0; I < 4; ++I) {
    pass(200ms);
    peer::Message Load;
    Load.mutable_worker_load()->set_incarnation(Life);
    Load.mutable_worker_load()->set_stamp(++Stamp);
    Load.mutable_worker_load()->set_leaving(true);
    Coordinator.onMessage({"a", "10.0.0.1:1"}, Load, Now);
  }
  CHECK(Sink.Renewals["a"] - Before >= 3);
  answer(0, peer::LEASED_DONE);
  CHECK(onlyAnswer().End == LeasedEnd::Completed);
  int After = Sink.Renewals["a"];
  pass(2000ms);
  LONGS_EQUAL(After, Sink.Renewals["a"]);
}

// The balancer then sends callers to an entry that has some.
TEST(LeaseCoordinatorTest, AnEntryWithoutReachableWorkersSaysSo) {
  CHECK_FALSE(Coordinator.hasWorkers());
  addAgent("a");
  CHECK(Coordinator.hasWorkers());
  Now.Steady += 300ms;
  peer::Message Renewal;
  Renewal.mutable_lease_renewal();
  loseMessage("a", Renewal);
  CHECK(Coordinator.hasWorkers());
  Now.Steady += 300ms;
  loseMessage("a", Renewal);
  CHECK_FALSE(Coordinator.hasWorkers());
  peer::Message Load;
  Load.mutable_worker_load()->set_incarnation(Life);
  Coordinator.onMessage({"a", "10.0.0.1:1"}, Load, Now);
  CHECK(Coordinator.hasWorkers());
  setState("a", peer::MEMBER_LEAVING);
  CHECK_FALSE(Coordinator.hasWorkers());
}

TEST(LeaseCoordinatorTest, ALeavingAgentGetsNoTasks) {
  addAgent("a");
  addAgent("b");
  setState("a", peer::MEMBER_LEAVING);
  Coordinator.submit(request(4), 1, Now);
  LONGS_EQUAL(1, Sink.Dispatches.size());
  STRCMP_EQUAL("b", Sink.Dispatches[0].first.c_str());
}

TEST(LeaseCoordinatorTest, AWorkerThatFailsInARowGetsNothingForAWhile) {
  addAgent("a");
  addAgent("b");
  for (int I = 0; I < 3; ++I) {
    std::string Id = "j" + std::to_string(I);
    LeasedJobRequest Request = request(1, Id.c_str());
    Request.MaxAttempts = 1;
    Coordinator.submit(Request, 1, Now);
    while (Sink.Dispatches.back().first != "a") {
      answer(Sink.Dispatches.size() - 1, peer::LEASED_NOT_STARTED,
             peer::REFUSAL_OTHER_OWNER);
    }
    answer(Sink.Dispatches.size() - 1, peer::LEASED_FAILED);
  }
  LONGS_EQUAL(1, Coordinator.counters().Ejections);
  Coordinator.submit(request(4, "k"), 1, Now);
  STRCMP_EQUAL("b", Sink.Dispatches.back().first.c_str());
  LONGS_EQUAL(4, Sink.Dispatches.back().second.tasks_size());
}

// Each entry would else have to lose tasks there to find out.
TEST(LeaseCoordinatorTest, FailuresThatOthersMetEjectAWorkerHereToo) {
  auto Tell = [&](std::uint32_t Failures) {
    peer::Message Message;
    peer::WorkerLoad *Load = Message.mutable_worker_load();
    Load->set_incarnation(Life);
    Load->set_stamp(++Stamp);
    Load->set_failures_in_row(Failures);
    Coordinator.onMessage({"a", "10.0.0.1:1"}, Message, Now);
  };
  struct Row {
    std::uint32_t Failures;
    std::size_t Workers;
  };
  const Row Rows[] = {{2, 2}, {3, 1}, {4, 1}, {0, 2}};
  addAgent("a");
  addAgent("b");
  int Number = 0;
  for (const Row &Row : Rows) {
    Tell(Row.Failures);
    Sink.Dispatches.clear();
    std::string Id = "j" + std::to_string(++Number);
    Coordinator.submit(request(4, Id.c_str()), 1, Now);
    LONGS_EQUAL(Row.Workers, Sink.Dispatches.size());
    for (std::size_t I = 0; I < Sink.Dispatches.size(); ++I)
      for (const peer::LeasedTask &Task : Sink.Dispatches[I].second.tasks()) {
        peer::Message Message;
        peer::LeasedUpdate *Update = Message.mutable_leased_update();
        Update->set_job(Id);
        Update->set_index(Task.index());
        Update->set_order(Task.order());
        Update->set_event(peer::LEASED_DONE);
        Coordinator.onMessage({"x", ""}, Message, Now);
        Coordinator.onMessage({Sink.Dispatches[I].first, ""}, Message, Now);
      }
  }
}

TEST(LeaseCoordinatorTest, UnderOverloadTheRouteWithMostWorkIsShedFirst) {
  addAgent("a", 10000);
  LeasedJobRequest Heavy = request(13, "h1");
  Heavy.Route = "heavy";
  Coordinator.submit(Heavy, 1, Now);
  LeasedJobRequest Light = request(1, "l1");
  Light.Route = "light";
  Coordinator.submit(Light, 2, Now);
  LONGS_EQUAL(0, Answers.Answers.size());
  Heavy.Id = "h2";
  Coordinator.submit(Heavy, 3, Now);
  CHECK(onlyAnswer().End == LeasedEnd::NotRun);
  STRCMP_EQUAL("admit", onlyAnswer().Step.c_str());
  Light.Id = "l2";
  Coordinator.submit(Light, 4, Now);
  LONGS_EQUAL(1, Answers.Answers.size());
}
