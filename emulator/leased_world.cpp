#include "emulator/leased_world.h"

#include "emulator/virtual_processor.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <sstream>

namespace yardwheel {

namespace {

constexpr std::uint64_t FirstLife = 1;
/// One way between an agent and its worker, which share a host.
constexpr std::chrono::microseconds WorkerDelay{200};
const std::string PoolName = "pool";

/// The lengths of a job's tasks, as its spec carries them to the workers.
std::string specOf(const std::vector<std::chrono::milliseconds> &Lengths) {
  std::string Spec;
  for (std::chrono::milliseconds Length : Lengths)
    Spec += fmt::format("{} ", Length.count());
  return Spec;
}

std::chrono::milliseconds lengthIn(const std::string &Spec,
                                   std::uint32_t Index) {
  std::istringstream Words(Spec);
  std::int64_t Millis = 0;
  for (std::uint32_t I = 0; I <= Index; ++I)
    Words >> Millis;
  return std::chrono::milliseconds(Millis);
}

} // namespace

// ---- Agents and workers ----

/// An agent and its worker, which tells ends in answer to a call that waits.
class LeasedWorld::AgentNode final : public WorkerPort {
public:
  AgentNode(LeasedWorld &Owner, std::string Name, std::uint32_t RoomMilli,
            const LeasedWorldOptions &Options)
      : Owner(Owner), World(Owner.World), Name(std::move(Name)),
        Keeper(keeperOptions(), World.sinkOf(this->Name), *this) {
    World.start(this->Name,
                [this](const PeerRef &From, const peer::Message &Message) {
                  this->Keeper.onMessage(From, Message, this->World.now());
                });
    this->RestartAfter = Options.RestartAfter;
    this->Profile.Id = this->Name + "-worker";
    this->Profile.Pool = PoolName;
    this->Profile.Room.set_cpu_milli(RoomMilli);
    this->Profile.Room.set_memory_mb(UINT32_MAX);
    this->Keeper.onProfile(this->Profile, World.now());
    World.every(this->Name, Options.Tick,
                [this] { this->Keeper.tick(this->World.now()); });
  }

  peer::Member member() const {
    peer::Member Member;
    Member.set_name(this->Name);
    Member.set_role(peer::ROLE_AGENT);
    Member.set_incarnation(FirstLife);
    Member.set_address(this->Name);
    Member.set_pool(PoolName);
    *Member.mutable_room() = this->Profile.Room;
    Member.set_state(peer::MEMBER_ALIVE);
    return Member;
  }

  void attach(const WorkerProfile &New) override { this->Attached = New.Id; }

  void start(const StartCall &Call) override {
    this->World.after(WorkerDelay, [this, Call, Life = this->Attached] {
      if (this->isThere(Life))
        this->begin(Call);
      this->World.after(WorkerDelay, [this, Call, Life] {
        this->Keeper.session().onStartReply(Life, Call.Run, this->reply(Life),
                                            this->World.now());
      });
    });
  }

  void stop(const StopCall &Call) override {
    this->World.after(WorkerDelay, [this, Call, Life = this->Attached] {
      if (this->isThere(Life))
        this->end(Call.Run, RunEnd::Stopped);
      this->Keeper.session().onStopReply(Life, Call.Run, this->reply(Life),
                                         this->World.now());
    });
  }

  void hold(const HoldCall &Call) override {
    if (!this->isThere(this->Attached)) {
      this->World.after(WorkerDelay, [this, Life = this->Attached] {
        this->Keeper.session().onHoldReply(Life, this->reply(Life),
                                           this->World.now());
      });
      return;
    }
    std::uint64_t Number = ++this->LastHold;
    std::erase_if(this->Ended, [&](const EndedRun &Known) {
      return Known.Number <= Call.AcknowledgedEnd;
    });
    this->Holds.insert(Number);
    if (!this->Ended.empty()) {
      this->answerHolds();
      return;
    }
    this->World.after(Call.Wait, [this, Number] {
      if (this->Holds.erase(Number) > 0)
        this->answerHold();
    });
  }

private:
  static KeeperOptions keeperOptions() {
    KeeperOptions Options;
    Options.Incarnation = FirstLife;
    return Options;
  }

  bool isThere(const std::string &Life) const {
    return this->Up && Life == this->Profile.Id;
  }

  /// What a call to a life of the worker is answered, if it is.
  WorkerReply reply(const std::string &Life) const {
    WorkerReply Reply;
    Reply.Answered = this->Up;
    if (Life != this->Profile.Id)
      Reply.Refusal = WorkerRefusal::OtherLife;
    return Reply;
  }

  /// A worker starts no run twice, and none that it has ended.
  void begin(const StartCall &Call) {
    const RunKey &Run = Call.Run;
    if (this->Over.contains(Run) || !this->Begun.insert(Run).second)
      return;
    TaskName Task{Run.Job, Run.Index};
    if (!this->Owner.Running.insert(Task).second)
      ++this->Owner.Doubled;
    std::chrono::milliseconds Length = lengthIn(Call.Spec, Run.Index);
    if (Length == CrashesWorker) {
      this->crash(Task);
      return;
    }
    this->World.after(Length, [this, Run, Life = this->Profile.Id] {
      if (this->isThere(Life))
        this->end(Run, RunEnd::Done);
    });
  }

  void crash(const TaskName &Cause) {
    CrashCount &Count = this->Owner.CrashCounts[Cause];
    if (Count.Crashes >= 3)
      ++Count.StartsAfterThree;
    ++Count.Crashes;
    this->Up = false;
    for (const RunKey &Run : this->Begun)
      if (!this->Over.contains(Run))
        this->Owner.Running.erase({Run.Job, Run.Index});
    this->Begun.clear();
    this->Over.clear();
    this->Ended.clear();
    this->answerHolds();
    this->World.after(this->RestartAfter, [this] { this->restart(); });
  }

  void restart() {
    this->Up = true;
    this->Profile.Id = fmt::format("{}-worker-{}", this->Name, ++this->Lives);
    this->LastEnd = 0;
    this->Keeper.onProfile(this->Profile, this->World.now());
  }

  void end(const RunKey &Run, RunEnd How) {
    if (!this->Over.insert(Run).second)
      return;
    if (this->Begun.contains(Run))
      this->Owner.Running.erase({Run.Job, Run.Index});
    this->Ended.push_back({++this->LastEnd, Run, How});
    this->answerHolds();
  }

  /// An agent has two calls out at once while it renews a lease.
  void answerHolds() {
    for (std::size_t I = 0; I < this->Holds.size(); ++I)
      this->answerHold();
    this->Holds.clear();
  }

  void answerHold() {
    std::string Life = this->Profile.Id;
    WorkerReply Reply = this->reply(Life);
    Reply.Ended = {this->Ended.begin(), this->Ended.end()};
    this->World.after(WorkerDelay, [this, Reply, Life] {
      this->Keeper.session().onHoldReply(Life, Reply, this->World.now());
    });
  }

  LeasedWorld &Owner;
  VirtualWorld &World;
  std::string Name;
  WorkerProfile Profile;
  std::chrono::milliseconds RestartAfter{};
  /// The worker's process is there.
  bool Up = true;
  std::uint64_t Lives = 1;
  /// The life of the worker that the agent speaks to.
  std::string Attached;
  LeaseKeeper Keeper;
  std::set<RunKey> Begun;
  std::set<RunKey> Over;
  std::deque<EndedRun> Ended;
  std::uint64_t LastEnd = 0;
  std::uint64_t LastHold = 0;
  /// The calls for ends that wait.
  std::set<std::uint64_t> Holds;
};

// ---- Entries ----

class LeasedWorld::EntryNode final : public LeasedAnswerSink, public PeerSink {
public:
  EntryNode(LeasedWorld &Owner, std::string Name, std::uint64_t Seed,
            const LeasedWorldOptions &Options)
      : Owner(Owner), Name(std::move(Name)),
        MessageCost(Options.EntryMessageCost), Processor(Owner.World),
        Outlet(Owner.World.sinkOf(this->Name)),
        Coordinator(seeded(Options.Coordinator, Seed), *this, *this) {
    VirtualWorld &World = Owner.World;
    World.start(this->Name,
                [this](const PeerRef &From, const peer::Message &Message) {
                  this->Processor.run(this->MessageCost, [this, From, Message] {
                    this->receive(From, Message);
                  });
                });
    World.every(this->Name, Options.Tick,
                [this] { this->Coordinator.tick(this->Owner.World.now()); });
  }

  void meet(const peer::Member &Agent) {
    this->Coordinator.onMember(Agent, this->Owner.World.now());
  }

  void submit(const LeasedJobRequest &Job,
              std::chrono::milliseconds LateAfter) {
    LeaseTicket Ticket = ++this->LastTicket;
    TimePoint Due = this->Owner.World.now().Steady + LateAfter;
    this->Waiting[Ticket] = {Job.Route, Due};
    this->Processor.run(this->MessageCost, [this, Job, Ticket] {
      this->Coordinator.submit(Job, Ticket, this->Owner.World.now());
    });
  }

  void onLeasedAnswer(LeaseTicket Ticket, const LeasedAnswer &Answer) override {
    Caller Told = this->Waiting.at(Ticket);
    this->Waiting.erase(Ticket);
    this->Processor.run(this->MessageCost, [this, Told, End = Answer.End] {
      bool InTime = this->Owner.World.now().Steady <= Told.Due;
      this->Owner.onEnded(Told.Route, InTime, End);
    });
  }

  void send(const PeerRef &To, peer::Message Message) override {
    this->Processor.run(this->MessageCost,
                        [this, To, Message = std::move(Message)] {
                          this->Outlet.send(To, Message);
                        });
  }

  const CoordinatorCounters &counters() const {
    return this->Coordinator.counters();
  }
  Duration busy() const { return this->Processor.busy(); }

private:
  struct Caller {
    std::string Route;
    TimePoint Due;
  };
  void receive(const PeerRef &From, const peer::Message &Message) {
    Instant Now = this->Owner.World.now();
    this->Coordinator.onMessage(From, Message, Now);
    this->Coordinator.placeDue(Now);
  }

  static CoordinatorOptions seeded(CoordinatorOptions Options,
                                   std::uint64_t Seed) {
    Options.Seed = Seed;
    return Options;
  }

  LeasedWorld &Owner;
  std::string Name;
  std::map<LeaseTicket, Caller> Waiting;
  LeaseTicket LastTicket = 0;
  Duration MessageCost;
  VirtualProcessor Processor;
  PeerSink &Outlet;
  LeaseCoordinator Coordinator;
};

// ---- The world ----

LeasedWorld::LeasedWorld(const LeasedWorldOptions &Options)
    : World(Options.Seed) {
  for (std::size_t I = 0; I < Options.Agents; ++I)
    this->Agents.push_back(std::make_unique<AgentNode>(
        *this, fmt::format("agent-{}", I),
        Options.RoomsMilli[I % Options.RoomsMilli.size()], Options));
  for (std::size_t I = 0; I < Options.Entries; ++I) {
    this->Entries.push_back(std::make_unique<EntryNode>(
        *this, fmt::format("entry-{}", I), Options.Seed + I, Options));
    for (const auto &Agent : this->Agents)
      this->Entries.back()->meet(Agent->member());
  }
  // Each entry asks each agent once before the load begins.
  this->World.run(Options.WarmUp);
  this->Begun = this->World.now().Steady;
}

LeasedWorld::~LeasedWorld() = default;

void LeasedWorld::submit(std::size_t Entry, LeasedJobRequest Job,
                         const std::vector<std::chrono::milliseconds> &Lengths,
                         std::chrono::milliseconds LateAfter) {
  Job.Pool = PoolName;
  Job.TaskCount = static_cast<std::uint32_t>(Lengths.size());
  Job.Spec = specOf(Lengths);
  ++this->Outcomes[Job.Route].Asked;
  this->Entries.at(Entry)->submit(Job, LateAfter);
}

EntryEffort LeasedWorld::effort() const {
  EntryEffort Effort;
  std::chrono::duration<double> Passed = this->World.now().Steady - this->Begun;
  for (const auto &Entry : this->Entries) {
    Effort.TasksSent += Entry->counters().TasksSent;
    Effort.TasksRefused += Entry->counters().TasksRefused;
    std::chrono::duration<double> Busy = Entry->busy();
    Effort.MostBusy = std::max(Effort.MostBusy, Busy / Passed);
  }
  return Effort;
}

CrashToll LeasedWorld::crashToll() const {
  CrashToll Toll;
  for (const auto &[Task, Count] : this->CrashCounts) {
    Toll.Crashes += Count.Crashes;
    Toll.MostUnderOneTask = std::max(Toll.MostUnderOneTask, Count.Crashes);
    Toll.MostStartsAfterThree =
        std::max(Toll.MostStartsAfterThree, Count.StartsAfterThree);
  }
  return Toll;
}

void LeasedWorld::onEnded(const std::string &Route, bool InTime,
                          LeasedEnd End) {
  RouteOutcome &Known = this->Outcomes[Route];
  if (End == LeasedEnd::NotRun)
    ++Known.Refused;
  else if (End != LeasedEnd::Completed)
    ++Known.Failed;
  else if (InTime)
    ++Known.InTime;
  else
    ++Known.Late;
}

} // namespace yardwheel
