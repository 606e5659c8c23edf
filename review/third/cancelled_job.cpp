//===- A best-effort job that is cancelled --------------------------------===//
///
/// \file
/// A client hands a best-effort job in at one entry. In the first case it is
/// cancelled through another entry, on which the platform has put the new
/// connection. In the second it is cancelled where it runs, and sent again
/// because the answer to its POST was 504. Once the cancelling has been
/// acknowledged for cancel_ms, no task of the job may be started, and stopMs
/// later none may run.
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
constexpr std::chrono::milliseconds RetransmitTime = 1300ms;
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

/// Hands the job in and writes down the answer. \returns its status.
long handIn(const SmallDeployment &Deployment, Record &Lines) {
  Lines.add(fmt::format("POST {} at front1: {} tasks of {} ms", Job, Tasks,
                        TaskTime.count()));
  HttpResult Answer = Deployment.call(
      1, "POST", Job, SmallDeployment::job(Tasks, TaskTime), Deadline);
  Lines.add(fmt::format("front1 answers POST: {} {}{}", Answer.Status,
                        Answer.Body, Answer.Problem));
  return Answer.Status;
}

int run(Record &Lines, bool Trouble, int CancelAt, bool IsSentAgain) {
  SmallDeployment Deployment(2, 2);
  if (!Deployment.start()) {
    Lines.add("the processes do not serve jobs");
    return NotRun;
  }
  RunRecorder &Runs = Deployment.cluster().Recorder;
  auto HandedIn =
      std::async(std::launch::async, [&] { return handIn(Deployment, Lines); });
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
  // The pages: after no response, a broken connection, a 502 or a 504, the job
  // is sent again retransmitMs later.
  bool AsksForMore = Status == 0 || Status == 502 || Status == 504;
  if (Trouble && IsSentAgain && AsksForMore) {
    std::this_thread::sleep_for(RetransmitTime);
    handIn(Deployment, Lines);
  }
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
  // 1 cancels at the entry that took the job.
  const char *At = std::getenv("CANCEL_AT");
  int CancelAt = At != nullptr && std::string(At) == "1" ? 1 : 2;
  bool IsSentAgain = Count > 2 && std::string(Words[2]) == "again";
  Record Lines(Count > 1 ? Words[1] : "record.txt");
  int Code = run(Lines, Trouble, CancelAt, IsSentAgain);
  Lines.add(Code == Broken ? "BROKEN" : Code == Held ? "held" : "not run");
  return Code;
}
