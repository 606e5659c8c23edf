#include "control/replica_manager.h"

#include <algorithm>

namespace yardwheel {

namespace {

peer::ReplicaSet without(const peer::ReplicaSet &Set, const std::string &Name) {
  peer::ReplicaSet Rest;
  for (const peer::Replica &Known : Set.replicas())
    if (Known.name() != Name)
      *Rest.add_replicas() = Known;
  return Rest;
}

peer::ReplicaSet promoted(const peer::ReplicaSet &Set,
                          const std::string &Name) {
  peer::ReplicaSet New = Set;
  for (peer::Replica &Known : *New.mutable_replicas())
    if (Known.name() == Name)
      Known.set_learner(false);
  return New;
}

const peer::Replica *find(const peer::ReplicaSet &Set,
                          const std::string &Name) {
  for (const peer::Replica &Known : Set.replicas())
    if (Known.name() == Name)
      return &Known;
  return nullptr;
}

std::size_t countAt(const peer::ReplicaSet &Set, const std::string &Address) {
  return static_cast<std::size_t>(std::count_if(
      Set.replicas().begin(), Set.replicas().end(),
      [&](const peer::Replica &Known) { return Known.address() == Address; }));
}

std::uint32_t voterCount(const peer::ReplicaSet &Set) {
  return static_cast<std::uint32_t>(std::count_if(
      Set.replicas().begin(), Set.replicas().end(),
      [](const peer::Replica &Known) { return !Known.learner(); }));
}

std::uint32_t quorumOf(std::uint32_t Voters) { return Voters / 2 + 1; }

} // namespace

void ReplicaManager::onJoinRequest(const peer::Replica &Joining,
                                   TimePoint Now) {
  // Of two replicas of one address, one has lost its disk.
  std::erase_if(this->PendingJoins, [&](const auto &Item) {
    return Item.second.Replica.address() == Joining.address();
  });
  this->PendingJoins[Joining.name()] = {Joining, Now};
}

bool ReplicaManager::isSilent(const RaftNode &Raft, const std::string &Name,
                              std::chrono::milliseconds Limit, TimePoint Now) {
  std::optional<TimePoint> Heard = Raft.lastHeard(Name);
  return Heard && Now - *Heard > Limit;
}

std::optional<peer::ReplicaSet> ReplicaManager::next(const RaftNode &Raft,
                                                     const std::string &Self,
                                                     TimePoint Now) {
  if (this->Options.Voters == 0)
    return std::nullopt;
  std::erase_if(this->PendingJoins, [&](const auto &Item) {
    return Now - Item.second.ReceivedAt > this->Options.JoinRequestTtl;
  });
  const peer::ReplicaSet &Present = Raft.log().replicas();
  // Goes before all else: the set tolerates no fewer losses without a replica
  // that is lost for good, and other replicas must not leave in its place.
  if (const peer::Replica *Lost =
          this->findRemovableLoss(Present, Raft, Self, Now))
    return without(Present, Lost->name());
  if (const peer::Replica *Silent = this->findSilentLearner(Present, Raft, Now))
    return without(Present, Silent->name());
  if (auto Added = this->addJoiner(Present, Now))
    return Added;
  const peer::Replica *Successor =
      this->findSuccessor(Present, Raft, Self, Now);
  if (Successor == nullptr)
    return std::nullopt;
  if (voterCount(Present) < this->Options.Voters)
    return promoted(Present, Successor->name());
  const peer::Replica *Outgoing = this->findOutgoing(Present, Raft, Self, Now);
  if (Outgoing == nullptr)
    return std::nullopt;
  return without(Present, Outgoing->name());
}

std::optional<peer::ReplicaSet>
ReplicaManager::addJoiner(const peer::ReplicaSet &Present, TimePoint Now) {
  for (const auto &[Name, Joining] : this->PendingJoins) {
    if (find(Present, Name) != nullptr)
      continue;
    peer::ReplicaSet New = Present;
    peer::Replica *Added = New.add_replicas();
    *Added = Joining.Replica;
    Added->set_learner(true);
    return New;
  }
  return std::nullopt;
}

const peer::Replica *
ReplicaManager::findRemovableLoss(const peer::ReplicaSet &Present,
                                  const RaftNode &Raft, const std::string &Self,
                                  TimePoint Now) const {
  // A quorum of fewer hosts could lose what it has acknowledged.
  bool MayLoseVoter =
      quorumOf(voterCount(Present) - 1) >= quorumOf(this->Options.Voters);
  for (const peer::Replica &Known : Present.replicas())
    if ((Known.learner() || MayLoseVoter) &&
        this->isSuperseded(Known, Present, Raft, Self, Now))
      return &Known;
  return nullptr;
}

bool ReplicaManager::isSuperseded(const peer::Replica &Old,
                                  const peer::ReplicaSet &Present,
                                  const RaftNode &Raft, const std::string &Self,
                                  TimePoint Now) const {
  if (Old.name() == Self ||
      !isSilent(Raft, Old.name(), this->Options.SupersededAfter, Now))
    return false;
  std::optional<TimePoint> LastReply = Raft.lastReply(Old.name());
  return std::any_of(
      Present.replicas().begin(), Present.replicas().end(),
      [&](const peer::Replica &Other) {
        if (Other.name() == Old.name() || Other.address() != Old.address())
          return false;
        // std::nullopt is less than any time.
        return Other.name() == Self || Raft.lastReply(Other.name()) > LastReply;
      });
}

const peer::Replica *
ReplicaManager::findSuccessor(const peer::ReplicaSet &Present,
                              const RaftNode &Raft, const std::string &Self,
                              TimePoint Now) const {
  // A host has one vote, unless the other one can never be cast again.
  auto MayVote = [&](const peer::Replica &Learner) {
    return std::all_of(
        Present.replicas().begin(), Present.replicas().end(),
        [&](const peer::Replica &Other) {
          return Other.learner() || Other.address() != Learner.address() ||
                 this->isSuperseded(Other, Present, Raft, Self, Now);
        });
  };
  for (const peer::Replica &Known : Present.replicas())
    if (Known.learner() && MayVote(Known) && Raft.isCaughtUp(Known.name()) &&
        !isSilent(Raft, Known.name(), this->Options.JoinRequestTtl, Now))
      return &Known;
  return nullptr;
}

const peer::Replica *
ReplicaManager::findOutgoing(const peer::ReplicaSet &Present,
                             const RaftNode &Raft, const std::string &Self,
                             TimePoint Now) const {
  const peer::Replica *Longest = nullptr;
  for (const peer::Replica &Known : Present.replicas()) {
    if (Known.learner() || Known.name() == Self)
      continue;
    bool Silent = isSilent(Raft, Known.name(), this->Options.ReplaceAfter, Now);
    // Another voter must not leave while this one may turn out to be lost.
    if (countAt(Present, Known.address()) > 1)
      return Silent ? &Known : nullptr;
    if (!Silent)
      continue;
    if (Longest == nullptr ||
        Raft.lastHeard(Known.name()) < Raft.lastHeard(Longest->name()))
      Longest = &Known;
  }
  return Longest;
}

const peer::Replica *
ReplicaManager::findSilentLearner(const peer::ReplicaSet &Present,
                                  const RaftNode &Raft, TimePoint Now) const {
  for (const peer::Replica &Known : Present.replicas())
    if (Known.learner() &&
        isSilent(Raft, Known.name(), this->Options.LearnerTimeout, Now))
      return &Known;
  return nullptr;
}

} // namespace yardwheel
