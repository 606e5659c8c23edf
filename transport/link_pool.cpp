#include "transport/link_pool.h"

#include <fmt/format.h>
#include <grpcpp/grpcpp.h>
#include <thread>

namespace yardwheel {

namespace {

/// A peer that does not answer must not hold memory without bound.
constexpr std::uint32_t MaxInFlight = 2000;
constexpr std::chrono::milliseconds ReconnectMin{100};
constexpr std::chrono::milliseconds ReconnectMax{500};
/// An envelope that grows beyond this is sent before the flush.
constexpr std::size_t SplitBytes = MaxEnvelopeBytes / 4;

/// What one call needs until its callback.
struct Call {
  grpc::ClientContext Context;
  peer::Envelope Envelope;
  peer::Receipt Receipt;
};

TimePoint steadyNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

grpc::ChannelArguments channelArguments() {
  grpc::ChannelArguments Arguments;
  Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, ReconnectMin.count());
  Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, ReconnectMin.count());
  Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, ReconnectMax.count());
  // A new channel must not inherit an old one's wait before it connects.
  Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  // What the library would do about retries and proxies is our own work.
  Arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  Arguments.SetMaxSendMessageSize(MaxEnvelopeBytes);
  return Arguments;
}

} // namespace

LinkPool::LinkPool(LinkIdentity Self, LinkOptions Options)
    : Self(std::move(Self)), Options(Options),
      UnderWay(std::make_shared<std::atomic<std::uint64_t>>(0)),
      Counters(std::make_shared<LinkCounters>()),
      Failures(std::make_shared<LinkFailures>()) {}

std::string describeCounters(const LinkCounters &Counters) {
  struct Row {
    const char *Name;
    const std::atomic<std::uint64_t> &Count;
  };
  const Row Rows[] = {
      {"yardwheel_link_envelopes_sent_total", Counters.EnvelopesSent},
      {"yardwheel_link_messages_sent_total", Counters.MessagesSent},
      {"yardwheel_link_bytes_sent_total", Counters.BytesSent},
      {"yardwheel_link_envelopes_failed_total", Counters.Failed},
      {"yardwheel_link_messages_dropped_total", Counters.Dropped},
  };
  std::string Text;
  for (const Row &Counter : Rows)
    Text += fmt::format("{} {}\n", Counter.Name, Counter.Count.load());
  return Text;
}

void LinkFailures::open(Handler NewHandler) {
  std::lock_guard Lock(this->Mutex);
  this->Current = std::move(NewHandler);
}

void LinkFailures::report(const Undelivered &Lost) {
  std::lock_guard Lock(this->Mutex);
  if (this->Current)
    this->Current(Lost);
}

LinkPool::~LinkPool() {
  constexpr std::chrono::milliseconds Pause{5};
  while (!this->isIdle())
    std::this_thread::sleep_for(Pause);
}

LinkPool::Link &LinkPool::linkTo(const PeerRef &To) {
  auto [Found, New] = this->Links.try_emplace(To.Address);
  Link &Target = Found->second;
  if (New) {
    Target.InFlight = std::make_shared<std::atomic<std::uint32_t>>(0);
    Target.State = std::make_shared<std::atomic<LinkState>>(LinkState::Sound);
    Target.Refused = std::make_shared<std::atomic<bool>>(false);
  }
  if (New || this->mayReconnect(Target)) {
    Target.State->store(LinkState::Sound);
    connect(Target, To.Address);
  }
  // An envelope has one recipient, and its receiver refuses it as a whole.
  bool Other =
      Target.Queued.messages_size() > 0 && Target.Queued.recipient() != To.Node;
  if (Other)
    this->transmit(Target);
  Target.Queued.set_recipient(To.Node);
  Target.Peer = To;
  return Target;
}

bool LinkPool::mayReconnect(const Link &Target) const {
  LinkState Present = Target.State->load();
  bool Rested =
      steadyNow() - Target.ConnectedAt >= this->Options.ReconnectEvery;
  return Present == LinkState::Broken ||
         (Present == LinkState::Silent && Rested);
}

void LinkPool::connect(Link &Target, const std::string &Address) {
  Target.ConnectedAt = steadyNow();
  auto Channel = grpc::CreateCustomChannel(
      Address, grpc::InsecureChannelCredentials(), channelArguments());
  Target.Stub = peer::Link::NewStub(Channel);
}

void LinkPool::send(const PeerRef &To, peer::Message Message) {
  if (To.Address.empty())
    return;
  Link &Target = this->linkTo(To);
  Target.QueuedBytes += Message.ByteSizeLong();
  *Target.Queued.add_messages() = std::move(Message);
  if (Target.QueuedBytes > SplitBytes)
    this->transmit(Target);
}

void LinkPool::flush() {
  for (auto &[Address, Target] : this->Links)
    if (Target.Queued.messages_size() > 0)
      this->transmit(Target);
}

void LinkPool::transmit(Link &Target) {
  auto Open = std::make_shared<Call>();
  Open->Envelope.Swap(&Target.Queued);
  Target.QueuedBytes = 0;
  if (Target.InFlight->load() >= MaxInFlight) {
    this->Counters->Dropped += Open->Envelope.messages_size();
    return;
  }
  Open->Envelope.set_cluster(this->Self.Cluster);
  Open->Envelope.set_sender_role(this->Self.Role);
  Open->Envelope.set_sender(this->Self.Node);
  Open->Envelope.set_sender_address(this->Self.Address);
  Open->Envelope.set_sender_incarnation(this->Self.Incarnation);
  Open->Envelope.set_revision(this->Revision);
  Open->Context.set_deadline(std::chrono::system_clock::now() +
                             this->Options.CallTimeout);
  ++this->Counters->EnvelopesSent;
  this->Counters->MessagesSent += Open->Envelope.messages_size();
  this->Counters->BytesSent += Open->Envelope.ByteSizeLong();
  ++*Target.InFlight;
  ++*this->UnderWay;
  // The callback owns what it needs: the pool may be gone when it runs.
  auto Done = [Open, InFlight = Target.InFlight, State = Target.State,
               Refused = Target.Refused, Total = this->UnderWay,
               Counters = this->Counters, Failures = this->Failures,
               Peer = Target.Peer, SentAt = steadyNow(),
               Log = this->Log](const grpc::Status &Status) {
    if (!Status.ok()) {
      ++Counters->Failed;
      Log.debug("An envelope to {} failed: {}.", Open->Envelope.recipient(),
                Status.error_message());
    } else if (!Open->Receipt.refusal().empty()) {
      ++Counters->Failed;
      if (!Refused->exchange(true))
        Log.warning("{} refuses envelopes: {}.", Open->Envelope.recipient(),
                    Open->Receipt.refusal());
    } else {
      Refused->store(false);
    }
    if (!Status.ok()) {
      bool TimedOut = Status.error_code() == grpc::DEADLINE_EXCEEDED;
      State->store(TimedOut ? LinkState::Silent : LinkState::Broken);
      // The call outlives the report and keeps the envelope.
      Failures->report({Peer, SentAt, {Open, &Open->Envelope}});
    }
    --*InFlight;
    --*Total;
  };
  Target.Stub->async()->Deliver(&Open->Context, &Open->Envelope, &Open->Receipt,
                                Done);
}

} // namespace yardwheel
