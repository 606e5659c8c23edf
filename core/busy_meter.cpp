#include "core/busy_meter.h"

#include <algorithm>

namespace yardwheel {

namespace {

constexpr std::chrono::milliseconds SampleInterval{100};
/// Weight of a new sample: some three samples count, so that a burst shows
/// within a third of a second.
constexpr double SampleWeight = 0.4;

} // namespace

void BusyMeter::sample(Duration Waited, TimePoint Now) {
  if (Now < this->NextSample)
    return;
  std::chrono::duration<double> Idle = Waited - this->LastWaited;
  std::chrono::duration<double> Passed = Now - this->LastSample;
  if (this->HasSample && Passed.count() > 0) {
    double Busy = std::clamp(1 - Idle / Passed, 0.0, 1.0);
    this->Share += SampleWeight * (Busy - this->Share);
  }
  this->HasSample = true;
  this->LastWaited = Waited;
  this->LastSample = Now;
  this->NextSample = Now + SampleInterval;
}

} // namespace yardwheel
