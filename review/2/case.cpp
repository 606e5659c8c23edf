//===- A minion comes back as another kind while control is down ----------===//
//
// All control hosts lose power for some seconds. Meanwhile the minion of one
// machine crashes, and a new one of another kind starts at its address. Jobs
// that require the old kind are handed in.
//
//===----------------------------------------------------------------------===//

#include "review/support/fleet.h"
#include "review/support/http_call.h"
#include "review/support/minion.h"

#include <algorithm>
#include <exception>
#include <fmt/format.h>
#include <iostream>
#include <map>
#include <memory>
#include <thread>

using namespace yardwheel::review;
using namespace std::chrono_literals;

namespace {

const std::vector<int> Cores = {21, 22, 23};
const std::vector<int> Fronts = {1, 2, 3};
/// As many minions as on the sheet, of the kinds of the site file in turn.
constexpr int SideCount = 11;
constexpr int FirstSide = 31;
const std::vector<std::string> Kinds = {"a", "a", "b"};
/// The kind that all jobs of this case require.
constexpr const char *Wanted = "a";
constexpr const char *Other = "b";
/// How long the control hosts are without power.
constexpr std::chrono::milliseconds Outage{8000};
constexpr std::chrono::milliseconds MinionDown{500};

MachineOptions machine(const char *Class, int Host) {
  return {.Name = fmt::format("{}{}", Class, Host),
          .Class = Class,
          .Host = Host,
          .Seeds = Cores};
}

/// Ids of jobs that require the wanted kind.
constexpr const char *LabelledPrefix = "a11e";

bool isLabelled(const std::string &Task) {
  return Task.starts_with(LabelledPrefix);
}

class Scene {
public:
  explicit Scene(Record &Seen) : Seen(Seen), Machines(Seen) {}

  bool begin() {
    for (int Host : Cores)
      this->Machines.start(machine("core", Host));
    for (int Host : Fronts)
      this->Machines.start(machine("front", Host));
    for (int I = 0; I < SideCount; ++I) {
      this->Machines.start(machine("side", FirstSide + I));
      this->startMinion(FirstSide + I, Kinds[I % Kinds.size()]);
    }
    if (replaceConfig(this->Machines, Cores, 1, 12s, this->Seen) == 0)
      return false;
    std::this_thread::sleep_for(2s);
    return std::ranges::all_of(Fronts, [this](int Front) {
      return awaitService(this->Machines, Front, this->Seen);
    });
  }

  void startMinion(int Side, const std::string &Kind) {
    this->Minions[Side] = std::make_unique<Minion>(
        MinionOptions{.Id = fmt::format("i-{}-{}", Side, ++this->Incarnations),
                      .Kind = Kind,
                      .Listen = this->Machines.address(Side, Port::App),
                      .Agent = this->Machines.address(Side, Port::Control)},
        this->Seen);
  }

  void submit(int Front) {
    std::string Id = fmt::format("{}{:012x}", LabelledPrefix, ++this->Jobs);
    Response Answer =
        callHttp(this->Machines.address(Front, Port::Front), "POST",
                 RoutePrefix + Id, describeJob(8, 60ms, 1600, Wanted), 2s,
                 {{"Host", RouteHost}, {"X-Yardwheel-Deadline-Ms", "1500"}});
    this->Seen.add(fmt::format("job {} that requires kind {} at front{}: {}",
                               Id, Wanted, Front, Answer.Status));
  }

  void play() {
    if (hasTrouble()) {
      for (int Host : Cores)
        this->Machines.kill(fmt::format("core{}", Host));
      this->Minions.erase(FirstSide);
      std::this_thread::sleep_for(MinionDown);
      this->startMinion(FirstSide, Other);
    }
    auto Until = SteadyClock::now() + Outage;
    while (SteadyClock::now() < Until) {
      for (int Front : Fronts)
        this->submit(Front);
      std::this_thread::sleep_for(100ms);
    }
    if (!hasTrouble())
      return;
    for (int Host : Cores) {
      MachineOptions Back = machine("core", Host);
      Back.Bootstrap = false;
      this->Machines.start(Back);
    }
    std::this_thread::sleep_for(4s);
  }

  /// Returns the number of starts on minions of another kind.
  std::size_t wrongStarts() const {
    std::size_t Wrong = 0;
    for (const auto &[Side, Here] : this->Minions)
      if (Here->kind() != Wanted)
        Wrong += static_cast<std::size_t>(
            std::ranges::count_if(Here->startedTasks(), isLabelled));
    return Wrong;
  }

private:
  Record &Seen;
  Fleet Machines;
  std::map<int, std::unique_ptr<Minion>> Minions;
  int Incarnations = 0;
  int Jobs = 0;
};

int run(Record &Seen) {
  Scene Day(Seen);
  if (!Day.begin())
    return 2;
  Day.play();
  std::size_t Wrong = Day.wrongStarts();
  Seen.add(Wrong == 0 ? "held"
                      : fmt::format("ROUTE broken: {} starts on a minion "
                                    "without the required label",
                                    Wrong));
  return Wrong == 0 ? 0 : 1;
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
