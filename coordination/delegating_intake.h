//===- coordination/delegating_intake.h - Delegates jobs --------*- C++ -*-===//
///
/// \file
/// A filter in front of an entry's coordinator. While the entry is short of
/// processor time, it hands jobs whole to agents of its data centre, its
/// delegates, and answers the callers with what these report.
///
/// The entry vouches for a delegated job in each renewal that names it. It
/// stops once the job is answered, its callers have gone or its delegate is
/// lost; all runs of the job then lapse as if the entry had coordinated them.
/// See docs/design/delegation.md.
///
/// Single-threaded; uses neither sockets nor clocks.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_COORDINATION_DELEGATING_INTAKE_H
#define YARDWHEEL_COORDINATION_DELEGATING_INTAKE_H

#include "coordination/delegation_rule.h"
#include "coordination/lease_coordinator.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace yardwheel {

struct DelegationOptions {
  DelegationRuleOptions Rule;
  /// The data centre and the name of this entry.
  std::string DataCentre;
  std::string Name;
  /// Jobs that this incarnation of the entry delegates get numbers above this
  /// one, which is above all numbers of earlier incarnations: their answers may
  /// still arrive.
  std::uint64_t FirstNumber = 0;
  /// Interval between renewals to a delegate with jobs. Short, as the leases of
  /// all runs count from it.
  std::chrono::milliseconds RenewalInterval{100};
  /// Interval between renewals that only keep a delegate ready.
  std::chrono::milliseconds IdleInterval{500};
  /// A delegate whose loop is busier than this gets no jobs. It does not bound
  /// the wait for its own loop, as an entry does for its callers.
  double MaxDelegateBusyShare = 0.85;
  /// A delegate that leaves a renewal unanswered for this long gets no jobs.
  std::chrono::milliseconds SuspectTimeout{150};
  /// A delegate with jobs that leaves a renewal unanswered for this long is
  /// connected to anew, as the connection may be dead.
  std::chrono::milliseconds ReconnectTimeout{250};
  /// A delegate with jobs that leaves a renewal unanswered for this long is
  /// lost. Its jobs' runs lapse little later.
  std::chrono::milliseconds LossTimeout{600};
  /// How long a lost delegate gets no jobs.
  std::chrono::milliseconds LossPause{2000};
  /// A job younger than this may still be on its way to its delegate.
  std::chrono::milliseconds MaxTransitTime{1000};
  /// A declined job that was accepted longer ago may have run: its delegate
  /// forgets the jobs that have ended. Less than
  /// DelegateOptions::EndedRetention.
  std::chrono::milliseconds MaxDeclineAge{5000};
  /// For this long after the process was behind on its input, silence is not
  /// held against delegates.
  std::chrono::milliseconds CatchUpPeriod{1000};
};

struct DelegationCounters {
  std::uint64_t Delegated = 0;
  std::uint64_t Completed = 0;
  std::uint64_t Declined = 0;
  /// Jobs whose delegate was lost.
  std::uint64_t Lost = 0;
};

class DelegatingIntake final : public JobIntake {
public:
  DelegatingIntake(const DelegationOptions &Options, LeaseCoordinator &Local,
                   PeerSink &Sink, LeasedAnswerSink &Answers);

  void submit(LeasedJobRequest Request, LeaseTicket Waiter,
              Instant Now) override;
  void withdraw(const std::string &Id, LeaseTicket Waiter,
                const std::string &Reason, Instant Now) override;
  void cancel(const std::string &Id, const std::string &Reason,
              Instant Now) override;
  void cancelAll(const std::string &Reason, Instant Now) override;
  /// Delegated jobs whose callers have disconnected while this process was
  /// behind are withdrawn before it vouches for them again.
  void noteBehind(TimePoint LastBehind, Instant Now) override;
  bool isRunning(const std::string &Id) const override;
  bool mayJoin(const std::string &Id) const override;
  std::uint32_t pending(const std::string &Route) const override;
  std::size_t inFlight() const override;

  /// Handles a change in the member table of control.
  void onMember(const peer::Member &Member, Instant Now);
  void onMessage(const PeerRef &From, const peer::Message &Message,
                 Instant Now);
  /// Sends jobs that may not have arrived once more, under their numbers.
  void onUndelivered(const Undelivered &Lost, Instant Now);
  void tick(const EntryLoad &OwnLoad, TimePoint LastBehind, Instant Now);

  const DelegationCounters &counters() const { return this->Counters; }
  /// Returns the share of new jobs that is delegated.
  double share() const;
  std::size_t readyDelegates() const;

private:
  struct Caller {
    LeaseTicket Ticket = 0;
    TimePoint Deadline;
  };
  struct Job {
    LeasedJobRequest Request;
    std::vector<Caller> Callers;
    std::uint64_t Number = 0;
    std::string Delegate;
    /// Incarnation of the delegate that the job was sent to.
    std::uint64_t Incarnation = 0;
    TimePoint AcceptedAt;
    TimePoint SentAt;
    /// Since when its delegate has not listed it; TimePoint::max() while it
    /// does.
    TimePoint MissingSince = TimePoint::max();
  };
  /// An agent that may coordinate jobs, and what is known of it.
  struct Contact {
    PeerRef Agent;
    bool Alive = false;
    /// Incarnation of its process; 0 until it was heard from.
    std::uint64_t Incarnation = 0;
    /// Newest stamp of its clock, and when it was received.
    std::uint64_t Stamp = 0;
    TimePoint StampReceived;
    bool Ready = false;
    double ProcessorShare = 0;
    /// When the oldest unanswered renewal was sent; TimePoint::max() if there
    /// is none.
    TimePoint UnansweredSince = TimePoint::max();
    TimePoint NextRenewal = TimePoint::min();
    TimePoint PausedUntil = TimePoint::min();
    /// Jobs sent to it that have not been answered, by number.
    std::map<std::uint64_t, std::string> Jobs;
  };

  Job *find(const std::string &Id);
  /// Whether a caller has disconnected while this process was behind.
  bool hasDeparted(LeaseTicket Waiter, Instant Now) const;
  /// Withdraws the jobs of a delegate whose callers have all disconnected while
  /// this process was behind.
  void withdrawDeparted(Contact &Target, Instant Now);
  void addCaller(Job &Known, Caller Joined, Instant Now);
  /// Returns the latest deadline of a job's callers.
  static TimePoint lastDeadline(const Job &Target);
  /// Returns the delegate for the next job, or null if it is not delegated.
  Contact *chooseDelegate(Instant Now);
  /// Whether it replies and takes jobs.
  bool isReady(const Contact &Target, Instant Now) const;
  /// Whether a job may be sent to it now.
  bool isUsable(const Contact &Target, Instant Now) const;
  /// Returns the agents that are to be ready, in the order of this entry's
  /// preference.
  std::vector<Contact *> wantedContacts(Instant Now);
  void delegate(LeasedJobRequest Request, LeaseTicket Waiter, Contact &Target,
                Instant Now);
  void sendJob(const Job &Target, const Contact &To, Instant Now);
  void sendRenewal(Contact &Target, Instant Now);
  void sendWithdrawal(const Job &Target, const std::string &Reason);
  void onStatus(const PeerRef &From, const peer::DelegationStatus &Status,
                Instant Now);
  void onAnswer(const PeerRef &From, const peer::DelegatedAnswer &Answer,
                Instant Now);
  /// Records that a delegate was heard from. \returns null if it is not known,
  /// or the message is of an earlier incarnation.
  Contact *hear(const PeerRef &From, std::uint64_t Stamp, Instant Now);
  /// Coordinates a job here that its delegate has not run.
  void takeBack(const Job &Target, Instant Now);
  /// Answers all callers of a job and forgets it.
  void finish(const std::string &Id, const LeasedAnswer &Answer, Instant Now);
  /// Removes a job from the records. \returns the job.
  Job remove(const std::string &Id);
  /// Gives up the jobs of a delegate.
  void loseDelegate(Contact &Target, const std::string &Reason, Instant Now);
  void renewDue(Instant Now);
  void endOverdue(Instant Now);
  bool isCatchingUp(Instant Now) const;

  DelegationOptions Options;
  Logger Log{"delegation"};
  LeaseCoordinator &Local;
  PeerSink &Sink;
  LeasedAnswerSink &Answers;
  DelegationRule Rule;
  std::map<std::string, Contact> Contacts;
  std::map<std::string, Job> Jobs;
  std::set<std::string> LastWanted;
  /// What is left to delegate of the jobs so far, in jobs.
  double Owed = 0;
  std::size_t WaitingCallers = 0;
  std::uint64_t LastNumber;
  TimePoint LastBehind = TimePoint::min();
  DelegationCounters Counters;
};

} // namespace yardwheel

#endif
