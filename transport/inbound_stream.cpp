#include "transport/inbound_stream.h"

namespace yardwheel {

void InboundStream::await(peer::Link::AsyncService &Service,
                          grpc::ServerCompletionQueue &Queue) {
  this->Self = this->shared_from_this();
  Service.RequestExchange(&this->Context, &this->Stream, &Queue, &Queue,
                          this->AcceptedStep.tag());
}

void InboundStream::onAccepted(bool Ok) {
  if (!Ok) {
    this->Ended = true;
    this->settle();
    return;
  }
  this->Server.onAccepted();
  this->Accepted = true;
  this->Stream.Read(&this->Envelope, this->ReadStep.tag());
}

void InboundStream::onRead(bool Ok) {
  if (!Ok) {
    this->Ended = true;
    this->Waiting.clear();
    Events *Listener = this->Owner;
    this->Owner = nullptr;
    if (Listener != nullptr)
      Listener->onEnded({grpc::StatusCode::CANCELLED, "closed by the peer"});
    this->finishIfEnded();
    return;
  }
  std::string Reason = this->Server.check(this->Envelope);
  if (Reason.empty()) {
    this->Server.onEnvelope(this->Envelope, this->shared_from_this());
  } else {
    this->Refusal = std::move(Reason);
    this->writeNext();
  }
  this->Stream.Read(&this->Envelope, this->ReadStep.tag());
}

void InboundStream::attach(Events &NewOwner) {
  this->WasAttached = true;
  this->Owner = &NewOwner;
}

void InboundStream::write(std::shared_ptr<const peer::Envelope> Envelope) {
  this->Waiting.push_back(std::move(Envelope));
  this->writeNext();
}

void InboundStream::release() {
  this->Owner = nullptr;
  this->Waiting.clear();
}

void InboundStream::writeNext() {
  if (this->Writing || this->Ended)
    return;
  this->WritesEnvelope = false;
  peer::Receipt Receipt;
  std::shared_ptr<const peer::Envelope> Next;
  if (!this->Refusal.empty()) {
    Receipt.set_refusal(std::exchange(this->Refusal, {}));
  } else if (!this->Waiting.empty()) {
    Next = std::move(this->Waiting.front());
    this->Waiting.pop_front();
    // Lent without a copy: gRPC only encodes it, before Write() returns.
    Receipt.unsafe_arena_set_allocated_envelope(
        const_cast<peer::Envelope *>(Next.get()));
    this->WritesEnvelope = true;
  } else {
    return;
  }
  this->Writing = true;
  this->Stream.Write(Receipt, this->WrittenStep.tag());
  if (Next)
    Receipt.unsafe_arena_release_envelope();
}

void InboundStream::onWritten(bool Ok) {
  this->Writing = false;
  // After a failure, the pending read reports the end of the stream.
  if (Ok && this->WritesEnvelope && this->Owner != nullptr)
    this->Owner->onWritten();
  if (Ok)
    this->writeNext();
  this->finishIfEnded();
}

void InboundStream::finishIfEnded() {
  if (this->Ended && !this->Writing)
    this->Stream.Finish(grpc::Status::OK, this->FinishedStep.tag());
}

void InboundStream::onFinished(bool) { this->settle(); }

void InboundStream::settle() {
  if (this->Pending > 0)
    return;
  if (std::exchange(this->Accepted, false))
    this->Server.onClosed();
  this->Self.reset();
}

} // namespace yardwheel
