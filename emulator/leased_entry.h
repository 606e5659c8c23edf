//===- emulator/leased_entry.h - An entry in virtual time -------*- C++ -*-===//
///
/// \file
/// The real coordinator of an entry behind a gate that takes callers' requests
/// as the product's does: a request is read, and then handed on to the loop.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_EMULATOR_LEASED_ENTRY_H
#define YARDWHEEL_EMULATOR_LEASED_ENTRY_H

#include "emulator/run_register.h"
#include "emulator/virtual_processor.h"
#include "emulator/virtual_world.h"
#include "entry/lease_coordinator.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace yardwheel {

struct LeasedEntryOptions {
  CoordinatorOptions Coordinator;
  /// Between the ticks of the process.
  std::chrono::milliseconds Tick{20};
  /// Processor time for each message that it sends or receives, callers'
  /// requests and answers included. 0: messages are free.
  Duration MessageCost{0};
  /// Between a request's being read and its hand-over to the loop, for every
  /// other request at random. The process may stand still in between.
  Duration HandOver{0};
};

class LeasedEntry final : public LeasedAnswerSink, public PeerSink {
public:
  /// Hears the answer, or that the connection broke without one.
  using Listener =
      std::function<void(const std::optional<LeasedAnswer> &Answer)>;

  LeasedEntry(VirtualWorld &World, std::string Name,
              const LeasedEntryOptions &Options);

  const std::string &name() const { return this->Name; }
  void meet(const peer::Member &Agent);
  void submitJob(SubmissionId Which, const LeasedJobRequest &Job,
                 Listener Hear);
  /// The caller closes its connection, and hears nothing more.
  void disconnect(SubmissionId Which);
  /// Ends the process, and all connections of callers with it.
  void kill();
  /// Begins another life of the process, which was killed.
  void restart();

  void onLeasedAnswer(LeaseTicket Ticket, const LeasedAnswer &Answer) override;
  bool hasCaller(LeaseTicket Ticket) const override;
  void send(const PeerRef &To, peer::Message Message) override;

  const CoordinatorCounters &counters() const {
    return this->Coordinator->counters();
  }
  Duration busy() const { return this->Processor.busy(); }
  /// Hand-ins that were read and have not been answered.
  std::size_t unanswered() const { return this->Unanswered.size(); }
  /// Answers to hand-ins that had been answered before.
  std::uint32_t answeredTwice() const { return this->AnsweredTwice; }
  const std::set<SubmissionId> &notRun() const { return this->NotRun; }

private:
  void beginLife();
  /// Runs \p Action on the present life, when the processor is free.
  void runSoon(std::function<void()> Action);
  void receive(const PeerRef &From, const peer::Message &Message);
  void tick();
  /// Until when this process was behind, as its loop sees it.
  TimePoint lastBehind() const;
  /// Hands something that another thread has read on to the loop.
  void handOver(const std::function<void()> &Action);
  /// Reads a request, as another thread than the loop does.
  void read(SubmissionId Which, const LeasedJobRequest &Job);
  void answer(SubmissionId Which, const LeasedAnswer &Answer);

  VirtualWorld &World;
  std::string Name;
  LeasedEntryOptions Options;
  VirtualProcessor Processor;
  PeerSink &Outlet;
  std::uint64_t Life = 0;
  std::unique_ptr<LeaseCoordinator> Coordinator;
  TimePoint LastIdle;
  TimePoint LastBehind = TimePoint::min();
  TimePoint LastHandOver = TimePoint::min();
  /// Callers whose connections are open.
  std::map<SubmissionId, Listener> Callers;
  /// What the coordinator owes an answer for, and its job.
  std::map<SubmissionId, std::string> Unanswered;
  /// Jobs that have been taken.
  std::set<std::string> Taken;
  std::set<SubmissionId> NotRun;
  std::uint32_t AnsweredTwice = 0;
};

} // namespace yardwheel

#endif
