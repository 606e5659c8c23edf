//===- dispatch/upstream_table.h - An entry's view of its upstreams -*- C++
//-*-===//
///
/// \file
/// What one entry knows of the upstreams of one pool: who may get work, how
/// many tasks each has of ours, what it last said of others' tasks, and how
/// it has fared lately. Knowledge of others' tasks is as old as the last
/// message, and no decision relies on it being fresh.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_DISPATCH_UPSTREAM_TABLE_H
#define YARDWHEEL_DISPATCH_UPSTREAM_TABLE_H

#include "core/clock.h"
#include "core/peer_sink.h"
#include "dispatch/bucket_index.h"
#include "protocol/peer.pb.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace yardwheel {

/// How an upstream that fails its tasks is taken out and tried again.
struct EjectionRules {
  std::chrono::milliseconds FirstBackoff{1000};
  std::chrono::milliseconds MaxBackoff{30000};
  /// No more than this share of the upstreams is out at once, in percent.
  std::uint32_t MaxEjectedPercent = 50;
};

struct Upstream {
  std::string Name;
  PeerRef Agent;
  std::uint64_t Incarnation = 0;
  std::uint32_t Slots = 0;
  peer::Resources Resources;
  bool Alive = false;
  /// Given up on by this entry until it is heard of again.
  bool Unreachable = false;

  /// Tasks that this entry sent and that have not ended.
  std::uint32_t OwnTasks = 0;
  /// Tasks of other entries, as the agent last told.
  std::uint32_t OtherTasks = 0;
  /// Slots that this entry alone may count on.
  std::uint32_t Share = 0;
  std::uint64_t Freshness = 0;
  TimePoint LastHeard;

  std::uint32_t FailuresInRow = 0;
  bool Ejected = false;
  /// Back from ejection with one task at a time, until one succeeds.
  bool OnProbation = false;
  TimePoint EjectedUntil;
  std::chrono::milliseconds Backoff{};

  std::uint32_t load() const { return this->OwnTasks + this->OtherTasks; }
};

/// Whether a worker, when empty, has what a task needs.
bool fits(const peer::Resources &Has, const peer::Resources &Needs);

class UpstreamTable {
public:
  explicit UpstreamTable(EjectionRules Rules = {}) : Rules(Rules) {}

  /// Takes a member's announcement. \returns its place, and sets
  /// \p Replaced if an older life of it has ended.
  UpstreamIndex update(const peer::Member &Member, bool &Replaced);

  /// Divides the slots between \p Entries entries, of which this is number
  /// \p Position from 0.
  void setShares(std::uint32_t Position, std::uint32_t Entries);

  /// Takes what an agent says of its load. Words of another life are dropped.
  void onLoadReport(UpstreamIndex Index, const peer::AgentLoad &Load,
                    TimePoint Now);

  void onSent(UpstreamIndex Index);
  /// A task ended or was proved not to have started.
  void onSettled(UpstreamIndex Index);
  void onSuccess(UpstreamIndex Index);
  void onFailure(UpstreamIndex Index, std::uint32_t Threshold, TimePoint Now);
  void setUnreachable(UpstreamIndex Index, bool Unreachable);

  /// Lets ejected upstreams back whose time is up.
  void tick(TimePoint Now);

  std::size_t size() const { return this->Upstreams.size(); }
  const Upstream &at(UpstreamIndex Index) const {
    return this->Upstreams[Index];
  }
  std::optional<UpstreamIndex> find(const std::string &Name) const;
  std::uint32_t aliveSlots() const;
  /// Whether any upstream, even when busy or out, could ever hold the task.
  bool fitsSomewhere(const peer::Resources &Needs) const;

  /// The upstreams that may get work now, in no particular order.
  const std::vector<UpstreamIndex> &eligible() const { return this->Eligible; }
  /// Eligible upstreams by their free slots of this entry's share.
  const BucketIndex &byOwnFree() const { return this->ByOwnFree; }
  /// Eligible upstreams by the slots believed free of anybody's tasks.
  const BucketIndex &byTotalFree() const { return this->ByTotalFree; }
  /// The eligible upstream with the shortest queue, if fewer than \p Ahead
  /// tasks are believed to wait there beyond its slots.
  std::optional<UpstreamIndex> shortestQueue(std::uint32_t Ahead,
                                             std::mt19937_64 &Random) const;

private:
  bool isEligible(const Upstream &Target) const;
  void reindex(UpstreamIndex Index);
  void setEligible(UpstreamIndex Index, bool CanGetWork);
  bool mayEjectOneMore() const;
  void assignShare(Upstream &Target) const;

  EjectionRules Rules;
  std::vector<Upstream> Upstreams;
  std::unordered_map<std::string, UpstreamIndex> ByName;
  std::vector<UpstreamIndex> Eligible;
  /// Place in Eligible, or absent, of each upstream.
  std::vector<std::size_t> EligiblePosition;
  BucketIndex ByOwnFree;
  BucketIndex ByTotalFree;
  BucketIndex ByQueueRoom;
  std::uint32_t Position = 0;
  std::uint32_t Entries = 1;
  std::uint32_t EjectedCount = 0;
};

} // namespace yardwheel

#endif
