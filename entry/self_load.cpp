#include "entry/self_load.h"

#include <algorithm>

namespace yardwheel {

bool SelfLoad::mayBeReady(TimePoint Now, TimePoint LastIdle) {
  bool NotReady = Now < this->NotReadyUntil;
  if (!this->isOverloaded(Now, LastIdle))
    return !NotReady;
  if (NotReady)
    return false;
  // Overloaded again soon after the last pause: the pause was too short.
  bool TooSoon =
      this->Pause.count() > 0 && Now - this->NotReadyUntil < this->Pause;
  this->Pause = TooSoon ? std::min(2 * this->Pause, this->Options.MaxPause)
                        : this->Options.MinPause;
  this->NotReadyUntil = Now + this->Pause;
  return false;
}

} // namespace yardwheel
