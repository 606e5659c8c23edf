//===- main/yardwheeld.cpp - The daemon -----------------------------------===//

#include "consensus/file_log_storage.h"
#include "core/error.h"
#include "core/logger.h"
#include "main/process.h"
#include "settings/settings_parser.h"

#include <csignal>
#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(settings, "", "The settings file to start from.");
DEFINE_bool(init, false,
            "Prepare the data folder of a control replica of a new cluster, "
            "and end.");
DEFINE_bool(join, false,
            "Prepare the data folder of a control replica that joins an "
            "existing cluster, and end.");

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
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
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
  sigset_t Signals = blockSignals();
  std::unique_ptr<Process> Role = startRole(Values);
  int Signal = 0;
  sigwait(&Signals, &Signal);
  Log.info("Signal {} received.", Signal);
  Role->drain();
  return ExitOk;
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::SetUsageMessage("yardwheeld --settings FILE [--init | --join]");
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  try {
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
  } catch (const std::exception &Problem) {
    fmt::print(stderr, "yardwheeld: {}\n", Problem.what());
    return ExitFailed;
  }
}
