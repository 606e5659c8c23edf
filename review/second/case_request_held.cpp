//===- A request is held up until its job runs elsewhere ------------------===//
///
/// The link between a client and an entry delays a request. The client has had
/// no response within its deadline, leaves, and hands the job in at the other
/// entry 1,300 ms later. While it runs there, the first request arrives.
///
//===----------------------------------------------------------------------===//

#include "review/second/holding_proxy.h"
#include "review/second/small_deployment.h"

#include <fmt/format.h>
#include <thread>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr const char *Job = "5c0e7a21d94b36fa";
/// The mean of the site file's gate-recheck.
constexpr int Tasks = 4;
constexpr int Sides = 5;
constexpr std::chrono::milliseconds TaskTime{900};
constexpr std::chrono::milliseconds Deadline{1500};
/// The job has run for half of its time when the request arrives.
constexpr std::chrono::milliseconds Hold{3250};

int play(SmallDeployment &World) {
  if (!World.start(Sides))
    return CaseDidNotRun;
  HoldingProxy Link(World.cluster().at(1, 7), World.cluster().at(1, 1),
                    World.hasTrouble() ? Hold : 0ms);
  WebRequest First = World.handIn(1, Job, Tasks, TaskTime, Deadline);
  First.Address = World.cluster().at(1, 7);
  World.note(fmt::format("client: POST {} to front1 by the link", Job));
  WebAnswer Answer = request(First);
  World.note(
      fmt::format("client: POST {} to front1 answered {}", Job, Answer.Status));
  bool Again =
      Answer.Status == 0 || Answer.Status == 502 || Answer.Status == 504;
  if (Again) {
    std::this_thread::sleep_for(World.bounds().Retransmit);
    Answer = World.submit(2, Job, Tasks, TaskTime, Deadline);
  }
  std::this_thread::sleep_for(Deadline);
  World.noteRuns(Job);
  std::size_t Twice = World.cluster().Recorder.overlappingTasks().size();
  World.note(fmt::format("{} tasks had two runs at the same time; the client "
                         "was answered {}",
                         Twice, Answer.Status));
  if (Answer.Status != 200 || (World.hasTrouble() && !Again) ||
      Link.forwarded() != 1)
    return CaseDidNotRun;
  return Twice > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Count, char **Arguments) {
  SmallDeployment World(Count > 1 ? Arguments[1] : ".");
  int Result = play(World);
  World.note(fmt::format("exit code {}", Result));
  return Result;
}
