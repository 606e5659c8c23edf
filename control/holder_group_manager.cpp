#include "control/holder_group_manager.h"

#include "core/hash.h"
#include "ledger/claimant.h"

#include <algorithm>
#include <set>

namespace yardwheel {

namespace {

peer::Change changeOf(peer::HolderGroup Group, std::uint64_t BaseEpoch,
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
  // The first count that was committed stands, whatever the settings say.
  std::uint32_t Count = this->Options.Groups;
  if (!State.groups().empty())
    Count = State.groups().begin()->second.group_count();
  for (std::uint32_t Number = 0; Number < Count; ++Number) {
    auto Found = State.groups().find(Number);
    std::optional<peer::Change> Change;
    if (Found == State.groups().end())
      Change = this->form(Number, Members);
    else
      Change = this->repair(Found->second, Members, Now);
    if (!Change)
      continue;
    Change->mutable_set_group()->mutable_group()->set_group_count(Count);
    return Change;
  }
  return std::nullopt;
}

std::optional<peer::Change>
HolderGroupManager::form(std::uint32_t Number,
                         const MemberRegistry &Members) const {
  std::vector<std::string> Holders = this->choose({}, Number, Members);
  if (Holders.size() < HoldersPerGroup)
    return std::nullopt;
  peer::HolderGroup Group;
  Group.set_group(Number);
  Group.set_epoch(1);
  for (const std::string &Holder : Holders)
    Group.add_holders(Holder);
  return changeOf(std::move(Group), 0, false);
}

std::optional<peer::Change>
HolderGroupManager::repair(const peer::HolderGroup &Group,
                           const MemberRegistry &Members, TimePoint Now) {
  std::vector<std::string> Kept;
  for (const std::string &Holder : Group.holders())
    if (!this->isLost(Holder, Members, Now))
      Kept.push_back(Holder);
  bool Whole = Kept.size() == HoldersPerGroup;
  if (Whole && !Group.sealed())
    return std::nullopt;
  peer::HolderGroup Next = Group;
  if (!Group.sealed()) {
    // There is no use in sealing a group that cannot be filled again.
    if (this->choose(Kept, Group.group(), Members).size() < HoldersPerGroup)
      return std::nullopt;
    if (this->Options.Seals) {
      Next.set_sealed(true);
      return changeOf(std::move(Next), Group.epoch(), false);
    }
  }
  std::vector<std::string> Holders = this->choose(Kept, Group.group(), Members);
  bool May = !this->Options.Seals || this->mayReplace(Group, Members, Now);
  if (Holders.size() < HoldersPerGroup || !May)
    return std::nullopt;
  Next.set_sealed(false);
  Next.set_epoch(Group.epoch() + 1);
  Next.clear_holders();
  for (const std::string &Holder : Holders)
    Next.add_holders(Holder);
  return changeOf(std::move(Next), Group.epoch(), Group.sealed());
}

bool HolderGroupManager::mayReplace(const peer::HolderGroup &Group,
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
HolderGroupManager::choose(const std::vector<std::string> &Kept,
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
  std::set<std::string> Centres;
  auto Use = [&](const MemberRegistry::Entry &Entry) {
    Racks.insert(Entry.Member.data_centre() + "/" + Entry.Member.rack());
    Centres.insert(Entry.Member.data_centre());
  };
  for (const std::string &Name : Kept)
    if (const MemberRegistry::Entry *Entry = Members.find(Name))
      Use(*Entry);
  // Other data centres first, then other racks, then whatever there is.
  enum class Rule { OtherCentre, OtherRack, Any };
  for (Rule Wanted : {Rule::OtherCentre, Rule::OtherRack, Rule::Any}) {
    for (const Candidate &Next : Candidates) {
      const peer::Member &Member = Next.Entry->Member;
      std::string Rack = Member.data_centre() + "/" + Member.rack();
      bool Used = std::find(Chosen.begin(), Chosen.end(), Member.name()) !=
                  Chosen.end();
      bool Good = Wanted == Rule::Any ||
                  (Wanted == Rule::OtherRack && !Racks.contains(Rack)) ||
                  (Wanted == Rule::OtherCentre &&
                   !Centres.contains(Member.data_centre()));
      if (Used || !Good || Chosen.size() >= HoldersPerGroup)
        continue;
      Chosen.push_back(Member.name());
      Use(*Next.Entry);
    }
  }
  return Chosen;
}

} // namespace yardwheel
