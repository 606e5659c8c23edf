//===- The operators' tool on the logs of real processes ------------------===//

#include "tests/system/platform_cluster.h"

#include <cstdio>
#include <fmt/format.h>
#include <memory>

// Included last because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

json readLost(const std::string &Folder) {
  std::string Command =
      fmt::format("{}/tool/yardwheelctl lost --json --logs {} --value r1=3",
                  YARDWHEEL_BUILD_FOLDER, Folder);
  std::unique_ptr<FILE, int (*)(FILE *)> Output(::popen(Command.c_str(), "r"),
                                                ::pclose);
  std::string Text;
  char Part[4096];
  while (std::size_t Count = std::fread(Part, 1, sizeof(Part), Output.get()))
    Text.append(Part, Count);
  return json::parse(Text);
}

/// Returns the row of a table whose \p Column has this value; null if none has.
json findRow(const json &Table, const char *Column, const std::string &Value) {
  for (const json &Row : Table)
    if (Row.at(Column) == Value)
      return Row;
  return nullptr;
}

} // namespace

TEST_GROUP(LostCommandTest){};

TEST(LostCommandTest, TellsWhichJobsOfAFleetWereLate) {
  PlatformCluster Cluster;
  Cluster.startAll();
  // It runs for longer than its objective, 220 ms, and for half as long as a
  // run that counts as stalled.
  json Late = {{"spec", "300"},
               {"bestEffort", true},
               {"phases", {{{"count", 1}, {"cpu", 500}, {"estMs", 100}}}}};
  LONGS_EQUAL(200, Cluster.post(1, "00000000000000e1", Late).Status);
  LONGS_EQUAL(200, Cluster.submit(1, "00000000000000e2", 1, 5).Status);
  CHECK(waitFor([&] {
    return Cluster.count("front1", "entry_load") > 1 &&
           Cluster.count("side1", "agent_load") > 1;
  }));
  json Lost = readLost(Cluster.folder());
  json Row = findRow(Lost.at("decisions"), "decision", "ended late");
  CHECK_TEXT(!Row.is_null(), Lost.dump().c_str());
  CHECK_TEXT(std::stoi(Row.at("jobs lost").get<std::string>()) >= 1,
             Lost.dump().c_str());
  CHECK(!findRow(Lost.at("decisions"), "decision", "served in time").is_null());
  CHECK(!findRow(Lost.at("routes"), "route", "r1").is_null());
  CHECK(!findRow(Lost.at("data_centres"), "data centre", "a").is_null());
  STRCMP_CONTAINS("\"room_cpu_milli\":4000", Cluster.log("side1").c_str());
}
