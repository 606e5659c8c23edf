//===- agent/offer_queue.h - Room offered to waiting entries ----*- C++ -*-===//
///
/// \file
/// Remembers which entries wait for room for tasks of theirs, and which room
/// has been offered to them and is held until they take it up or decline.
///
/// Single-threaded, without sockets or clocks.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_AGENT_OFFER_QUEUE_H
#define YARDWHEEL_AGENT_OFFER_QUEUE_H

#include "core/clock.h"
#include "core/peer_sink.h"
#include "protocol/peer.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace yardwheel {

/// Tasks of a job that wait at their entry.
struct Interest {
  PeerRef Entry;
  std::string Job;
  peer::TaskNeeds Needs;
  std::uint32_t Tasks = 0;
  TimePoint StartBy;
};

class OfferQueue {
public:
  /// \param Timeout How long offered room is held for an answer.
  explicit OfferQueue(std::chrono::milliseconds Timeout) : Timeout(Timeout) {}

  void add(Interest New);
  /// No more tasks of the job wait at this entry.
  void drop(const std::string &Entry, const std::string &Job);
  /// Those that wait, the most urgent first.
  std::vector<Interest> &interests() { return this->Interests; }
  /// Drops interests whose time is over or whose tasks have all been offered.
  void dropStale(TimePoint Now);

  /// Holds room for some tasks. \returns the number of the offer.
  std::uint64_t hold(Interest &Target, std::uint32_t Tasks, TimePoint Now);
  /// The offer has been answered by this entry, and this many tasks are sent
  /// for it; with fewer than were offered, no more of the job wait. \returns
  /// the room that it held, if it did; numbers of offers begin anew with each
  /// agent's life, so one made to another entry is not meant.
  peer::TaskNeeds release(const std::string &Entry, std::uint64_t Offer,
                          std::uint32_t Tasks);
  /// \returns the room of offers that have stayed without an answer.
  std::vector<peer::TaskNeeds> releaseExpired(TimePoint Now);
  /// Withdraws all offers. \returns the room that they held.
  std::vector<peer::TaskNeeds> releaseAll();
  void clearInterests() { this->Interests.clear(); }

private:
  struct Held {
    std::string Entry;
    std::string Job;
    std::uint32_t Tasks = 0;
    peer::TaskNeeds Room;
    TimePoint Until;
  };
  std::chrono::milliseconds Timeout;
  std::vector<Interest> Interests;
  std::map<std::uint64_t, Held> Offers;
  std::uint64_t LastOffer = 0;
};

/// What several tasks of the same needs take together.
peer::TaskNeeds multiplyNeeds(const peer::TaskNeeds &Needs,
                              std::uint32_t Tasks);

} // namespace yardwheel

#endif
