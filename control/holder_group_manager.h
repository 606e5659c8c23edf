//===- control/holder_group_manager.h - Seats of ledger holders -*- C++ -*-===//
///
/// \file
/// Decides, on the leading replica, which agents hold the seats of each
/// ledger group. A lost holder is replaced in two committed steps, so that
/// the old set can form no majority when the new one may: first the group is
/// sealed; once a majority of its holders has the seal in force, or so long
/// after it that every entry has either heard of it or stopped taking jobs,
/// the next epoch begins.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CONTROL_HOLDER_GROUP_MANAGER_H
#define YARDWHEEL_CONTROL_HOLDER_GROUP_MANAGER_H

#include "catalog/catalog.h"
#include "core/clock.h"
#include "membership/member_registry.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yardwheel {

struct HolderGroupOptions {
  std::uint32_t Groups = 1;
  std::chrono::milliseconds ReplaceAfter{30000};
  /// Longer than the longest entry.max_unconfirmed plus a claim's time-out.
  std::chrono::milliseconds SealWait{15000};
  /// Off only in tests that show what the seal is for.
  bool Seals = true;
};

class HolderGroupManager {
public:
  explicit HolderGroupManager(HolderGroupOptions Options) : Options(Options) {}

  /// The next change that the groups need, if any. Call it on the leader,
  /// with a settled table, when no earlier change of it is under way.
  std::optional<peer::Change>
  next(const Catalog &State, const MemberRegistry &Members, TimePoint Now);

private:
  std::optional<peer::Change> form(std::uint32_t Number,
                                   const MemberRegistry &Members) const;
  std::optional<peer::Change> repair(const peer::HolderGroup &Group,
                                     const MemberRegistry &Members,
                                     TimePoint Now);
  bool mayReplace(const peer::HolderGroup &Group, const MemberRegistry &Members,
                  TimePoint Now);
  bool isLost(const std::string &Holder, const MemberRegistry &Members,
              TimePoint Now);
  std::vector<std::string> choose(const std::vector<std::string> &Kept,
                                  std::uint32_t Number,
                                  const MemberRegistry &Members) const;

  HolderGroupOptions Options;
  std::map<std::string, TimePoint> LostSince;
  /// When this leader first saw a group sealed, by group and epoch.
  std::map<std::pair<std::uint32_t, std::uint64_t>, TimePoint> SealedSince;
};

} // namespace yardwheel

#endif
