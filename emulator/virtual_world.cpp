#include "emulator/virtual_world.h"

namespace yardwheel {

namespace {

constexpr std::uint32_t WholePermille = 1000;
/// Where virtual time begins; any point far from zero will do.
constexpr std::chrono::hours SteadyStart{1000};
constexpr std::chrono::milliseconds DeliveryTimeout{1000};
constexpr std::chrono::milliseconds WallStart{1800000000000};

} // namespace

class VirtualWorld::NodeSink final : public PeerSink {
public:
  NodeSink(VirtualWorld &World, std::string Name)
      : World(World), Name(std::move(Name)) {}
  void send(const PeerRef &To, peer::Message Message) override {
    this->World.send(this->Name, To, Message);
  }

private:
  VirtualWorld &World;
  std::string Name;
};

VirtualWorld::VirtualWorld(std::uint64_t Seed)
    : Random(Seed), Time(std::chrono::duration_cast<Duration>(SteadyStart)),
      DelayBetween([](const std::string &, const std::string &) {
        return std::chrono::milliseconds(1);
      }) {}

Instant VirtualWorld::now() const {
  auto Passed = this->Time.time_since_epoch() - SteadyStart;
  auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(Passed);
  return {this->Time, WallTime(WallStart + Millis)};
}

void VirtualWorld::after(Duration Delay, std::function<void()> Action) {
  this->Events.push({this->Time + Delay, ++this->NextOrder, std::move(Action)});
}

void VirtualWorld::run(Duration Until) {
  TimePoint End = this->Time + Until;
  while (!this->Events.empty() && this->Events.top().At <= End) {
    Event Next = this->Events.top();
    this->Events.pop();
    this->Time = Next.At;
    Next.Action();
  }
  this->Time = End;
}

void VirtualWorld::start(const std::string &Name, Receiver Receive) {
  Node &Target = this->Nodes[Name];
  ++Target.Life;
  Target.Receive = std::move(Receive);
  Target.Up = true;
  Target.Frozen = false;
  Target.Held.clear();
}

void VirtualWorld::kill(const std::string &Name) {
  Node &Target = this->Nodes[Name];
  ++Target.Life;
  Target.Up = false;
  Target.Frozen = false;
  Target.Held.clear();
}

void VirtualWorld::freeze(const std::string &Name) {
  this->Nodes[Name].Frozen = true;
}

void VirtualWorld::thaw(const std::string &Name) {
  Node &Target = this->Nodes[Name];
  Target.Frozen = false;
  std::vector<std::function<void()>> Held;
  std::swap(Held, Target.Held);
  for (std::function<void()> &Action : Held)
    this->after(Duration(0), std::move(Action));
}

bool VirtualWorld::isUp(const std::string &Name) const {
  auto Found = this->Nodes.find(Name);
  return Found != this->Nodes.end() && Found->second.Up;
}

void VirtualWorld::runFor(const std::string &Name, std::uint64_t Life,
                          const std::function<void()> &Action) {
  Node &Target = this->Nodes[Name];
  if (!Target.Up || Target.Life != Life)
    return;
  if (Target.Frozen)
    Target.Held.push_back(
        [this, Name, Life, Action] { this->runFor(Name, Life, Action); });
  else
    Action();
}

void VirtualWorld::runOn(const std::string &Name,
                         const std::function<void()> &Action) {
  this->runFor(Name, this->Nodes[Name].Life, Action);
}

void VirtualWorld::onSendFailed(
    const std::string &Name, std::function<void(const PeerRef &To)> Handler) {
  this->Nodes[Name].SendFailed = std::move(Handler);
}

void VirtualWorld::reportFailure(const std::string &From, const PeerRef &To) {
  std::uint64_t Life = this->Nodes[From].Life;
  this->after(DeliveryTimeout, [this, From, To, Life] {
    this->runFor(From, Life, [this, From, To] {
      const Node &Sender = this->Nodes[From];
      if (Sender.SendFailed)
        Sender.SendFailed(To);
    });
  });
}

void VirtualWorld::every(const std::string &Name, Duration Interval,
                         const std::function<void()> &Tick) {
  this->tickLater(Name, this->Nodes[Name].Life, Interval, Tick);
}

void VirtualWorld::tickLater(const std::string &Name, std::uint64_t Life,
                             Duration Interval,
                             const std::function<void()> &Tick) {
  this->after(Interval, [this, Name, Life, Interval, Tick] {
    this->runFor(Name, Life, [this, Name, Life, Interval, Tick] {
      Tick();
      this->tickLater(Name, Life, Interval, Tick);
    });
  });
}

void VirtualWorld::cut(const std::string &A, const std::string &B) {
  this->Cuts.insert({A, B});
  this->Cuts.insert({B, A});
}

void VirtualWorld::healAll() {
  this->Cuts.clear();
  this->Isolated.clear();
  this->Faults = {};
}

bool VirtualWorld::isCut(const std::string &A, const std::string &B) const {
  return this->Isolated.contains(A) || this->Isolated.contains(B) ||
         this->Cuts.contains({A, B});
}

PeerSink &VirtualWorld::sinkOf(const std::string &Name) {
  Node &Target = this->Nodes[Name];
  if (!Target.Sink)
    Target.Sink = std::make_unique<NodeSink>(*this, Name);
  return *Target.Sink;
}

void VirtualWorld::send(const std::string &From, const PeerRef &To,
                        const peer::Message &Message) {
  ++this->Sent;
  this->Bytes += Message.ByteSizeLong();
  Duration Delay = this->DelayBetween(From, To.Node);
  if (this->Filter)
    Delay += this->Filter({From, From}, To, Message);
  bool Lost = this->isCut(From, To.Node) ||
              this->Random() % WholePermille < this->Faults.LossPermille;
  if (Lost) {
    this->reportFailure(From, To);
    return;
  }
  this->deliverLater(From, To, Message, Delay);
  if (this->Random() % WholePermille < this->Faults.DoublePermille)
    this->deliverLater(From, To, Message, Delay);
}

void VirtualWorld::deliverLater(const std::string &From, const PeerRef &To,
                                const peer::Message &Message, Duration Delay) {
  if (this->Faults.Jitter.count() > 0)
    Delay += Duration(this->Random() %
                      static_cast<std::uint64_t>(this->Faults.Jitter.count()));
  // A later life at the same address receives it, as on a real network.
  this->after(Delay, [this, From, To, Message] {
    Node &Target = this->Nodes[To.Node];
    bool Late = !Target.Up || Target.Frozen;
    if (Late || this->isCut(From, To.Node))
      this->reportFailure(From, To);
    if (this->isCut(From, To.Node))
      return;
    this->runFor(To.Node, Target.Life, [this, From, To, Message] {
      this->Nodes[To.Node].Receive({From, From}, Message);
    });
  });
}

} // namespace yardwheel
