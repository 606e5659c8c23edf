#include "tool/job_outcome.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace yardwheel {

namespace {

/// Refusals before a submission is decoded tell their cause by this text alone.
constexpr const char *TableReason = "route table";
constexpr const char *StartupReason = "not reported yet after a start";
constexpr const char *CallerGoneReason = "the caller has gone";

bool contains(const std::string &Text, const char *Part) {
  return Text.find(Part) != std::string::npos;
}

OutcomeEvent eventOf(const LogLine &Line, JobOutcome Outcome) {
  OutcomeEvent Event;
  Event.Process = Line.Process;
  Event.Time = Line.Time;
  Event.Outcome = Outcome;
  Event.Job = Line.text("job");
  Event.Route = Line.text("route");
  Event.Rule = Line.text("reason");
  return Event;
}

JobOutcome intakeOutcome(const std::string &Reason) {
  return contains(Reason, TableReason) ? JobOutcome::RefusedForTable
                                       : JobOutcome::RefusedAtIntake;
}

JobOutcome completedOutcome(const LogLine &Line) {
  bool IsLate = Line.number("took_ms").value_or(0) >
                Line.number("objective_ms").value_or(0);
  return IsLate ? JobOutcome::EndedLate : JobOutcome::ServedInTime;
}

JobOutcome notRunOutcome(const LogLine &Line) {
  if (contains(Line.text("reason"), StartupReason))
    return JobOutcome::RefusedAtStartup;
  return Line.text("step") == "admit" ? JobOutcome::RefusedForRoom
                                      : JobOutcome::NotPlaced;
}

JobOutcome unknownOutcome(const LogLine &Line) {
  std::string Step = Line.text("step");
  std::string Peer = Line.text("peer");
  if (Step == "deadline")
    return JobOutcome::DeadlinePassed;
  if (Step == "cancel")
    return contains(Line.text("reason"), CallerGoneReason)
               ? JobOutcome::CallerGone
               : JobOutcome::Cancelled;
  if (Step == "run" && !Peer.empty())
    return Peer == Line.text("delegate") ? JobOutcome::DelegateLost
                                         : JobOutcome::AgentLost;
  return JobOutcome::OutcomeUnknown;
}

JobOutcome endOutcome(const LogLine &Line) {
  std::string End = Line.text("end");
  if (End == "completed")
    return completedOutcome(Line);
  if (End == "failed")
    return JobOutcome::Failed;
  return End == "not_run" ? notRunOutcome(Line) : unknownOutcome(Line);
}

std::vector<OutcomeEvent> readCounts(const LogLine &Line) {
  std::vector<OutcomeEvent> Events;
  std::istringstream Routes(Line.text("routes"));
  for (std::string Item; Routes >> Item;) {
    std::size_t Separator = Item.rfind('=');
    if (Separator == std::string::npos)
      continue;
    OutcomeEvent Event = eventOf(Line, intakeOutcome(Line.text("reason")));
    Event.Route = Item.substr(0, Separator);
    const char *End = Item.data() + Item.size();
    auto Result =
        std::from_chars(Item.data() + Separator + 1, End, Event.Count);
    if (Result.ec != std::errc() || Result.ptr != End)
      continue;
    if (auto Wait = Line.number("longest_wait_ms"))
      Event.Wait = std::chrono::milliseconds(*Wait);
    Events.push_back(std::move(Event));
  }
  return Events;
}

OutcomeEvent readRefused(const LogLine &Line) {
  OutcomeEvent Event = eventOf(Line, intakeOutcome(Line.text("reason")));
  // A submission that was accepted here before may have run.
  if (contains(Event.Rule, "taken here before"))
    Event.Outcome = JobOutcome::OutcomeUnknown;
  if (auto Others = Line.number("not_logged")) {
    Event.IsSample = true;
    Event.Count +=
        static_cast<std::uint64_t>(std::max<std::int64_t>(*Others, 0));
  }
  return Event;
}

OutcomeEvent readShed(const LogLine &Line) {
  OutcomeEvent Event = eventOf(Line, JobOutcome::RefusedForRoom);
  Event.Rule = Line.text("rule");
  Event.TakenPercent = Line.number("taken_percent");
  Event.LimitPercent = Line.number("limit_percent");
  return Event;
}

} // namespace

const char *outcomeName(JobOutcome Outcome) {
  switch (Outcome) {
  case JobOutcome::ServedInTime:
    return "served in time";
  case JobOutcome::RefusedAtIntake:
    return "refused at the intake";
  case JobOutcome::RefusedForTable:
    return "refused for the route table";
  case JobOutcome::RefusedAtStartup:
    return "refused after a start";
  case JobOutcome::RefusedForRoom:
    return "refused for room";
  case JobOutcome::NotPlaced:
    return "not placed";
  case JobOutcome::EndedLate:
    return "ended late";
  case JobOutcome::Failed:
    return "failed too often";
  case JobOutcome::AgentLost:
    return "lost with an agent";
  case JobOutcome::DelegateLost:
    return "lost with a delegate";
  case JobOutcome::DeadlinePassed:
    return "given up at its deadline";
  case JobOutcome::CallerGone:
    return "caller gone";
  case JobOutcome::Cancelled:
    return "cancelled";
  case JobOutcome::OutcomeUnknown:
    return "outcome unknown";
  }
  return "outcome unknown";
}

bool isRefusal(JobOutcome Outcome) {
  return Outcome == JobOutcome::RefusedAtIntake ||
         Outcome == JobOutcome::RefusedForTable ||
         Outcome == JobOutcome::RefusedAtStartup ||
         Outcome == JobOutcome::RefusedForRoom ||
         Outcome == JobOutcome::NotPlaced;
}

std::vector<OutcomeEvent> readOutcomes(const LogLine &Line) {
  if (Line.Decision == "job_ended" || Line.Decision == "delegated_job_ended")
    return {eventOf(Line, endOutcome(Line))};
  if (Line.Decision == "job_shed")
    return {readShed(Line)};
  if (Line.Decision == "job_refused_at_startup")
    return {eventOf(Line, JobOutcome::RefusedAtStartup)};
  if (Line.Decision == "job_refused_as_failed")
    return {eventOf(Line, JobOutcome::Failed)};
  if (Line.Decision == "submissions_refused")
    return readCounts(Line);
  if (Line.Decision == "submission_refused")
    return {readRefused(Line)};
  return {};
}

} // namespace yardwheel
