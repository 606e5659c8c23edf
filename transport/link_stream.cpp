#include "transport/link_stream.h"

#include "transport/link_pool.h"

namespace yardwheel {

namespace {

/// The timeout to connect. A peer on a small share of a core that has just
/// started, or accepts many connections, needs some hundreds of milliseconds.
/// A caller that cannot wait so long requests another connection.
constexpr std::chrono::milliseconds ConnectTimeout{1000};

grpc::ChannelArguments channelArguments() {
  grpc::ChannelArguments Arguments;
  Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, ConnectTimeout.count());
  // A new channel must not inherit the reconnect backoff of an old one.
  Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  // Retries and proxies are handled by our own code.
  Arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  Arguments.SetMaxSendMessageSize(MaxEnvelopeBytes);
  Arguments.SetMaxReceiveMessageSize(MaxEnvelopeBytes);
  Arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  return Arguments;
}

} // namespace

LinkStream::LinkStream(const std::string &Address, grpc::CompletionQueue &Queue,
                       Events &Owner)
    : Owner(&Owner), Queue(Queue),
      Stub(peer::Link::NewStub(grpc::CreateCustomChannel(
          Address, grpc::InsecureChannelCredentials(), channelArguments()))) {}

void LinkStream::open() {
  this->Self = this->shared_from_this();
  this->Call = this->Stub->PrepareAsyncExchange(&this->Context, &this->Queue);
  ++this->Pending;
  this->Call->StartCall(this->StartedStep.tag());
}

void LinkStream::write(std::shared_ptr<const peer::Envelope> Envelope) {
  this->Waiting.push_back(std::move(Envelope));
  this->writeNext();
}

void LinkStream::release() {
  this->Owner = nullptr;
  this->Waiting.clear();
  this->Context.TryCancel();
}

void LinkStream::writeNext() {
  bool MayWrite = this->Started && !this->Failed && !this->Writing;
  if (!MayWrite || this->Waiting.empty())
    return;
  this->Writing = true;
  std::shared_ptr<const peer::Envelope> Next = std::move(this->Waiting.front());
  this->Waiting.pop_front();
  ++this->Pending;
  // gRPC encodes it before it returns.
  this->Call->Write(*Next, this->WrittenStep.tag());
}

void LinkStream::onStarted(bool Ok) {
  --this->Pending;
  this->Started = true;
  if (!Ok) {
    this->Failed = true;
    this->finish();
    return;
  }
  // The read also detects the end of the stream.
  ++this->Pending;
  this->Call->Read(&this->Receipt, this->ReadStep.tag());
  this->writeNext();
}

void LinkStream::onWritten(bool Ok) {
  --this->Pending;
  this->Writing = false;
  // The pending read reports the failure.
  this->Failed = this->Failed || !Ok;
  if (Ok && this->Owner != nullptr)
    this->Owner->onWritten();
  this->writeNext();
  this->settle();
}

void LinkStream::onRead(bool Ok) {
  --this->Pending;
  if (!Ok) {
    this->Failed = true;
    this->finish();
    return;
  }
  if (this->Owner != nullptr && this->Receipt.has_envelope())
    this->Owner->onReturned(this->Receipt.envelope());
  // The handler may have released the stream.
  if (this->Owner != nullptr && !this->Receipt.refusal().empty())
    this->Owner->onRefused(this->Receipt.refusal());
  ++this->Pending;
  this->Call->Read(&this->Receipt, this->ReadStep.tag());
}

void LinkStream::finish() {
  ++this->Pending;
  this->Call->Finish(&this->Status, this->FinishedStep.tag());
}

void LinkStream::onFinished(bool) {
  --this->Pending;
  Events *Listener = this->Owner;
  this->Owner = nullptr;
  if (Listener != nullptr)
    Listener->onEnded(this->Status);
  this->settle();
}

void LinkStream::settle() {
  if (this->Pending == 0)
    this->Self.reset();
}

} // namespace yardwheel
