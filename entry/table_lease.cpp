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
  this->LastConfirmed.store(std::max(this->LastConfirmed.load(), Asked));
}

bool TableLease::isLeaderUnreachable(TimePoint Now) const {
  // All replicas must have been asked: that one refuses or doesn't answer says
  // nothing about the others. An old table was once served for 7 s while the
  // majority of control accepted changes.
  TimePoint Since = this->NoLeaderSince.load();
  return Since != TimePoint::min() && Now - Since <= this->Options.MaxAge;
}

void TableLease::onPeerRevision(std::uint64_t Revision) {
  this->NewestRevision.store(std::max(this->NewestRevision.load(), Revision));
}

TableStatus TableLease::status(TimePoint Now, TimePoint LastIdle) const {
  TableStatus Result;
  Result.NewerKnown = this->NewestRevision.load() > this->HeldRevision.load();
  TimePoint Last = this->LastConfirmed.load();
  if (Last == TimePoint::min())
    return Result;
  auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(Now - Last);
  Result.Age = Age;
  // A newer revision at a peer came into force less than this age ago.
  if (Age <= this->Options.MaxAge)
    Result.State = TableState::Current;
  else if (!Result.NewerKnown &&
           keepsUp(Now, this->LastTick.load(), LastIdle,
                   this->Options.MaxInputStall) &&
           this->isLeaderUnreachable(Now))
    Result.State = TableState::Unreachable;
  return Result;
}

} // namespace yardwheel
