//===- main/yardwheeld.cpp - The daemon -----------------------------------===//

#include "consensus/file_log_storage.h"
#include "core/build_version.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/last_words.h"
#include "core/logger.h"
#include "core/process_memory.h"
#include "main/address_wait.h"
#include "main/process.h"
#include "platform/node_settings.h"
#include "settings/file_watch.h"
#include "settings/route_values.h"
#include "settings/settings_parser.h"

#include <absl/synchronization/mutex.h>
#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <functional>
#include <gflags/gflags.h>
#include <unistd.h>

DEFINE_string(settings, "", "The settings file to start from.");
DEFINE_bool(platform, false,
            "Start from the settings file that the platform writes and names "
            "in the environment.");
DEFINE_bool(init, false,
            "Prepare the data folder of a control replica of a new cluster, "
            "and end.");
DEFINE_bool(join, false,
            "Prepare the data folder of a control replica that joins an "
            "existing cluster, and end.");

DEFINE_string(route_values, "",
              "With --platform, at entries and at agents that coordinate: "
              "what a core-second of a route "
              "earns by the priority of its queue, like 0=10,1=4,2=7.5. Routes "
              "that earn least are shed first. Empty: not known.");

DEFINE_bool(queue_priority, false,
            "With --platform, at entries and at agents that coordinate jobs: "
            "agents start waiting tasks of a more urgent queue first.");

DEFINE_bool(refuse_hopeless, false,
            "With --platform, at entries and at agents that coordinate jobs: "
            "refuse a job at once if it is expected to end after its caller's "
            "deadline.");

DEFINE_uint32(delegates, 0,
              "With --platform, at entries: the most agents that coordinate "
              "jobs for this entry while it is short of processor time. 0: "
              "none.");
DEFINE_uint32(
    delegate_at, 40,
    "With --platform, at entries with --delegates: the percentage of "
    "the time in which its loop is busy at which this entry delegates "
    "jobs. 0: whenever a delegate is ready.");
DEFINE_bool(learned_speeds, false,
            "With --platform, at entries and at agents that coordinate: place "
            "tasks by how long upstreams are seen to take.");
DEFINE_bool(coordinates, false,
            "With --platform, at agents: coordinate jobs for entries that are "
            "short of processor time.");
DEFINE_bool(two_way_links, false,
            "With --platform: send envelopes back on the connections that "
            "other processes have opened to this one.");
DEFINE_uint32(first_contacts, 0,
              "With --platform, at entries and at agents that coordinate: "
              "after a start, contact at most this many agents at once, those "
              "of the own data centre first. 0: all at once.");
DEFINE_bool(shares, false,
            "With --platform, at entries and agents: while a pool is full, "
            "refuse first those routes and data centres that ask for more than "
            "their usual share of it.");

namespace {

using namespace yardwheel;

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

std::unique_ptr<Process> startRole(const Settings &Values) {
  switch (Values.Role) {
  case NodeRole::Entry:
    return startEntry(Values);
  case NodeRole::Agent:
    return startAgent(Values);
  case NodeRole::Control:
    return startControl(Values);
  }
  return nullptr;
}

std::unique_ptr<Process> startPlanned(const NodePlan &Plan) {
  switch (Plan.Role) {
  case NodeRole::Entry:
    return startLeaseEntry(Plan);
  case NodeRole::Agent:
    return startLeaseAgent(Plan);
  case NodeRole::Control:
    return startSeededControl(Plan);
  }
  return nullptr;
}

void prepareFolder(const Settings &Values) {
  peer::Identity Identity;
  Identity.set_cluster(Values.Cluster);
  Identity.set_replica(Values.Node);
  for (const ControlPeer &Known : Values.Controls) {
    if (!FLAGS_init)
      break;
    peer::Replica *Added = Identity.mutable_bootstrap()->add_replicas();
    Added->set_name(Known.Name);
    Added->set_address(Known.Address);
    Added->set_http_address(Known.HttpAddress);
  }
  initDataFolder(Values.Control.DataDir, Identity);
}

/// Blocks the signals that end the daemon, in this and all later threads.
sigset_t blockSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

/// Interval between checks of the settings file, which may change without a
/// signal.
constexpr timespec SettingsPollInterval{1, 0};

/// Waits for a signal, for at most SettingsPollInterval.
/// \returns the signal number, or 0 after a timeout.
int waitForSignal(const sigset_t &Signals) {
  int Signal = sigtimedwait(&Signals, nullptr, &SettingsPollInterval);
  return std::max(Signal, 0);
}

/// Runs a role until a signal requests shutdown.
/// \param Settings File watched for changes without a signal, or null.
/// \param Limits What the host allows this process.
int runUntilSignalled(const std::function<std::unique_ptr<Process>()> &Start,
                      FileWatch *Settings, const ProcessLimits &Limits) {
  Logger Log("daemon");
  sigset_t Signals = blockSignals();
  std::unique_ptr<Process> Role = Start();
  Log.decision("started",
               {{"pid", getpid()},
                {"build", buildVersion()},
                {"memory_limit_kb", Limits.MemoryBytes / BytesPerKilobyte},
                {"max_descriptors", Limits.MaxDescriptors}});
  while (true) {
    int Signal = waitForSignal(Signals);
    if (Signal != 0)
      Log.decision("signal", {{"number", Signal}});
    if (Signal != 0 && Signal != SIGHUP)
      break;
    bool Changed = Settings != nullptr && Settings->hasChanged();
    if (Changed || Signal == SIGHUP)
      Role->reload();
  }
  Role->drain();
  Log.decision("stopped", {{"lines_dropped", Logger::dropped()}});
  return ExitOk;
}

int run(const Settings &Values) {
  Logger Log("daemon");
  if (FLAGS_init || FLAGS_join) {
    if (Values.Role != NodeRole::Control) {
      Log.error("--init and --join are for control replicas.");
      return ExitUsage;
    }
    prepareFolder(Values);
    return ExitOk;
  }
  waitForAddresses(listenAddresses(Values), AddressTimeout);
  return runUntilSignalled([&] { return startRole(Values); }, nullptr,
                           ProcessLimits());
}

int runPlanned() {
  FileWatch Settings(platform::settingsPath());
  NodePlan Plan = platform::readNodeSettings();
  installLastWords(Plan.Limits);
  Plan.RouteValues = parseRouteValues(FLAGS_route_values);
  Plan.RefusesHopelessJobs = FLAGS_refuse_hopeless;
  Plan.UsesQueuePriority = FLAGS_queue_priority;
  Plan.MaxDelegates = FLAGS_delegates;
  constexpr double Percent = 100;
  Plan.DelegateAtShare = FLAGS_delegate_at / Percent;
  Plan.CoordinatesForEntries = FLAGS_coordinates;
  Plan.KeepsShares = FLAGS_shares;
  Plan.SharesLinks = FLAGS_two_way_links;
  Plan.MaxFirstContacts = FLAGS_first_contacts;
  Plan.LearnsSpeeds = FLAGS_learned_speeds;
  // Before the disk is read: a former process may still write to it.
  waitForAddresses(listenAddresses(Plan), AddressTimeout);
  return runUntilSignalled([&] { return startPlanned(Plan); }, &Settings,
                           Plan.Limits);
}

} // namespace

int main(int Count, char **Arguments) {
  // Abseil, which provides gRPC's locks, checks them for deadlock cycles by
  // default. That took 6.6 % of an entry's processor time at 32 jobs/s (two
  // runs each).
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  gflags::SetUsageMessage("yardwheeld --settings FILE [--init | --join]\n"
                          "yardwheeld --platform");
  gflags::SetVersionString(buildVersion());
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  installLastWords({});
  try {
    // Fail at startup if no clock counts time in suspension: leases would not
    // be reliable without one.
    BootClock::now();
    if (FLAGS_platform)
      return runPlanned();
    if (FLAGS_settings.empty()) {
      fmt::print(stderr, "--settings: expected a file\n");
      return ExitUsage;
    }
    ParsedSettings Parsed = readSettings(FLAGS_settings);
    if (!Parsed.Mistakes.empty()) {
      fmt::print(stderr, "{}",
                 describeMistakes(FLAGS_settings, Parsed.Mistakes));
      return ExitUsage;
    }
    Logger::setLevel(Parsed.Values.Level);
    return run(Parsed.Values);
  } catch (const Error &Problem) {
    fmt::print(stderr, "yardwheeld: {}\n", Problem.what());
    return Problem.step() == "settings" ? ExitUsage : ExitFailed;
  } catch (const std::exception &Problem) {
    fmt::print(stderr, "yardwheeld: {}\n", Problem.what());
    return ExitFailed;
  }
}
