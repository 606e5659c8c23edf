//===- transport/envelope_stream.h - Sends envelopes to a peer --*- C++ -*-===//
///
/// \file
/// A way to send envelopes to one peer: a stream that this process has opened,
/// or the way back on one that the peer has opened and reads. For the event
/// loop's thread only.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TRANSPORT_ENVELOPE_STREAM_H
#define YARDWHEEL_TRANSPORT_ENVELOPE_STREAM_H

#include "protocol/peer.grpc.pb.h"

#include <memory>
#include <string>

namespace yardwheel {

class EnvelopeStream {
public:
  /// Receives the events of a stream until release().
  class Events {
  public:
    virtual ~Events() = default;
    /// An envelope has been written to the connection.
    virtual void onWritten() = 0;
    /// The peer has refused an envelope.
    virtual void onRefused(const std::string &Reason) = 0;
    /// The peer has sent an envelope back.
    virtual void onReturned(const peer::Envelope &Envelope) = 0;
    /// The stream has failed or was closed by the peer.
    virtual void onEnded(const grpc::Status &Why) = 0;
  };

  virtual ~EnvelopeStream() = default;
  virtual void write(std::shared_ptr<const peer::Envelope> Envelope) = 0;
  /// Stops sending. The owner receives no further events.
  virtual void release() = 0;
  /// Returns the number of envelopes that wait to be written.
  virtual std::size_t waiting() const = 0;
};

/// The way back on a stream that a peer has opened.
class ReturnStream : public EnvelopeStream {
public:
  /// Returns whether it can be attached: it is open and has had no owner yet.
  virtual bool mayAttach() const = 0;
  /// Sets the owner, which may then send envelopes. To be called once.
  virtual void attach(Events &NewOwner) = 0;
  /// Ends the stream, which the peer has replaced by another one.
  virtual void close() = 0;
};

} // namespace yardwheel

#endif
