#include "coordination/recent_ids.h"

namespace yardwheel {

void RecentIds::add(const std::string &Id, TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  if (Now - this->CurrentStart > this->Retention) {
    std::swap(this->Previous, this->Current);
    this->Current.clear();
    this->CurrentStart = Now;
  }
  this->Current.insert(Id);
}

bool RecentIds::contains(const std::string &Id) const {
  std::lock_guard Lock(this->Mutex);
  return this->Current.contains(Id) || this->Previous.contains(Id);
}

} // namespace yardwheel
