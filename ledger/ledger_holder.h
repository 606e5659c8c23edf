//===- ledger/ledger_holder.h - Holder of the job ledger --------*- C++ -*-===//
///
/// \file
/// A ledger holder records, in memory only, which entry owns which job id. A
/// claim succeeds if a majority of the three holders of the id's group grant
/// it.
///
/// A holder that has lost its memory must not grant an id that it may already
/// have granted. Each id carries the time of its first submission, so a holder
/// only grants ids that were first submitted after it joined the group, plus
/// twice the clock allowance. For older ids it replies that it can't know.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_LEDGER_LEDGER_HOLDER_H
#define YARDWHEEL_LEDGER_LEDGER_HOLDER_H

#include "catalog/node_catalog.h"
#include "core/clock.h"
#include "protocol/peer.pb.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace yardwheel {

struct LedgerOptions {
  std::chrono::milliseconds Retention{};
  std::chrono::milliseconds ClockAllowance{};
  /// Disabled only in tests that show why the rule is needed.
  bool RefuseUnknownPast = true;
};

class LedgerHolder {
public:
  LedgerHolder(std::string Name, LedgerOptions Options);

  /// Applies the groups of a configuration revision. Must be called for every
  /// new revision.
  void setGroups(const CatalogView &View, WallTime Now);

  peer::ClaimReply onClaim(const peer::ClaimRequest &Request, WallTime Now);
  void onRelease(const peer::ClaimRelease &Release);

  /// Removes the records of ids whose retention has ended.
  void expire(WallTime Now);

  std::size_t size() const { return this->Records.size(); }

private:
  struct GroupState {
    std::uint64_t Epoch = 0;
    bool Sealed = false;
    /// Ids first submitted up to this time may have been granted without a
    /// record here.
    WallTime RecordsCompleteSince;
  };
  struct Record {
    /// An empty entry name means that the claim was released.
    peer::Owner Owner;
    std::uint64_t Fingerprint = 0;
    std::uint64_t Attempt = 0;
    WallTime Stamp;
  };

  peer::ClaimVerdict evaluate(const peer::ClaimRequest &Request, WallTime Now,
                              peer::ClaimReply &Reply);
  peer::ClaimVerdict checkStamp(const peer::ClaimRequest &Request,
                                const GroupState &State, WallTime Now) const;
  void record(const peer::ClaimRequest &Request);

  std::string Name;
  LedgerOptions Options;
  std::unordered_map<std::uint32_t, GroupState> GroupStates;
  std::unordered_map<std::string, Record> Records;
  /// Keys in order of insertion, for expiry.
  std::deque<std::string> InsertionOrder;
};

} // namespace yardwheel

#endif
