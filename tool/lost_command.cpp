//===- The command that tells which decisions lost jobs -------------------===//

#include "core/error.h"
#include "tool/commands.h"
#include "tool/loss_report.h"

#include <algorithm>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>

namespace yardwheel {

namespace {

constexpr const char *LostUsage =
    "lost --logs FOLDER|FILE [--value ROUTE=N]...";

std::vector<std::filesystem::path> logFiles(const std::string &Path) {
  if (!std::filesystem::exists(Path))
    throw Error("file", Path, "does not exist");
  if (!std::filesystem::is_directory(Path))
    return {Path};
  std::vector<std::filesystem::path> Files;
  for (const auto &Item : std::filesystem::recursive_directory_iterator(Path))
    if (Item.is_regular_file())
      Files.push_back(Item.path());
  std::ranges::sort(Files);
  return Files;
}

void readLog(const std::filesystem::path &Path, LossReport &Report) {
  std::ifstream File(Path);
  if (!File)
    throw Error("file", Path.string(), "cannot be opened");
  for (std::string Text; std::getline(File, Text);) {
    // Skips other files quickly, such as settings and data.
    if (!Text.starts_with('{'))
      continue;
    if (auto Line = parseLogLine(Text, Path.stem().string()))
      Report.add(*Line);
  }
}

nlohmann::json asJson(const TableRows &Rows) {
  nlohmann::json Array = nlohmann::json::array();
  for (std::size_t I = 1; I < Rows.size(); ++I) {
    nlohmann::json Object;
    for (std::size_t J = 0; J < Rows[I].size(); ++J)
      Object[Rows[0][J]] = Rows[I][J];
    Array.push_back(std::move(Object));
  }
  return Array;
}

void printJson(const LossReport &Report) {
  nlohmann::json Seconds = nlohmann::json::array();
  for (const auto &[Time, Point] : Report.overTime())
    Seconds.push_back({{"unix_ms", Time.time_since_epoch().count()},
                       {"value lost", Point.Value},
                       {"mostly", Point.Remark}});
  nlohmann::json Document = {{"decisions", asJson(Report.byDecision())},
                             {"routes", asJson(Report.byRoute())},
                             {"data_centres", asJson(Report.byDataCentre())},
                             {"refusals", asJson(Report.refusals())},
                             {"over_time", std::move(Seconds)}};
  fmt::print("{}\n", Document.dump(2));
}

} // namespace

ExitCode showLost(ApiClient &Client, const Arguments &Rest) {
  CommandLine Line = expectWords(Rest, 0, {"logs", "value"}, LostUsage);
  if (!Line.has("logs"))
    throw Error("command line", "--logs", std::string("expected ") + LostUsage);
  LossReport Report(parseRouteWorth(
      Line.has("value") ? Line.Options["value"] : std::vector<std::string>{}));
  for (const std::string &Path : Line.Options["logs"])
    for (const std::filesystem::path &File : logFiles(Path))
      readLog(File, Report);
  Report.conclude();
  if (Client.options().Json) {
    printJson(Report);
    return ExitCode::Ok;
  }
  fmt::print("{}\n{}\n{}\n{}\n{}", formatTable(Report.byDecision()),
             formatTable(Report.byRoute()), formatTable(Report.byDataCentre()),
             formatTable(Report.refusals()), formatPlot(Report.overTime()));
  return ExitCode::Ok;
}

} // namespace yardwheel
