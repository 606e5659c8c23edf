#include "coordination/clock_stamp.h"

#include <algorithm>

namespace yardwheel {

namespace {

constexpr std::int64_t Percent = 100;
/// Upper bound on the drift between the steady clocks of two hosts, as a share
/// of the elapsed time. Computer clocks usually stay within a thousandth.
constexpr std::int64_t ClockDriftPercent = 2;

} // namespace

std::uint64_t extrapolateStamp(std::uint64_t Stamp, TimePoint Received,
                               TimePoint When) {
  if (Stamp == 0)
    return 0;
  if (When < Received) {
    // The peer's clock may be the faster one.
    auto Back = std::chrono::ceil<std::chrono::milliseconds>(Received - When);
    auto Passed = static_cast<std::uint64_t>(
        (Back.count() * (Percent + ClockDriftPercent) + Percent - 1) / Percent);
    return Stamp - std::min(Stamp, Passed);
  }
  auto Age =
      std::chrono::duration_cast<std::chrono::milliseconds>(When - Received);
  Age = std::min(Age, MaxStampAge);
  return Stamp + static_cast<std::uint64_t>(
                     Age.count() * (Percent - ClockDriftPercent) / Percent);
}

} // namespace yardwheel
