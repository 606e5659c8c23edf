#include "entry/ended_jobs.h"

namespace yardwheel {

void EndedJobs::add(const std::string &Key, std::uint64_t Fingerprint,
                    TimePoint ForgetAt) {
  this->Fingerprints[Key] = Fingerprint;
  this->Order.emplace_back(ForgetAt, Key);
}

std::optional<std::uint64_t> EndedJobs::find(const std::string &Key) const {
  auto Found = this->Fingerprints.find(Key);
  if (Found == this->Fingerprints.end())
    return std::nullopt;
  return Found->second;
}

void EndedJobs::expire(TimePoint Now) {
  while (!this->Order.empty() && this->Order.front().first <= Now) {
    this->Fingerprints.erase(this->Order.front().second);
    this->Order.pop_front();
  }
}

} // namespace yardwheel
