#include "core/processor_meter.h"

namespace yardwheel {

namespace {

constexpr std::chrono::milliseconds SampleInterval{100};
/// Weight of a new sample: some three samples count, so that a burst shows
/// within a third of a second.
constexpr double SampleWeight = 0.4;

} // namespace

void ProcessorMeter::sample(Duration Used, TimePoint Now) {
  std::chrono::duration<double> Spent = Used - this->LastUsed;
  std::chrono::duration<double> Passed = Now - this->LastSample;
  if (this->HasSample && Passed.count() > 0)
    this->Share +=
        SampleWeight * (Spent / (Passed * this->Limit) - this->Share);
  this->HasSample = true;
  this->LastUsed = Used;
  this->LastSample = Now;
  this->NextSample = Now + SampleInterval;
}

} // namespace yardwheel
