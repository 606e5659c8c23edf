#include "transport/link_pool.h"

#include "transport/link_stream.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace yardwheel {

namespace {

/// Limits the memory used for a peer that does not read.
constexpr std::size_t MaxQueuedEnvelopes = 2000;
/// An envelope that exceeds this size is sent before the flush.
constexpr std::size_t EarlySendBytes = MaxEnvelopeBytes / 4;
/// The time between two checks for dead streams.
constexpr std::chrono::milliseconds CheckInterval{100};

} // namespace

void limitHeldBytes(LinkOptions &Options, std::size_t MemoryLimit) {
  Options.MaxHeldBytes =
      MemoryLimit / LinkShareOfMemory / HeapBytesPerEncodedByte;
  Options.MaxHeldBytesPerPeer =
      std::min<std::size_t>(Options.MaxHeldBytes / 2, MaxEnvelopeBytes);
}

LinkPool::LinkPool(LinkIdentity Self, grpc::CompletionQueue &Queue,
                   const Clock &Source, LinkOptions Options)
    : Self(std::move(Self)), Queue(Queue), Source(Source), Options(Options),
      // Greater than the ids used by earlier incarnations of this node.
      LastStreamId(this->Self.Incarnation) {}

LinkPool::~LinkPool() {
  for (auto &[Address, Target] : this->Links)
    if (Target.Stream)
      Target.Stream->release();
}

std::string describeCounters(const LinkCounters &Counters) {
  struct Row {
    const char *Name;
    const std::atomic<std::uint64_t> &Count;
  };
  const Row Rows[] = {
      {"yardwheel_link_envelopes_sent_total", Counters.EnvelopesSent},
      {"yardwheel_link_messages_sent_total", Counters.MessagesSent},
      {"yardwheel_link_bytes_sent_total", Counters.BytesSent},
      {"yardwheel_link_envelopes_read_total", Counters.EnvelopesRead},
      {"yardwheel_link_streams_opened_total", Counters.StreamsOpened},
      {"yardwheel_link_streams_shared_total", Counters.StreamsShared},
      {"yardwheel_link_envelopes_failed_total", Counters.Failed},
      {"yardwheel_link_messages_dropped_total", Counters.Dropped},
  };
  std::string Text;
  for (const Row &Counter : Rows)
    Text += fmt::format("{} {}\n", Counter.Name, Counter.Count.load());
  return Text;
}

LinkPool::Link &LinkPool::linkTo(const std::string &Address) {
  return this->Links.try_emplace(Address, *this).first->second;
}

void LinkPool::send(const PeerRef &To, peer::Message Message) {
  if (To.Address.empty())
    return;
  Link &Target = this->linkTo(To.Address);
  // An envelope has a single recipient; any other node refuses all of it.
  bool Other =
      Target.Queued.messages_size() > 0 && Target.Queued.recipient() != To.Node;
  if (Other)
    this->transmit(Target);
  Target.Peer = To;
  Target.Queued.set_recipient(To.Node);
  if (Target.Queued.messages_size() == 0)
    this->PendingFlush.push_back(&Target);
  std::size_t Bytes = Message.ByteSizeLong();
  Target.QueuedBytes += Bytes;
  this->QueuedBytes += Bytes;
  *Target.Queued.add_messages() = std::move(Message);
  if (Target.QueuedBytes > EarlySendBytes)
    this->transmit(Target);
}

void LinkPool::flush() {
  std::vector<Link *> Due;
  std::swap(Due, this->PendingFlush);
  for (Link *Target : Due)
    if (Target->Queued.messages_size() > 0)
      this->transmit(*Target);
}

void LinkPool::transmit(Link &Target) {
  auto Envelope = std::make_shared<peer::Envelope>();
  Envelope->Swap(&Target.Queued);
  std::size_t QueuedBytes = std::exchange(Target.QueuedBytes, 0);
  this->QueuedBytes -= QueuedBytes;
  bool IsFull = Target.Stream && Target.Stream->waiting() >= MaxQueuedEnvelopes;
  if (IsFull || !this->hasRoom(Target, QueuedBytes)) {
    this->Counters.Dropped += Envelope->messages_size();
    return;
  }
  if (!Target.Stream)
    this->open(Target);
  Envelope->set_cluster(this->Self.Cluster);
  Envelope->set_sender_role(this->Self.Role);
  Envelope->set_sender(this->Self.Node);
  Envelope->set_sender_address(this->Self.Address);
  Envelope->set_sender_incarnation(this->Self.Incarnation);
  Envelope->set_revision(this->Revision);
  Envelope->set_stream(Target.StreamId);
  Envelope->set_number(++Target.LastNumber);
  Envelope->set_heard_stream(Target.ReceivedStream);
  Envelope->set_heard_number(Target.ReceivedNumber);
  Envelope->set_reads_returns(this->Options.TwoWay && Target.IsOwnStream);
  std::size_t Bytes = Envelope->ByteSizeLong();
  ++this->Counters.EnvelopesSent;
  this->Counters.MessagesSent += Envelope->messages_size();
  this->Counters.BytesSent += Bytes;
  Target.Unacked.push_back(
      {Target.LastNumber, this->Source.now().Steady, Bytes, Envelope});
  Target.UnackedBytes += Bytes;
  this->HeldBytes += Bytes;
  ++Target.Unwritten;
  ++this->Unwritten;
  Target.Stream->write(std::move(Envelope));
}

bool LinkPool::hasRoom(const Link &Target, std::size_t Bytes) const {
  if (Target.Unacked.empty())
    return true;
  std::size_t Held = Target.UnackedBytes + Bytes;
  if (Held > this->Options.MaxHeldBytesPerPeer)
    return false;
  // Peers that do not read must not take the room of those that do.
  bool IsWithinShare = Held <= this->Options.MaxHeldBytes / this->Links.size();
  return IsWithinShare || this->HeldBytes + Bytes <= this->Options.MaxHeldBytes;
}

bool LinkPool::isCongested(const PeerRef &To) const {
  // The rest is left to messages that are not repeated.
  if (this->HeldBytes + this->QueuedBytes > this->Options.MaxHeldBytes / 2)
    return true;
  auto Found = this->Links.find(To.Address);
  return Found != this->Links.end() && Found->second.Unwritten > 0;
}

void LinkPool::forgetOldest(Link &Target) {
  std::size_t Bytes = Target.Unacked.front().Bytes;
  Target.UnackedBytes -= Bytes;
  this->HeldBytes -= Bytes;
  Target.Unacked.pop_front();
}

void LinkPool::open(Link &Target) {
  Target.StreamId = ++this->LastStreamId;
  Target.LastNumber = 0;
  Target.OpenedAt = this->Source.now().Steady;
  Target.Refused = false;
  std::shared_ptr<ReturnStream> Back = Target.Back.lock();
  Target.Back.reset();
  Target.IsOwnStream = !Back || !Back->mayAttach();
  if (!Target.IsOwnStream) {
    ++this->Counters.StreamsShared;
    Back->attach(Target);
    Target.Stream = std::move(Back);
    return;
  }
  ++this->Counters.StreamsOpened;
  auto Own =
      std::make_shared<LinkStream>(Target.Peer.Address, this->Queue, Target);
  Own->open();
  Target.Stream = std::move(Own);
}

void LinkPool::abandon(Link &Target) {
  if (Target.Stream)
    Target.Stream->release();
  Target.Stream.reset();
  this->Unwritten -= Target.Unwritten;
  Target.Unwritten = 0;
  std::deque<Sent> Lost;
  std::swap(Lost, Target.Unacked);
  this->HeldBytes -= std::exchange(Target.UnackedBytes, 0);
  this->Counters.Failed += Lost.size();
  if (!this->Failure)
    return;
  for (const Sent &Item : Lost)
    this->Failure({{Item.Envelope->recipient(), Target.Peer.Address},
                   Item.At,
                   Item.Envelope});
}

void LinkPool::reconnect(const PeerRef &To) {
  auto Found = this->Links.find(To.Address);
  if (Found == this->Links.end() || !Found->second.Stream)
    return;
  Link &Target = Found->second;
  if (this->Source.now().Steady - Target.OpenedAt <
      this->Options.MinReconnectInterval)
    return;
  this->Log.decision("stream_replaced", {{"peer", To.Node},
                                         {"address", To.Address},
                                         {"unread", Target.Unacked.size()}});
  this->abandon(Target);
}

void LinkPool::onRead(const peer::Envelope &Envelope, TimePoint Now,
                      const std::shared_ptr<ReturnStream> &Back) {
  ++this->Counters.EnvelopesRead;
  if (Envelope.sender_address().empty())
    return;
  Link &From = this->linkTo(Envelope.sender_address());
  From.Peer.Address = Envelope.sender_address();
  // A new incarnation has lower numbers if its clock was set back.
  bool Newer = Envelope.sender_incarnation() != From.PeerIncarnation ||
               Envelope.stream() > From.ReceivedStream ||
               (Envelope.stream() == From.ReceivedStream &&
                Envelope.number() > From.ReceivedNumber);
  if (Newer) {
    // An envelope of an earlier incarnation that was delayed must not end the
    // stream of the present one.
    if (Envelope.sender_incarnation() >= From.PeerIncarnation)
      this->closeReplaced(From, Back);
    From.PeerIncarnation = Envelope.sender_incarnation();
    From.ReceivedStream = Envelope.stream();
    From.ReceivedNumber = Envelope.number();
    if (this->Options.TwoWay && Envelope.reads_returns())
      this->setBack(From, Back);
  }
  From.ReceivedAt = Now;
  if (Envelope.heard_stream() == From.StreamId)
    while (!From.Unacked.empty() &&
           From.Unacked.front().Number <= Envelope.heard_number())
      this->forgetOldest(From);
}

void LinkPool::closeReplaced(Link &From,
                             const std::shared_ptr<ReturnStream> &Newest) {
  std::shared_ptr<ReturnStream> Old = From.Inbound.lock();
  if (!Newest || !Old || Old == Newest)
    return;
  // A peer that has lost its power does not end its streams.
  Old->close();
}

void LinkPool::setBack(Link &From, const std::shared_ptr<ReturnStream> &Back) {
  From.Inbound = Back;
  From.Back = Back;
  // The peer has given up its earlier stream, which may be dead.
  if (From.Stream && !From.IsOwnStream && From.Stream != Back)
    this->abandon(From);
}

bool LinkPool::isSilent(const Link &Target, TimePoint Now,
                        TimePoint LastBehind) const {
  if (!Target.Stream || Target.Unacked.empty())
    return false;
  // Until LastBehind, acknowledgements may have arrived here without being
  // read. Without this rule a busy entry replaced 22 working streams within a
  // second, which delayed it further.
  TimePoint Since = std::max(Target.Unacked.front().At, LastBehind);
  if (Now - Since < this->Options.SilenceTimeout)
    return false;
  return Target.ReceivedAt >= Since + this->Options.SilenceTimeout;
}

void LinkPool::tick(TimePoint Now, TimePoint LastBehind) {
  if (Now < this->NextCheck)
    return;
  this->NextCheck = Now + CheckInterval;
  for (auto &[Address, Target] : this->Links) {
    if (this->isSilent(Target, Now, LastBehind))
      this->reconnect(Target.Peer);
    while (!Target.Unacked.empty() &&
           Target.Unwritten < Target.Unacked.size() &&
           Now - Target.Unacked.front().At > this->Options.UnackedRetention)
      this->forgetOldest(Target);
  }
}

std::vector<LinkLoad> LinkPool::loads() const {
  std::vector<LinkLoad> Loads;
  for (const auto &[Address, Target] : this->Links) {
    if (Target.Unacked.empty())
      continue;
    LinkLoad Load{.Peer = Target.Peer,
                  .Unwritten = Target.Unwritten,
                  .Unacked = Target.Unacked.size(),
                  .UnackedBytes = Target.UnackedBytes};
    // Envelopes are written in order, so the unwritten ones are the last. One
    // may be acknowledged before its completion is handled here.
    std::size_t Written = Load.Unacked - std::min(Load.Unacked, Load.Unwritten);
    for (std::size_t I = Written; I < Load.Unacked; ++I)
      Load.UnwrittenBytes += Target.Unacked[I].Bytes;
    Loads.push_back(std::move(Load));
  }
  std::ranges::sort(Loads, std::ranges::greater(), &LinkLoad::UnackedBytes);
  return Loads;
}

std::optional<LinkState> LinkPool::stateOf(const std::string &Address) const {
  auto Found = this->Links.find(Address);
  if (Found == this->Links.end())
    return std::nullopt;
  const Link &Target = Found->second;
  LinkState State{.IsOwnStream = Target.IsOwnStream,
                  .LastEnd = Target.LastEnd,
                  .LastEndAt = Target.LastEndAt};
  if (Target.Stream)
    State.OpenedAt = Target.OpenedAt;
  if (Target.ReceivedAt != TimePoint())
    State.HeardAt = Target.ReceivedAt;
  if (!Target.Unacked.empty())
    State.AwaitedSince = Target.Unacked.front().At;
  return State;
}

void LinkPool::onWritten(Link &Target) {
  if (Target.Unwritten == 0)
    return;
  this->releaseWritten(Target);
  --Target.Unwritten;
  --this->Unwritten;
}

void LinkPool::releaseWritten(Link &Target) {
  // Envelopes are written in order, so the unwritten ones are the last. This
  // one may have been acknowledged before.
  if (this->Failure || Target.Unacked.size() < Target.Unwritten)
    return;
  Sent &Written = Target.Unacked[Target.Unacked.size() - Target.Unwritten];
  std::size_t Bytes = std::exchange(Written.Bytes, 0);
  Target.UnackedBytes -= Bytes;
  this->HeldBytes -= Bytes;
  Written.Envelope.reset();
}

void LinkPool::onRefused(Link &Target, const std::string &Reason) {
  if (Target.Refused)
    return;
  Target.Refused = true;
  this->Log.warning("{} refuses envelopes: {}.", Target.Peer.Node, Reason);
}

void LinkPool::onEnded(Link &Target, const grpc::Status &Why) {
  this->Log.debug("The stream to {} was closed: {}.", Target.Peer.Node,
                  Why.error_message());
  Target.LastEnd = Why.error_message();
  Target.LastEndAt = this->Source.now().Steady;
  this->abandon(Target);
}

} // namespace yardwheel
