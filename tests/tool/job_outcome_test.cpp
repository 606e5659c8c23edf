#include "tool/job_outcome.h"

#include <fmt/format.h>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;

namespace {

constexpr const char *Start = R"({"time":"2026-01-31T12:00:00.250Z",)"
                              R"("level":"info","part":"entry","decision":)";

std::string describe(const OutcomeEvent &Event) {
  std::string Text = fmt::format("{} {} x{}", outcomeName(Event.Outcome),
                                 Event.Route, Event.Count);
  if (Event.TakenPercent && Event.LimitPercent)
    Text += fmt::format(" {}>{}", *Event.TakenPercent, *Event.LimitPercent);
  if (Event.Wait)
    Text += fmt::format(" {}ms", Event.Wait->count());
  return Text + (Event.IsSample ? " sample" : "");
}

std::string outcomesOf(const std::string &Rest) {
  std::optional<LogLine> Line = parseLogLine(Start + Rest + "}", "front1");
  if (!Line)
    return "no line";
  std::string Text;
  for (const OutcomeEvent &Event : readOutcomes(*Line))
    Text += (Text.empty() ? "" : "; ") + describe(Event);
  return Text;
}

} // namespace

TEST_GROUP(JobOutcomeTest){};

TEST(JobOutcomeTest, ReadsWhatBecameOfJobs) {
  struct Row {
    const char *Line;
    const char *Expected;
  };
  const Row Rows[] = {
      {R"("job_ended","route":"r","end":"completed","took_ms":60,"objective_ms":60)",
       "served in time r x1"},
      {R"("job_ended","route":"r","end":"completed","took_ms":61,"objective_ms":60)",
       "ended late r x1"},
      {R"("job_ended","route":"r","end":"failed","step":"run")",
       "failed too often r x1"},
      {R"("job_ended","route":"r","end":"not_run","step":"place")",
       "not placed r x1"},
      {R"("job_ended","route":"r","end":"not_run","step":"place","reason":"upstreams have not reported yet after a start")",
       "refused after a start r x1"},
      {R"("job_ended","route":"r","end":"unknown","step":"deadline")",
       "given up at its deadline r x1"},
      {R"("job_ended","route":"r","end":"unknown","step":"cancel","reason":"the caller has gone")",
       "caller gone r x1"},
      {R"("job_ended","route":"r","end":"unknown","step":"cancel","reason":"this process ends")",
       "cancelled r x1"},
      {R"("job_ended","route":"r","end":"unknown","step":"run","peer":"side1")",
       "lost with an agent r x1"},
      {R"("job_ended","route":"r","end":"unknown","step":"start","peer":"side1")",
       "outcome unknown r x1"},
      {R"("delegated_job_ended","route":"r","end":"unknown","step":"run","peer":"side1","delegate":"side1")",
       "lost with a delegate r x1"},
      {R"("delegated_job_ended","route":"r","end":"unknown","step":"run","peer":"side2","delegate":"side1")",
       "lost with an agent r x1"},
      {R"("delegated_job_ended","route":"r","end":"not_run","step":"admit","delegate":"side1")",
       "refused for room r x1"},
      {R"("job_shed","route":"r","rule":"value","taken_percent":130,"limit_percent":110)",
       "refused for room r x1 130>110"},
      {R"("job_refused_at_startup","route":"r")", "refused after a start r x1"},
      {R"("job_refused_as_failed","route":"r")", "failed too often r x1"},
      {R"("submissions_refused","reason":"this process is behind","routes":"a=2 b=x c=3","longest_wait_ms":70)",
       "refused at the intake a x2 70ms; refused at the intake c x3 70ms"},
      {R"("submissions_refused","reason":"the route table here may be old","routes":"a=2")",
       "refused for the route table a x2"},
      {R"("submission_refused","route":"r","reason":"not served yet")",
       "refused at the intake r x1"},
      {R"("submission_refused","reason":"this process is behind","not_logged":4)",
       "refused at the intake  x5 sample"},
      {R"("submission_refused","reason":"taken here before; whether it has run is not known")",
       "outcome unknown  x1"},
      {R"("dispatched","route":"r")", ""},
      {R"("job_ended","route":7,"end":[])", "outcome unknown  x1"},
  };
  for (const Row &Case : Rows)
    STRCMP_EQUAL_TEXT(Case.Expected, outcomesOf(Case.Line).c_str(), Case.Line);
}

TEST(JobOutcomeTest, ReadsOnlyLinesOfDecisions) {
  struct Row {
    const char *Text;
    /// The process and the milliseconds within the second; empty for none.
    const char *Expected;
  };
  const Row Rows[] = {
      {R"({"time":"2026-01-31T12:00:00.250Z","decision":"x"})", "front1 250"},
      {R"({"time":"2026-01-31T12:00:00.250Z","decision":"x","process":"p"})",
       "p 250"},
      {R"({"time":"2026-01-31T12:00:00.250Z","message":"x"})", ""},
      {R"({"time":"2026-13-31T12:00:00.250Z","decision":"x"})", ""},
      {R"({"time":"yesterday","decision":"x"})", ""},
      {R"({"decision":"x"})", ""},
      {R"({"time":"2026-01-31T12:00:0)", ""},
      {R"([1])", ""},
      {"", ""},
  };
  for (const Row &Case : Rows) {
    std::optional<LogLine> Line = parseLogLine(Case.Text, "front1");
    std::string Seen =
        Line ? fmt::format("{} {}", Line->Process,
                           Line->Time.time_since_epoch().count() % 1000)
             : "";
    STRCMP_EQUAL_TEXT(Case.Expected, Seen.c_str(), Case.Text);
  }
}
