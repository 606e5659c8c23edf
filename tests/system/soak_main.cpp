//===- tests/system/soak_main.cpp - A fault soak on real processes --------===//
///
/// \file
/// Runs the daemon in all its roles, with callers and an operator, under the
/// faults that a seed names, and checks what callers, the operator and workers
/// see. Prints a line for each finding, and one for each seed.
///
//===----------------------------------------------------------------------===//

#include "tests/system/soak_caller.h"
#include "tests/system/soak_fleet.h"
#include "tests/system/soak_operator.h"

#include <algorithm>
#include <curl/curl.h>
#include <fmt/format.h>
#include <iostream>
#include <thread>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

const std::string Host = "soak.example";
const std::string Prefix = "/q/";
/// Jobs in a row, at each entry, that show that all serve again.
constexpr int RecoveredJobs = 2;
/// Jobs after the recovery, and how many of them have to complete at once.
constexpr int FinalJobs = 10;
constexpr int FinalCompleted = 9;
/// Each try is a job with a deadline of its own.
constexpr int RecoveryTries = 40;
constexpr auto RecoveryPause = 100ms;
constexpr int ChangeAttempts = 300;
constexpr int DelegationAgents = 6;
/// Control replicas in a storm: they bear the loss of two disks at once.
constexpr int StormControls = 5;
/// Control hosts that may join in a soak with replacements.
constexpr int SpareControls = 6;
/// What control may use at the size to design for.
constexpr std::size_t MaxControlMemory = 268435456;
constexpr std::size_t BytesPerMegabyte = 1048576;

struct Arguments {
  SoakOptions Options;
  int Count = 1;
};

class Soak {
public:
  explicit Soak(const SoakOptions &Options)
      : Options(Options),
        Fleet(Options), Shared{.Entries = this->Fleet.callerAddresses(),
                               .Host = Host,
                               .Prefix = Prefix,
                               .Recorder = this->Fleet.recorder(),
                               .Findings = this->Fleet.findings(),
                               .MayCut =
                                   [this](int Entry, auto SentAt, auto CutAt) {
                                     return this->Fleet.mayCut(
                                         SoakFirstEntry + Entry, SentAt, CutAt);
                                   },
                               .RequiresKinds = Options.Replacements},
        Operator(this->Fleet.operatorAddresses(), Host, Prefix, Options.Seed,
                 Options.ControlStorm, this->Fleet.findings()),
        Prober(this->Shared, Options.Seed, 0) {}

  /// \returns how much it has found.
  int run() {
    std::vector<SoakFault> Plan = planFaults(this->Options);
    this->Fleet.startAll();
    if (!this->Operator.change(ChangeAttempts))
      this->Fleet.findings().add("the first configuration is not acknowledged");
    this->checkRecovery("the start");
    this->runFaults(Plan);
    this->checkRecovery("the faults");
    this->checkFinalJobs();
    this->checkEnd();
    if (this->Fleet.findings().count() > 0)
      this->Fleet.keepLogs(Plan);
    this->report(Plan.size());
    return this->Fleet.findings().count();
  }

private:
  void runFaults(const std::vector<SoakFault> &Plan) {
    std::vector<std::unique_ptr<SoakCaller>> Callers;
    std::vector<std::thread> Threads;
    for (int I = 1; I <= this->Options.Callers; ++I) {
      Callers.push_back(
          std::make_unique<SoakCaller>(this->Shared, this->Options.Seed, I));
      Threads.emplace_back([&Caller = *Callers.back()] { Caller.run(); });
    }
    Threads.emplace_back([this] { this->Operator.run(this->Shared.Over); });
    auto Begin = SoakFleet::Clock::now();
    for (const SoakFault &Fault : Plan) {
      while (SoakFleet::Clock::now() < Begin + Fault.At)
        this->Fleet.step();
      this->Fleet.apply(Fault);
    }
    while (SoakFleet::Clock::now() < Begin + this->Options.Length)
      this->Fleet.step();
    this->Fleet.heal();
    this->Shared.Over.store(true);
    for (std::thread &Thread : Threads)
      Thread.join();
    for (const auto &Caller : Callers)
      Caller->checkRefused();
  }

  /// Whether all entries serve again.
  void checkRecovery(const char *After) {
    for (int Entry = 0; Entry < this->Options.Entries; ++Entry) {
      int InARow = 0;
      for (int I = 0; I < RecoveryTries && InARow < RecoveredJobs; ++I) {
        InARow = this->Prober.tryOnce(Entry) ? InARow + 1 : 0;
        if (InARow == 0)
          std::this_thread::sleep_for(RecoveryPause);
        this->Fleet.step();
      }
      if (InARow < RecoveredJobs)
        this->Fleet.findings().add(fmt::format(
            "entry {} does not serve again after {}", Entry + 1, After));
    }
  }

  /// Whether nearly all jobs complete at their first hand-in.
  void checkFinalJobs() {
    int Completed = 0;
    for (int I = 0; I < FinalJobs; ++I)
      Completed += this->Prober.tryOnce(I % this->Options.Entries);
    if (Completed < FinalCompleted)
      this->Fleet.findings().add(fmt::format(
          "{} of {} jobs completed after the faults", Completed, FinalJobs));
  }

  void checkEnd() {
    this->Operator.readAll(this->Fleet.presentControls());
    SoakFindings &Findings = this->Fleet.findings();
    for (const std::string &Start : this->Fleet.recorder().unsuitableStarts())
      Findings.add("a task started on another kind of worker: " + Start);
    if (!waitFor([this] { return this->Fleet.recorder().alive() == 0; }))
      Findings.add("runs go on that no caller waits for");
    for (const std::string &Task : this->Fleet.recorder().overlappingTasks())
      this->reportOverlap(Task);
    if (this->Fleet.proxied() == 0)
      Findings.add("no connection between nodes passes a proxy");
    if (this->Options.Delegation && this->delegated() == 0)
      Findings.add("no job was delegated");
    if (this->Fleet.peakControlMemory() > MaxControlMemory)
      Findings.add(fmt::format("a control replica used {} MB",
                               this->controlMegabytes()));
  }

  void reportOverlap(const std::string &Task) {
    std::string Runs;
    std::string Job = Task.substr(0, Task.find('.'));
    auto Known = this->Fleet.recorder().runsOf(Job);
    for (const RunSpan &Run : Known[Task]) {
      auto Since = [this](auto At) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   At - this->Begin)
            .count();
      };
      Runs +=
          fmt::format("; {} from {} to {} ms{}", Run.Worker, Since(Run.Begin),
                      Since(Run.End), Run.Done ? ", done" : "");
    }
    this->Fleet.findings().add("two runs of " + Task + " at one time" + Runs);
  }

  std::size_t controlMegabytes() const {
    return this->Fleet.peakControlMemory() / BytesPerMegabyte;
  }
  /// Returns the number of delegated jobs that have ended.
  int delegated() const {
    return this->Fleet.countAtEntries("delegated_job_ended");
  }

  void report(std::size_t Faults) {
    fmt::print("seed {}: {} findings; {} faults, {} jobs, {} completed, {} "
               "hand-ins, {} not run, {} unknown, {} without an answer, {} "
               "starts, {} configurations, {} proxied connections, {} "
               "delegated, {} delegates lost, {} MB at most at control\n",
               this->Options.Seed, this->Fleet.findings().count(), Faults,
               this->Shared.Jobs.load(), this->Shared.Completed.load(),
               this->Shared.HandIns.load(), this->Shared.NotRun.load(),
               this->Shared.Unknown.load(), this->Shared.Cut.load(),
               this->Fleet.recorder().starts(), this->Operator.acknowledged(),
               this->Fleet.proxied(), this->delegated(),
               this->Fleet.countAtEntries("delegate_lost"),
               this->controlMegabytes());
    std::fflush(stdout);
  }

  const SoakOptions &Options;
  SoakFleet::Clock::time_point Begin = SoakFleet::Clock::now();
  SoakFleet Fleet;
  SoakCallerShared Shared;
  SoakOperator Operator;
  SoakCaller Prober;
};

bool parse(int Count, char **Words, Arguments &Given) {
  for (int I = 1; I + 1 < Count; I += 2) {
    std::string Name = Words[I];
    std::string Value = Words[I + 1];
    if (Name == "--seed")
      Given.Options.Seed = std::stoull(Value);
    else if (Name == "--seconds")
      Given.Options.Length = std::chrono::seconds(std::stoi(Value));
    else if (Name == "--restarts" && (Value == "yes" || Value == "no"))
      Given.Options.Restarts = Value == "yes";
    else if (Name == "--delegation" && (Value == "yes" || Value == "no"))
      Given.Options.Delegation = Value == "yes";
    else if (Name == "--control_storm" && (Value == "yes" || Value == "no"))
      Given.Options.ControlStorm = Value == "yes";
    else if (Name == "--replacements" && (Value == "yes" || Value == "no"))
      Given.Options.Replacements = Value == "yes";
    else if (Name == "--count")
      Given.Count = std::stoi(Value);
    else if (Name == "--scale" && (Value == "small" || Value == "large")) {
      bool Large = Value == "large";
      Given.Options.Entries = Large ? 4 : 2;
      Given.Options.Agents = Large ? 8 : 3;
      Given.Options.Callers = Large ? 20 : 8;
    } else
      return false;
  }
  if (Given.Options.ControlStorm)
    Given.Options.Controls = StormControls;
  if (Given.Options.Replacements)
    Given.Options.SpareControls = SpareControls;
  // Nothing is delegated where workers start again under their ids.
  if (Given.Options.Delegation) {
    Given.Options.Restarts = false;
    // With fewer, a delegate that misses one of them takes no jobs.
    Given.Options.Agents = std::max(Given.Options.Agents, DelegationAgents);
  }
  return Count % 2 == 1;
}

} // namespace

int main(int Count, char **Words) {
  Arguments Given;
  if (!parse(Count, Words, Given)) {
    std::cerr << "expected --seed N, --count N, --seconds S, --scale "
                 "small|large, --restarts yes|no, --delegation yes|no, "
                 "--control_storm yes|no, --replacements yes|no\n";
    return 2;
  }
  curl_global_init(CURL_GLOBAL_ALL);
  int Failed = 0;
  for (int I = 0; I < Given.Count; ++I, ++Given.Options.Seed)
    Failed += Soak(Given.Options).run() > 0;
  return Failed > 0 ? 1 : 0;
}
