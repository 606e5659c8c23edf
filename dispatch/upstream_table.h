//===- dispatch/upstream_table.h - Known upstreams of a pool ----*- C++ -*-===//
///
/// \file
/// Tracks the upstreams of one pool, as one entry sees them: which are eligible
/// for work, how many tasks of this entry each has, how many tasks of other
/// entries it last reported, and its recent failures. Knowledge of other
/// entries' tasks is as old as the last message, and no decision relies on it
/// being current.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_DISPATCH_UPSTREAM_TABLE_H
#define YARDWHEEL_DISPATCH_UPSTREAM_TABLE_H

#include "core/clock.h"
#include "core/peer_sink.h"
#include "dispatch/bucket_index.h"
#include "protocol/peer.pb.h"

#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace yardwheel {

/// How an upstream that fails its tasks is ejected and readmitted.
struct EjectionRules {
  std::chrono::milliseconds FirstBackoff{1000};
  std::chrono::milliseconds MaxBackoff{30000};
  /// Maximum share of the upstreams that may be ejected at the same time, in
  /// percent.
  std::uint32_t MaxEjectedPercent = 50;
};

struct Upstream {
  std::string Name;
  PeerRef Agent;
  std::uint64_t Incarnation = 0;
  std::uint32_t Slots = 0;
  peer::Resources Resources;
  std::string DataCentre;
  /// Whether its data centre is being evacuated, so that it gets no new tasks.
  bool Evacuated = false;
  bool Alive = false;
  /// Considered unreachable by this entry until it is heard from again.
  bool Unreachable = false;

  /// Tasks that this entry has sent and that have not ended.
  std::uint32_t OwnTasks = 0;
  /// Tasks of other entries, as last reported by the agent.
  std::uint32_t OtherTasks = 0;
  /// Slots reserved for this entry.
  std::uint32_t Share = 0;
  std::uint64_t Freshness = 0;
  TimePoint LastHeard;

  std::uint32_t FailuresInRow = 0;
  bool Ejected = false;
  /// Readmitted after an ejection; gets one task at a time until one succeeds.
  bool OnProbation = false;
  TimePoint EjectedUntil;
  std::chrono::milliseconds Backoff{};

  std::uint32_t load() const { return this->OwnTasks + this->OtherTasks; }
};

/// Whether an empty worker has the resources that a task needs.
bool fits(const peer::Resources &Has, const peer::Resources &Needs);

class UpstreamTable {
public:
  explicit UpstreamTable(EjectionRules Rules = {}) : Rules(Rules) {}

  /// Applies a member's announcement. \returns the member's index, and sets \p
  /// Replaced if an older incarnation of it has ended.
  UpstreamIndex update(const peer::Member &Member, bool &Replaced);

  /// Divides the slots among \p Entries entries, of which this one has the
  /// zero-based position \p Position.
  void setShares(std::uint32_t Position, std::uint32_t Entries);

  /// Sets the data centres that are being evacuated. What was observed of the
  /// upstreams of a data centre is forgotten when its evacuation has finished.
  void setEvacuated(const std::set<std::string> &DataCentres);

  /// Applies an agent's load report. Reports of another incarnation are
  /// ignored.
  void onLoadReport(UpstreamIndex Index, const peer::AgentLoad &Load,
                    TimePoint Now);

  void onSent(UpstreamIndex Index);
  /// Records that a task has ended or was proved not to have started.
  void onSettled(UpstreamIndex Index);
  void onSuccess(UpstreamIndex Index);
  void onFailure(UpstreamIndex Index, std::uint32_t Threshold, TimePoint Now);
  void setUnreachable(UpstreamIndex Index, bool Unreachable);

  /// Readmits the upstreams whose ejection has expired.
  void tick(TimePoint Now);

  std::size_t size() const { return this->Upstreams.size(); }
  const Upstream &at(UpstreamIndex Index) const {
    return this->Upstreams[Index];
  }
  std::optional<UpstreamIndex> find(const std::string &Name) const;
  std::uint32_t aliveSlots() const;
  /// Whether there are upstreams and all of them are in data centres that are
  /// being evacuated.
  bool isEvacuated() const;
  /// Whether any upstream, even a busy or ejected one, could ever run the task.
  bool fitsSomewhere(const peer::Resources &Needs) const;

  /// Returns the upstreams that may get work now, in no particular order.
  const std::vector<UpstreamIndex> &eligible() const { return this->Eligible; }
  /// Returns the eligible upstreams by the free slots of this entry's share.
  const BucketIndex &byOwnFree() const { return this->ByOwnFree; }
  /// Returns the eligible upstreams by the slots believed free of all entries'
  /// tasks.
  const BucketIndex &byTotalFree() const { return this->ByTotalFree; }
  /// Returns the eligible upstream with the shortest queue if fewer than \p
  /// Ahead tasks are believed to wait there beyond its slots.
  std::optional<UpstreamIndex> shortestQueue(std::uint32_t Ahead,
                                             std::mt19937_64 &Random) const;

private:
  bool isEligible(const Upstream &Target) const;
  void reindex(UpstreamIndex Index);
  void setEligible(UpstreamIndex Index, bool IsEligible);
  bool mayEjectOneMore() const;
  void assignShare(Upstream &Target) const;

  EjectionRules Rules;
  std::vector<Upstream> Upstreams;
  std::unordered_map<std::string, UpstreamIndex> ByName;
  std::vector<UpstreamIndex> Eligible;
  /// Position of each upstream in Eligible, or NotEligible.
  std::vector<std::size_t> EligiblePosition;
  BucketIndex ByOwnFree;
  BucketIndex ByTotalFree;
  BucketIndex ByQueueRoom;
  std::uint32_t Position = 0;
  std::uint32_t Entries = 1;
  std::uint32_t EjectedCount = 0;
  std::set<std::string> EvacuatedDataCentres;
};

} // namespace yardwheel

#endif
