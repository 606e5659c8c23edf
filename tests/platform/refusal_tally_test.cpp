#include "platform/refusal_tally.h"

#include <fmt/format.h>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace yardwheel::platform;
using namespace std::chrono_literals;

namespace {

struct Refused {
  std::chrono::milliseconds At;
  const char *Reason;
  const char *Route;
  std::chrono::milliseconds Wait;
};

} // namespace

TEST_GROUP(RefusalTallyTest){};

TEST(RefusalTallyTest, TellsTheCountsOfASecondByReasonAndRoute) {
  struct Row {
    const char *Name;
    std::vector<Refused> Given;
    std::chrono::milliseconds TakenAt;
    /// "reason: routes, total, longest wait" of each summary.
    std::vector<std::string> Expected;
  };
  const Row Rows[] = {
      {"none", {}, 5000ms, {}},
      {"not yet due", {{0ms, "late", "a", 0ms}}, 999ms, {}},
      {"one route",
       {{0ms, "late", "a", 3ms}, {500ms, "late", "a", 9ms}},
       1000ms,
       {"late: a=2, 2, 9"}},
      {"routes and reasons",
       {{0ms, "short", "b", 40ms},
        {1ms, "late", "a", 0ms},
        {2ms, "short", "a", 90ms},
        {3ms, "short", "b", 70ms}},
       1200ms,
       {"late: a=1, 1, 0", "short: a=1 b=2, 3, 90"}},
  };
  for (const Row &Case : Rows) {
    RefusalTally Tally;
    for (const Refused &One : Case.Given)
      Tally.add(One.Reason, One.Route, One.Wait, TimePoint(One.At));
    std::vector<std::string> Seen;
    for (const RefusalSummary &Summary : Tally.takeDue(TimePoint(Case.TakenAt)))
      Seen.push_back(fmt::format("{}: {}, {}, {}", Summary.Reason,
                                 Summary.Routes, Summary.Refused,
                                 Summary.LongestWait.count()));
    CHECK_TEXT(Case.Expected == Seen, Case.Name);
  }
}

TEST(RefusalTallyTest, TellsEachRefusalOnce) {
  RefusalTally Tally;
  Tally.add("late", "a", 0ms, TimePoint(0ms));
  LONGS_EQUAL(1, Tally.takeDue(TimePoint(1000ms)).size());
  LONGS_EQUAL(0, Tally.takeDue(TimePoint(3000ms)).size());
}

TEST(RefusalTallyTest, NamesALimitedNumberOfRoutes) {
  RefusalTally Tally;
  constexpr std::size_t Beyond = 5;
  for (std::size_t I = 0; I < RefusalTally::MaxRoutes + Beyond; ++I)
    Tally.add("late", fmt::format("r{}", I), 0ms, TimePoint(0ms));
  std::vector<RefusalSummary> Due = Tally.takeDue(TimePoint(1000ms));
  LONGS_EQUAL(RefusalTally::MaxRoutes + Beyond, Due[0].Refused);
  STRCMP_CONTAINS("*=5", Due[0].Routes.c_str());
}
