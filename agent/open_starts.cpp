#include "agent/open_starts.h"

#include <algorithm>

namespace yardwheel {

void OpenStarts::add(const std::string &Job, std::uint32_t Index,
                     TimePoint Now) {
  this->Starts.push_back(
      {++this->LastNumber, Job, Index, Now + this->Options.MaxCallDelay});
  for (auto &[Name, Known] : this->Entries)
    Known.NextReport = Now;
}

void OpenStarts::trackEntry(const PeerRef &From, TimePoint Now) {
  Entry &Known = this->Entries[From.Node];
  // The new incarnation of an entry knows of none.
  if (Known.Ref.Incarnation != From.Incarnation)
    Known = {};
  Known.Ref = From;
  Known.LastHeard = Now;
}

void OpenStarts::acknowledge(const std::string &Entry, std::uint64_t Number) {
  auto Found = this->Entries.find(Entry);
  if (Found != this->Entries.end())
    Found->second.Acknowledged = std::max(Found->second.Acknowledged, Number);
}

void OpenStarts::list(const std::string &Entry, TimePoint Now,
                      peer::WorkerLoad &Report) const {
  auto Found = this->Entries.find(Entry);
  std::uint64_t Known =
      Found == this->Entries.end() ? 0 : Found->second.Acknowledged;
  auto Start =
      std::ranges::upper_bound(this->Starts, Known, {}, &OpenStart::Number);
  for (; Start != this->Starts.end(); ++Start) {
    if (Now >= Start->Until)
      continue;
    if (Report.open_starts_size() >= this->Options.MaxPerReport)
      return;
    peer::OpenStart *Row = Report.add_open_starts();
    Row->set_job(Start->Job);
    Row->set_index(Start->Index);
    Row->set_left_ms(
        static_cast<std::uint32_t>(millisBetween(Now, Start->Until)));
    Row->set_number(Start->Number);
  }
}

std::vector<PeerRef> OpenStarts::dueReports(TimePoint Now) {
  while (!this->Starts.empty() && Now >= this->Starts.front().Until)
    this->Starts.pop_front();
  std::vector<PeerRef> Due;
  if (this->Starts.empty())
    return Due;
  for (auto &[Name, Known] : this->Entries) {
    bool IsDue = Now - Known.LastHeard < this->Options.EntryTimeout &&
                 Known.Acknowledged < this->Starts.back().Number &&
                 Now >= Known.NextReport;
    if (!IsDue)
      continue;
    Known.NextReport = Now + this->Options.ReportInterval;
    Due.push_back(Known.Ref);
  }
  return Due;
}

std::vector<PeerRef> OpenStarts::entries(TimePoint Now) const {
  std::vector<PeerRef> Recent;
  for (const auto &[Name, Known] : this->Entries)
    if (Now - Known.LastHeard < this->Options.EntryTimeout)
      Recent.push_back(Known.Ref);
  return Recent;
}

} // namespace yardwheel
