#include "entry/drain_watch.h"

namespace yardwheel {

bool DrainWatch::isOver(std::uint64_t Submissions, std::size_t InFlight,
                        TimePoint Now) {
  if (Submissions != this->Seen || InFlight > 0)
    this->LastBusy = Now;
  this->Seen = Submissions;
  if (Now >= this->Start + this->Options.Longest)
    return true;
  bool Noticed = Now >= this->Start + this->Options.BalancerNotice;
  return Noticed && Now >= this->LastBusy + this->Options.Quiet;
}

} // namespace yardwheel
