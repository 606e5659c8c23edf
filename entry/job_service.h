//===- entry/job_service.h - Jobs from submission to response ---*- C++ -*-===//
///
/// \file
/// The core of an entry. It claims each job in the ledger before any task
/// starts, runs the jobs that it owns through JobRunner, requests the outcome
/// of other jobs from their owners, and gives every caller the complete outcome
/// of its request.
///
/// Single-threaded; uses neither sockets nor clocks.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_JOB_SERVICE_H
#define YARDWHEEL_ENTRY_JOB_SERVICE_H

#include "catalog/node_catalog.h"
#include "entry/attach_registry.h"
#include "entry/ended_jobs.h"
#include "entry/job.h"
#include "entry/job_runner.h"
#include "ledger/claimant.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace yardwheel {

/// Receives the outcomes of requests.
class OutcomeSink {
public:
  virtual ~OutcomeSink() = default;
  /// \param Outcome Null for a job that is still running.
  virtual void onOutcome(Ticket Ticket, const peer::JobOutcome *Outcome) = 0;
};

/// Receives every job that this entry has run, for metrics.
class JobObserver {
public:
  virtual ~JobObserver() = default;
  /// \param PoolSlots Number of slots in the job's pool, for computing its
  /// ideal response time.
  virtual void onJobEnded(const Job &Ended, std::uint32_t PoolSlots,
                          TimePoint Now) = 0;
};

struct ServiceOptions {
  peer::Owner Self;
  std::chrono::milliseconds ClockAllowance{};
  std::chrono::milliseconds LedgerRetention{};
  ClaimTimes Claims;
  std::chrono::milliseconds MaxUnconfirmed{};
  std::uint32_t MaxJobs = 0;
  /// Maximum total size of the retained answers, in bytes. Beyond it, the
  /// oldest answers are dropped early.
  std::size_t MaxAnswerBytes = SIZE_MAX;
  RunnerOptions Runner;
  /// Disabled only in tests that show why the ledger is needed.
  bool ClaimsFirst = true;
};

enum class QueryKind { Status, Cancel };

class JobService final : public JobEvents {
public:
  JobService(ServiceOptions Options, PeerSink &Sink, OutcomeSink &Outcomes,
             JobObserver &Observer);

  void setCatalog(std::shared_ptr<const CatalogView> View);
  void onMember(const peer::Member &Member, TimePoint Now);
  /// Records that control confirmed the configuration in use here.
  void confirm(TimePoint Now) { this->LastConfirmed = Now; }
  bool isConfirmed(TimePoint Now) const;
  /// Rejects all new jobs from now on.
  void drain() { this->Draining = true; }
  bool isDraining() const { return this->Draining; }

  void submit(JobRequest Request, Ticket Ticket, Instant Now);
  void query(const std::string &Key, QueryKind Kind, Ticket Ticket,
             Instant Now);
  void onMessage(const PeerRef &From, const peer::Message &Message,
                 Instant Now);
  /// Handles a message to \p Peer that may not have been delivered.
  void onSendFailed(const std::string &Peer, Instant Now) {
    this->Runner.onSendFailed(Peer, Now.Steady);
    this->Registry.onSendFailed(Peer, Now.Steady);
  }
  void tick(Instant Now);

  /// Returns the number of jobs that have no outcome yet.
  std::size_t inFlight() const { return this->ActiveJobs; }
  const JobRunner &runner() const { return this->Runner; }

  void onComplete(Job &Target, TimePoint Now) override;
  void onFailed(Job &Target, const FailureSpec &Failure,
                TimePoint Now) override;

private:
  struct Query {
    std::string Key;
    QueryKind Kind = QueryKind::Status;
    Ticket Waiter = 0;
  };
  struct PendingClaim {
    std::optional<Claimant> Claim;
    /// Set when the claim is for a job; otherwise it serves a query.
    std::string JobKey;
    std::optional<Query> PendingQuery;
    TimePoint GiveUpAt;
    TimePoint RetryAt;
  };
  struct OpenAttach {
    std::string JobKey;
    std::optional<Query> PendingQuery;
  };

  std::optional<FailureSpec> checkEnded(const JobRequest &Request) const;
  std::optional<FailureSpec> checkRequest(const JobRequest &Request,
                                          Instant Now) const;
  std::optional<FailureSpec> checkReadiness(const JobRequest &Request,
                                            Instant Now) const;
  void joinExisting(Job &Known, const JobRequest &Request, Ticket Waiter);
  Job &addJob(JobRequest Request, Ticket Waiter, Instant Now);

  void openClaim(PendingClaim Claim, std::int64_t StampMs,
                 std::uint64_t Fingerprint, Instant Now);
  bool prepareClaim(PendingClaim &Claim, std::uint64_t Attempt,
                    std::int64_t StampMs, std::uint64_t Fingerprint,
                    Instant Now);
  void onDecision(std::uint64_t Attempt, const ClaimDecision &Decision,
                  Instant Now);
  void onJobDecision(Job &Target, PendingClaim &Claim,
                     const ClaimDecision &Decision, Instant Now);
  void onQueryDecision(const Query &PendingQuery, const ClaimDecision &Decision,
                       Instant Now);
  void onWon(Job &Target, PendingClaim &Claim, Instant Now);
  void onHeld(Job &Target, PendingClaim &Claim, const ClaimDecision &Decision,
              Instant Now);
  void tickClaims(Instant Now);

  void onAttachRequest(const PeerRef &From, const peer::AttachRequest &Request,
                       Instant Now);
  void releaseStaleGrant(const std::string &Key);
  void onAttachReply(const peer::AttachReply &Reply, Instant Now);
  void closeAttach(Ticket Request, const peer::JobOutcome *Outcome,
                   TimePoint Now);
  void replyAttach(const RemoteWaiter &To, peer::AttachState State,
                   const peer::JobOutcome *Outcome);

  void cancel(Job &Target, Instant Now);
  void finish(Job &Target, peer::JobOutcome Outcome, TimePoint Now);
  /// Finishes a job that this entry won't run and whose record need not be
  /// kept.
  void finishReleased(Job &Target, const FailureSpec &Failure, TimePoint Now);
  void keepAnswer(Job &Target, TimePoint Now);
  void dropOldestAnswers(TimePoint Now);
  void tickDeadlines(TimePoint Now);
  void tickExpiries(TimePoint Now);
  void expire(const std::string &Key, TimePoint Now);
  void updateShares();
  Job *find(const std::string &Key);

  ServiceOptions Options;
  PeerSink &Sink;
  OutcomeSink &Outcomes;
  JobObserver &Observer;
  JobRunner Runner;
  AttachRegistry Registry;
  std::shared_ptr<const CatalogView> View;
  std::map<std::string, PeerRef> Peers;
  std::set<std::string> LiveEntries;

  std::unordered_map<std::string, std::unique_ptr<Job>> Jobs;
  EndedJobs Ended;
  /// Keys of retained answers in the order in which their jobs ended, and the
  /// total size of those answers.
  std::deque<std::string> KeptAnswers;
  std::size_t KeptBytes = 0;
  std::map<std::uint64_t, PendingClaim> Claims;
  std::map<Ticket, OpenAttach> Attaches;
  std::multimap<TimePoint, std::string> Deadlines;
  std::multimap<TimePoint, std::string> Expiries;
  JobNumber LastNumber = 0;
  std::uint64_t LastAttempt = 0;
  std::size_t ActiveJobs = 0;
  TimePoint LastConfirmed = TimePoint::min();
  bool Draining = false;
};

} // namespace yardwheel

#endif
