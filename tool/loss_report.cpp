#include "tool/loss_report.h"

#include "core/error.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <unordered_map>

namespace yardwheel {

namespace {

constexpr double Percent = 100;

std::string formatValue(double Value) { return fmt::format("{:.1f}", Value); }

std::string formatShare(double Part, double Whole) {
  return Whole > 0 ? fmt::format("{:.1f}", Percent * Part / Whole) : "-";
}

/// Mean of values, each weighted by a count of jobs.
struct WeightedMean {
  double Sum = 0;
  std::uint64_t Count = 0;

  template <typename Value>
  void add(const std::optional<Value> &Known, std::uint64_t Weight) {
    if (!Known)
      return;
    this->Sum += static_cast<double>(*Known) * static_cast<double>(Weight);
    this->Count += Weight;
  }
  std::string text(double Factor = 1) const {
    return this->Count == 0
               ? "-"
               : fmt::format("{:.0f}", Factor * this->Sum /
                                           static_cast<double>(this->Count));
  }
};

/// What the refusals by one rule rested on.
struct RefusalSums {
  std::uint64_t Refused = 0;
  WeightedMean Taken;
  WeightedMean Limit;
  std::optional<std::chrono::milliseconds> LongestWait;
  WeightedMean EntryTime;
  WeightedMean AgentTime;
  WeightedMean Room;
};

} // namespace

RouteWorth parseRouteWorth(const std::vector<std::string> &Texts) {
  RouteWorth Worth;
  for (const std::string &Text : Texts) {
    std::size_t Separator = Text.rfind('=');
    double Value = 0;
    const char *End = Text.data() + Text.size();
    bool IsRead = false;
    if (Separator != std::string::npos && Separator > 0) {
      auto Result = std::from_chars(Text.data() + Separator + 1, End, Value);
      IsRead = Result.ec == std::errc() && Result.ptr == End && Value >= 0;
    }
    if (!IsRead)
      throw Error("command line", Text,
                  "expected ROUTE=VALUE with a value of 0 or more");
    Worth[Text.substr(0, Separator)] = Value;
  }
  return Worth;
}

void LossReport::Loss::add(JobOutcome Outcome, std::uint64_t Count,
                           double Worth) {
  this->Jobs += Count;
  this->Value += Worth;
  this->ByOutcome[Outcome] += Worth;
}

std::string LossReport::Loss::greatest() const {
  auto Greatest = std::ranges::max_element(
      this->ByOutcome, {}, [](const auto &Item) { return Item.second; });
  return Greatest == this->ByOutcome.end() ? "" : outcomeName(Greatest->first);
}

void LossReport::add(const LogLine &Line) {
  this->Loads.add(Line);
  if (Line.Decision == "submissions_refused")
    this->Counting.insert(Line.Process);
  for (OutcomeEvent &Event : readOutcomes(Line))
    this->Events.push_back(std::move(Event));
}

void LossReport::dropRepeated() {
  std::vector<OutcomeEvent> OfAgents;
  std::erase_if(this->Events, [&](OutcomeEvent &Event) {
    if (this->Loads.role(Event.Process) == LoggedRole::Agent) {
      // Its entry tells the end of a delegated job.
      OfAgents.push_back(std::move(Event));
      return true;
    }
    return Event.IsSample && this->Counting.contains(Event.Process);
  });
  this->describeDelegated(OfAgents);
}

void LossReport::describeDelegated(const std::vector<OutcomeEvent> &OfAgents) {
  std::unordered_map<std::string, const OutcomeEvent *> ByJob;
  for (const OutcomeEvent &Event : OfAgents)
    if (Event.Outcome == JobOutcome::RefusedForRoom)
      ByJob[Event.Job] = &Event;
  for (OutcomeEvent &Event : this->Events) {
    auto Known = ByJob.find(Event.Job);
    bool IsRefusal = Event.Outcome == JobOutcome::RefusedForRoom;
    if (!IsRefusal || Event.TakenPercent || Known == ByJob.end())
      continue;
    Event.Rule = Known->second->Rule;
    Event.TakenPercent = Known->second->TakenPercent;
    Event.LimitPercent = Known->second->LimitPercent;
  }
}

void LossReport::conclude() {
  this->dropRepeated();
  std::ranges::stable_sort(this->Events, {}, &OutcomeEvent::Time);
  std::unordered_map<std::string, const OutcomeEvent *> Last;
  for (const OutcomeEvent &Event : this->Events) {
    if (Event.Job.empty() || Event.IsSample) {
      this->Losses.push_back(Event);
      continue;
    }
    // A job that was served in time once has earned its value.
    const OutcomeEvent *&Known = Last[Event.Job];
    if (Known == nullptr || Known->Outcome != JobOutcome::ServedInTime)
      Known = &Event;
  }
  for (const auto &[Job, Event] : Last) {
    if (Event->Outcome == JobOutcome::ServedInTime)
      ++this->ServedInTime;
    else
      this->Losses.push_back(*Event);
  }
}

double LossReport::worthOf(const OutcomeEvent &Event) const {
  auto Found = this->Worth.find(Event.Route);
  double Worth = Found == this->Worth.end() ? 1 : Found->second;
  return Worth * static_cast<double>(Event.Count);
}

TableRows LossReport::byDecision() const {
  std::map<JobOutcome, std::uint64_t> Seen;
  for (const OutcomeEvent &Event : this->Events)
    Seen[Event.Outcome] += Event.Count;
  std::map<JobOutcome, Loss> ByOutcome;
  Loss All;
  for (const OutcomeEvent &Event : this->Losses) {
    ByOutcome[Event.Outcome].add(Event.Outcome, Event.Count,
                                 this->worthOf(Event));
    All.add(Event.Outcome, Event.Count, this->worthOf(Event));
  }
  TableRows Rows = {{"decision", "times", "jobs lost", "value lost", "%"}};
  for (const auto &[Outcome, Times] : Seen) {
    if (Outcome == JobOutcome::ServedInTime)
      continue;
    const Loss &Known = ByOutcome[Outcome];
    Rows.push_back({outcomeName(Outcome), fmt::to_string(Times),
                    fmt::to_string(Known.Jobs), formatValue(Known.Value),
                    formatShare(Known.Value, All.Value)});
  }
  Rows.push_back({"all", "", fmt::to_string(All.Jobs), formatValue(All.Value),
                  formatShare(All.Value, All.Value)});
  Rows.push_back({outcomeName(JobOutcome::ServedInTime),
                  fmt::to_string(this->ServedInTime), "", "", ""});
  return Rows;
}

TableRows LossReport::lossTable(const std::string &Title,
                                const std::map<std::string, Loss> &Losses) {
  TableRows Rows = {{Title, "jobs lost", "value lost", "mostly"}};
  for (const auto &[Name, Known] : Losses)
    Rows.push_back({Name, fmt::to_string(Known.Jobs), formatValue(Known.Value),
                    Known.greatest()});
  return Rows;
}

TableRows LossReport::byRoute() const {
  std::map<std::string, Loss> ByName;
  for (const OutcomeEvent &Event : this->Losses)
    ByName[Event.Route.empty() ? "?" : Event.Route].add(
        Event.Outcome, Event.Count, this->worthOf(Event));
  return lossTable("route", ByName);
}

TableRows LossReport::byDataCentre() const {
  std::map<std::string, Loss> ByName;
  for (const OutcomeEvent &Event : this->Losses)
    ByName[this->Loads.dataCentre(Event.Process)].add(
        Event.Outcome, Event.Count, this->worthOf(Event));
  return lossTable("data centre", ByName);
}

TableRows LossReport::refusals() const {
  std::map<std::pair<JobOutcome, std::string>, RefusalSums> ByRule;
  for (const OutcomeEvent &Event : this->Events) {
    if (!isRefusal(Event.Outcome))
      continue;
    RefusalSums &Sums = ByRule[{Event.Outcome, Event.Rule}];
    Sums.Refused += Event.Count;
    Sums.Taken.add(Event.TakenPercent, Event.Count);
    Sums.Limit.add(Event.LimitPercent, Event.Count);
    if (Event.Wait)
      Sums.LongestWait = std::max(
          Sums.LongestWait.value_or(std::chrono::milliseconds(0)), *Event.Wait);
    Sums.EntryTime.add(
        this->Loads.hadTime(LoggedRole::Entry, Event.Process, Event.Time),
        Event.Count);
    Sums.AgentTime.add(
        this->Loads.hadTime(LoggedRole::Agent, Event.Process, Event.Time),
        Event.Count);
    Sums.Room.add(this->Loads.hadRoom(Event.Time), Event.Count);
  }
  TableRows Rows = {{"decision", "rule", "times", "taken %", "limit %",
                     "longest wait ms", "entries had time %",
                     "agents had time %", "upstreams had room %"}};
  for (const auto &[Key, Sums] : ByRule)
    Rows.push_back(
        {outcomeName(Key.first), Key.second, fmt::to_string(Sums.Refused),
         Sums.Taken.text(), Sums.Limit.text(),
         Sums.LongestWait ? fmt::to_string(Sums.LongestWait->count()) : "-",
         Sums.EntryTime.text(Percent), Sums.AgentTime.text(Percent),
         Sums.Room.text(Percent)});
  return Rows;
}

std::map<WallTime, PlotPoint> LossReport::overTime() const {
  if (this->Losses.empty())
    return {};
  auto [First, Latest] =
      std::ranges::minmax_element(this->Losses, {}, &OutcomeEvent::Time);
  std::chrono::seconds Interval = plotInterval(Latest->Time - First->Time);
  std::map<WallTime, Loss> ByTime;
  for (const OutcomeEvent &Event : this->Losses) {
    auto Since = Event.Time.time_since_epoch();
    ByTime[WallTime(Since - Since % Interval)].add(Event.Outcome, Event.Count,
                                                   this->worthOf(Event));
  }
  std::map<WallTime, PlotPoint> Points;
  for (const auto &[Time, Known] : ByTime)
    Points[Time] = {Known.Value, Known.greatest()};
  return Points;
}

} // namespace yardwheel
