//===- ledger/claimant.h - An entry's claim on a job id ---------*- C++ -*-===//
///
/// \file
/// One claim, from its first message to its decision. It asks the three
/// holders of the id's group and decides on the word of two. When claims of
/// several entries split the holders, all but the one whose name sorts first
/// give theirs back, so one of them wins.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_LEDGER_CLAIMANT_H
#define YARDWHEEL_LEDGER_CLAIMANT_H

#include "catalog/node_catalog.h"
#include "core/clock.h"
#include "core/peer_sink.h"
#include "protocol/peer.pb.h"

#include <optional>
#include <string>
#include <vector>

namespace yardwheel {

/// Holders of one group; a majority of them decides.
constexpr std::size_t HoldersPerGroup = 3;
constexpr std::size_t HolderMajority = 2;

enum class ClaimResult {
  /// This entry owns the job.
  Won,
  /// Another entry owns it, or is the only one that still may.
  Held,
  /// The holders cannot know whether the job ran.
  Unknown,
  Expired,
  InFuture,
  /// Nobody has claimed the id; only for read-only claims.
  Absent,
  /// Too few holders answered in time.
  Unavailable,
  /// The holders have another epoch; try again with newer configuration.
  WrongEpoch,
};

struct ClaimDecision {
  ClaimResult Result = ClaimResult::Unavailable;
  peer::Owner Owner;
  std::uint64_t Fingerprint = 0;
};

struct ClaimTimes {
  std::chrono::milliseconds Timeout{};
  std::chrono::milliseconds ResendInterval{20};
};

/// The group that a key belongs to. \p GroupCount must not be 0.
std::uint32_t groupOf(const std::string &JobKey, std::uint32_t GroupCount);

class Claimant {
public:
  /// \param Holders The group's holders whose addresses are known.
  /// \param LikelyHeld The id was probably claimed before: one holder is asked
  /// first, and its word of an owner is enough to ask that owner.
  Claimant(peer::ClaimRequest Request, std::vector<PeerRef> Holders,
           ClaimTimes Times, TimePoint Now, bool LikelyHeld);

  /// Sends the request to every holder that has not granted it.
  void sendRequests(PeerSink &Sink);
  /// Gives every grant back, also those that may be under way.
  void release(PeerSink &Sink) const;

  std::optional<ClaimDecision> onReply(const peer::ClaimReply &Reply,
                                       PeerSink &Sink);
  /// Resends and, after the timeout, decides on what is known.
  std::optional<ClaimDecision> onTick(TimePoint Now, PeerSink &Sink);

  const peer::ClaimRequest &request() const { return this->Request; }

private:
  std::size_t count(peer::ClaimVerdict Verdict) const;
  const peer::ClaimReply *heldReply() const;
  std::size_t countHeldBy(const peer::Owner &Owner) const;
  std::optional<ClaimDecision> decide() const;
  ClaimDecision decideOnTimeout() const;
  std::optional<ClaimDecision> decideHeld() const;

  peer::ClaimRequest Request;
  std::vector<PeerRef> Holders;
  /// The newest reply of each holder, in the order of Holders.
  std::vector<std::optional<peer::ClaimReply>> Replies;
  /// Only the first holder has been asked.
  bool OnlyFirstAsked;
  ClaimTimes Times;
  TimePoint Deadline;
  TimePoint NextSend;
};

} // namespace yardwheel

#endif
