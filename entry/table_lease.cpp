#include "entry/table_lease.h"

#include "core/input_progress.h"

#include <algorithm>

namespace yardwheel {

const char *tableStateName(TableState State) {
  switch (State) {
  case TableState::Current:
    return "current";
  case TableState::Unreachable:
    return "unreachable";
  case TableState::Unknown:
    break;
  }
  return "unknown";
}

void TableLease::confirm(TimePoint Asked) {
  this->Confirmed.store(std::max(this->Confirmed.load(), Asked));
}

bool TableLease::isSearched(TimePoint Now) const {
  // That one replica refuses or is silent says nothing of the others: an old
  // table was served for 7 s while the larger half of control took changes.
  TimePoint Since = this->Searched.load();
  return Since != TimePoint::min() && Now - Since <= this->Options.MaxAge;
}

void TableLease::hear(std::uint64_t Revision) {
  this->Heard.store(std::max(this->Heard.load(), Revision));
}

TableStanding TableLease::standing(TimePoint Now, TimePoint LastIdle) const {
  TableStanding Result;
  Result.NewerKnown = this->Heard.load() > this->Held.load();
  TimePoint Last = this->Confirmed.load();
  if (Last == TimePoint::min())
    return Result;
  auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(Now - Last);
  Result.Age = Age;
  // What a peer has newer came into force less than this age ago.
  if (Age <= this->Options.MaxAge)
    Result.State = TableState::Current;
  else if (!Result.NewerKnown &&
           keepsUp(Now, this->Watched.load(), LastIdle,
                   this->Options.LongSpell) &&
           this->isSearched(Now))
    Result.State = TableState::Unreachable;
  return Result;
}

} // namespace yardwheel
