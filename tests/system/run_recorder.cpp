#include "tests/system/run_recorder.h"

#include <algorithm>

namespace yardwheel {

void RunRecorder::onStart(const std::string &Task, const std::string &Worker) {
  std::lock_guard Lock(this->Mutex);
  ++this->Starts;
  if (++this->Alive[Task] > 1)
    ++this->Overlaps;
  RunSpan New;
  New.Worker = Worker;
  New.Begin = std::chrono::steady_clock::now();
  this->Spans[Task].push_back(New);
}

void RunRecorder::onEnd(const std::string &Task, const std::string &Worker,
                        RunSpan::TimePoint At, bool Done) {
  std::lock_guard Lock(this->Mutex);
  --this->Alive[Task];
  for (RunSpan &Span : this->Spans[Task]) {
    bool Open = Span.End == RunSpan::TimePoint::max();
    if (!Open || Span.Worker != Worker)
      continue;
    Span.End = At;
    Span.Done = Done;
    return;
  }
}

int RunRecorder::alive() const {
  std::lock_guard Lock(this->Mutex);
  int Count = 0;
  for (const auto &[Task, Runs] : this->Alive)
    Count += Runs;
  return Count;
}

std::vector<std::string> RunRecorder::overlappingTasks() const {
  std::lock_guard Lock(this->Mutex);
  std::vector<std::string> Found;
  for (const auto &[Task, Runs] : this->Spans) {
    // Runs are in the order of their starts.
    RunSpan::TimePoint Latest = RunSpan::TimePoint::min();
    bool Overlap = false;
    for (const RunSpan &Run : Runs) {
      Overlap = Overlap || Run.Begin < Latest;
      Latest = std::max(Latest, Run.End);
    }
    if (Overlap)
      Found.push_back(Task);
  }
  return Found;
}

std::map<std::string, std::vector<RunSpan>>
RunRecorder::runsOf(const std::string &Job) const {
  std::lock_guard Lock(this->Mutex);
  std::map<std::string, std::vector<RunSpan>> Found;
  std::string Prefix = Job + ".";
  for (auto At = this->Spans.lower_bound(Prefix);
       At != this->Spans.end() && At->first.starts_with(Prefix); ++At)
    Found.insert(*At);
  return Found;
}

void RunRecorder::onUnsuitableStart(const std::string &Task,
                                    const std::string &Worker) {
  std::lock_guard Lock(this->Mutex);
  this->Unsuitable.push_back(Task + " on " + Worker);
}

std::vector<std::string> RunRecorder::unsuitableStarts() const {
  std::lock_guard Lock(this->Mutex);
  return this->Unsuitable;
}

} // namespace yardwheel
