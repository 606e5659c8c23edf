//===- An entry that hands jobs to agents ---------------------------------===//

#include "tests/coordination/delegation_fixture.h"

#include <functional>

using namespace yardwheel;
using namespace std::chrono_literals;

TEST_GROUP_BASE(DelegatingIntakeTest, DelegationFixture){};

TEST(DelegatingIntakeTest, OnlyAReadyAgentOfItsDataCentreGetsJobs) {
  struct Row {
    const char *Name;
    std::function<void()> Prepare;
    bool IsDelegated;
  };
  const Row Rows[] = {
      {"ready", [&] { announceDelegate("d"); }, true},
      {"not ready",
       [&] {
         IsReady = false;
         announceDelegate("d");
       },
       false},
      {"not heard from",
       [&] {
         Replies = false;
         announceDelegate("d");
       },
       false},
      {"another data centre", [&] { announceDelegate("d", true, "far"); },
       false},
      {"coordinates nothing", [&] { announceDelegate("d", false); }, false},
      {"leaves",
       [&] {
         announceDelegate("d");
         runFor(600ms);
         announceDelegate("d", true, "dc", peer::MEMBER_LEAVING);
       },
       false},
      {"lost",
       [&] {
         announceDelegate("d");
         runFor(600ms);
         announceDelegate("d", true, "dc", peer::MEMBER_LOST);
       },
       false},
  };
  int Id = 0;
  for (const Row &Row : Rows) {
    restart(delegateAll());
    addAgent("a", 64000);
    Row.Prepare();
    runFor(600ms);
    reportLoad("a");
    Intake->submit(request(1, std::to_string(++Id).c_str()), 1, Now);
    LONGS_EQUAL_TEXT(Row.IsDelegated ? 1 : 0, delegatedJobs(), Row.Name);
    LONGS_EQUAL_TEXT(Row.IsDelegated ? 0 : 1, Sink.Dispatches.size(), Row.Name);
  }
}

TEST(DelegatingIntakeTest, NothingIsDelegatedWhereWorkersKeepTheirIds) {
  prepare();
  peer::Message Load;
  Load.mutable_worker_load()->set_incarnation(AgentIncarnation);
  Load.mutable_worker_load()->set_stamp(++this->Stamp);
  Load.mutable_worker_load()->set_worker_keeps_id(true);
  Coordinator.onMessage({"a", "10.0.0.1:1"}, Load, Now);
  Intake->submit(request(1), 1, Now);
  LONGS_EQUAL(0, delegatedJobs());
}

TEST(DelegatingIntakeTest, AllCallersOfAJobGetItsAnswer) {
  struct Row {
    peer::DelegatedEnd Reported;
    LeasedEnd Told;
    /// Whether a resubmission may be delegated.
    bool MayBeDelegated;
  };
  const Row Rows[] = {
      {peer::DELEGATED_COMPLETED, LeasedEnd::Completed, false},
      {peer::DELEGATED_FAILED, LeasedEnd::Failed, false},
      {peer::DELEGATED_NOT_RUN, LeasedEnd::NotRun, true},
      {peer::DELEGATED_UNKNOWN, LeasedEnd::Unknown, false},
  };
  prepare();
  int Id = 0;
  for (const Row &Row : Rows) {
    Answers.Answers.clear();
    Given.Jobs.clear();
    std::string Name = std::to_string(++Id);
    Intake->submit(request(1, Name.c_str()), 1, Now);
    Intake->submit(request(1, Name.c_str()), 2, Now);
    LONGS_EQUAL(1, delegatedJobs());
    LONGS_EQUAL(2, Intake->inFlight());
    CHECK(Intake->mayJoin(Name));
    end(Given.Jobs[0].second.number(), Row.Reported);
    LONGS_EQUAL(2, Answers.Answers.size());
    CHECK(endOf(0) == Row.Told && endOf(1) == Row.Told);
    LONGS_EQUAL(0, Intake->inFlight());
    // The same answer once more.
    end(Given.Jobs[0].second.number(), Row.Reported);
    LONGS_EQUAL(2, Answers.Answers.size());
    Intake->submit(request(1, Name.c_str()), 3, Now);
    LONGS_EQUAL(Row.MayBeDelegated ? 2 : 1, delegatedJobs());
    runFor(20ms);
    Intake->cancel(Name, "end of the row", Now);
  }
}

TEST(DelegatingIntakeTest, AJobIsWithdrawnWithItsLastCaller) {
  prepare();
  Intake->submit(request(1), 1, Now);
  Intake->submit(request(1), 2, Now);
  Intake->withdraw("j", 1, "gone", Now);
  LONGS_EQUAL(1, Answers.countOf(1));
  LONGS_EQUAL(0, Given.Withdrawn.size());
  Intake->withdraw("j", 2, "gone", Now);
  LONGS_EQUAL(1, Given.Withdrawn.size());
  LONGS_EQUAL(1, Answers.countOf(2));
  CHECK(!Intake->isRunning("j"));
  // It is not vouched for any more.
  Given.Renewals.clear();
  runFor(600ms);
  for (const auto &[To, Renewal] : Given.Renewals)
    LONGS_EQUAL(0, Renewal.numbers_size());
  // Where it may have run is known here only.
  Intake->submit(request(1), 3, Now);
  LONGS_EQUAL(1, delegatedJobs());
}

TEST(DelegatingIntakeTest, ACallerThatJoinsMayWaitLonger) {
  prepare();
  Intake->submit(request(1), 1, Now);
  runFor(1000ms);
  Intake->submit(request(1), 2, Now);
  LONGS_EQUAL(2, delegatedJobs());
  const peer::DelegatedJob &Again = Given.Jobs[1].second;
  LONGS_EQUAL(Given.Jobs[0].second.number(), Again.number());
  LONGS_EQUAL(1500, Again.deadline_ms());
  runFor(1000ms);
  LONGS_EQUAL(0, Answers.Answers.size());
  runFor(600ms);
  LONGS_EQUAL(2, Answers.Answers.size());
  LONGS_EQUAL(1, Given.Withdrawn.size());
}

TEST(DelegatingIntakeTest, ADeclinedJobIsCoordinatedHere) {
  prepare();
  Intake->submit(request(1), 1, Now);
  Intake->submit(request(1), 2, Now);
  runFor(100ms);
  reportLoad("a");
  end(Given.Jobs[0].second.number(), peer::DELEGATED_DECLINED);
  LONGS_EQUAL(1, Sink.Dispatches.size());
  // What is left of its time.
  LONGS_EQUAL(1400, Sink.Dispatches[0].second.give_up_ms());
  LONGS_EQUAL(0, Answers.Answers.size());
  LONGS_EQUAL(2, Intake->inFlight());
  answer(0, peer::LEASED_DONE);
  LONGS_EQUAL(2, Answers.Answers.size());
  // Its delegate gets no jobs before it has said that it is ready.
  Intake->submit(request(1, "k"), 3, Now);
  LONGS_EQUAL(1, delegatedJobs());
}

// A delegate forgets which jobs have ended, and may have run an earlier copy.
TEST(DelegatingIntakeTest, AnOldJobThatIsDeclinedMayHaveRun) {
  prepare();
  LeasedJobRequest Long = request(1);
  Long.Deadline = 20s;
  Intake->submit(Long, 1, Now);
  runFor(5100ms);
  reportLoad("a");
  end(Given.Jobs[0].second.number(), peer::DELEGATED_DECLINED);
  LONGS_EQUAL(0, Sink.Dispatches.size());
  CHECK(onlyAnswer().End == LeasedEnd::Unknown);
}

// A delegate places nothing at the upstream of its own agent.
TEST(DelegatingIntakeTest, AJobThatItsDelegateCannotPlaceIsPlacedHere) {
  prepare();
  Intake->submit(request(1), 1, Now);
  end(Given.Jobs[0].second.number(), peer::DELEGATED_NOT_RUN, "place");
  LONGS_EQUAL(1, Sink.Dispatches.size());
  LONGS_EQUAL(0, Answers.Answers.size());
  Intake->submit(request(1, "k"), 2, Now);
  end(Given.Jobs[1].second.number(), peer::DELEGATED_NOT_RUN, "admit");
  CHECK(onlyAnswer().End == LeasedEnd::NotRun);
}

TEST(DelegatingIntakeTest, AnUndeliveredJobIsSentAgainUnderItsNumber) {
  prepare();
  Intake->submit(request(1), 1, Now);
  runFor(300ms);
  failDelegation(Given.Jobs[0].second, 300ms);
  LONGS_EQUAL(2, delegatedJobs());
  const peer::DelegatedJob &Again = Given.Jobs[1].second;
  LONGS_EQUAL(Given.Jobs[0].second.number(), Again.number());
  CHECK(Again.stamp() > Given.Jobs[0].second.stamp());
  LONGS_EQUAL(FirstIncarnation, Again.delegate_incarnation());
  LONGS_EQUAL(1200, Again.deadline_ms());
  // Not once it is over.
  end(Again.number(), peer::DELEGATED_COMPLETED);
  failDelegation(Again, 300ms);
  LONGS_EQUAL(2, delegatedJobs());
}

TEST(DelegatingIntakeTest, JobsOfALostDelegateAreUnknown) {
  struct Row {
    const char *Name;
    std::function<void()> Lose;
    bool IsLost;
  };
  const Row Rows[] = {
      {"silent",
       [&] {
         Replies = false;
         runFor(800ms);
       },
       true},
      {"silent for a moment",
       [&] {
         Replies = false;
         runFor(500ms);
         Replies = true;
         runFor(1000ms);
       },
       false},
      {"restarted",
       [&] {
         ++DelegateIncarnation;
         reply({});
       },
       true},
      {"a late word of an earlier incarnation",
       [&] {
         --DelegateIncarnation;
         reply({});
         ++DelegateIncarnation;
       },
       false},
      {"no longer lists it",
       [&] {
         runFor(1100ms);
         reply({});
         Now.Steady += 100ms;
         reply({});
       },
       true},
      {"does not list it yet",
       [&] {
         reply({});
         Now.Steady += 200ms;
         reply({});
       },
       false},
      {"control has lost it, and it is heard here",
       [&] {
         announceDelegate("d", true, "dc", peer::MEMBER_LOST);
         runFor(1000ms);
       },
       false},
  };
  int Id = 0;
  for (const Row &Row : Rows) {
    restart(delegateAll());
    prepare();
    std::string Name = std::to_string(++Id);
    LeasedJobRequest Long = request(1, Name.c_str());
    Long.Deadline = 20s;
    Intake->submit(Long, 1, Now);
    LONGS_EQUAL_TEXT(1, delegatedJobs(), Row.Name);
    Row.Lose();
    LONGS_EQUAL_TEXT(Row.IsLost ? 1 : 0, Answers.Answers.size(), Row.Name);
    LONGS_EQUAL_TEXT(Row.IsLost ? 1 : 0, Intake->counters().Lost, Row.Name);
    if (Row.IsLost)
      CHECK_TEXT(endOf(0) == LeasedEnd::Unknown, Row.Name);
    // The answer to a job that is over changes nothing.
    end(Given.Jobs[0].second.number(), peer::DELEGATED_COMPLETED);
    LONGS_EQUAL_TEXT(1, Answers.Answers.size(), Row.Name);
  }
}

TEST(DelegatingIntakeTest, AnEarlierIncarnationSaysNothingOfTheDelegate) {
  prepare();
  --DelegateIncarnation;
  IsReady = false;
  reply({});
  Intake->submit(request(1), 1, Now);
  LONGS_EQUAL(1, delegatedJobs());
}

TEST(DelegatingIntakeTest, JobsEndAtTheirDeadlineOrWithTheProcess) {
  prepare();
  Intake->submit(request(1), 1, Now);
  runFor(1480ms);
  LONGS_EQUAL(0, Answers.Answers.size());
  runFor(20ms);
  CHECK(onlyAnswer().End == LeasedEnd::Unknown);
  LONGS_EQUAL(1, Given.Withdrawn.size());
  Answers.Answers.clear();
  Intake->submit(request(1, "k"), 2, Now);
  Intake->submit(request(1, "l"), 3, Now);
  Intake->cancelAll("it ends", Now);
  LONGS_EQUAL(1, Answers.countOf(2));
  LONGS_EQUAL(1, Answers.countOf(3));
  LONGS_EQUAL(3, Given.Withdrawn.size());
}

// An answer to a job of an earlier incarnation of this entry may still arrive.
TEST(DelegatingIntakeTest, NumbersAreNotUsedByTwoIncarnations) {
  DelegationOptions Next = delegateAll();
  Next.FirstNumber = 1000;
  prepare();
  Intake->submit(request(1), 1, Now);
  std::uint64_t Earlier = Given.Jobs[0].second.number();
  restart(Next);
  prepare();
  Intake->submit(request(1, "k"), 2, Now);
  LONGS_EQUAL(1, delegatedJobs());
  end(Earlier, peer::DELEGATED_NOT_RUN);
  LONGS_EQUAL(0, Answers.Answers.size());
  LONGS_EQUAL(1001, Given.Jobs[0].second.number());
}

// A caller that has gone may have handed its job to another entry. A process
// that stood still sends nothing for its job, be it new or not.
TEST(DelegatingIntakeTest, NothingIsSentForCallersThatHaveLeftDuringAPause) {
  struct Row {
    const char *Name;
    std::function<void()> Continue;
  };
  const Row Rows[] = {
      {"a renewal is due", [&] { Intake->tick({}, Now.Steady, Now); }},
      {"the job may not have arrived",
       [&] { failDelegation(Given.Jobs[0].second, 300ms); }},
  };
  int Id = 0;
  for (const Row &Row : Rows) {
    restart(delegateAll());
    prepare();
    std::string Name = std::to_string(++Id);
    Intake->submit(request(1, Name.c_str()), 1, Now);
    Given.Renewals.clear();
    Now.Steady += 1s;
    Answers.CallersConnected = false;
    Intake->noteBehind(Now.Steady, Now);
    Intake->submit(request(1, "new"), 2, Now);
    LONGS_EQUAL_TEXT(1, delegatedJobs(), Row.Name);
    LONGS_EQUAL_TEXT(1, Answers.countOf(2), Row.Name);
    Row.Continue();
    LONGS_EQUAL_TEXT(1, delegatedJobs(), Row.Name);
    LONGS_EQUAL_TEXT(1, Answers.countOf(1), Row.Name);
    LONGS_EQUAL_TEXT(1, Given.Withdrawn.size(), Row.Name);
    for (const auto &[To, Renewal] : Given.Renewals)
      LONGS_EQUAL_TEXT(0, Renewal.numbers_size(), Row.Name);
    Answers.CallersConnected = true;
  }
}

// Until the first renewal that names a job, its runs depend on the message that
// handed it over.
TEST(DelegatingIntakeTest, TheFirstJobOfADelegateIsVouchedForSoon) {
  prepare();
  std::size_t Before = Given.Renewals.size();
  while (Given.Renewals.size() == Before)
    runFor(20ms);
  Intake->submit(request(1), 1, Now);
  Given.Renewals.clear();
  RepliedTo = 0;
  runFor(120ms);
  LONGS_EQUAL(1, Given.Renewals.size());
  LONGS_EQUAL(1, Given.Renewals[0].second.numbers_size());
}

// Renewals carry a lower bound of the delegate's clock when they are made.
TEST(DelegatingIntakeTest, ARenewalIsNotNewerThanTheDelegatesClock) {
  prepare();
  LeasedJobRequest Long = request(1);
  Long.Deadline = 20s;
  Intake->submit(Long, 1, Now);
  CHECK(Given.Jobs[0].second.stamp() <= stampNow());
  std::size_t Checked = Given.Renewals.size();
  for (int Step = 0; Step < 100; ++Step) {
    runFor(20ms);
    for (; Checked < Given.Renewals.size(); ++Checked) {
      const peer::DelegationRenewal &Renewal = Given.Renewals[Checked].second;
      LONGS_EQUAL(1, Renewal.numbers_size());
      CHECK(Renewal.stamp() <= stampNow());
      CHECK(Renewal.stamp() + 20 >= stampNow());
    }
  }
}

TEST(DelegatingIntakeTest, JobsAreSpreadOverReadyDelegates) {
  restart(delegateAll(2));
  prepare();
  announceDelegate("e");
  announceDelegate("f");
  auto ReportBusy = [this](std::uint32_t Percent) {
    for (const char *Name : {"d", "e", "f"}) {
      peer::Message Message;
      Message.mutable_delegation_status()->set_stamp(stampNow());
      Message.mutable_delegation_status()->set_ready(true);
      Message.mutable_delegation_status()->set_busy_percent(Percent);
      Intake->onMessage({Name, "10.0.0.2:1", FirstIncarnation}, Message, Now);
    }
  };
  // Another delegate is used once the first one is busy.
  for (int Step = 0; Step < 20; ++Step) {
    runFor(100ms);
    ReportBusy(70);
  }
  std::map<std::string, int> Jobs;
  for (LeaseTicket Ticket = 1; Ticket <= 10; ++Ticket)
    Intake->submit(request(1, std::to_string(Ticket).c_str()), Ticket, Now);
  for (const auto &[To, Job] : Given.Jobs)
    ++Jobs[To];
  LONGS_EQUAL(2, Jobs.size());
  for (const auto &[To, Count] : Jobs)
    LONGS_EQUAL(5, Count);
  // Delegates that are short of time themselves get no more.
  ReportBusy(90);
  for (LeaseTicket Ticket = 11; Ticket <= 20; ++Ticket)
    Intake->submit(request(1, std::to_string(Ticket).c_str()), Ticket, Now);
  LONGS_EQUAL(10, Given.Jobs.size());
}
