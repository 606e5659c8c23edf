#include "core/error.h"
#include "tool/loss_report.h"

#include <fmt/format.h>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

struct Given {
  const char *Process;
  int Second;
  const char *Decision;
  const char *Fields;
};

const WallTime Begin = fromUnixMillis(1800000000000);

LossReport reportOf(const std::vector<Given> &Lines,
                    const RouteWorth &Worth = {}) {
  LossReport Report(Worth);
  for (const Given &Line : Lines)
    Report.add({Line.Process, Begin + std::chrono::seconds(Line.Second),
                Line.Decision, nlohmann::json::parse(Line.Fields)});
  Report.conclude();
  return Report;
}

std::string joined(const std::vector<std::string> &Cells) {
  std::string Text;
  for (const std::string &Cell : Cells)
    Text += (Text.empty() ? "" : "|") + Cell;
  return Text;
}

/// Returns the rows but the header, and for decisions but the totals.
std::string rows(const TableRows &Table, std::size_t Totals = 0) {
  std::string Text;
  for (std::size_t I = 1; I + Totals < Table.size(); ++I)
    Text += (Text.empty() ? "" : "; ") + joined(Table[I]);
  return Text;
}

constexpr const char *Shed =
    R"({"job":"j","route":"r","rule":"value","taken_percent":130,"limit_percent":110})";
constexpr const char *Served =
    R"({"job":"j","route":"r","end":"completed","took_ms":1,"objective_ms":9})";
constexpr const char *Late =
    R"({"job":"j","route":"r","end":"completed","took_ms":10,"objective_ms":9})";

} // namespace

TEST_GROUP(LossReportTest){};

TEST(LossReportTest, CountsAJobOnceByItsLastOutcome) {
  struct Row {
    const char *Name;
    std::vector<Given> Lines;
    const char *Expected;
  };
  const Row Rows[] = {
      {"nothing", {}, ""},
      {"refused",
       {{"e", 1, "job_shed", Shed}},
       "refused for room|1|1|1.0|100.0"},
      {"refused, served elsewhere",
       {{"e", 1, "job_shed", Shed}, {"f", 2, "job_ended", Served}},
       "refused for room|1|0|0.0|-"},
      {"served, in a log that is read first",
       {{"f", 2, "job_ended", Served}, {"e", 1, "job_shed", Shed}},
       "refused for room|1|0|0.0|-"},
      {"refused twice, then late",
       {{"e", 1, "job_shed", Shed},
        {"e", 2, "job_shed", Shed},
        {"f", 3, "job_ended", Late}},
       "refused for room|2|0|0.0|0.0; ended late|1|1|1.0|100.0"},
      {"served in time, then submitted again",
       {{"f", 1, "job_ended", Served}, {"e", 2, "job_shed", Shed}},
       "refused for room|1|0|0.0|-"},
      {"samples beside counts",
       {{"e", 1, "submission_refused", R"({"job":"k","not_logged":9})"},
        {"e", 1, "submissions_refused", R"({"routes":"a=7"})"}},
       "refused at the intake|7|7|7.0|100.0"},
      {"samples alone",
       {{"e", 1, "submission_refused", R"({"job":"k","not_logged":9})"}},
       "refused at the intake|10|10|10.0|100.0"},
      {"what a delegate logs is told by its entry",
       {{"s", 0, "agent_started", "{}"},
        {"s", 1, "job_ended", Late},
        {"e", 1, "delegated_job_ended", Late}},
       "ended late|1|1|1.0|100.0"},
  };
  constexpr std::size_t Totals = 2;
  for (const Row &Case : Rows)
    STRCMP_EQUAL_TEXT(Case.Expected,
                      rows(reportOf(Case.Lines).byDecision(), Totals).c_str(),
                      Case.Name);
}

TEST(LossReportTest, WeighsJobsByTheirRoutes) {
  LossReport Report =
      reportOf({{"e", 0, "entry_started", R"({"data_centre":"x"})"},
                {"e", 1, "submissions_refused", R"({"routes":"a=3 b=2"})"},
                {"f", 1, "job_shed", Shed}},
               {{"a", 2.5}});
  STRCMP_EQUAL("a|3|7.5|refused at the intake; b|2|2.0|refused at the intake; "
               "r|1|1.0|refused for room",
               rows(Report.byRoute()).c_str());
  STRCMP_EQUAL("?|1|1.0|refused for room; x|5|9.5|refused at the intake",
               rows(Report.byDataCentre()).c_str());
}

TEST(LossReportTest, TellsWhatRefusalsRestedOn) {
  const Given Idle1 = {"f", 0, "entry_load", R"({"processor_ms":0})"};
  const Given Idle2 = {"f", 2, "entry_load", R"({"processor_ms":100})"};
  const Given Full = {
      "s", 0, "agent_load",
      R"({"processor_ms":1,"ready":true,"room_cpu_milli":10,"used_cpu_milli":10})"};
  struct Row {
    const char *Name;
    std::vector<Given> Lines;
    const char *Expected;
  };
  const Row Rows[] = {
      {"nothing known elsewhere",
       {{"e", 1, "job_shed", Shed}},
       "refused for room|value|1|130|110|-|-|-|-"},
      {"an idle entry and full upstreams",
       {Idle1, Idle2, Full, {"e", 1, "job_shed", Shed}},
       "refused for room|value|1|130|110|-|100|-|0"},
      {"the wait at the intake",
       {Idle1,
        Idle2,
        {"e", 1, "submissions_refused",
         R"({"reason":"short","routes":"a=3","longest_wait_ms":40})"},
        {"e", 9, "submissions_refused",
         R"({"reason":"short","routes":"a=1","longest_wait_ms":70})"}},
       "refused at the intake|short|4|-|-|70|100|-|-"},
      {"what the delegate knew",
       {{"s", 0, "agent_started", "{}"},
        {"s", 1, "job_shed", Shed},
        {"e", 1, "delegated_job_ended",
         R"({"job":"j","route":"r","end":"not_run","step":"admit"})"}},
       "refused for room|value|1|130|110|-|-|-|-"},
  };
  for (const Row &Case : Rows)
    STRCMP_EQUAL_TEXT(Case.Expected,
                      rows(reportOf(Case.Lines).refusals()).c_str(), Case.Name);
}

TEST(LossReportTest, PlotsTheLossBySecond) {
  LossReport Report =
      reportOf({{"e", 1, "submissions_refused", R"({"routes":"a=4"})"},
                {"e", 3, "job_shed", Shed}});
  STRCMP_EQUAL("2027-01-15 08:00:01        4.0 "
               "################################################## "
               "refused at the intake\n"
               "2027-01-15 08:00:03        1.0 #############              "
               "                        refused for room\n",
               formatPlot(Report.overTime()).c_str());
  LONGS_EQUAL(1, plotInterval(120s).count());
  LONGS_EQUAL(10, plotInterval(121s).count());
}

TEST(LossReportTest, ReadsTheValuesOfRoutes) {
  struct Row {
    const char *Text;
    double Expected;
  };
  const Row Rows[] = {{"a=2.5", 2.5}, {"a=0", 0}, {"a", -1},
                      {"a=", -1},     {"=1", -1}, {"a=-1", -1}};
  for (const Row &Case : Rows) {
    double Seen = -1;
    try {
      Seen = parseRouteWorth({Case.Text}).at("a");
    } catch (const Error &) {
      Seen = -1;
    }
    DOUBLES_EQUAL_TEXT(Case.Expected, Seen, 1e-9, Case.Text);
  }
}
