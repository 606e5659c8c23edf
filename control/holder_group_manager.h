//===- control/holder_group_manager.h - Ledger holder groups ----*- C++ -*-===//
///
/// \file
/// Decides, on the leader, which agents are the holders of each ledger group.
/// A lost holder is replaced in two committed steps, so that the old and the
/// new set can never both form a majority. First the group is sealed. The next
/// epoch begins once a majority of the holders has applied the seal, or after
/// a wait so long that every entry has either received the seal or stopped
/// accepting jobs.
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
  /// Must exceed the largest entry.max_unconfirmed plus the claim timeout.
  std::chrono::milliseconds SealWait{15000};
  /// Disabled only in tests, to show the fault that sealing prevents.
  bool IsSealingEnabled = true;
};

class HolderGroupManager {
public:
  explicit HolderGroupManager(HolderGroupOptions Options) : Options(Options) {}

  /// \returns the next change that the groups need, if any. To be called on the
  /// leader, with a settled member registry and no earlier change pending.
  std::optional<peer::Change>
  next(const Catalog &State, const MemberRegistry &Members, TimePoint Now);

private:
  std::optional<peer::Change> formGroup(std::uint32_t Number,
                                        const MemberRegistry &Members) const;
  std::optional<peer::Change> repairGroup(const peer::HolderGroup &Group,
                                          const MemberRegistry &Members,
                                          TimePoint Now);
  bool canReplaceHolders(const peer::HolderGroup &Group,
                         const MemberRegistry &Members, TimePoint Now);
  bool isLost(const std::string &Holder, const MemberRegistry &Members,
              TimePoint Now);
  std::vector<std::string> chooseHolders(const std::vector<std::string> &Kept,
                                         std::uint32_t Number,
                                         const MemberRegistry &Members) const;

  HolderGroupOptions Options;
  std::map<std::string, TimePoint> LostSince;
  /// When this leader first saw a group sealed, keyed by group and epoch.
  std::map<std::pair<std::uint32_t, std::uint64_t>, TimePoint> SealedSince;
};

} // namespace yardwheel

#endif
