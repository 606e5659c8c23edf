#include "coordination/first_contacts.h"

#include "core/hash.h"

#include <algorithm>
#include <tuple>

namespace yardwheel {

std::vector<std::string>
chooseFirstContacts(const std::vector<FirstContact> &Unheard,
                    const FirstContactOptions &Options, std::uint64_t Seed,
                    TimePoint Now) {
  auto IsAwaited = [&](const FirstContact &Known) {
    return Known.ContactedAt != TimePoint::min() &&
           Now - Known.ContactedAt < Options.AnswerTimeout;
  };
  auto Awaited =
      static_cast<std::size_t>(std::ranges::count_if(Unheard, IsAwaited));
  std::vector<std::tuple<bool, std::uint64_t, std::string>> Ranked;
  for (const FirstContact &Known : Unheard)
    if (Known.ContactedAt == TimePoint::min())
      Ranked.emplace_back(Known.DataCentre != Options.DataCentre,
                          combineHash(stableHash(Known.Agent), Seed),
                          Known.Agent);
  std::size_t Room = Ranked.size();
  if (Options.MaxUnanswered > 0)
    Room = Options.MaxUnanswered -
           std::min<std::size_t>(Options.MaxUnanswered, Awaited);
  std::ranges::sort(Ranked);
  std::vector<std::string> Chosen;
  for (const auto &[IsFar, Hash, Agent] : Ranked)
    if (Chosen.size() < Room)
      Chosen.push_back(Agent);
  return Chosen;
}

} // namespace yardwheel
