//===- A control host is replaced, and another one loses its disk ---------===//
///
/// Three control hosts, of which one may be lost at once. A fourth one is added
/// and has catchUpS to catch up. Then one of the three is removed without
/// SIGTERM, and a second later another one loses its disk.
///
//===----------------------------------------------------------------------===//

#include "review/second/small_deployment.h"

#include <cstdlib>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr int Successor = 4;
constexpr std::uint64_t Newest = 8;
/// catchUpS, and a little more.
constexpr std::chrono::milliseconds CatchUp{4500};
constexpr std::chrono::milliseconds Restart{500};
/// More than three times recoveryS.
constexpr std::chrono::milliseconds ReadTime{40000};

/// From the removal to the loss of the disk; GAP_MS in a trial.
std::chrono::milliseconds gap() {
  const char *Wanted = std::getenv("GAP_MS");
  return Wanted == nullptr ? 1000ms
                           : std::chrono::milliseconds(std::stoi(Wanted));
}

/// Reads the configuration back as the operator does at the end of a day.
/// \returns its version; 0 if it does not come.
std::uint64_t readBack(SmallDeployment &World, const std::vector<int> &Cores) {
  auto End = SmallDeployment::Clock::now() + ReadTime;
  while (SmallDeployment::Clock::now() < End) {
    for (int Core : Cores) {
      WebAnswer Answer = World.order(Core, "GET", "/config/read");
      if (Answer.Status == 200)
        return nlohmann::json::parse(Answer.Body).at("version");
    }
    std::this_thread::sleep_for(1s);
  }
  return 0;
}

int play(SmallDeployment &World) {
  if (!World.start())
    return CaseDidNotRun;
  World.startCore(Successor, /*Bootstrap=*/false);
  std::this_thread::sleep_for(CatchUp);
  int Removed = World.leader();
  if (Removed == 0 ||
      World.order(Removed, "POST", "/config/replace", World.config(Newest))
              .Status != 200)
    return CaseDidNotRun;
  int Wiped = Removed % 3 + 1;
  std::vector<int> Left = {Removed, Wiped, Wiped % 3 + 1, Successor};
  if (World.hasTrouble()) {
    Left.erase(Left.begin());
    World.killCore(Removed);
    World.note(fmt::format("core{} is removed for good", Removed));
    std::this_thread::sleep_for(gap());
    World.killCore(Wiped);
    World.wipeCore(Wiped);
    std::this_thread::sleep_for(Restart);
    World.startCore(Wiped, /*Bootstrap=*/false);
  }
  std::uint64_t Version = readBack(World, Left);
  // A change is tried too, for the record; the rule is on reading back.
  if (Version == 0)
    for (int Core : Left)
      World.order(Core, "POST", "/config/replace", World.config(Newest + 1));
  World.note(Version == 0 ? "the acknowledged configuration cannot be read back"
                          : fmt::format("version {} is read back", Version));
  return Version == Newest ? RuleHeld : RuleBroken;
}

} // namespace

int main(int Count, char **Arguments) {
  SmallDeployment World(Count > 1 ? Arguments[1] : ".");
  int Result = play(World);
  World.note(fmt::format("exit code {}", Result));
  return Result;
}
