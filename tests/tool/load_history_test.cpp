#include "tool/load_history.h"

#include <fmt/format.h>

// Last: it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;

namespace {

const WallTime Begin = fromUnixMillis(1800000000000);

LogLine line(const char *Process, std::chrono::milliseconds At,
             const char *Decision, const char *Fields) {
  return {Process, Begin + At, Decision, nlohmann::json::parse(Fields)};
}

const char *nameOf(std::optional<bool> Answer) {
  if (!Answer)
    return "unknown";
  return *Answer ? "yes" : "no";
}

} // namespace

TEST_GROUP(LoadHistoryTest){};

TEST(LoadHistoryTest, TellsWhetherAnotherEntryHadTime) {
  struct Row {
    const char *Name;
    /// Of front1 and front2, at 0 s and at 2 s.
    std::int64_t Used1;
    std::int64_t Used2;
    const char *Except;
    std::chrono::milliseconds At;
    const char *Expected;
  };
  // The limit is a quarter of a processor: 500 ms in 2 s.
  const Row Rows[] = {
      {"both busy", 490, 480, "front1", 1000ms, "no"},
      {"the other idle", 490, 100, "front1", 1000ms, "yes"},
      {"itself idle", 100, 490, "front1", 1000ms, "no"},
      {"just below", 490, 299, "front1", 1000ms, "yes"},
      {"just above", 490, 301, "front1", 1000ms, "no"},
      {"before the first line", 0, 0, "front1", -1ms, "unknown"},
      {"after the last line", 0, 0, "front1", 2000ms, "unknown"},
  };
  for (const Row &Case : Rows) {
    LoadHistory Loads;
    for (const char *Process : {"front1", "front2"}) {
      bool First = std::string(Process) == "front1";
      Loads.add(line(Process, 0ms, "entry_load",
                     R"({"processor_ms":0,"limit_percent":25})"));
      std::string Later =
          fmt::format(R"({{"processor_ms":{},"limit_percent":25}})",
                      First ? Case.Used1 : Case.Used2);
      Loads.add(line(Process, 2000ms, "entry_load", Later.c_str()));
    }
    STRCMP_EQUAL_TEXT(
        Case.Expected,
        nameOf(Loads.hadTime(LoggedRole::Entry, Case.Except, Begin + Case.At)),
        Case.Name);
  }
}

TEST(LoadHistoryTest, GoesByTheBusyShareWhereItIsLogged) {
  struct Row {
    const char *Later;
    const char *Expected;
  };
  const Row Rows[] = {
      {R"({"processor_ms":2000,"busy_percent":39})", "yes"},
      {R"({"processor_ms":0,"busy_percent":41})", "no"},
  };
  for (const Row &Case : Rows) {
    LoadHistory Loads;
    Loads.add(line("front1", 0ms, "entry_load",
                   R"({"processor_ms":0,"busy_percent":0})"));
    Loads.add(line("front1", 2000ms, "entry_load", Case.Later));
    STRCMP_EQUAL_TEXT(
        Case.Expected,
        nameOf(Loads.hadTime(LoggedRole::Entry, "", Begin + 1000ms)),
        Case.Later);
  }
}

TEST(LoadHistoryTest, DoesNotGuessAcrossRestartsAndGaps) {
  LoadHistory Loads;
  Loads.add(line("front1", 0ms, "entry_load", R"({"processor_ms":900})"));
  Loads.add(line("front1", 2000ms, "entry_load", R"({"processor_ms":10})"));
  Loads.add(line("front1", 60000ms, "entry_load", R"({"processor_ms":20})"));
  for (std::chrono::milliseconds At : {1000ms, 30000ms})
    STRCMP_EQUAL("unknown",
                 nameOf(Loads.hadTime(LoggedRole::Entry, "", Begin + At)));
}

TEST(LoadHistoryTest, TellsWhetherUpstreamsHadRoom) {
  struct Row {
    const char *Name;
    const char *Side1;
    const char *Side2;
    std::chrono::milliseconds At;
    const char *Expected;
  };
  const char *Full =
      R"({"processor_ms":1,"ready":true,"room_cpu_milli":4000,"used_cpu_milli":4000})";
  const char *Half =
      R"({"processor_ms":1,"ready":true,"room_cpu_milli":4000,"used_cpu_milli":2000})";
  const char *Gone =
      R"({"processor_ms":1,"ready":false,"room_cpu_milli":4000,"used_cpu_milli":0})";
  const Row Rows[] = {
      {"full", Full, Full, 500ms, "no"},
      {"one half free", Full, Half, 500ms, "yes"},
      {"free but not ready", Full, Gone, 500ms, "no"},
      {"none ready", Gone, Gone, 500ms, "unknown"},
      {"long ago", Half, Half, 7000ms, "unknown"},
  };
  for (const Row &Case : Rows) {
    LoadHistory Loads;
    Loads.add(line("side1", 0ms, "agent_load", Case.Side1));
    Loads.add(line("side2", 0ms, "agent_load", Case.Side2));
    STRCMP_EQUAL_TEXT(Case.Expected, nameOf(Loads.hadRoom(Begin + Case.At)),
                      Case.Name);
  }
}
