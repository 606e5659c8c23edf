//===- An agent that coordinates jobs for entries -------------------------===//

#include "coordination/delegate.h"

#include <functional>
#include <optional>

// Must be included last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Incarnation = 7;
constexpr std::uint64_t WorkerIncarnation = 9;
/// How far the other agents' clocks are ahead of the delegate's.
constexpr std::uint64_t AgentClockAhead = 5000000;

class DelegateSink final : public PeerSink {
public:
  struct Renewal {
    std::string Agent;
    peer::LeaseRenewal Message;
  };
  void send(const PeerRef &To, peer::Message Message) override {
    ++this->Sent;
    if (Message.has_leased_dispatch())
      this->Dispatches.push_back(Message.leased_dispatch());
    else if (Message.has_lease_renewal())
      this->Renewals.push_back({To.Node, Message.lease_renewal()});
    else if (Message.has_leased_stop() &&
             Message.leased_stop().longer_than_ms() == 0)
      ++this->Stops;
    else if (Message.has_delegated_answer())
      this->Answers.push_back(Message.delegated_answer());
    else if (Message.has_delegation_status())
      this->Status = Message.delegation_status();
  }
  std::vector<peer::LeasedDispatch> Dispatches;
  std::vector<Renewal> Renewals;
  std::vector<peer::DelegatedAnswer> Answers;
  peer::DelegationStatus Status;
  int Stops = 0;
  int Sent = 0;
};

DelegateOptions delegateOptions() {
  DelegateOptions Options;
  Options.Incarnation = Incarnation;
  Options.Coordinator.Name = "delegate";
  return Options;
}

} // namespace

TEST_GROUP(DelegateTest) {
  DelegateSink Sink;
  std::optional<Delegate> Target{std::in_place, delegateOptions(), Sink};
  Instant Now{TimePoint(1h), fromUnixMillis(1800000000000)};
  PeerRef Entry{"entry", "10.0.0.9:1", 3};

  std::uint64_t stampAgo(std::chrono::milliseconds Age) {
    return static_cast<std::uint64_t>(
        std::chrono::floor<std::chrono::milliseconds>(
            (Now.Steady - Age).time_since_epoch())
            .count());
  }
  void ask(const std::vector<std::uint64_t> &Numbers = {},
           std::chrono::milliseconds Age = 0ms) {
    peer::Message Message;
    Message.mutable_delegation_renewal()->set_stamp(stampAgo(Age));
    for (std::uint64_t Number : Numbers)
      Message.mutable_delegation_renewal()->add_numbers(Number);
    Target->onMessage(Entry, Message, Now);
  }
  void announce(const std::string &Name, bool KeepsId = false) {
    peer::Member Member;
    Member.set_name(Name);
    Member.set_role(peer::ROLE_AGENT);
    Member.set_state(peer::MEMBER_ALIVE);
    Member.set_incarnation(WorkerIncarnation);
    Member.set_address("10.0.0.1:1");
    Member.set_pool("pool");
    Member.mutable_room()->set_cpu_milli(4000);
    Member.mutable_room()->set_memory_mb(1000);
    Target->onMember(Member, Now);
    this->reportLoad(Name, KeepsId);
  }
  void reportLoad(const std::string &Name, bool KeepsId = false) {
    peer::Message Load;
    Load.mutable_worker_load()->set_incarnation(WorkerIncarnation);
    Load.mutable_worker_load()->set_stamp(stampAgo(0ms) + AgentClockAhead);
    Load.mutable_worker_load()->set_worker_keeps_id(KeepsId);
    Target->onMessage({Name, "10.0.0.1:1", 5}, Load, Now);
  }
  /// An entry asks for a delegate, which gets to know one agent.
  void becomeReady() {
    this->ask();
    this->announce("a");
  }
  peer::Message jobMessage(std::uint64_t Number,
                           std::chrono::milliseconds Age = 0ms,
                           const std::string &Id = "j") {
    peer::Message Message;
    peer::DelegatedJob *Job = Message.mutable_delegated_job();
    Job->set_number(Number);
    Job->set_stamp(stampAgo(Age));
    Job->set_delegate_incarnation(Incarnation);
    Job->set_id(Id);
    Job->set_route("route");
    Job->set_pool("pool");
    Job->set_task_count(1);
    Job->mutable_needs()->set_cpu_milli(1000);
    Job->set_estimate_ms(100);
    Job->set_max_attempts(2);
    Job->set_objective_ms(1000);
    Job->set_deadline_ms(3000);
    return Message;
  }
  void give(const peer::Message &Message) {
    Target->onMessage(Entry, Message, Now);
    Target->placeScheduled(Now);
  }
  void withdraw(std::uint64_t Number) {
    peer::Message Message;
    Message.mutable_delegation_withdrawal()->set_number(Number);
    Target->onMessage(Entry, Message, Now);
  }
  void end(std::size_t Which, peer::LeasedEvent Event,
           peer::LeasedRefusal Refusal = peer::REFUSAL_NONE) {
    const peer::LeasedDispatch &Dispatch = Sink.Dispatches.at(Which);
    peer::Message Message;
    peer::LeasedUpdate *Update = Message.mutable_leased_update();
    Update->set_job(Dispatch.job());
    Update->set_order(Dispatch.tasks(0).order());
    Update->set_attempt(Dispatch.tasks(0).attempt());
    Update->set_event(Event);
    Update->set_refusal(Refusal);
    Update->mutable_load()->set_incarnation(WorkerIncarnation);
    Update->mutable_load()->set_stamp(stampAgo(0ms) + AgentClockAhead);
    Target->onMessage({"a", "10.0.0.1:1", 5}, Message, Now);
    Target->placeScheduled(Now);
  }
  void advance(std::chrono::milliseconds Time) {
    for (auto Step = 0ms; Step < Time; Step += 20ms) {
      Now.Steady += 20ms;
      Target->tick(0.1, TimePoint::min(), Now);
    }
  }
};

TEST(DelegateTest, SendsNothingUnlessAnEntryAsksForIt) {
  announce("a");
  advance(10s);
  LONGS_EQUAL(0, Sink.Sent);
  CHECK(!Target->isActive(Now.Steady));
  becomeReady();
  advance(500ms);
  CHECK(Target->isActive(Now.Steady));
  CHECK(Sink.Sent > 1);
  advance(4s);
  CHECK(!Target->isActive(Now.Steady));
  int Before = Sink.Sent;
  advance(10s);
  LONGS_EQUAL(Before, Sink.Sent);
}

TEST(DelegateTest, AJobIsTakenOnce) {
  becomeReady();
  give(jobMessage(1));
  give(jobMessage(1));
  LONGS_EQUAL(1, Sink.Dispatches.size());
  LONGS_EQUAL(0, Sink.Answers.size());
  end(0, peer::LEASED_DONE);
  LONGS_EQUAL(1, Sink.Answers.size());
  CHECK(Sink.Answers[0].end() == peer::DELEGATED_COMPLETED);
  // A late copy is told the same again, for as long as its stamp may be fresh.
  for (int Step = 0; Step < 27; ++Step) {
    advance(200ms);
    ask();
    reportLoad("a");
  }
  give(jobMessage(1));
  LONGS_EQUAL(1, Sink.Dispatches.size());
  LONGS_EQUAL(2, Sink.Answers.size());
  CHECK(Sink.Answers[1].end() == peer::DELEGATED_COMPLETED);
}

TEST(DelegateTest, AnAnswerIsSentAgainWhileItsEntryAsks) {
  becomeReady();
  give(jobMessage(1));
  end(0, peer::LEASED_DONE);
  ask({1});
  LONGS_EQUAL(2, Sink.Answers.size());
  CHECK(Sink.Answers[1].end() == peer::DELEGATED_COMPLETED);
  LONGS_EQUAL(1, Sink.Answers[1].number());
  LONGS_EQUAL(0, Sink.Status.numbers_size());
}

TEST(DelegateTest, DeclinesWhatItShouldNotRun) {
  struct Row {
    const char *Name;
    std::function<void()> Prepare;
    std::chrono::milliseconds Age;
    bool IsDeclined;
  };
  const Row Rows[] = {
      {"ready", [&] { becomeReady(); }, 0ms, false},
      {"a little old", [&] { becomeReady(); }, 400ms, false},
      {"delayed", [&] { becomeReady(); }, 401ms, true},
      {"a stamp ahead of its clock", [&] { becomeReady(); }, -1ms, true},
      {"nobody has asked", [&] { announce("a"); }, 0ms, true},
      {"no agent is known", [&] { ask(); }, 0ms, true},
      {"agents have not answered",
       [&] {
         becomeReady();
         Now.Steady += 5s;
         ask();
       },
       0ms, true},
      {"workers may restart under their ids",
       [&] {
         ask();
         announce("a", /*KeepsId=*/true);
       },
       0ms, true},
      {"it ends",
       [&] {
         becomeReady();
         Target->leave();
       },
       0ms, true},
  };
  for (const Row &Row : Rows) {
    Sink = DelegateSink();
    Target.emplace(delegateOptions(), Sink);
    Row.Prepare();
    give(jobMessage(1, Row.Age));
    LONGS_EQUAL_TEXT(Row.IsDeclined ? 0 : 1, Sink.Dispatches.size(), Row.Name);
    LONGS_EQUAL_TEXT(Row.IsDeclined ? 1 : 0, Sink.Answers.size(), Row.Name);
    if (Row.IsDeclined)
      CHECK_TEXT(Sink.Answers[0].end() == peer::DELEGATED_DECLINED, Row.Name);
  }
}

TEST(DelegateTest, AJobForAnEarlierIncarnationIsNotAnswered) {
  becomeReady();
  peer::Message Message = jobMessage(1);
  Message.mutable_delegated_job()->set_delegate_incarnation(Incarnation - 1);
  give(Message);
  LONGS_EQUAL(0, Sink.Dispatches.size());
  LONGS_EQUAL(0, Sink.Answers.size());
}

TEST(DelegateTest, AWithdrawalStopsTheRunsAndMayOvertakeTheJob) {
  becomeReady();
  give(jobMessage(1));
  withdraw(1);
  LONGS_EQUAL(1, Sink.Stops);
  end(0, peer::LEASED_NOT_STARTED);
  CHECK(Target->isIdle());
  withdraw(2);
  give(jobMessage(2));
  LONGS_EQUAL(1, Sink.Dispatches.size());
  CHECK(Sink.Answers.back().end() == peer::DELEGATED_NOT_RUN);
}

TEST(DelegateTest, AJobThatItsEntryHasForgottenIsStopped) {
  becomeReady();
  give(jobMessage(1));
  for (int Step = 0; Step < 6; ++Step) {
    advance(100ms);
    reportLoad("a");
  }
  CHECK(!Target->isIdle());
  LONGS_EQUAL(0, Sink.Stops);
  advance(100ms);
  LONGS_EQUAL(1, Sink.Stops);
  CHECK(Target->isIdle());
  // Asked for again, it does not run a second time.
  ask({1});
  CHECK(Sink.Answers.back().end() == peer::DELEGATED_UNKNOWN);
}

// A delegate that stood still does not know whether its entries have vouched.
TEST(DelegateTest, APauseLongerThanTheEntrysSilenceEndsItsJobs) {
  becomeReady();
  give(jobMessage(1));
  Now.Steady += 2s;
  Target->noteBehind(Now.Steady, Now);
  LONGS_EQUAL(1, Sink.Stops);
}

TEST(DelegateTest, ALongerDeadlineOfAnotherCallerHolds) {
  struct Row {
    const char *Name;
    /// Age of the second copy on its arrival.
    std::chrono::milliseconds Age;
    bool IsExtended;
  };
  const Row Rows[] = {{"fresh copy", 0ms, true}, {"delayed", 500ms, false}};
  for (const Row &Row : Rows) {
    Sink = DelegateSink();
    Target.emplace(delegateOptions(), Sink);
    becomeReady();
    give(jobMessage(1));
    auto Wait = [&](std::chrono::milliseconds Time) {
      for (auto Step = 0ms; Step < Time; Step += 100ms) {
        advance(100ms);
        ask({1});
        reportLoad("a");
      }
    };
    Wait(2000ms);
    give(jobMessage(1, Row.Age));
    Wait(1500ms);
    CHECK_EQUAL_TEXT(Row.IsExtended, !Target->isIdle(), Row.Name);
  }
}

// However long the delegate holds a job, its runs lapse as if the entry had
// named them in its own last message.
TEST(DelegateTest, NoMessageCarriesAStampNewerThanTheEntrysWord) {
  becomeReady();
  give(jobMessage(1, 250ms));
  TimePoint Word = Now.Steady - 250ms;
  LONGS_EQUAL(1, Sink.Dispatches.size());
  auto Bound = [&](TimePoint At) {
    return AgentClockAhead +
           static_cast<std::uint64_t>(millisBetween(TimePoint(), At));
  };
  CHECK(Sink.Dispatches[0].stamp() <= Bound(Word));
  std::size_t Named = 0;
  bool IsNamedTooLate = false;
  for (int Step = 0; Step < 100; ++Step) {
    Now.Steady += 20ms;
    reportLoad("a");
    Sink.Renewals.clear();
    Target->tick(0.1, TimePoint::min(), Now);
    for (const DelegateSink::Renewal &Each : Sink.Renewals) {
      if (Each.Message.orders().empty())
        continue;
      ++Named;
      CHECK(Each.Message.stamp() <= Bound(Word));
      // Not uselessly old either.
      CHECK(Each.Message.stamp() + 30 >= Bound(Word));
      IsNamedTooLate = IsNamedTooLate || Now.Steady - Word > 400ms;
    }
    // The entry vouches every 100 ms for a second, 60 ms before it is read.
    if (Step % 5 == 0 && Step < 50) {
      Word = Now.Steady - 60ms;
      ask({1}, 60ms);
    }
  }
  CHECK(Named >= 4);
  CHECK(!IsNamedTooLate);
  CHECK(Target->isIdle());
}

// A dispatch renews only what was vouched for as lately as its own job.
TEST(DelegateTest, ADispatchDoesNotRenewJobsOfAnOlderWord) {
  becomeReady();
  give(jobMessage(1, 300ms));
  give(jobMessage(2, 0ms, "k"));
  give(jobMessage(3, 100ms, "l"));
  LONGS_EQUAL(3, Sink.Dispatches.size());
  LONGS_EQUAL(0, Sink.Dispatches[1].renewed_size());
  LONGS_EQUAL(1, Sink.Dispatches[2].renewed_size());
  LONGS_EQUAL(Sink.Dispatches[1].tasks(0).order(),
              Sink.Dispatches[2].renewed(0));
}
