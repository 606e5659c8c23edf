#include "tool/load_history.h"

#include <iterator>

namespace yardwheel {

void LoadHistory::add(const LogLine &Line) {
  bool OfEntry =
      Line.Decision == "entry_started" || Line.Decision == "entry_load";
  bool OfAgent =
      Line.Decision == "agent_started" || Line.Decision == "agent_load";
  if (!OfEntry && !OfAgent)
    return;
  Process &Target = this->Processes[Line.Process];
  Target.Role = OfEntry ? LoggedRole::Entry : LoggedRole::Agent;
  if (std::string Name = Line.text("data_centre"); !Name.empty())
    Target.DataCentre = Name;
  auto Used = Line.number("processor_ms");
  if (!Used)
    return;
  Sample New;
  New.ProcessorMillis = *Used;
  New.LimitPercent = Line.number("limit_percent").value_or(0);
  New.BusyPercent = Line.number("busy_percent");
  New.Room = Line.number("room_cpu_milli").value_or(0);
  New.UsedRoom = Line.number("used_cpu_milli").value_or(0);
  auto Ready = Line.Fields.find("ready");
  New.Ready = Ready != Line.Fields.end() && *Ready == true;
  Target.Samples[Line.Time] = New;
}

LoggedRole LoadHistory::role(const std::string &Process) const {
  auto Found = this->Processes.find(Process);
  return Found == this->Processes.end() ? LoggedRole::Unknown
                                        : Found->second.Role;
}

std::string LoadHistory::dataCentre(const std::string &Process) const {
  auto Found = this->Processes.find(Process);
  return Found == this->Processes.end() || Found->second.DataCentre.empty()
             ? "?"
             : Found->second.DataCentre;
}

std::optional<bool> LoadHistory::hadTime(const Process &Of, WallTime At) {
  auto After = Of.Samples.upper_bound(At);
  if (After == Of.Samples.begin() || After == Of.Samples.end())
    return std::nullopt;
  auto Before = std::prev(After);
  std::chrono::duration<double, std::milli> Passed =
      After->first - Before->first;
  auto Used = After->second.ProcessorMillis - Before->second.ProcessorMillis;
  // The totals begin anew with a restart.
  if (Passed > MaxGap || Used < 0)
    return std::nullopt;
  constexpr double Percent = 100;
  // Without a limit, the share is taken of one processor.
  double Limit = After->second.LimitPercent > 0
                     ? static_cast<double>(After->second.LimitPercent) / Percent
                     : 1;
  if (After->second.BusyPercent)
    return static_cast<double>(*After->second.BusyPercent) / Percent <
           MaxBusyShareWithTime;
  return static_cast<double>(Used) / (Passed.count() * Limit) <
         MaxShareWithTime;
}

std::optional<bool> LoadHistory::hadTime(LoggedRole Role,
                                         const std::string &Except,
                                         WallTime At) const {
  std::optional<bool> Result;
  for (const auto &[Name, Known] : this->Processes) {
    if (Known.Role != Role || Name == Except)
      continue;
    if (std::optional<bool> HadTime = hadTime(Known, At))
      Result = Result.value_or(false) || *HadTime;
  }
  return Result;
}

std::optional<bool> LoadHistory::hadRoom(WallTime At) const {
  std::int64_t Room = 0;
  std::int64_t Used = 0;
  for (const auto &[Name, Known] : this->Processes) {
    auto After = Known.Samples.upper_bound(At);
    if (Known.Role != LoggedRole::Agent || After == Known.Samples.begin())
      continue;
    auto Last = std::prev(After);
    if (At - Last->first > MaxGap || !Last->second.Ready)
      continue;
    Room += Last->second.Room;
    Used += Last->second.UsedRoom;
  }
  if (Room == 0)
    return std::nullopt;
  return static_cast<double>(Used) <
         MaxShareWithRoom * static_cast<double>(Room);
}

} // namespace yardwheel
