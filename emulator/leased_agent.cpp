#include "emulator/leased_agent.h"

namespace yardwheel {

namespace {

/// One-way delay between an agent and its worker, which share a host.
constexpr std::chrono::microseconds WorkerDelay{200};
constexpr std::chrono::milliseconds AnnounceInterval{1000};
/// Time after which a call counts as unanswered; for a hold call, the time in
/// addition to its wait.
constexpr std::chrono::milliseconds CallTimeout{50};
constexpr std::chrono::milliseconds HoldSlack{80};
/// Range of the delay with which a late call is executed.
constexpr std::chrono::milliseconds MinLateDelay{2000};
constexpr std::chrono::milliseconds MaxLateDelay{12000};
constexpr std::uint32_t WholePermille = 1000;
/// Difference between the incarnation numbers of two consecutive processes of
/// an agent. Every worker restart that a process sees takes a number too, so
/// the difference is larger than their count.
constexpr std::uint64_t IncarnationStep = 1000;
/// A process that was not idle for this long counts as behind.
constexpr std::chrono::milliseconds BehindThreshold{100};
/// Range of order numbers of one incarnation; far above the number of its
/// placements.
constexpr std::uint64_t OrdersPerIncarnation = 1000000;

} // namespace

LeasedAgent::LeasedAgent(VirtualWorld &World, RunRegister &Runs,
                         std::string Name, const LeasedAgentOptions &Options)
    : World(World), Name(std::move(Name)), Options(Options),
      Random(Options.Seed), Worker(World, Runs, this->Name + "-worker",
                                   Options.Pool, Options.Worker, Options.Seed) {
  this->Worker.onRestart([this] {
    this->World.after(this->Options.AnnounceDelay, [this] {
      this->World.runOn(this->Name, [this, Profile = this->Worker.announce()] {
        this->Keeper->onProfile(Profile, this->now());
      });
    });
  });
  this->startIncarnation();
  this->announceWorker();
}

Instant LeasedAgent::now() const {
  Instant Now = this->World.now();
  Now.Wall += this->WallOffset;
  return Now;
}

void LeasedAgent::restart() {
  // The agent learns of its worker from the next announcement.
  this->startIncarnation();
}

void LeasedAgent::crashWorker(std::chrono::milliseconds RestartAfter,
                              std::chrono::milliseconds Late) {
  if (!this->Worker.isUp())
    return;
  WorkerProfile Last = this->Worker.announce();
  this->Worker.crash(RestartAfter);
  this->World.after(Late, [this, Last] {
    this->World.runOn(this->Name, [this, Last] {
      this->Keeper->onProfile(Last, this->now());
    });
  });
}

void LeasedAgent::startIncarnation() {
  ++this->Incarnation;
  KeeperOptions Options = this->Options.Keeper;
  Options.Incarnation = 1 + (this->Incarnation - 1) * IncarnationStep;
  this->Attached = {};
  this->Keeper = std::make_unique<LeaseKeeper>(
      Options, this->World.sinkOf(this->Name), *this);
  this->World.start(this->Name,
                    [this](const PeerRef &From, const peer::Message &Message) {
                      this->receive(From, Message);
                    });
  this->World.onSendFailed(this->Name, [this](const Undelivered &Lost) {
    this->Keeper->onUndelivered(Lost, this->now());
    if (this->Coordination) {
      this->Coordination->noteBehind(this->lastBehind(), this->now());
      this->Coordination->onUndelivered(Lost, this->now());
    }
  });
  this->World.every(this->Name, this->Options.Tick, [this] { this->tick(); });
  if (this->Options.Coordinates)
    this->startDelegate();
}

void LeasedAgent::startDelegate() {
  DelegateOptions Options = this->Options.Delegation;
  Options.Incarnation = this->World.incarnation(this->Name);
  Options.Coordinator.Name = this->Name;
  Options.Coordinator.OpenStarts.HasPredecessor = this->Incarnation > 1;
  Options.Coordinator.FirstOrder +=
      (this->Incarnation - 1) * OrdersPerIncarnation;
  Options.Coordinator.Seed = this->Options.Seed + this->Incarnation;
  this->LastTick = this->now().Steady;
  this->LastBehind = TimePoint::min();
  this->Coordination =
      std::make_unique<Delegate>(Options, this->World.sinkOf(this->Name));
}

TimePoint LeasedAgent::lastBehind() const {
  TimePoint Now = this->now().Steady;
  return Now - this->LastTick > BehindThreshold ? Now : this->LastBehind;
}

void LeasedAgent::receive(const PeerRef &From, const peer::Message &Message) {
  Instant Now = this->now();
  this->Keeper->onMessage(From, Message, Now);
  if (!this->Coordination)
    return;
  this->Coordination->noteBehind(this->lastBehind(), Now);
  this->Coordination->onMessage(From, Message, Now);
  this->Coordination->placeScheduled(Now);
}

void LeasedAgent::tick() {
  Instant Now = this->now();
  this->Keeper->tick(Now);
  if (!this->Coordination)
    return;
  this->Coordination->tick(/*ProcessorShare=*/0, this->lastBehind(), Now);
  this->LastBehind = this->lastBehind();
  this->LastTick = Now.Steady;
}

void LeasedAgent::announceMember(const peer::Member &Member) {
  this->World.runOn(this->Name, [this, Member] {
    if (this->Coordination)
      this->Coordination->onMember(Member, this->now());
  });
}

void LeasedAgent::announceWorker() {
  if (this->Worker.isUp())
    this->World.runOn(this->Name, [this, Profile = this->Worker.announce()] {
      this->Keeper->onProfile(Profile, this->now());
    });
  this->World.after(AnnounceInterval, [this] { this->announceWorker(); });
}

peer::Member LeasedAgent::member() const {
  peer::Member Member;
  Member.set_name(this->Name);
  Member.set_role(peer::ROLE_AGENT);
  Member.set_incarnation(this->Keeper->incarnation());
  Member.set_address(this->Name);
  Member.set_pool(this->Worker.profile().Pool);
  for (const std::string &Label : this->Worker.profile().Labels)
    Member.add_labels(Label);
  Member.mutable_room()->set_cpu_milli(this->Options.Worker.CapacityMilliCores);
  Member.mutable_room()->set_memory_mb(UINT32_MAX);
  Member.set_state(peer::MEMBER_ALIVE);
  Member.set_coordinates(this->Options.Coordinates);
  return Member;
}

// ---- Calls to the worker ----

LeasedAgent::CallFate LeasedAgent::drawCallFate() {
  std::uint32_t Sum = this->Faults.LostPermille +
                      this->Faults.UnansweredPermille +
                      this->Faults.LatePermille;
  if (Sum == 0)
    return CallFate::Executed;
  auto Drawn = static_cast<std::uint32_t>(this->Random() % WholePermille);
  if (Drawn >= Sum)
    return CallFate::Executed;
  if (Drawn < this->Faults.LostPermille)
    return CallFate::Lost;
  Drawn -= this->Faults.LostPermille;
  return Drawn < this->Faults.UnansweredPermille ? CallFate::Unanswered
                                                 : CallFate::Late;
}

LeasedAgent::Answer LeasedAgent::replyToThisLife(const Answer &Take) {
  return
      [this, Take, Incarnation = this->Incarnation](const WorkerReply &Reply) {
        this->World.after(WorkerDelay, [this, Take, Incarnation, Reply] {
          // Connections end with the process that opened them.
          if (Incarnation == this->Incarnation)
            this->World.runOn(this->Name, [Take, Reply] { Take(Reply); });
        });
      };
}

void LeasedAgent::call(std::chrono::milliseconds Timeout,
                       const std::function<void(const Answer &Reply)> &Execute,
                       const Answer &Take) {
  Answer Reply = this->replyToThisLife(Take);
  CallFate Fate = this->drawCallFate();
  if (Fate == CallFate::Executed) {
    this->World.after(WorkerDelay, [Execute, Reply] { Execute(Reply); });
    return;
  }
  this->World.after(Timeout, [Reply] { Reply(WorkerReply()); });
  Duration Delay = WorkerDelay;
  if (Fate == CallFate::Late)
    Delay = MinLateDelay +
            std::chrono::milliseconds(this->Random() %
                                      (MaxLateDelay - MinLateDelay).count());
  if (Fate != CallFate::Lost)
    this->World.after(Delay,
                      [Execute] { Execute([](const WorkerReply &) {}); });
}

void LeasedAgent::startAsPlanned(const StartCall &Call, const Answer &Take) {
  std::optional<Duration> Delay = this->PlannedStarts.front();
  this->PlannedStarts.pop_front();
  Answer Reply = this->replyToThisLife(Take);
  this->World.after(CallTimeout, [Reply] { Reply(WorkerReply()); });
  if (Delay)
    this->World.after(*Delay, [this, Call, Id = this->Attached.Id] {
      this->PlannedStartReplies.push_back(this->Worker.start(Id, Call));
    });
}

void LeasedAgent::start(const StartCall &Call) {
  Answer Take = [this, Call,
                 Incarnation = this->Attached](const WorkerReply &Reply) {
    this->Keeper->session().onStartReply(Incarnation, Call.Run, Reply,
                                         this->now());
  };
  if (!this->PlannedStarts.empty()) {
    this->startAsPlanned(Call, Take);
    return;
  }
  this->call(
      CallTimeout,
      [this, Call, Incarnation = this->Attached](const Answer &Reply) {
        Reply(this->Worker.start(Incarnation.Id, Call));
      },
      Take);
}

void LeasedAgent::stop(const StopCall &Call) {
  this->call(
      CallTimeout,
      [this, Call, Incarnation = this->Attached](const Answer &Reply) {
        Reply(this->Worker.stop(Incarnation.Id, Call));
      },
      [this, Call, Incarnation = this->Attached](const WorkerReply &Reply) {
        this->Keeper->session().onStopReply(Incarnation, Call.Run, Reply,
                                            this->now());
      });
}

void LeasedAgent::hold(const HoldCall &Call) {
  this->call(
      Call.Wait + HoldSlack,
      [this, Call, Incarnation = this->Attached](const Answer &Reply) {
        this->Worker.hold(Incarnation.Id, Call, Reply);
      },
      [this, Incarnation = this->Attached](const WorkerReply &Reply) {
        this->Keeper->session().onHoldReply(Incarnation, Reply, this->now());
      });
}

} // namespace yardwheel
