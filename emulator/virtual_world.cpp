#include "emulator/virtual_world.h"

#include <algorithm>

namespace yardwheel {

namespace {

constexpr std::uint32_t WholePermille = 1000;
/// Start of virtual time; any point far from zero works.
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
    : Random(Seed), SeparateRandom(Seed),
      Time(std::chrono::duration_cast<Duration>(SteadyStart)),
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
  ++Target.Incarnation;
  Target.Receive = std::move(Receive);
  Target.Up = true;
  Target.Frozen = false;
  Target.Held.clear();
}

void VirtualWorld::kill(const std::string &Name) {
  Node &Target = this->Nodes[Name];
  ++Target.Incarnation;
  Target.Up = false;
  Target.Frozen = false;
  Target.Held.clear();
}

void VirtualWorld::freeze(const std::string &Name) {
  this->Nodes[Name].Frozen = true;
}

void VirtualWorld::thaw(const std::string &Name, ThawOrder Order) {
  Node &Target = this->Nodes[Name];
  Target.Frozen = false;
  std::vector<HeldAction> Held;
  std::swap(Held, Target.Held);
  if (Order == ThawOrder::TimersLast)
    std::stable_partition(Held.begin(), Held.end(),
                          [](const HeldAction &Each) { return !Each.IsTimer; });
  for (HeldAction &Each : Held)
    this->after(Duration(0), std::move(Each.Action));
}

std::uint64_t VirtualWorld::incarnation(const std::string &Node) const {
  return this->Nodes.at(Node).Incarnation;
}

bool VirtualWorld::isUp(const std::string &Name) const {
  auto Found = this->Nodes.find(Name);
  return Found != this->Nodes.end() && Found->second.Up;
}

void VirtualWorld::runFor(const std::string &Name, std::uint64_t Incarnation,
                          const std::function<void()> &Action, bool IsTimer) {
  Node &Target = this->Nodes[Name];
  if (!Target.Up || Target.Incarnation != Incarnation)
    return;
  if (Target.Frozen)
    Target.Held.push_back({[this, Name, Incarnation, Action, IsTimer] {
                             this->runFor(Name, Incarnation, Action, IsTimer);
                           },
                           IsTimer});
  else
    Action();
}

void VirtualWorld::runOn(const std::string &Name,
                         const std::function<void()> &Action) {
  this->runFor(Name, this->Nodes[Name].Incarnation, Action);
}

void VirtualWorld::onSendFailed(
    const std::string &Name,
    std::function<void(const Undelivered &Lost)> Handler) {
  this->Nodes[Name].SendFailed = std::move(Handler);
}

void VirtualWorld::reportFailure(const Parcel &Sent) {
  const std::string &Sender = Sent.From.Node;
  this->after(DeliveryTimeout, [this, Sender, Sent] {
    this->runFor(Sender, Sent.From.Incarnation, [this, Sender, Sent] {
      const Node &Known = this->Nodes[Sender];
      if (!Known.SendFailed)
        return;
      auto Envelope = std::make_shared<peer::Envelope>();
      *Envelope->add_messages() = Sent.Message;
      Known.SendFailed({Sent.To, Sent.SentAt, std::move(Envelope)});
    });
  });
}

void VirtualWorld::every(const std::string &Name, Duration Interval,
                         const std::function<void()> &Tick) {
  this->tickLater(Name, this->Nodes[Name].Incarnation, Interval, Tick);
}

void VirtualWorld::tickLater(const std::string &Name, std::uint64_t Incarnation,
                             Duration Interval,
                             const std::function<void()> &Tick) {
  this->after(Interval, [this, Name, Incarnation, Interval, Tick] {
    this->runFor(
        Name, Incarnation,
        [this, Name, Incarnation, Interval, Tick] {
          Tick();
          this->tickLater(Name, Incarnation, Interval, Tick);
        },
        /*IsTimer=*/true);
  });
}

void VirtualWorld::cut(const std::string &A, const std::string &B) {
  this->cutOneWay(A, B);
  this->cutOneWay(B, A);
}

void VirtualWorld::cutOneWay(const std::string &From, const std::string &To) {
  this->Cuts.insert({From, To});
}

void VirtualWorld::restoreOneWay(const std::string &From,
                                 const std::string &To) {
  this->Cuts.erase({From, To});
}

void VirtualWorld::reconnectAll() {
  this->Cuts.clear();
  this->Isolated.clear();
  this->Faults = {};
}

bool VirtualWorld::isCut(const std::string &A, const std::string &B) const {
  return this->Isolated.contains(A) || this->Isolated.contains(B) ||
         this->Cuts.contains({A, B});
}

std::mt19937_64 &VirtualWorld::randomFor(const std::string &From,
                                         const std::string &To) {
  bool Separate =
      this->SeparateNodes.contains(From) && this->SeparateNodes.contains(To);
  return Separate ? this->SeparateRandom : this->Random;
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
  Parcel Sent{
      {From, From, this->Nodes[From].Incarnation}, To, Message, this->Time};
  std::mt19937_64 &Draws = this->randomFor(From, To.Node);
  bool Lost = this->isCut(From, To.Node) ||
              Draws() % WholePermille < this->Faults.LossPermille;
  if (Lost) {
    this->reportFailure(Sent);
    return;
  }
  this->deliverLater(Sent, Delay);
  if (Draws() % WholePermille < this->Faults.DuplicatePermille)
    this->deliverLater(Sent, Delay);
}

void VirtualWorld::deliverLater(const Parcel &Sent, Duration Delay) {
  if (this->Faults.Jitter.count() > 0)
    Delay += Duration(this->randomFor(Sent.From.Node, Sent.To.Node)() %
                      static_cast<std::uint64_t>(this->Faults.Jitter.count()));
  // A later incarnation at the same address receives it, as on a real network.
  this->after(Delay, [this, Sent] {
    const std::string &From = Sent.From.Node;
    const std::string &To = Sent.To.Node;
    Node &Target = this->Nodes[To];
    bool Lost = this->isCut(From, To);
    bool Late = !Target.Up || Target.Frozen;
    // The acknowledgement of a message that arrives may be lost too.
    if (Lost || Late || this->isCut(To, From))
      this->reportFailure(Sent);
    if (Lost)
      return;
    this->runFor(To, Target.Incarnation, [this, To, Sent] {
      this->Nodes[To].Receive(Sent.From, Sent.Message);
    });
  });
}

} // namespace yardwheel
