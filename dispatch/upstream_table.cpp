#include "dispatch/upstream_table.h"

#include "core/hash.h"

#include <algorithm>

namespace yardwheel {

namespace {

constexpr std::size_t NotEligible = SIZE_MAX;
constexpr std::uint32_t WholePercent = 100;
/// Maximum length of an agent's queue that the ByQueueRoom index distinguishes.
constexpr int QueueRoomRange = 256;

} // namespace

bool fits(const peer::Resources &Has, const peer::Resources &Needs) {
  return Has.cpus() >= Needs.cpus() && Has.memory_mb() >= Needs.memory_mb() &&
         Has.accelerators() >= Needs.accelerators();
}

UpstreamIndex UpstreamTable::update(const peer::Member &Member,
                                    bool &Replaced) {
  auto [Found, New] = this->ByName.try_emplace(
      Member.name(), static_cast<UpstreamIndex>(this->Upstreams.size()));
  UpstreamIndex Index = Found->second;
  if (New) {
    this->Upstreams.emplace_back();
    this->EligiblePosition.push_back(NotEligible);
  }
  Upstream &Target = this->Upstreams[Index];
  bool WasAlive = Target.Alive;
  bool NewIncarnation = Target.Incarnation != Member.incarnation();
  Replaced = !New && NewIncarnation;
  if (NewIncarnation) {
    if (Target.Ejected)
      --this->EjectedCount;
    // The state of the older incarnation doesn't apply to the new one.
    Target = Upstream();
    Target.Incarnation = Member.incarnation();
    Target.Freshness = Member.freshness();
  }
  Target.Name = Member.name();
  Target.Agent = {Member.name(), Member.address()};
  Target.Slots = Member.slots();
  Target.Resources = Member.resources();
  Target.DataCentre = Member.data_centre();
  Target.Evacuated = this->EvacuatedDataCentres.contains(Target.DataCentre);
  Target.Alive = Member.state() == peer::MEMBER_ALIVE;
  if (WasAlive && Member.state() == peer::MEMBER_LOST)
    Replaced = true;
  this->assignShare(Target);
  this->reindex(Index);
  return Index;
}

void UpstreamTable::setEvacuated(const std::set<std::string> &DataCentres) {
  this->EvacuatedDataCentres = DataCentres;
  for (UpstreamIndex I = 0; I < this->Upstreams.size(); ++I) {
    Upstream &Target = this->Upstreams[I];
    bool WasEvacuated = Target.Evacuated;
    Target.Evacuated = DataCentres.contains(Target.DataCentre);
    if (WasEvacuated && !Target.Evacuated) {
      if (Target.Ejected)
        --this->EjectedCount;
      Target.Ejected = false;
      Target.OnProbation = false;
      Target.FailuresInRow = 0;
      Target.Backoff = {};
    }
    this->reindex(I);
  }
}

bool UpstreamTable::isEvacuated() const {
  return !this->Upstreams.empty() &&
         std::all_of(this->Upstreams.begin(), this->Upstreams.end(),
                     [](const Upstream &M) { return M.Evacuated; });
}

void UpstreamTable::setShares(std::uint32_t NewPosition,
                              std::uint32_t NewEntries) {
  this->Position = NewPosition;
  this->Entries = std::max(NewEntries, 1U);
  for (UpstreamIndex I = 0; I < this->Upstreams.size(); ++I) {
    this->assignShare(this->Upstreams[I]);
    this->reindex(I);
  }
}

void UpstreamTable::assignShare(Upstream &Target) const {
  std::uint32_t Base = Target.Slots / this->Entries;
  std::uint32_t Remainder = Target.Slots % this->Entries;
  // The remaining slots are assigned in rotation, offset by the upstream's
  // name, so that each entry gets about the same number over the whole pool.
  std::uint64_t Offset = (stableHash(Target.Name) + this->Position);
  Target.Share = Base + (Offset % this->Entries < Remainder ? 1 : 0);
}

void UpstreamTable::onLoadReport(UpstreamIndex Index,
                                 const peer::AgentLoad &Load, TimePoint Now) {
  Upstream &Target = this->Upstreams[Index];
  if (Load.incarnation() != Target.Incarnation)
    return;
  if (Load.leaving())
    Target.Alive = false;
  Target.Unreachable = false;
  Target.LastHeard = Now;
  // A delayed older report must not replace newer data.
  if (Load.freshness() >= Target.Freshness) {
    Target.Freshness = Load.freshness();
    std::uint32_t Busy = Load.running() + Load.queued();
    Target.OtherTasks = Busy > Target.OwnTasks ? Busy - Target.OwnTasks : 0;
  }
  this->reindex(Index);
}

void UpstreamTable::onSent(UpstreamIndex Index) {
  ++this->Upstreams[Index].OwnTasks;
  this->reindex(Index);
}

void UpstreamTable::onSettled(UpstreamIndex Index) {
  Upstream &Target = this->Upstreams[Index];
  if (Target.OwnTasks > 0)
    --Target.OwnTasks;
  this->reindex(Index);
}

void UpstreamTable::onSuccess(UpstreamIndex Index) {
  Upstream &Target = this->Upstreams[Index];
  Target.FailuresInRow = 0;
  Target.OnProbation = false;
  if (!Target.Ejected)
    Target.Backoff = {};
  this->reindex(Index);
}

void UpstreamTable::onFailure(UpstreamIndex Index, std::uint32_t Threshold,
                              TimePoint Now) {
  Upstream &Target = this->Upstreams[Index];
  ++Target.FailuresInRow;
  bool TooMany = Target.FailuresInRow >= Threshold || Target.OnProbation;
  if (TooMany && !Target.Ejected && this->mayEjectOneMore()) {
    Target.Ejected = true;
    ++this->EjectedCount;
    Target.Backoff = std::clamp(Target.Backoff * 2, this->Rules.FirstBackoff,
                                this->Rules.MaxBackoff);
    Target.EjectedUntil = Now + Target.Backoff;
  }
  this->reindex(Index);
}

bool UpstreamTable::mayEjectOneMore() const {
  auto Alive = std::count_if(this->Upstreams.begin(), this->Upstreams.end(),
                             [](const Upstream &M) { return M.Alive; });
  return (this->EjectedCount + 1) * WholePercent <=
         static_cast<std::uint32_t>(Alive) * this->Rules.MaxEjectedPercent;
}

void UpstreamTable::setUnreachable(UpstreamIndex Index, bool Unreachable) {
  this->Upstreams[Index].Unreachable = Unreachable;
  this->reindex(Index);
}

void UpstreamTable::tick(TimePoint Now) {
  if (this->EjectedCount == 0)
    return;
  for (UpstreamIndex I = 0; I < this->Upstreams.size(); ++I) {
    Upstream &Target = this->Upstreams[I];
    if (!Target.Ejected || Now < Target.EjectedUntil)
      continue;
    Target.Ejected = false;
    Target.OnProbation = true;
    --this->EjectedCount;
    this->reindex(I);
  }
}

std::optional<UpstreamIndex>
UpstreamTable::find(const std::string &Name) const {
  auto Found = this->ByName.find(Name);
  if (Found == this->ByName.end())
    return std::nullopt;
  return Found->second;
}

std::uint32_t UpstreamTable::aliveSlots() const {
  std::uint32_t Total = 0;
  for (const Upstream &M : this->Upstreams)
    Total += M.Alive && !M.Evacuated ? M.Slots : 0;
  return Total;
}

bool UpstreamTable::fitsSomewhere(const peer::Resources &Needs) const {
  return std::any_of(
      this->Upstreams.begin(), this->Upstreams.end(),
      [&](const Upstream &M) { return fits(M.Resources, Needs); });
}

std::optional<UpstreamIndex>
UpstreamTable::shortestQueue(std::uint32_t Ahead,
                             std::mt19937_64 &Random) const {
  std::optional<UpstreamIndex> Shortest = this->ByQueueRoom.pickBest(Random);
  if (!Shortest)
    return std::nullopt;
  const Upstream &Target = this->at(*Shortest);
  if (Target.load() >= Target.Slots + Ahead)
    return std::nullopt;
  return Shortest;
}

bool UpstreamTable::isEligible(const Upstream &Target) const {
  if (!Target.Alive || Target.Evacuated || Target.Unreachable || Target.Ejected)
    return false;
  return !Target.OnProbation || Target.OwnTasks == 0;
}

void UpstreamTable::reindex(UpstreamIndex Index) {
  const Upstream &Target = this->Upstreams[Index];
  bool IsEligible = this->isEligible(Target);
  this->setEligible(Index, IsEligible);
  if (!IsEligible) {
    this->ByOwnFree.remove(Index);
    this->ByTotalFree.remove(Index);
    this->ByQueueRoom.remove(Index);
    return;
  }
  auto OwnTasks = static_cast<int>(Target.OwnTasks);
  auto Load = static_cast<int>(Target.load());
  auto Slots = static_cast<int>(Target.Slots);
  this->ByOwnFree.put(Index, static_cast<int>(Target.Share) - OwnTasks);
  this->ByTotalFree.put(Index, Slots - Load);
  this->ByQueueRoom.put(Index, QueueRoomRange + Slots - Load);
}

void UpstreamTable::setEligible(UpstreamIndex Index, bool IsEligible) {
  std::size_t &Place = this->EligiblePosition[Index];
  if (IsEligible == (Place != NotEligible))
    return;
  if (IsEligible) {
    Place = this->Eligible.size();
    this->Eligible.push_back(Index);
    return;
  }
  UpstreamIndex Last = this->Eligible.back();
  this->Eligible[Place] = Last;
  this->EligiblePosition[Last] = Place;
  this->Eligible.pop_back();
  Place = NotEligible;
}

} // namespace yardwheel
