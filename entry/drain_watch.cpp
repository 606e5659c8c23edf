#include "entry/drain_watch.h"

namespace yardwheel {

bool DrainWatch::isOver(std::uint64_t Submissions, std::size_t InFlight,
                        TimePoint Now) {
  if (Submissions != this->LastSubmissions || InFlight > 0)
    this->LastBusy = Now;
  this->LastSubmissions = Submissions;
  if (Now >= this->Start + this->Options.MaxDrain)
    return true;
  bool Noticed = Now >= this->Start + this->Options.BalancerNoticeTime;
  return Noticed && Now >= this->LastBusy + this->Options.QuietPeriod;
}

} // namespace yardwheel
