//===- Jobs of two queues with the same id --------------------------------===//
///
/// \file
/// Clients of two queues choose the same id for a job, at about the same time.
/// What a client is told must be about its own job: it may be refused, but is
/// not told `completed` while a task of it has not ended so.
///
//===----------------------------------------------------------------------===//

#include "review/third/small_deployment.h"

#include <cstdlib>
#include <fmt/format.h>
#include <future>
#include <thread>

using namespace yardwheel;
using namespace yardwheel::review;
using namespace std::chrono_literals;

namespace {

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int NotRun = 2;

constexpr const char *Id = "0000000000000011";
constexpr const char *OtherId = "0000000000000012";
constexpr int FirstTasks = 4;
constexpr std::chrono::milliseconds FirstTime = 1000ms;
constexpr int SecondTasks = 10;
constexpr std::chrono::milliseconds SecondTime = 100ms;
/// The deadline on the sheet.
constexpr std::chrono::milliseconds Deadline = 1500ms;

HttpResult handIn(const SmallDeployment &Deployment, int Queue,
                  const std::string &Job, int Tasks,
                  std::chrono::milliseconds Each, Record &Lines) {
  Lines.add(fmt::format("POST {} for queue {} at front1: {} tasks of {} ms",
                        Job, Queue, Tasks, Each.count()));
  HttpResult Answer = Deployment.call(
      1, "POST", Job, SmallDeployment::job(Tasks, Each), Deadline, Queue);
  Lines.add(fmt::format("front1 answers POST {} for queue {}: {} {}{}", Job,
                        Queue, Answer.Status, Answer.Body, Answer.Problem));
  return Answer;
}

/// Returns how many tasks of a job have ended as done, and writes them down.
int countDone(const RunRecorder &Runs, const std::string &Job, Record &Lines) {
  int Done = 0;
  for (const auto &[Task, Spans] : Runs.runsOf(Job))
    for (const RunSpan &Span : Spans) {
      auto Took = std::chrono::duration_cast<std::chrono::milliseconds>(
          Span.End - Span.Begin);
      Lines.add(fmt::format("run of {} at {}: {} ms, {}", Task, Span.Worker,
                            Took.count(), Span.Done ? "done" : "ended"));
      Done += Span.Done ? 1 : 0;
    }
  return Done;
}

int run(Record &Lines, bool Trouble) {
  SmallDeployment Deployment(2, 2);
  if (!Deployment.start()) {
    Lines.add("the processes do not serve jobs");
    return NotRun;
  }
  RunRecorder &Runs = Deployment.cluster().Recorder;
  auto First = std::async(std::launch::async, [&] {
    return handIn(Deployment, 1, Id, FirstTasks, FirstTime, Lines);
  });
  if (!waitFor([&] { return Runs.alive() == FirstTasks; })) {
    Lines.add("the first job does not begin");
    return NotRun;
  }
  const std::string Second = Trouble ? Id : OtherId;
  HttpResult Answer =
      handIn(Deployment, 2, Second, SecondTasks, SecondTime, Lines);
  if (First.get().Status != 200)
    return NotRun;
  waitFor([&] { return Runs.alive() == 0; });
  int Done = countDone(Runs, Second, Lines);
  int Wanted = SecondTasks + (Trouble ? FirstTasks : 0);
  bool IsCompleted = Answer.Status == 200 &&
                     Answer.Body.find("completed") != std::string::npos;
  Lines.add(fmt::format("{} runs under the second job's id have ended as done; "
                        "{} if all tasks handed in under it have",
                        Done, Wanted));
  return IsCompleted && Done < Wanted ? Broken : Held;
}

} // namespace

int main(int Count, char **Words) {
  const char *Given = std::getenv("TROUBLE");
  bool Trouble = Given == nullptr || std::string(Given) != "0";
  Record Lines(Count > 1 ? Words[1] : "record.txt");
  int Code = run(Lines, Trouble);
  Lines.add(Code == Broken ? "BROKEN" : Code == Held ? "held" : "not run");
  return Code;
}
