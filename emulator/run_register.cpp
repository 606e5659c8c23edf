#include "emulator/run_register.h"

#include <algorithm>
#include <fmt/format.h>

namespace yardwheel {

void RunRegister::begin(const std::string &Worker, const RunKey &Run,
                        SubmissionId For, TimePoint Now) {
  TaskName Task{Run.Job, Run.Index};
  std::vector<RunRegister::Run> &Known = this->Runs[Task];
  if (std::ranges::any_of(Known, [](const RunRegister::Run &Each) {
        return Each.Ended == TimePoint::max();
      })) {
    ++this->OverlappingStarts;
    this->OverlappingTasks.insert(Task);
  }
  Known.push_back({Worker, Run.Run, For, Now});
  this->BegunSubmissions.insert(For);
}

void RunRegister::end(const std::string &Worker, const RunKey &Run,
                      const std::string &How, TimePoint Now) {
  for (RunRegister::Run &Each : this->Runs[{Run.Job, Run.Index}]) {
    bool Meant = Each.Worker == Worker && Each.Number == Run.Run &&
                 Each.Ended == TimePoint::max();
    if (!Meant)
      continue;
    Each.Ended = Now;
    Each.How = How;
  }
}

void RunRegister::checkKind(const RunKey &Run, const WorkerProfile &Worker,
                            std::size_t RunsOfJob) {
  auto Found = this->Requirements.find(Run.Job);
  if (Found == this->Requirements.end())
    return;
  const peer::WorkerRequirement &Needed = Found->second;
  bool HasLabel =
      Needed.label().empty() || Worker.Labels.contains(Needed.label());
  bool IsWithinLimit =
      Needed.max_tasks() == 0 || RunsOfJob <= Needed.max_tasks();
  if (Worker.Pool != Needed.pool() || !HasLabel || !IsWithinLimit)
    ++this->UnsuitableStarts;
}

void RunRegister::noteCrash(const RunKey &Cause) {
  CrashCount &Count = this->CrashCounts[{Cause.Job, Cause.Index}];
  if (Count.Crashes >= 3)
    ++Count.StartsAfterThreeCrashes;
  ++Count.Crashes;
}

CrashStats RunRegister::crashStats() const {
  CrashStats Toll;
  for (const auto &[Task, Count] : this->CrashCounts) {
    Toll.Crashes += Count.Crashes;
    Toll.MaxCrashesOfOneTask =
        std::max(Toll.MaxCrashesOfOneTask, Count.Crashes);
    Toll.MaxStartsAfterThree =
        std::max(Toll.MaxStartsAfterThree, Count.StartsAfterThreeCrashes);
  }
  return Toll;
}

std::string RunRegister::describeOverlapping(TimePoint Since) const {
  std::string Text;
  for (const TaskName &Task : this->OverlappingTasks) {
    Text += fmt::format("{}/{}:\n", Task.first, Task.second);
    for (const Run &Each : this->Runs.at(Task)) {
      bool Alive = Each.Ended == TimePoint::max();
      Text += fmt::format(
          "  submission {} run {} at {} from {} to {} ms: {}\n", Each.For,
          Each.Number, Each.Worker, millisBetween(Since, Each.Began),
          Alive ? -1 : millisBetween(Since, Each.Ended), Each.How);
    }
  }
  return Text;
}

} // namespace yardwheel
