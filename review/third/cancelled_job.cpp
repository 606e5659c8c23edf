//===- A job that is cancelled through another entry ----------------------===//
///
/// \file
/// A client hands a best-effort job in at one entry and cancels it through
/// another one, on which the platform has put the new connection. Once the
/// cancelling has been acknowledged for cancel_ms, no task of the job may be
/// started, and stopMs later none may run.
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

constexpr const char *Job = "00000000000000c9";
/// Two workers run 16 of them at a time, so that the others start later.
constexpr int Tasks = 40;
constexpr std::chrono::milliseconds TaskTime = 2500ms;
constexpr std::chrono::milliseconds Deadline = 17000ms;
/// The pages' cancel_ms and stopMs.
constexpr std::chrono::milliseconds CancelTime = 3000ms;
constexpr std::chrono::milliseconds StopTime = 50ms;
/// For the threads of this program.
constexpr std::chrono::milliseconds Slack = 100ms;

using Clock = std::chrono::steady_clock;

/// Writes the runs of the job. \returns whether one of them was started or was
/// alive after its cancelling.
bool breaksCancelling(const RunRecorder &Runs, Clock::time_point Cancelled,
                      Record &Lines) {
  int Started = 0;
  int Alive = 0;
  for (const auto &[Task, Spans] : Runs.runsOf(Job))
    for (const RunSpan &Span : Spans) {
      auto MillisOf = [&](Clock::time_point At) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(At -
                                                                     Cancelled)
            .count();
      };
      Lines.add(fmt::format("run of {} at {}: from {} ms to {} ms after the "
                            "acknowledgement, {}",
                            Task, Span.Worker, MillisOf(Span.Begin),
                            MillisOf(Span.End), Span.Done ? "done" : "ended"));
      Started += Span.Begin > Cancelled + CancelTime + Slack ? 1 : 0;
      Alive += Span.End > Cancelled + CancelTime + StopTime + Slack ? 1 : 0;
    }
  Lines.add(fmt::format("{} runs were started later than cancel_ms after the "
                        "acknowledgement, {} were alive stopMs later",
                        Started, Alive));
  return Started > 0 || Alive > 0;
}

int run(Record &Lines, bool Trouble, int CancelAt) {
  SmallDeployment Deployment(2, 2);
  if (!Deployment.start()) {
    Lines.add("the processes do not serve jobs");
    return NotRun;
  }
  RunRecorder &Runs = Deployment.cluster().Recorder;
  Lines.add(fmt::format("POST {} at front1: {} tasks of {} ms", Job, Tasks,
                        TaskTime.count()));
  auto HandedIn = std::async(std::launch::async, [&] {
    HttpResult Answer = Deployment.call(
        1, "POST", Job, SmallDeployment::job(Tasks, TaskTime), Deadline);
    Lines.add(fmt::format("front1 answers POST: {} {}{}", Answer.Status,
                          Answer.Body, Answer.Problem));
    return Answer.Status;
  });
  if (!waitFor([&] { return Runs.alive() > 0; })) {
    Lines.add("the job does not begin");
    return NotRun;
  }
  auto Cancelled = Clock::time_point::max() - 1h;
  if (Trouble) {
    std::this_thread::sleep_for(500ms);
    HttpResult Answer = Deployment.call(CancelAt, "DELETE", Job, "", 1500ms);
    Lines.add(fmt::format("front{} answers DELETE: {} {}{}", CancelAt,
                          Answer.Status, Answer.Body, Answer.Problem));
    bool IsAcknowledged =
        (Answer.Status >= 200 && Answer.Status < 300) || Answer.Status == 410;
    if (!IsAcknowledged)
      return NotRun;
    Cancelled = Clock::now();
  }
  long Status = HandedIn.get();
  waitFor([&] { return Runs.alive() == 0; });
  bool IsBroken = breaksCancelling(Runs, Cancelled, Lines);
  if (!Trouble && Status != 200)
    return NotRun;
  return IsBroken ? Broken : Held;
}

} // namespace

int main(int Count, char **Words) {
  const char *Given = std::getenv("TROUBLE");
  bool Trouble = Given == nullptr || std::string(Given) != "0";
  // For comparison: 1 cancels at the entry that took the job.
  const char *At = std::getenv("CANCEL_AT");
  int CancelAt = At != nullptr && std::string(At) == "1" ? 1 : 2;
  Record Lines(Count > 1 ? Words[1] : "record.txt");
  int Code = run(Lines, Trouble, CancelAt);
  Lines.add(Code == Broken ? "BROKEN" : Code == Held ? "held" : "not run");
  return Code;
}
