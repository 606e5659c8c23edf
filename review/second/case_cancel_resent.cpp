//===- A cancelled job is handed in again ---------------------------------===//
///
/// A client hands a best-effort job in, cancels it, and sends it again after
/// the 504 that its first request is answered with, as the users' page says.
///
//===----------------------------------------------------------------------===//

#include "review/second/small_deployment.h"

#include <fmt/format.h>
#include <thread>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

constexpr const char *Job = "5c0e7a21d94b36f8";
/// The longest work of the site file's jobs, and 1.6 times that.
constexpr int Tasks = 4;
constexpr std::chrono::milliseconds TaskTime{3600};
constexpr std::chrono::milliseconds Deadline{5800};
constexpr int MaxTries = 4;
constexpr std::uint64_t OtherJobs = 4;
constexpr std::uint64_t FirstOtherJob = 0xe0000;
constexpr std::chrono::milliseconds OtherTime{200};
constexpr std::chrono::milliseconds OtherDeadline{1500};

/// Sends the job until it has a final answer: again after no answer, a 502 or a
/// 504, at the other entry.
int handIn(SmallDeployment &World) {
  int Status = 0;
  for (int Try = 0; Try < MaxTries; ++Try) {
    if (Try > 0)
      std::this_thread::sleep_for(World.bounds().Retransmit);
    Status = World.submit(1 + Try % 2, Job, Tasks, TaskTime, Deadline).Status;
    if (Status != 0 && Status != 502 && Status != 504)
      break;
  }
  return Status;
}

int play(SmallDeployment &World) {
  if (!World.start())
    return CaseDidNotRun;
  // The jobs of other clients, of which none is cancelled.
  for (std::uint64_t I = 0; I < OtherJobs; ++I)
    World.submit(2, fmt::format("{:016x}", FirstOtherJob + I), 1, OtherTime,
                 OtherDeadline);
  int Last = 0;
  std::thread Client([&] { Last = handIn(World); });
  std::this_thread::sleep_for(1s);
  int Cancelled = 0;
  if (World.hasTrouble())
    Cancelled = World.ask(1, "DELETE", Job).Status;
  SmallDeployment::Clock::time_point AckedAt = SmallDeployment::Clock::now();
  Client.join();
  World.noteRuns(Job);
  if (!World.hasTrouble()) {
    World.note(fmt::format("without trouble: the job ends with {}", Last));
    return Last == 200 ? RuleHeld : CaseDidNotRun;
  }
  if (Cancelled != 200)
    return CaseDidNotRun;
  auto Limit = AckedAt + World.bounds().Cancel;
  int Late = World.startsAfter(Job, Limit);
  int Alive = World.aliveAt(Job, Limit + World.bounds().Stop);
  World.note(fmt::format("{} starts later than cancel_ms after the "
                         "acknowledged cancelling; {} runs at work stopMs "
                         "after that; the last answer is {}",
                         Late, Alive, Last));
  return Late > 0 || Alive > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int Count, char **Arguments) {
  SmallDeployment World(Count > 1 ? Arguments[1] : ".");
  int Result = play(World);
  World.note(fmt::format("exit code {}", Result));
  return Result;
}
