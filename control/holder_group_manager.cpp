#include "control/holder_group_manager.h"

#include "core/hash.h"
#include "ledger/claimant.h"

#include <algorithm>
#include <set>

namespace yardwheel {

namespace {

peer::Change makeGroupChange(peer::HolderGroup Group, std::uint64_t BaseEpoch,
                             bool BaseSealed) {
  peer::Change Change;
  peer::SetGroup *Body = Change.mutable_set_group();
  *Body->mutable_group() = std::move(Group);
  Body->set_base_epoch(BaseEpoch);
  Body->set_base_sealed(BaseSealed);
  return Change;
}

bool isAliveAgent(const MemberRegistry::Entry *Candidate) {
  return Candidate != nullptr && Candidate->Member.role() == peer::ROLE_AGENT &&
         Candidate->Member.state() == peer::MEMBER_ALIVE;
}

} // namespace

std::optional<peer::Change>
HolderGroupManager::next(const Catalog &State, const MemberRegistry &Members,
                         TimePoint Now) {
  // The number of groups is fixed by the first committed group; a later change
  // of the setting has no effect.
  std::uint32_t Count = this->Options.Groups;
  if (!State.groups().empty())
    Count = State.groups().begin()->second.group_count();
  for (std::uint32_t Number = 0; Number < Count; ++Number) {
    auto Found = State.groups().find(Number);
    std::optional<peer::Change> Change;
    if (Found == State.groups().end())
      Change = this->formGroup(Number, Members);
    else
      Change = this->repairGroup(Found->second, Members, Now);
    if (!Change)
      continue;
    Change->mutable_set_group()->mutable_group()->set_group_count(Count);
    return Change;
  }
  return std::nullopt;
}

std::optional<peer::Change>
HolderGroupManager::formGroup(std::uint32_t Number,
                              const MemberRegistry &Members) const {
  std::vector<std::string> Holders = this->chooseHolders({}, Number, Members);
  if (Holders.size() < HoldersPerGroup)
    return std::nullopt;
  peer::HolderGroup Group;
  Group.set_group(Number);
  Group.set_epoch(1);
  for (const std::string &Holder : Holders)
    Group.add_holders(Holder);
  return makeGroupChange(std::move(Group), 0, false);
}

std::optional<peer::Change>
HolderGroupManager::repairGroup(const peer::HolderGroup &Group,
                                const MemberRegistry &Members, TimePoint Now) {
  std::vector<std::string> Kept;
  for (const std::string &Holder : Group.holders())
    if (!this->isLost(Holder, Members, Now))
      Kept.push_back(Holder);
  bool IsComplete = Kept.size() == HoldersPerGroup;
  if (IsComplete && !Group.sealed())
    return std::nullopt;
  peer::HolderGroup Next = Group;
  if (!Group.sealed()) {
    // Don't seal a group for which there are not enough replacement holders.
    if (this->chooseHolders(Kept, Group.group(), Members).size() <
        HoldersPerGroup)
      return std::nullopt;
    if (this->Options.IsSealingEnabled) {
      Next.set_sealed(true);
      return makeGroupChange(std::move(Next), Group.epoch(), false);
    }
  }
  std::vector<std::string> Holders =
      this->chooseHolders(Kept, Group.group(), Members);
  bool CanReplace = !this->Options.IsSealingEnabled ||
                    this->canReplaceHolders(Group, Members, Now);
  if (Holders.size() < HoldersPerGroup || !CanReplace)
    return std::nullopt;
  Next.set_sealed(false);
  Next.set_epoch(Group.epoch() + 1);
  Next.clear_holders();
  for (const std::string &Holder : Holders)
    Next.add_holders(Holder);
  return makeGroupChange(std::move(Next), Group.epoch(), Group.sealed());
}

bool HolderGroupManager::canReplaceHolders(const peer::HolderGroup &Group,
                                           const MemberRegistry &Members,
                                           TimePoint Now) {
  auto Key = std::make_pair(Group.group(), Group.epoch());
  TimePoint Since = this->SealedSince.try_emplace(Key, Now).first->second;
  if (Now - Since >= this->Options.SealWait)
    return true;
  auto HasSeal = [&](const std::string &Holder) {
    const MemberRegistry::Entry *Known = Members.find(Holder);
    return isAliveAgent(Known) && Known->Revision >= Group.revision();
  };
  auto Sealed =
      std::count_if(Group.holders().begin(), Group.holders().end(), HasSeal);
  return static_cast<std::size_t>(Sealed) >= HolderMajority;
}

bool HolderGroupManager::isLost(const std::string &Holder,
                                const MemberRegistry &Members, TimePoint Now) {
  if (isAliveAgent(Members.find(Holder))) {
    this->LostSince.erase(Holder);
    return false;
  }
  TimePoint Since = this->LostSince.try_emplace(Holder, Now).first->second;
  return Now - Since >= this->Options.ReplaceAfter;
}

std::vector<std::string>
HolderGroupManager::chooseHolders(const std::vector<std::string> &Kept,
                                  std::uint32_t Number,
                                  const MemberRegistry &Members) const {
  struct Candidate {
    std::uint64_t Rank = 0;
    const MemberRegistry::Entry *Entry = nullptr;
  };
  std::vector<Candidate> Candidates;
  for (const auto &[Name, Entry] : Members.entries())
    if (isAliveAgent(&Entry) &&
        std::find(Kept.begin(), Kept.end(), Name) == Kept.end())
      Candidates.push_back({combineHash(stableHash(Name), Number), &Entry});
  std::sort(
      Candidates.begin(), Candidates.end(),
      [](const Candidate &A, const Candidate &B) { return A.Rank < B.Rank; });
  std::vector<std::string> Chosen = Kept;
  std::set<std::string> Racks;
  std::set<std::string> DataCentres;
  auto MarkUsed = [&](const MemberRegistry::Entry &Entry) {
    Racks.insert(Entry.Member.data_centre() + "/" + Entry.Member.rack());
    DataCentres.insert(Entry.Member.data_centre());
  };
  for (const std::string &Name : Kept)
    if (const MemberRegistry::Entry *Entry = Members.find(Name))
      MarkUsed(*Entry);
  // Prefer agents in other data centres, then in other racks, then any.
  enum class Spread { OtherDataCentre, OtherRack, Any };
  for (Spread Wanted :
       {Spread::OtherDataCentre, Spread::OtherRack, Spread::Any}) {
    for (const Candidate &Next : Candidates) {
      const peer::Member &Member = Next.Entry->Member;
      std::string Rack = Member.data_centre() + "/" + Member.rack();
      bool IsChosen = std::find(Chosen.begin(), Chosen.end(), Member.name()) !=
                      Chosen.end();
      bool IsAllowed = Wanted == Spread::Any ||
                       (Wanted == Spread::OtherRack && !Racks.contains(Rack)) ||
                       (Wanted == Spread::OtherDataCentre &&
                        !DataCentres.contains(Member.data_centre()));
      if (IsChosen || !IsAllowed || Chosen.size() >= HoldersPerGroup)
        continue;
      Chosen.push_back(Member.name());
      MarkUsed(*Next.Entry);
    }
  }
  return Chosen;
}

} // namespace yardwheel
