#include "core/clock.h"

namespace yardwheel {

Instant SystemClock::now() const {
  using namespace std::chrono;
  return {.Steady = time_point_cast<Duration>(steady_clock::now()),
          .Wall = time_point_cast<milliseconds>(system_clock::now())};
}

std::int64_t toUnixMillis(WallTime Time) {
  return Time.time_since_epoch().count();
}

WallTime fromUnixMillis(std::int64_t Millis) {
  return WallTime(std::chrono::milliseconds(Millis));
}

} // namespace yardwheel
