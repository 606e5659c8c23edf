#include "entry/table_lease.h"

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

bool TableLease::keepsUp(TimePoint Now, TimePoint LastIdle) const {
  TimePoint Last = this->Watched.load();
  // A process that wakes may look idle before it has read anything; that it
  // was not watched meanwhile gives it away.
  return Last != TimePoint::min() && Now - Last <= this->Options.LongSpell &&
         Now - LastIdle <= this->Options.LongSpell;
}

void TableLease::watch(TimePoint Now, TimePoint LastIdle) {
  // The answers to questions sent before may lie here unread.
  if (!this->keepsUp(Now, LastIdle))
    this->OpenSince.store(TimePoint::min());
  this->Watched.store(Now);
}

void TableLease::ask(TimePoint Sent) {
  if (this->OpenSince.load() == TimePoint::min())
    this->OpenSince.store(Sent);
}

void TableLease::confirm(TimePoint Asked) {
  this->Confirmed.store(std::max(this->Confirmed.load(), Asked));
  this->OpenSince.store(TimePoint::min());
}

void TableLease::hear(std::uint64_t Revision) {
  this->Heard.store(std::max(this->Heard.load(), Revision));
}

bool TableLease::isControlSilent(TimePoint Now, TimePoint LastIdle) const {
  if (!this->keepsUp(Now, LastIdle))
    return false;
  TimePoint Open = this->OpenSince.load();
  // When last idle, this process had read all that had come until then.
  return Open != TimePoint::min() &&
         LastIdle - Open >= this->Options.AnswerWithin;
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
  else if (!Result.NewerKnown && this->isControlSilent(Now, LastIdle))
    Result.State = TableState::Unreachable;
  return Result;
}

} // namespace yardwheel
