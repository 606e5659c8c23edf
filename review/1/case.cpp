//===- A host is replaced as planned; then another loses its disk ---------===//
//
// Three control hosts, of which one may be lost at once. A fourth is added, has
// catchUpS to catch up, and then one of the three is removed with SIGTERM. Two
// seconds later the host that has just acknowledged a configuration loses its
// disk and comes back with an empty one. No other host is lost meanwhile.
//
//===----------------------------------------------------------------------===//

#include "review/support/fleet.h"
#include "review/support/http_call.h"

#include <exception>
#include <fmt/format.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

using namespace yardwheel::review;
using namespace std::chrono_literals;

namespace {

constexpr int Removed = 23;
constexpr int Added = 24;
/// catchUpS, after which the new host counts as one that is not lost.
constexpr std::chrono::milliseconds CatchUp{4000};
/// From the removal of the old host to the loss of a disk.
constexpr std::chrono::milliseconds BeforeLoss{2000};
/// How long a machine that loses its disk is down.
constexpr std::chrono::milliseconds DownTime{1500};
/// More than three times recoveryS.
constexpr std::chrono::milliseconds ReadTime{40000};

MachineOptions coreAt(int Host, const std::vector<int> &Seeds, bool Bootstrap) {
  return {.Name = fmt::format("core{}", Host),
          .Class = "core",
          .Host = Host,
          .Seeds = Seeds,
          .Bootstrap = Bootstrap};
}

/// Reads the configuration back as the operator does at the end of a day.
/// \returns its version; 0 if no host has given it in time.
int readBack(const Fleet &Machines, const std::vector<int> &Hosts,
             Record &Seen) {
  auto Until = SteadyClock::now() + ReadTime;
  while (SteadyClock::now() < Until) {
    for (int Host : Hosts) {
      Response Answer = callHttp(Machines.address(Host, Port::Control), "GET",
                                 "/config/read", "", 1s);
      Seen.add(
          fmt::format("configuration read at core{}: {}", Host, Answer.Status));
      if (Answer.Status == 200)
        return nlohmann::json::parse(Answer.Body).at("version");
    }
    std::this_thread::sleep_for(1s);
  }
  return 0;
}

int run(Record &Seen) {
  Fleet Machines(Seen);
  std::vector<int> Hosts = {21, 22, Removed};
  for (int Host : Hosts)
    Machines.start(coreAt(Host, Hosts, /*Bootstrap=*/true));
  int Newest = 0;
  auto Replace = [&] {
    int Host = replaceConfig(Machines, Hosts, Newest + 1, 12s, Seen);
    Newest += Host == 0 ? 0 : 1;
    return Host;
  };
  if (Replace() == 0)
    return 2;
  // All hosts have been up for catchUpS.
  std::this_thread::sleep_for(CatchUp);
  int Leader = Replace();
  if (hasTrouble()) {
    Machines.start(coreAt(Added, {21, 22, Removed}, /*Bootstrap=*/false));
    std::this_thread::sleep_for(CatchUp + 500ms);
    Machines.terminate(fmt::format("core{}", Removed));
    Hosts = {21, 22, Added};
    std::this_thread::sleep_for(BeforeLoss);
    Leader = Replace();
    if (Leader == 0)
      return 2;
    Machines.kill(fmt::format("core{}", Leader));
    Machines.wipeDisk(fmt::format("core{}", Leader));
    std::this_thread::sleep_for(DownTime);
    Machines.start(coreAt(Leader, Hosts, /*Bootstrap=*/false));
  } else {
    std::this_thread::sleep_for(CatchUp);
    Replace();
  }
  int Read = readBack(Machines, Hosts, Seen);
  int Changed = replaceConfig(Machines, Hosts, Newest + 1, 4s, Seen);
  Seen.add(fmt::format("acknowledged {}, read back {}, next change {}", Newest,
                       Read, Changed == 0 ? "not taken" : "taken"));
  bool Held = Read == Newest;
  Seen.add(Held ? "held" : "CONFIG broken: what was acknowledged is not there");
  return Held ? 0 : 1;
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    Record Seen(Count > 1 ? Arguments[1] : "record.txt");
    return run(Seen);
  } catch (const std::exception &Problem) {
    std::cerr << Problem.what() << "\n";
    return 2;
  }
}
