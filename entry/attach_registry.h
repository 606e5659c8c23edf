//===- entry/attach_registry.h - Requests to owning entries ------*- C++
//-*-===//
///
/// \file
/// The asking side of an answer that another entry owns: it asks until it is
/// answered, and gives up when the owner stays silent or has restarted.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_ATTACH_REGISTRY_H
#define YARDWHEEL_ENTRY_ATTACH_REGISTRY_H

#include "core/clock.h"
#include "core/peer_sink.h"
#include "entry/job.h"

#include <map>
#include <string>
#include <vector>

namespace yardwheel {

enum class AttachMode { Wait, Peek, Cancel };

class AttachRegistry {
public:
  AttachRegistry(std::uint64_t Incarnation, PeerSink &Sink)
      : Incarnation(Incarnation), Sink(Sink) {}

  /// Asks \p Owner for a job. \returns the number of the request.
  Ticket open(const std::string &Key, const peer::Owner &Owner,
              std::uint64_t Fingerprint, AttachMode Mode, TimePoint Now);
  void close(Ticket Request) { this->Requests.erase(Request); }

  /// Notes an answer. \returns whether the request is open.
  bool onReply(const peer::AttachReply &Reply, TimePoint Now);

  /// Asks again where due. \returns the requests whose owner stays silent;
  /// they are closed.
  std::vector<Ticket> tick(TimePoint Now);

  /// A message to an owner may not have arrived: asks again.
  void onSendFailed(const std::string &Entry, TimePoint Now);

  const peer::Owner &ownerOf(Ticket Request) const {
    return this->Requests.at(Request).Owner;
  }

private:
  struct Request {
    peer::Message Message;
    peer::Owner Owner;
    TimePoint NextSend;
    std::uint32_t Unanswered = 0;
  };

  void send(Request &Target, TimePoint Now);

  /// The life of this entry, which replies must name.
  std::uint64_t Incarnation;
  PeerSink &Sink;
  Ticket LastTicket = 0;
  std::map<Ticket, Request> Requests;
};

} // namespace yardwheel

#endif
