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

void TableLease::ask(TimePoint Sent, TimePoint LastBehind) {
  TimePoint Open = this->OpenSince.load();
  // The answers to questions sent before may lie here unread.
  if (Open == TimePoint::min() || Open <= LastBehind)
    this->OpenSince.store(Sent);
}

void TableLease::confirm(TimePoint Asked) {
  this->Confirmed.store(std::max(this->Confirmed.load(), Asked));
  this->OpenSince.store(TimePoint::min());
}

void TableLease::hear(std::uint64_t Revision) {
  this->Heard.store(std::max(this->Heard.load(), Revision));
}

bool TableLease::isControlSilent(TimePoint Now, TimePoint LastBehind) const {
  TimePoint Open = this->OpenSince.load();
  return Open != TimePoint::min() && Open > LastBehind &&
         Now - Open >= this->Options.AnswerWithin;
}

TableStanding TableLease::standing(TimePoint Now, TimePoint LastBehind) const {
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
  else if (!Result.NewerKnown && this->isControlSilent(Now, LastBehind))
    Result.State = TableState::Unreachable;
  return Result;
}

} // namespace yardwheel
