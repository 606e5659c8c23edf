//===- coordination/delegate.h - Coordinates for entries --------*- C++ -*-===//
///
/// \file
/// Coordinates jobs at an agent on behalf of entries that are short of
/// processor time. It hosts a coordinator like the one of an entry, and is the
/// answer sink of its jobs.
///
/// An entry vouches for its jobs again and again; each time carries a stamp of
/// this process's own clock. The leases of a job's runs count from the newest
/// one, so a delegate that is cut off from an entry, or whose entry has died,
/// keeps no run alive for longer than the entry itself would have.
///
/// Without an entry that asks for it, a delegate holds no view of the pool and
/// sends nothing.
///
/// Single-threaded; uses neither sockets nor clocks.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_COORDINATION_DELEGATE_H
#define YARDWHEEL_COORDINATION_DELEGATE_H

#include "coordination/lease_coordinator.h"

#include <map>
#include <set>
#include <string>
#include <tuple>

namespace yardwheel {

struct DelegateOptions {
  CoordinatorOptions Coordinator;
  /// Incarnation of this process, as its messages carry it.
  std::uint64_t Incarnation = 0;
  /// How long after an entry's last message the view of the pool is kept.
  /// Several intervals at which an entry asks.
  std::chrono::milliseconds ActiveTime{3000};
  /// A job whose stamp is older is declined: it has been delayed, and its entry
  /// may have given it up.
  std::chrono::milliseconds MaxArrivalAge{400};
  /// A job that its entry has not vouched for within this time is cancelled.
  /// Some of the intervals at which an entry vouches.
  std::chrono::milliseconds AbandonAfter{600};
  /// How long an ended or declined job is remembered. Longer than MaxStampAge
  /// and MaxArrivalAge together, so that no copy of it is accepted later.
  std::chrono::milliseconds EndedRetention{6000};
  /// Share of the known agents that must be reachable before jobs are taken.
  double MinReachableShare = 0.8;
  /// Disabled only by tests that show what goes wrong without the rule.
  bool LeasesCountFromEntry = true;
};

struct DelegateCounters {
  std::uint64_t Accepted = 0;
  std::uint64_t Declined = 0;
  std::uint64_t Abandoned = 0;
};

class Delegate final : public LeasedAnswerSink {
public:
  Delegate(const DelegateOptions &Options, PeerSink &Sink);

  void onMember(const peer::Member &Member, Instant Now);
  void setEvacuated(const std::set<std::string> &DataCentres);
  /// Handles what the callers of all entries ask for, as control tells it.
  void onDemand(const std::vector<peer::RouteDemand> &Sums, TimePoint Measured,
                Instant Now) {
    if (ShareCheck *Shares = this->Coordinator.shares())
      Shares->onSums(Sums, Measured, Now);
  }
  void onMessage(const PeerRef &From, const peer::Message &Message,
                 Instant Now);
  void onUndelivered(const Undelivered &Lost, Instant Now);
  /// Records when this process was last behind on its input. Must be called
  /// before any input that may have waited is handled.
  void noteBehind(TimePoint LastBehind, Instant Now);
  /// Places what became unplaced. Must be called after each batch of messages.
  void placeScheduled(Instant Now);
  /// \param ProcessorShare Share of the time in which this process's loop is
  /// busy.
  void tick(double ProcessorShare, TimePoint LastBehind, Instant Now);
  /// Declines all further jobs; those in progress go on.
  void leave() { this->Leaving = true; }

  /// Whether an entry has lately asked for a delegate, so that the member table
  /// is needed.
  bool isActive(TimePoint Now) const;
  bool isIdle() const { return this->Running.empty(); }
  const DelegateCounters &counters() const { return this->Counters; }
  const LeaseCoordinator &coordinator() const { return this->Coordinator; }

  void onLeasedAnswer(LeaseTicket Ticket, const LeasedAnswer &Answer) override;
  bool hasCaller(LeaseTicket Ticket) const override;
  TimePoint vouchedAt(LeaseTicket Ticket, TimePoint Now) const override;

private:
  /// Identifies a job by its entry, the entry's incarnation and the entry's
  /// number.
  using JobKey = std::tuple<std::string, std::uint64_t, std::uint64_t>;
  struct RunningJob {
    JobKey Key;
    PeerRef Entry;
    std::string Id;
    /// The entry's last word on it, by this process's clock.
    TimePoint Vouched;
  };
  struct EndedJob {
    TimePoint At;
    peer::DelegatedAnswer Answer;
  };

  static JobKey keyOf(const PeerRef &Entry, std::uint64_t Number);
  /// Converts a stamp, which is a lower bound of this process's clock, to a
  /// point in time not later than \p Now.
  static TimePoint timeOf(std::uint64_t Stamp, Instant Now);
  static std::uint64_t stampOf(Instant Now);
  void onJob(const PeerRef &From, const peer::DelegatedJob &Job, Instant Now);
  void onRenewal(const PeerRef &From, const peer::DelegationRenewal &Renewal,
                 Instant Now);
  void onWithdrawal(const PeerRef &From,
                    const peer::DelegationWithdrawal &Withdrawal, Instant Now);
  /// Whether a job was on its way for longer than MaxArrivalAge.
  bool isDelayed(TimePoint Vouched, Instant Now) const;
  /// Returns why a job is not taken; empty if it is.
  std::string declineReason(TimePoint Vouched, Instant Now) const;
  /// Whether enough agents are reachable and none may have runs that this
  /// process does not know of.
  bool isReady(Instant Now) const;
  void cancelAbandoned(Instant Now);
  void sendAnswer(const PeerRef &Entry, const JobKey &Key,
                  peer::DelegatedAnswer Answer);

  DelegateOptions Options;
  Logger Log{"delegate"};
  PeerSink &Sink;
  LeaseCoordinator Coordinator;
  std::map<LeaseTicket, RunningJob> Running;
  std::map<JobKey, LeaseTicket> Tickets;
  std::map<JobKey, EndedJob> Ended;
  TimePoint LastAsked = TimePoint::min();
  TimePoint NextSweep = TimePoint::min();
  /// Time of the current call; answers may be sent during any of them.
  Instant Current;
  double ProcessorShare = 0;
  LeaseTicket LastTicket = 0;
  bool Leaving = false;
  DelegateCounters Counters;
};

} // namespace yardwheel

#endif
