//===- agent/offer_queue.h - Offers of room to entries ----------*- C++ -*-===//
///
/// \file
/// Keeps track of the entries that wait for room for their tasks, and of the
/// room that has been offered to them and stays reserved until they accept or
/// decline.
///
/// Single-threaded; uses no sockets and no clock of its own.
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
  /// \param Timeout How long offered room stays reserved without a reply.
  explicit OfferQueue(std::chrono::milliseconds Timeout) : Timeout(Timeout) {}

  void add(Interest New);
  /// Removes the interest of a job: none of its tasks wait at this entry any
  /// more.
  void drop(const std::string &Entry, const std::string &Job);
  /// \returns the waiting interests, the most urgent first.
  std::vector<Interest> &interests() { return this->Interests; }
  /// Drops interests that are too late to start or whose tasks have all been
  /// offered room.
  void dropStale(TimePoint Now);

  /// Reserves room for some of the tasks.
  /// \returns the number of the offer.
  std::uint64_t reserve(Interest &Target, std::uint32_t Tasks, TimePoint Now);
  /// Handles an entry's reply to an offer.
  /// \param Tasks Number of tasks sent for the offer. If it is smaller than the
  /// number offered, no more tasks of the job are waiting.
  /// \returns the room that was reserved, or none if the offer is unknown or
  /// was made to another entry: offer numbers start over with each incarnation
  /// of the agent.
  peer::TaskNeeds release(const std::string &Entry, std::uint64_t Offer,
                          std::uint32_t Tasks);
  /// Removes the offers that have timed out.
  /// \returns the room that each had reserved.
  std::vector<peer::TaskNeeds> releaseExpired(TimePoint Now);
  /// Withdraws all offers.
  /// \returns the room that each had reserved.
  std::vector<peer::TaskNeeds> releaseAll();
  void clearInterests() { this->Interests.clear(); }

private:
  struct Reservation {
    std::string Entry;
    std::string Job;
    std::uint32_t Tasks = 0;
    peer::TaskNeeds Room;
    TimePoint ExpiresAt;
  };
  std::chrono::milliseconds Timeout;
  std::vector<Interest> Interests;
  std::map<std::uint64_t, Reservation> Offers;
  std::uint64_t LastOffer = 0;
};

/// \returns the needs of several equal tasks together.
peer::TaskNeeds multiplyNeeds(const peer::TaskNeeds &Needs,
                              std::uint32_t Tasks);

} // namespace yardwheel

#endif
