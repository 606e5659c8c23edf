//===- Two control hosts are replaced as planned, one after the other -----===//
//
// Three control hosts, of which one may be lost at once. Two new ones are added
// and have catchUpS to catch up. Then two of the three are removed with
// SIGTERM, the second one two seconds after the first has ended. Nothing else
// happens.
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

/// The hosts that stay, that leave in this order, and their successors.
constexpr int Kept = 21;
const std::vector<int> Removed = {23, 22};
const std::vector<int> Added = {24, 25};
/// catchUpS, after which a new host counts as one that is not lost.
constexpr std::chrono::milliseconds CatchUp{4000};
/// From the end of a host that leaves to the SIGTERM of the next one.
constexpr std::chrono::milliseconds BetweenHosts{2000};
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
  std::vector<int> Hosts = {Kept, Removed[1], Removed[0]};
  for (int Host : Hosts)
    Machines.start(coreAt(Host, Hosts, /*Bootstrap=*/true));
  int Newest = 0;
  auto Replace = [&] {
    bool Taken = replaceConfig(Machines, Hosts, Newest + 1, 12s, Seen) != 0;
    Newest += Taken ? 1 : 0;
    return Taken;
  };
  if (!Replace())
    return 2;
  std::this_thread::sleep_for(CatchUp);
  if (hasTrouble()) {
    for (int Host : Added)
      Machines.start(coreAt(Host, Hosts, /*Bootstrap=*/false));
    std::this_thread::sleep_for(CatchUp + 500ms);
    if (!Replace())
      return 2;
    for (int Host : Removed) {
      Machines.terminate(fmt::format("core{}", Host));
      std::this_thread::sleep_for(BetweenHosts);
    }
    Hosts = {Kept, Added[0], Added[1]};
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
