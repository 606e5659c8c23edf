#include "consensus/quorum.h"

#include <algorithm>

namespace yardwheel {

std::vector<std::string> votersOf(const peer::ReplicaSet &Set) {
  std::vector<std::string> Names;
  for (const peer::Replica &Known : Set.replicas())
    if (!Known.learner())
      Names.push_back(Known.name());
  return Names;
}

bool Quorum::isReached(const std::set<std::string> &Supporters) const {
  return !this->Sets.empty() &&
         std::ranges::all_of(this->Sets, [&](const auto &Voters) {
           return this->isReachedIn(Voters, Supporters);
         });
}

std::uint64_t
Quorum::reachedValue(const std::map<std::string, std::uint64_t> &Values) const {
  std::map<std::uint64_t, std::set<std::string>, std::greater<>> ByValue;
  for (const auto &[Name, Value] : Values)
    ByValue[Value].insert(Name);
  std::set<std::string> Supporters;
  for (const auto &[Value, Names] : ByValue) {
    Supporters.insert(Names.begin(), Names.end());
    if (this->isReached(Supporters))
      return Value;
  }
  return 0;
}

bool Quorum::isReachedIn(const std::vector<std::string> &Voters,
                         const std::set<std::string> &Supporters) const {
  auto Count = static_cast<std::size_t>(
      std::ranges::count_if(Voters, [&](const std::string &Name) {
        return Supporters.contains(Name);
      }));
  if (2 * Count > Voters.size())
    return true;
  if (2 * Count < Voters.size() || Voters.size() % 2 != 0)
    return false;
  // A vote or an acknowledgement of the lost replica itself must not be part of
  // a half: it may have given it to others as well.
  return std::ranges::any_of(Voters, [&](const std::string &Lost) {
    return !Supporters.contains(Lost) &&
           std::ranges::all_of(Voters, [&](const std::string &Name) {
             return !Supporters.contains(Name) || this->hasReported(Name, Lost);
           });
  });
}

bool Quorum::hasReported(const std::string &Supporter,
                         const std::string &Lost) const {
  if (this->AreReportsShared)
    return std::ranges::any_of(this->Reports, [&](const auto &Report) {
      return Report.second.contains(Lost);
    });
  auto Found = this->Reports.find(Supporter);
  return Found != this->Reports.end() && Found->second.contains(Lost);
}

} // namespace yardwheel
