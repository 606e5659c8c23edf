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

void TableLease::confirm(TimePoint RequestSentAt) {
  this->LastConfirmed.store(
      std::max(this->LastConfirmed.load(), RequestSentAt));
}

bool TableLease::isLeaderUnreachable(TimePoint Now) const {
  // All replicas must have been asked: one that refuses or doesn't answer says
  // nothing about the others. Counting one as enough let an old table be served
  // for 7 s while the majority of control accepted changes.
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
  // NewerKnown does not matter here: the table was still the newest one at most
  // Age ago, so any newer revision came into force after that.
  if (Age <= this->Options.MaxAge)
    Result.State = TableState::Current;
  else if (!Result.NewerKnown &&
           keepsUpWithInput(Now, this->LastTick.load(), LastIdle,
                            this->Options.MaxInputStall) &&
           this->isLeaderUnreachable(Now))
    Result.State = TableState::Unreachable;
  return Result;
}

} // namespace yardwheel
