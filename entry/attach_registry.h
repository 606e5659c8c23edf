//===- entry/attach_registry.h - Requests to owning entries -----*- C++ -*-===//
///
/// \file
/// Tracks requests to other entries for the outcomes of jobs that those entries
/// own. Resends each request until it is answered, and gives up if the owner
/// doesn't answer or has restarted.
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

  /// Sends a request for the job \p Key to its owner.
  /// \returns the ticket of the request.
  Ticket open(const std::string &Key, const peer::Owner &Owner,
              std::uint64_t Fingerprint, AttachMode Mode, TimePoint Now);
  void close(Ticket Request) { this->Requests.erase(Request); }

  /// Records a reply. \returns whether its request is open.
  bool onReply(const peer::AttachReply &Reply, TimePoint Now);

  /// Resends requests that are due.
  /// \returns the requests that ran out of resends without an answer; the
  /// caller closes them.
  std::vector<Ticket> tick(TimePoint Now);

  /// Handles a message to \p Entry that may not have been delivered: resends
  /// its requests.
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

  /// Incarnation of this entry, which replies must name.
  std::uint64_t Incarnation;
  PeerSink &Sink;
  Ticket LastTicket = 0;
  std::map<Ticket, Request> Requests;
};

} // namespace yardwheel

#endif
