//===- A delayed order ends a later evacuation ----------------------------===//
///
/// A zone is evacuated, taken back and evacuated again. The link delays the
/// first copy of the order to take it back, which the operator has given up and
/// sent again, until the second evacuation is acknowledged.
///
//===----------------------------------------------------------------------===//

#include "review/second/holding_proxy.h"
#include "review/second/small_deployment.h"

#include <fmt/format.h>
#include <thread>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr const char *Start = "/evacuations/b/start";
constexpr const char *Finish = "/evacuations/b/finish";
/// The worker in the zone.
constexpr const char *Evacuated = "i-2";
constexpr std::chrono::milliseconds Hold{4000};
constexpr std::chrono::milliseconds JobPause{300};
constexpr std::chrono::milliseconds Watched{9000};
constexpr int Tasks = 12;

int play(SmallDeployment &World) {
  if (!World.start())
    return CaseDidNotRun;
  int Leader = World.leader();
  if (Leader == 0)
    return CaseDidNotRun;
  World.note(fmt::format("core{} leads", Leader));
  std::string Far = World.cluster().at(30, 3);
  HoldingProxy Link(Far, World.cluster().at(20 + Leader, 3),
                    World.hasTrouble() ? Hold : 0ms);
  int Other = Leader % 3 + 1;
  if (World.order(Leader, "POST", Start).Status != 200)
    return CaseDidNotRun;
  std::this_thread::sleep_for(1s);
  int First =
      request({.Address = Far, .Method = "POST", .Path = Finish}).Status;
  World.note(fmt::format("operator: POST {} to core{}: {}", Finish, Leader,
                         First == 0 ? "no answer in a second"
                                    : std::to_string(First)));
  if (First == 0 && World.order(Other, "POST", Finish).Status != 200)
    return CaseDidNotRun;
  std::this_thread::sleep_for(1s);
  if (World.order(Other, "POST", Start).Status != 200)
    return CaseDidNotRun;
  auto AckedAt = SmallDeployment::Clock::now();
  bool WasEarly = World.hasTrouble() && Link.forwarded() > 0;
  int Served = 0;
  int Late = 0;
  for (std::uint64_t I = 0; SmallDeployment::Clock::now() < AckedAt + Watched;
       ++I) {
    std::string Id = fmt::format("{:016x}", 0xe0000 + I);
    if (World.submit(1, Id, Tasks, 50ms, 1500ms).Status == 200)
      ++Served;
    World.noteRuns(Id);
    for (const auto &[Task, Runs] : World.cluster().Recorder.runsOf(Id))
      for (const RunSpan &Run : Runs)
        if (Run.Worker == Evacuated &&
            Run.Begin > AckedAt + World.bounds().Evacuate)
          ++Late;
    std::this_thread::sleep_for(JobPause);
  }
  World.note(fmt::format("{} jobs served; {} starts in the zone later than "
                         "evacuateMs after the acknowledgement; the zone was "
                         "not taken back",
                         Served, Late));
  if (Served == 0 || WasEarly || (World.hasTrouble() && Link.forwarded() == 0))
    return CaseDidNotRun;
  return Late > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Count, char **Arguments) {
  SmallDeployment World(Count > 1 ? Arguments[1] : ".");
  int Result = play(World);
  World.note(fmt::format("exit code {}", Result));
  return Result;
}
