//===- Commands on policies under comparison ------------------------------===//

#include "core/error.h"
#include "http/json.h"
#include "protocol/api.pb.h"
#include "tool/commands.h"
#include "tool/comparison.h"
#include "tool/table_printer.h"

#include <fmt/format.h>

namespace yardwheel {

namespace {

constexpr double Median = 0.5;
constexpr double Percentile99 = 0.99;
constexpr double Percentile999 = 0.999;

ExitCode putExperiment(ApiClient &Client, const std::string &Workspace,
                       const api::ExperimentChange &Document) {
  std::string Path = fmt::format("/v1/workspaces/{}/experiment", Workspace);
  return printChange(Client, Client.control("PUT", Path, toJson(Document)));
}

/// Parses POLICY=SHARE, with the share in percent, and adds it to \p Document.
void addArm(const std::string &Word, api::ExperimentChange &Document) {
  std::size_t Equals = Word.find('=');
  std::string Share =
      Equals == std::string::npos ? "" : Word.substr(Equals + 1);
  bool Good = !Share.empty() && Share.size() <= 3;
  for (char C : Share)
    Good = Good && C >= '0' && C <= '9';
  if (!Good)
    throw Error("command line", Word, "expected POLICY=SHARE, in percent");
  api::ExperimentArm *Arm = Document.add_experiment();
  Arm->set_policy(Word.substr(0, Equals));
  Arm->set_share(static_cast<std::uint32_t>(std::stoul(Share)));
}

/// Returns the addresses given on the command line, or else those of the live
/// entries that control lists.
std::vector<std::string> entryAddresses(ApiClient &Client) {
  if (!Client.options().Entries.empty())
    return Client.options().Entries;
  std::vector<std::string> Addresses;
  api::MinionList List;
  HttpResult Answer = Client.control("GET", "/v1/members");
  if (!fromJson(Answer.Body, List).empty())
    throw Error("compare", "control", "cannot list the entries");
  for (const api::MinionDocument &Member : List.minions())
    if (Member.role() == "entry" && Member.state() == "alive")
      Addresses.push_back(Member.http_address());
  return Addresses;
}

std::string cell(const QuantileEstimate &Estimate) {
  return fmt::format("{:.2f} [{:.2f}, {:.2f}]", Estimate.Value, Estimate.Low,
                     Estimate.High);
}

std::string failureCell(const ArmSummary &Arm) {
  std::string Text;
  for (const auto &[Kind, Count] : Arm.Failures)
    Text += fmt::format("{}{}:{}", Text.empty() ? "" : " ", Kind, Count);
  return Text.empty() ? "none" : Text;
}

void printComparison(const std::vector<ArmSummary> &Arms) {
  TableRows Rows = {{"POLICY", "JOBS", "SLOWDOWN P50", "P99", "P99.9",
                     "FAILURES", "WASTED/TASK"}};
  for (const ArmSummary &Arm : Arms)
    Rows.push_back(
        {Arm.Policy, fmt::to_string(Arm.Jobs), cell(Arm.quantile(Median)),
         cell(Arm.quantile(Percentile99)), cell(Arm.quantile(Percentile999)),
         failureCell(Arm), fmt::format("{:.4f}", Arm.wastedPerTask())});
  fmt::print("{}", formatTable(Rows));
  for (std::size_t I = 0; I + 1 < Arms.size(); ++I)
    for (std::size_t J = I + 1; J < Arms.size(); ++J)
      fmt::print("{} against {}: p50 {}; p99 {}\n", Arms[I].Policy,
                 Arms[J].Policy, verdict(Arms[I], Arms[J], Median),
                 verdict(Arms[I], Arms[J], Percentile99));
}

} // namespace

ExitCode startPolicies(ApiClient &Client, const Arguments &Rest) {
  CommandLine Line =
      expectWords(Rest, 3, {"change-id"},
                  "policy start WORKSPACE POLICY=SHARE POLICY=SHARE");
  api::ExperimentChange Document;
  Document.set_change_id(Line.get("change-id", newId()));
  addArm(Line.Words[1], Document);
  addArm(Line.Words[2], Document);
  return putExperiment(Client, Line.Words[0], Document);
}

ExitCode stopPolicies(ApiClient &Client, const Arguments &Rest) {
  CommandLine Line =
      expectWords(Rest, 1, {"change-id"}, "policy stop WORKSPACE");
  api::ExperimentChange Document;
  Document.set_change_id(Line.get("change-id", newId()));
  return putExperiment(Client, Line.Words[0], Document);
}

ExitCode comparePolicies(ApiClient &Client, const Arguments &Rest) {
  CommandLine Line = expectWords(Rest, 1, {}, "policy compare WORKSPACE");
  std::vector<api::WorkspaceReport> Reports;
  for (const std::string &Address : entryAddresses(Client)) {
    HttpResult Answer = Client.callOne(
        Address, "GET", fmt::format("/v1/workspaces/{}/report", Line.Words[0]));
    api::WorkspaceReport Report;
    if (Answer.Status == 0 || !fromJson(Answer.Body, Report).empty()) {
      fmt::print(stderr, "yardwheelctl: entry {} gave no report\n", Address);
      return ExitCode::Unavailable;
    }
    if (Client.options().Json)
      fmt::print("{}", Answer.Body);
    Reports.push_back(Report);
  }
  std::vector<ArmSummary> Arms = mergeReports(Reports);
  if (!Client.options().Json)
    printComparison(Arms);
  return Arms.empty() ? ExitCode::NotFound : ExitCode::Ok;
}

} // namespace yardwheel
