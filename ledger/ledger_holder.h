//===- ledger/ledger_holder.h - One vote on who owns a job ------*- C++ -*-===//
///
/// \file
/// A ledger holder keeps, in memory only, which entry owns which job id. A
/// claim is won by the grants of a majority of the three holders of the id's
/// group.
///
/// A holder that has lost its memory must not grant an id that it may have
/// granted before. Ids carry their first submission, so it grants only those
/// stamped after it came to hold its seat, plus twice the clock allowance;
/// about older ones it answers that it cannot know.
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
  /// Off only in tests that show what the rule is for.
  bool RefuseUnknownPast = true;
};

class LedgerHolder {
public:
  LedgerHolder(std::string Name, LedgerOptions Options);

  /// Takes the groups that are in force; call it with every new revision.
  void setGroups(const CatalogView &View, WallTime Now);

  peer::ClaimReply onClaim(const peer::ClaimRequest &Request, WallTime Now);
  void onRelease(const peer::ClaimRelease &Release);

  /// Forgets ids older than the retention.
  void expire(WallTime Now);

  std::size_t size() const { return this->Records.size(); }

private:
  struct GroupState {
    std::uint64_t Epoch = 0;
    bool Sealed = false;
    /// Ids first submitted before this may have been granted unseen.
    WallTime RecordsCompleteSince;
  };
  struct Record {
    /// Empty entry name: the claim was given back.
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
  /// Keys in the order of their arrival, for expiry.
  std::deque<std::string> InsertionOrder;
};

} // namespace yardwheel

#endif
