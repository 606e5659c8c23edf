#include "dispatch/packed_placement.h"

#include "dispatch/share_counter.h"

#include <algorithm>

namespace yardwheel {

namespace {

/// Returns an element of the list, selected at random.
std::size_t pick(const std::vector<std::size_t> &From,
                 std::mt19937_64 &Random) {
  std::uniform_int_distribution<std::size_t> Position(0, From.size() - 1);
  return From[Position(Random)];
}

} // namespace

bool PackedPlacement::assignAll(ShareCounter &Counter,
                                const std::vector<std::size_t> &Among,
                                std::mt19937_64 &Random) {
  std::vector<std::size_t> Fitting;
  for (std::size_t I : Among)
    if (Counter.tasksSureToStart(I) >= Counter.remaining())
      Fitting.push_back(I);
  if (Fitting.empty())
    return false;
  // Compares two random targets rather than all: the least loaded one of all
  // would be the same for every entry, whose knowledge of each other is a
  // message old.
  std::size_t One = pick(Fitting, Random);
  std::size_t Other = pick(Fitting, Random);
  Counter.assign(Counter.costAt(One) <= Counter.costAt(Other) ? One : Other,
                 Counter.remaining());
  return true;
}

bool PackedPlacement::fillLargest(ShareCounter &Counter,
                                  const std::vector<std::size_t> &Among,
                                  std::mt19937_64 &Random) {
  std::uint32_t MaxStarting = 0;
  for (std::size_t I : Among)
    MaxStarting = std::max(MaxStarting, Counter.tasksSureToStart(I));
  if (MaxStarting == 0)
    return false;
  std::vector<std::size_t> Largest;
  for (std::size_t I : Among)
    if (Counter.tasksSureToStart(I) == MaxStarting)
      Largest.push_back(I);
  Counter.assign(pick(Largest, Random), MaxStarting);
  return true;
}

std::vector<PlacementShare>
PackedPlacement::divide(const PlacementDemand &Demand,
                        std::vector<PlacementTarget> Targets,
                        std::mt19937_64 &Random) const {
  ShareCounter Counter(Demand, Targets, Random);
  std::vector<std::size_t> Preferred;
  std::vector<std::size_t> Risky;
  std::vector<std::size_t> Avoided;
  for (std::size_t I = 0; I < Targets.size(); ++I)
    (Counter.isAvoided(I) ? Avoided
     : Counter.isRisky(I) ? Risky
                          : Preferred)
        .push_back(I);
  while (Counter.remaining() > 0) {
    bool Assigned = assignAll(Counter, Preferred, Random) ||
                    fillLargest(Counter, Preferred, Random) ||
                    assignAll(Counter, Risky, Random) ||
                    fillLargest(Counter, Risky, Random) ||
                    Counter.queueInTime();
    if (!Assigned && Counter.paysToWait())
      break;
    Assigned = Assigned || assignAll(Counter, Avoided, Random) ||
               fillLargest(Counter, Avoided, Random) ||
               Counter.assignOneToCheapest();
    if (!Assigned)
      break;
  }
  return Counter.shares();
}

} // namespace yardwheel
