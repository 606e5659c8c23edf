//===- LeaseKeeper: leases, deadlines and retention -----------------------===//

#include "agent/lease_keeper.h"

#include <algorithm>

namespace yardwheel {

void LeaseKeeper::trackIncarnation(const PeerRef &From, Instant Now) {
  this->Open.trackEntry(From, Now.Steady);
  std::uint64_t &LastKnown = this->EntryIncarnations[From.Node];
  bool Restarted = LastKnown != 0 && LastKnown != From.Incarnation;
  LastKnown = From.Incarnation;
  if (!Restarted)
    return;
  this->EntryLeaseEnds.erase(From.Node);
  std::vector<TaskId> Orphaned;
  for (const auto &[Id, Known] : this->Tasks)
    if (Known.Owner.Node == From.Node &&
        Known.Owner.Incarnation != From.Incarnation)
      Orphaned.push_back(Id);
  this->Log.decision("entry_restarted", {{"entry", From.Node},
                                         {"incarnation", From.Incarnation},
                                         {"tasks", Orphaned.size()}});
  // The new incarnation of the entry does not know these tasks, and their
  // callers have them run elsewhere.
  for (const TaskId &Id : Orphaned)
    this->dropTask(Id, peer::REFUSAL_STALE, "its entry has restarted", Now);
}

std::chrono::milliseconds LeaseKeeper::leaseFrom(std::uint64_t Stamp,
                                                 Instant Now) const {
  std::uint64_t Current = stampAt(Now);
  if (!this->Options.LeasesCountFromStamp)
    Stamp = Current;
  auto Length = static_cast<std::uint64_t>(this->Options.EntryLease.count());
  if (Stamp > Current || Current - Stamp >= Length)
    return {};
  return std::chrono::milliseconds(Length - (Current - Stamp));
}

void LeaseKeeper::renew(const PeerRef &From,
                        const std::set<std::uint64_t> &Orders,
                        std::chrono::milliseconds Left, Instant Now) {
  if (Left.count() == 0)
    return;
  TimePoint Until = Now.Steady + Left;
  TimePoint &EntryEnd = this->EntryLeaseEnds[From.Node];
  EntryEnd = std::max(EntryEnd, Until);
  for (auto &[Id, Known] : this->Tasks)
    if (Known.Owner.Node == From.Node && Orders.contains(Known.Order))
      Known.LeaseEnd = std::max(Known.LeaseEnd, Until);
}

TimePoint LeaseKeeper::maxWorkerLeaseEnd(Instant Now) const {
  // Queued tasks limit the worker's lease as well, as they may start next.
  TimePoint First = TimePoint::max();
  for (const auto &[Id, Known] : this->Tasks) {
    bool HasStopped =
        Known.State == Phase::Stopping &&
        this->Session.hasStopped({Id.Job, Id.Index, Known.Run}, Now);
    if (!HasStopped)
      First = std::min(First, Known.LeaseEnd + this->Options.StopAllowance);
  }
  return First;
}

TimePoint LeaseKeeper::lastRunEnd(const RunKey &Run) const {
  auto Found = this->Tasks.find({Run.Job, Run.Index});
  bool Same = Found != this->Tasks.end() && Found->second.Run == Run.Run;
  return Same ? Found->second.LeaseEnd + this->Options.MaxOverrun
              : TimePoint::max();
}

void LeaseKeeper::tick(Instant Now) {
  this->dropExpired(Now);
  this->Session.tick(Now);
  this->sweep(Now);
  for (const peer::TaskNeeds &Room : this->Offers.releaseExpired(Now.Steady))
    this->releaseRoom(Room);
  this->startFitting(Now);
  this->flushDueUpdates(Now);
  this->reportOpenStarts(Now);
}

void LeaseKeeper::dropExpired(Instant Now) {
  this->dropLapsed(Now);
  this->dropOverdue(Now);
}

void LeaseKeeper::dropLapsed(Instant Now) {
  std::erase_if(this->EntryLeaseEnds,
                [&](const auto &Item) { return Now.Steady >= Item.second; });
  std::map<std::string, std::vector<TaskId>> Lapsed;
  for (const auto &[Id, Known] : this->Tasks)
    if (Known.State != Phase::Stopping && Now.Steady >= Known.LeaseEnd)
      Lapsed[Known.Owner.Node].push_back(Id);
  for (const auto &[Entry, Concerned] : Lapsed) {
    ++this->Counters.LeasesLapsed;
    this->Log.decision("lease_lapsed",
                       {{"entry", Entry},
                        {"lease_ms", this->Options.EntryLease.count()},
                        {"entry_heard", this->EntryLeaseEnds.contains(Entry)},
                        {"tasks", Concerned.size()}});
    for (const TaskId &Id : Concerned)
      this->dropTask(Id, peer::REFUSAL_STALE, "its entry's lease lapsed", Now);
  }
}

void LeaseKeeper::dropOverdue(Instant Now) {
  std::vector<TaskId> Late;
  for (const TaskId &Id : this->Queue)
    if (Now.Steady >= this->Tasks.at(Id).GiveUpAt)
      Late.push_back(Id);
  for (const TaskId &Id : Late)
    this->dropTask(Id, peer::REFUSAL_TOO_LATE, "it could not start in time",
                   Now);
}

void LeaseKeeper::sweep(Instant Now) {
  while (!this->Crashes.empty() &&
         Now.Steady - this->Crashes.front().At > this->Options.CrashRetention)
    this->Crashes.pop_front();
  if (Now.Steady >= this->NextPlacementSweep) {
    this->NextPlacementSweep = Now.Steady + this->Options.PlacementRetention;
    std::erase_if(this->EndedPlacements, [&](const auto &Item) {
      return Now.Steady - Item.second > this->Options.PlacementRetention;
    });
  }
  if (Now.Steady < this->NextRunSweep)
    return;
  this->NextRunSweep = Now.Steady + this->Options.RunRetention;
  std::erase_if(this->LastRuns, [&](const auto &Item) {
    return Now.Steady - Item.second.LastUsedAt > this->Options.RunRetention;
  });
}

} // namespace yardwheel
