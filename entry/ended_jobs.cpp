#include "entry/ended_jobs.h"

namespace yardwheel {

void EndedJobs::add(const std::string &Key, std::uint64_t Fingerprint,
                    TimePoint Forget) {
  this->Known[Key] = Fingerprint;
  this->Order.emplace_back(Forget, Key);
}

std::optional<std::uint64_t> EndedJobs::find(const std::string &Key) const {
  auto Found = this->Known.find(Key);
  if (Found == this->Known.end())
    return std::nullopt;
  return Found->second;
}

void EndedJobs::expire(TimePoint Now) {
  while (!this->Order.empty() && this->Order.front().first <= Now) {
    this->Known.erase(this->Order.front().second);
    this->Order.pop_front();
  }
}

} // namespace yardwheel
