#include "control/replica_manager.h"

#include <algorithm>
#include <set>

namespace yardwheel {

namespace {

peer::ReplicaSet without(const peer::ReplicaSet &Set, const std::string &Name) {
  peer::ReplicaSet Rest = Set;
  Rest.clear_replicas();
  for (const peer::Replica &Known : Set.replicas())
    if (Known.name() != Name)
      *Rest.add_replicas() = Known;
  return Rest;
}

/// Returns a copy of the set in which \p Change is applied to one replica.
template <typename Function>
peer::ReplicaSet with(const peer::ReplicaSet &Set, const std::string &Name,
                      Function Change) {
  peer::ReplicaSet New = Set;
  for (peer::Replica &Known : *New.mutable_replicas())
    if (Known.name() == Name)
      Change(Known);
  return New;
}

peer::ReplicaSet withVote(const peer::ReplicaSet &Set, const std::string &Name,
                          bool Votes) {
  return with(Set, Name,
              [&](peer::Replica &Known) { Known.set_learner(!Votes); });
}

peer::ReplicaSet withLeaving(const peer::ReplicaSet &Set,
                             const std::string &Name, bool Leaving) {
  return with(Set, Name,
              [&](peer::Replica &Known) { Known.set_leaving(Leaving); });
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

std::uint32_t hostCount(const peer::ReplicaSet &Set) {
  std::set<std::string> Addresses;
  for (const peer::Replica &Known : Set.replicas())
    Addresses.insert(Known.address());
  return static_cast<std::uint32_t>(Addresses.size());
}

std::uint32_t voterCount(const peer::ReplicaSet &Set) {
  return static_cast<std::uint32_t>(std::count_if(
      Set.replicas().begin(), Set.replicas().end(),
      [](const peer::Replica &Known) { return !Known.learner(); }));
}

std::uint32_t quorumOf(std::uint32_t Voters) { return Voters / 2 + 1; }

} // namespace

void ReplicaManager::onJoinRequest(const peer::JoinRequest &Request,
                                   TimePoint Now) {
  const peer::Replica &Joining = Request.replica();
  // Of two replicas of one address, one has lost its disk.
  std::erase_if(this->Joins, [&](const auto &Item) {
    return Item.second.Replica.address() == Joining.address();
  });
  this->Leaves.erase(Joining.name());
  this->Joins[Joining.name()] = {Joining, Now, Request.first_start()};
}

void ReplicaManager::onLeaveRequest(const peer::Replica &Leaving,
                                    TimePoint Now) {
  this->Joins.erase(Leaving.name());
  this->Leaves[Leaving.name()] = {.Replica = Leaving, .ReceivedAt = Now};
}

void ReplicaManager::dropExpired(PendingRequests &Requests,
                                 TimePoint Now) const {
  std::erase_if(Requests, [&](const auto &Item) {
    return Now - Item.second.ReceivedAt > this->Options.RequestTtl;
  });
}

bool ReplicaManager::isSilent(const View &Seen, const std::string &Name,
                              std::chrono::milliseconds Limit) {
  std::optional<TimePoint> LastHeard = Seen.Raft.lastHeard(Name);
  return LastHeard && Seen.Heard - *LastHeard > Limit;
}

std::optional<ReplicaChange> ReplicaManager::next(const RaftNode &Raft,
                                                  const std::string &Self,
                                                  TimePoint Now,
                                                  TimePoint Heard) {
  if (this->Options.Voters == 0)
    return std::nullopt;
  this->dropExpired(this->Joins, Now);
  this->dropExpired(this->Leaves, Now);
  const peer::ReplicaSet &Present = Raft.log().replicas();
  View Seen{Raft, Self, std::min(Heard, Now), Present, voterCount(Present)};
  // Goes before all else: the set tolerates no fewer losses without a replica
  // that is lost for good, and other replicas must not leave in its place.
  if (const peer::Replica *Lost = this->findRemovableLoss(Seen))
    return ReplicaChange{without(Present, Lost->name()), Lost->name(),
                         "removed, has lost its disk"};
  if (const peer::Replica *Silent = this->findSilentLearner(Seen))
    return ReplicaChange{without(Present, Silent->name()), Silent->name(),
                         "removed, a silent learner"};
  if (auto Marked = this->markLeaving(Seen))
    return Marked;
  if (auto Added = this->addJoiner(Seen))
    return Added;
  return this->changeSize(Seen);
}

bool ReplicaManager::mayStop(const RaftNode &Raft,
                             const std::string &Name) const {
  if (this->Options.Voters == 0)
    return true;
  if (Raft.log().replicasIndex() > Raft.commitIndex())
    return false;
  const peer::ReplicaSet &Present = Raft.log().replicas();
  const peer::Replica *Known = find(Present, Name);
  if (Known == nullptr)
    return true;
  bool IsSpare = voterCount(Present) > this->Options.Voters;
  bool HasLearner =
      std::ranges::any_of(Present.replicas(), &peer::Replica::learner);
  return Known->leaving() && !IsSpare && !HasLearner;
}

std::optional<ReplicaChange>
ReplicaManager::markLeaving(const View &Seen) const {
  for (const auto &[Name, Request] : this->Leaves) {
    const peer::Replica *Known = find(Seen.Present, Name);
    if (Known == nullptr || Known->leaving())
      continue;
    if (Known->learner())
      return ReplicaChange{without(Seen.Present, Name), Name,
                           "removed, a learner that shuts down"};
    return ReplicaChange{withLeaving(Seen.Present, Name, true), Name,
                         "shuts down"};
  }
  return std::nullopt;
}

std::optional<ReplicaChange> ReplicaManager::addJoiner(const View &Seen) const {
  for (const auto &[Name, Request] : this->Joins) {
    const peer::Replica *Known = find(Seen.Present, Name);
    if (Known != nullptr && !Known->leaving())
      continue;
    if (Known != nullptr)
      return ReplicaChange{withLeaving(Seen.Present, Name, false), Name,
                           "is back"};
    peer::ReplicaSet New = Seen.Present;
    // A set of an older build does not have the number.
    if (New.initial_hosts() == 0)
      New.set_initial_hosts(hostCount(New));
    if (Request.IsFirstStart && countAt(New, Request.Replica.address()) == 0)
      New.set_initial_hosts(New.initial_hosts() + 1);
    peer::Replica *Added = New.add_replicas();
    *Added = Request.Replica;
    Added->set_learner(true);
    Added->set_leaving(false);
    return ReplicaChange{New, Name, "added"};
  }
  return std::nullopt;
}

std::optional<ReplicaChange>
ReplicaManager::changeSize(const View &Seen) const {
  const peer::Replica *Outgoing = this->findOutgoing(Seen);
  bool IsSpare = Seen.Voters > this->Options.Voters;
  if (Outgoing != nullptr && IsSpare)
    return ReplicaChange{
        without(Seen.Present, Outgoing->name()), Outgoing->name(),
        Outgoing->leaving() ? "removed, shuts down" : "removed, silent"};
  bool IsEven = Seen.Voters % 2 == 0;
  std::vector<const peer::Replica *> Successors = this->findSuccessors(Seen);
  bool IsWanted = Seen.Voters < this->Options.Voters || Outgoing != nullptr ||
                  IsEven || Successors.size() > 1 || hasSuccessor(Seen.Present);
  if (!Successors.empty() && IsWanted)
    return ReplicaChange{
        withVote(Seen.Present, Successors.front()->name(), /*Votes=*/true),
        Successors.front()->name(), "promoted"};
  if (!IsSpare || !IsEven || Outgoing != nullptr || hasSuccessor(Seen.Present))
    return std::nullopt;
  if (const peer::Replica *Surplus = this->findSurplus(Seen))
    return ReplicaChange{
        withVote(Seen.Present, Surplus->name(), /*Votes=*/false),
        Surplus->name(), "demoted"};
  return std::nullopt;
}

const peer::Replica *ReplicaManager::findRemovableLoss(const View &Seen) const {
  // A quorum of fewer hosts could lose what it has acknowledged.
  bool MayLoseVoter =
      quorumOf(Seen.Voters - 1) >= quorumOf(this->Options.Voters);
  for (const peer::Replica &Known : Seen.Present.replicas())
    if ((Known.learner() || MayLoseVoter) && this->isSuperseded(Known, Seen))
      return &Known;
  return nullptr;
}

bool ReplicaManager::hasSuccessor(const peer::ReplicaSet &Set) {
  return Set.initial_hosts() > 0 && hostCount(Set) > Set.initial_hosts();
}

bool ReplicaManager::isSuperseded(const peer::Replica &Old,
                                  const View &Seen) const {
  if (Seen.Raft.hasLostDisk(Old.name()))
    return true;
  if (Old.name() == Seen.Self ||
      !isSilent(Seen, Old.name(), this->Options.SupersededAfter))
    return false;
  std::optional<TimePoint> LastReply = Seen.Raft.lastReply(Old.name());
  return std::any_of(
      Seen.Present.replicas().begin(), Seen.Present.replicas().end(),
      [&](const peer::Replica &Other) {
        if (Other.name() == Old.name() || Other.address() != Old.address())
          return false;
        // std::nullopt is less than any time.
        return Other.name() == Seen.Self ||
               Seen.Raft.lastReply(Other.name()) > LastReply;
      });
}

bool ReplicaManager::mayVote(const peer::Replica &Learner,
                             const View &Seen) const {
  // A host has one vote, unless the other one can never be cast again.
  return std::all_of(Seen.Present.replicas().begin(),
                     Seen.Present.replicas().end(),
                     [&](const peer::Replica &Other) {
                       return Other.learner() ||
                              Other.address() != Learner.address() ||
                              this->isSuperseded(Other, Seen);
                     });
}

std::vector<const peer::Replica *>
ReplicaManager::findSuccessors(const View &Seen) const {
  std::vector<const peer::Replica *> Successors;
  for (const peer::Replica &Known : Seen.Present.replicas())
    if (Known.learner() && this->mayVote(Known, Seen) &&
        Seen.Raft.isCaughtUp(Known.name()) &&
        !isSilent(Seen, Known.name(), this->Options.RequestTtl))
      Successors.push_back(&Known);
  return Successors;
}

const peer::Replica *ReplicaManager::findOutgoing(const View &Seen) const {
  const peer::Replica *Longest = nullptr;
  const peer::Replica *Leaving = nullptr;
  for (const peer::Replica &Known : Seen.Present.replicas()) {
    if (Known.learner())
      continue;
    bool IsSelf = Known.name() == Seen.Self;
    // The leader hands over its own vote last.
    if (Known.leaving() && (Leaving == nullptr || !IsSelf))
      Leaving = &Known;
    if (IsSelf)
      continue;
    bool Silent = isSilent(Seen, Known.name(), this->Options.ReplaceAfter);
    // Another voter must not leave while this one may turn out to be lost.
    if (countAt(Seen.Present, Known.address()) > 1)
      return Silent ? &Known : nullptr;
    if (!Silent)
      continue;
    if (Longest == nullptr || Seen.Raft.lastHeard(Known.name()) <
                                  Seen.Raft.lastHeard(Longest->name()))
      Longest = &Known;
  }
  return Longest != nullptr ? Longest : Leaving;
}

const peer::Replica *ReplicaManager::findSurplus(const View &Seen) const {
  const peer::Replica *Longest = nullptr;
  for (const peer::Replica &Known : Seen.Present.replicas()) {
    // A learner that catches up makes the size odd as well, and a voter whose
    // host has another replica may turn out to be lost.
    if (Known.learner() || countAt(Seen.Present, Known.address()) > 1)
      return nullptr;
    if (Known.name() == Seen.Self)
      continue;
    if (Longest == nullptr || Seen.Raft.lastHeard(Known.name()) <
                                  Seen.Raft.lastHeard(Longest->name()))
      Longest = &Known;
  }
  return Longest;
}

const peer::Replica *ReplicaManager::findSilentLearner(const View &Seen) const {
  for (const peer::Replica &Known : Seen.Present.replicas())
    if (Known.learner() &&
        isSilent(Seen, Known.name(), this->Options.LearnerTimeout))
      return &Known;
  return nullptr;
}

} // namespace yardwheel
