//===- emulator/leased_entry.h - An entry in virtual time -------*- C++ -*-===//
///
/// \file
/// The lease coordinator of an entry and the filter that delegates some of its
/// jobs, as in production, behind a gate that
/// accepts callers' requests the same way as the real one: one thread reads a
/// request and hands it over to the event loop.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_EMULATOR_LEASED_ENTRY_H
#define YARDWHEEL_EMULATOR_LEASED_ENTRY_H

#include "coordination/delegating_intake.h"
#include "core/busy_meter.h"
#include "emulator/run_register.h"
#include "emulator/virtual_processor.h"
#include "emulator/virtual_world.h"
#include "entry/admission_rule.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace yardwheel {

struct LeasedEntryOptions {
  CoordinatorOptions Coordinator;
  /// Nothing is delegated unless Rule.MaxDelegates is set.
  DelegationOptions Delegation;
  /// Interval between the ticks of the process.
  std::chrono::milliseconds Tick{20};
  /// Processor time for each message that the entry sends or receives,
  /// including callers' requests and answers. 0: messages cost nothing.
  Duration MessageCost{0};
  /// Delay between reading a request and handing it over to the loop, for a
  /// random half of the requests. The process may stall in between.
  Duration HandOverDelay{0};
  /// Whether requests are refused while the entry does not keep up.
  bool RefusesWhenBehind = false;
};

class LeasedEntry final : public LeasedAnswerSink, public PeerSink {
public:
  /// Receives the answer, or no value if the connection broke without one.
  using Listener =
      std::function<void(const std::optional<LeasedAnswer> &Answer)>;

  LeasedEntry(VirtualWorld &World, std::string Name,
              const LeasedEntryOptions &Options);

  const std::string &name() const { return this->Name; }
  void announceAgent(const peer::Member &Agent);
  /// Tells the entry of another one.
  void announceEntry(const peer::Member &Entry);
  /// Returns the entry's row in the member table.
  peer::Member member() const;
  void submitJob(SubmissionId Which, const LeasedJobRequest &Job,
                 Listener OnAnswer);
  /// Closes the caller's connection; it receives nothing more.
  void disconnect(SubmissionId Which);
  /// Kills the process, which closes all connections of callers.
  void kill();
  /// Starts a new incarnation of the process after a kill.
  void restart();

  void onLeasedAnswer(LeaseTicket Ticket, const LeasedAnswer &Answer) override;
  bool hasCaller(LeaseTicket Ticket) const override;
  void send(const PeerRef &To, peer::Message Message) override;

  LeaseCoordinator &coordinator() { return *this->Coordinator; }
  const CoordinatorCounters &counters() const {
    return this->Coordinator->counters();
  }
  const DelegationCounters &delegation() const {
    return this->Intake->counters();
  }
  Duration busy() const { return this->Processor.busy(); }
  /// Returns the number of submissions that were read and not answered yet.
  std::size_t unanswered() const { return this->Unanswered.size(); }
  /// Counts the answers to submissions that had already been answered.
  std::uint32_t answeredTwice() const { return this->AnsweredTwice; }
  const std::set<SubmissionId> &notRun() const { return this->NotRun; }

private:
  void startIncarnation();
  /// Runs \p Action on the current incarnation, when the processor is free.
  void runWhenFree(std::function<void()> Action);
  /// Wraps an action so that it runs on the current incarnation only.
  std::function<void()> onThisIncarnation(std::function<void()> Action);
  void receive(const PeerRef &From, const peer::Message &Message);
  void tick();
  /// Delegates and takes back jobs according to the load.
  void tickDelegation();
  /// Returns when this process was last behind, as its loop sees it.
  TimePoint lastBehind() const;
  /// Hands over to the loop what another thread has read.
  void handOver(const std::function<void()> &Action);
  /// Whether a request is refused as the entry does not keep up.
  bool refuses(const LeasedJobRequest &Job);
  /// Reads a request, in the role of a thread other than the loop's.
  void read(SubmissionId Which, const LeasedJobRequest &Job);
  void answer(SubmissionId Which, const LeasedAnswer &Answer);

  VirtualWorld &World;
  std::string Name;
  LeasedEntryOptions Options;
  VirtualProcessor Processor;
  BusyMeter Meter;
  AdmissionRule Admission{AdmissionOptions()};
  PeerSink &Sink;
  std::uint64_t Incarnation = 0;
  std::unique_ptr<LeaseCoordinator> Coordinator;
  std::unique_ptr<DelegatingIntake> Intake;
  TimePoint LastIdle;
  TimePoint LastBehind = TimePoint::min();
  TimePoint LastHandOver = TimePoint::min();
  /// Callers with an open connection.
  std::map<SubmissionId, Listener> Callers;
  /// Submissions that the coordinator has to answer, with their job ids.
  std::map<SubmissionId, std::string> Unanswered;
  /// Ids of the jobs that were accepted.
  std::set<std::string> AcceptedJobs;
  std::set<SubmissionId> NotRun;
  std::uint32_t AnsweredTwice = 0;
};

} // namespace yardwheel

#endif
