//===- ledger/claimant.h - An entry's claim on a job id ---------*- C++ -*-===//
///
/// \file
/// One claim, from its first message to its decision. It asks the three holders
/// of the id's group and decides by majority. If claims from several entries
/// split the holders, every claimant except the one whose entry name sorts
/// first releases its grants, so that one of them wins.
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

/// Number of holders per group; a majority of them decides.
constexpr std::size_t HoldersPerGroup = 3;
constexpr std::size_t HolderMajority = 2;

enum class ClaimResult {
  /// This entry owns the job.
  Won,
  /// Another entry owns the job, or is the only one that still may.
  Held,
  /// The holders can't tell whether the job ran.
  Unknown,
  Expired,
  InFuture,
  /// No entry has claimed the id; only for read-only claims.
  Absent,
  /// Too few holders replied in time.
  Unavailable,
  /// The holders are in another epoch; retry with a newer configuration.
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

/// Returns the group that a key belongs to. \p GroupCount must not be 0.
std::uint32_t groupOf(const std::string &JobKey, std::uint32_t GroupCount);

class Claimant {
public:
  /// \param Holders The group's holders with known addresses.
  /// \param LikelyHeld The id was probably claimed before: only the first
  /// holder is asked at first. If it names an owner, that reply is enough to
  /// decide.
  Claimant(peer::ClaimRequest Request, std::vector<PeerRef> Holders,
           ClaimTimes Times, TimePoint Now, bool LikelyHeld);

  /// Sends the request to every holder that has not granted it.
  void sendRequests(PeerSink &Sink);
  /// Releases all grants, including those whose replies may still be in flight.
  void release(PeerSink &Sink) const;

  std::optional<ClaimDecision> onReply(const peer::ClaimReply &Reply,
                                       PeerSink &Sink);
  /// Resends requests that are due. After the timeout, decides from the replies
  /// received so far.
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
  /// Only the first holder has been asked so far.
  bool OnlyFirstAsked;
  ClaimTimes Times;
  TimePoint Deadline;
  TimePoint NextSend;
};

} // namespace yardwheel

#endif
