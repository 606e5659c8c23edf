#include "settings/settings_rules.h"

#include "core/job_id.h"

#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>

namespace yardwheel {

namespace {

/// Durations in milliseconds.
constexpr std::int64_t Second = 1000;
constexpr std::int64_t Minute = 60 * Second;
constexpr std::uint32_t MaxPort = 65535;

std::optional<std::int64_t> parseInteger(const std::string &Text) {
  std::int64_t Value = 0;
  auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Code != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

/// Parses an integer within a range.
/// \returns an empty string, or a description of the expected value.
std::string parseWithin(const std::string &Text, std::int64_t Min,
                        std::int64_t Max, std::int64_t &Value) {
  std::optional<std::int64_t> Parsed = parseInteger(Text);
  if (!Parsed || *Parsed < Min || *Parsed > Max)
    return fmt::format("a whole number from {} to {}", Min, Max);
  Value = *Parsed;
  return {};
}

using NumberField = std::function<std::uint32_t &(Settings &)>;
using TimeField = std::function<std::chrono::milliseconds &(Settings &)>;
using TextField = std::function<std::string &(Settings &)>;

SettingRule number(std::string Key, std::optional<std::string> Default,
                   std::string Unit, std::int64_t Min, std::int64_t Max,
                   std::string Meaning, const NumberField &Field) {
  auto Set = [=](Settings &Target, const std::string &Text) {
    std::int64_t Value = 0;
    std::string Expected = parseWithin(Text, Min, Max, Value);
    if (Expected.empty())
      Field(Target) = static_cast<std::uint32_t>(Value);
    return Expected;
  };
  return {std::move(Key),     std::move(Default),
          std::move(Unit),    fmt::format("{} to {}", Min, Max),
          std::move(Meaning), Set};
}

SettingRule time(std::string Key, std::optional<std::string> Default,
                 std::int64_t Min, std::int64_t Max, std::string Meaning,
                 const TimeField &Field) {
  auto Set = [=](Settings &Target, const std::string &Text) {
    std::int64_t Value = 0;
    std::string Expected = parseWithin(Text, Min, Max, Value);
    if (Expected.empty())
      Field(Target) = std::chrono::milliseconds(Value);
    return Expected;
  };
  return {std::move(Key),
          std::move(Default),
          "ms",
          fmt::format("{} to {}", Min, Max),
          std::move(Meaning),
          Set};
}

SettingRule address(std::string Key, std::string Meaning,
                    const TextField &Field) {
  auto Set = [=](Settings &Target, const std::string &Text) -> std::string {
    if (!isAddress(Text))
      return "an IP address and a port, such as 127.0.0.1:7000";
    Field(Target) = Text;
    return {};
  };
  return {std::move(Key), std::nullopt, "", "IP:port", std::move(Meaning), Set};
}

SettingRule name(std::string Key, std::optional<std::string> Default,
                 std::string Meaning, const TextField &Field) {
  auto Set = [=](Settings &Target, const std::string &Text) -> std::string {
    if (!isPlainKey(Text))
      return "1 to 128 letters, digits, '-', '_', '.' or ':'";
    Field(Target) = Text;
    return {};
  };
  return {std::move(Key),        std::move(Default), "",
          "1 to 128 characters", std::move(Meaning), Set};
}

SettingRule text(std::string Key, std::string Range, std::string Meaning,
                 const std::string &Prefix, const TextField &Field) {
  auto Set = [=](Settings &Target, const std::string &Text) -> std::string {
    if (Text.size() <= Prefix.size() || !Text.starts_with(Prefix))
      return fmt::format("a text that starts with '{}'", Prefix);
    Field(Target) = Text;
    return {};
  };
  return {std::move(Key),   std::nullopt,       "",
          std::move(Range), std::move(Meaning), Set};
}

std::string setRole(Settings &Target, const std::string &Text) {
  for (NodeRole Role : {NodeRole::Entry, NodeRole::Agent, NodeRole::Control}) {
    if (Text == roleName(Role)) {
      Target.Role = Role;
      return {};
    }
  }
  return "entry, agent or control";
}

std::string setLevel(Settings &Target, const std::string &Text) {
  std::optional<LogLevel> Level = parseLogLevel(Text);
  if (!Level)
    return "debug, info, warning or error";
  Target.Level = *Level;
  return {};
}

std::vector<SettingRule> commonRules() {
  return {
      name("cluster", std::nullopt, "Processes of other clusters are refused.",
           [](Settings &S) -> std::string & { return S.Cluster; }),
      name("node", std::nullopt, "This process's name, unique in the cluster.",
           [](Settings &S) -> std::string & { return S.Node; }),
      {"role", std::nullopt, "", "entry, agent or control",
       "What this process does.", setRole},
      address("listen", "Where other processes of the cluster reach this one.",
              [](Settings &S) -> std::string & { return S.Listen; }),
      name("data_centre", std::nullopt, "The data centre it stands in.",
           [](Settings &S) -> std::string & { return S.DataCentre; }),
      name("rack", "none", "The rack it stands in.",
           [](Settings &S) -> std::string & { return S.Rack; }),
      {"log_level", "info", "", "debug, info, warning or error",
       "The lowest level that is logged.", setLevel},
      time(
          "heartbeat", "1000", 50, 5 * Second,
          "Between two heartbeats to control.",
          [](Settings & S) -> auto & { return S.Heartbeat; }),
      time(
          "clock_allowance", "1000", 10, Minute,
          "How far two hosts' or callers' clocks may differ.",
          [](Settings & S) -> auto & { return S.ClockAllowance; }),
      time(
          "ledger_retention", "600000", Second, 60 * Minute,
          "How long a job id is remembered; older ids are refused.",
          [](Settings & S) -> auto & { return S.LedgerRetention; }),
  };
}

std::vector<SettingRule> entryRules() {
  return {
      address("entry.http_listen", "Where callers reach this entry.",
              [](Settings &S) -> std::string & { return S.Entry.HttpListen; }),
      number(
          "entry.http_threads", "4", "threads", 1, 64,
          "Threads that read requests.",
          [](Settings & S) -> auto & { return S.Entry.HttpThreads; }),
      number(
          "entry.max_body_bytes", "4194304", "bytes", 1024, 67108864,
          "The largest request body that is read.",
          [](Settings & S) -> auto & { return S.Entry.MaxBodyBytes; }),
      number(
          "entry.max_jobs", "20000", "jobs", 1, 1000000,
          "Jobs in flight at this entry, over all workspaces.",
          [](Settings & S) -> auto & { return S.Entry.MaxJobs; }),
      number(
          "entry.max_answers_mb", "128", "MB", 1, 65536,
          "Answers kept for those who ask again; the oldest go first.",
          [](Settings & S) -> auto & { return S.Entry.MaxAnswersMb; }),
      time(
          "entry.wait_timeout", "20000", 100, Minute,
          "A submission still running then is answered as pending.",
          [](Settings & S) -> auto & { return S.Entry.WaitTimeout; }),
      time(
          "entry.header_timeout", "25000", 600, 2 * Minute,
          "A request that has not come whole within this is answered 408, and "
          "its connection ends.",
          [](Settings & S) -> auto & { return S.Entry.HeaderTimeout; }),
      time(
          "entry.claim_timeout", "1000", 10, Minute,
          "How long a claim waits for the ledger's holders.",
          [](Settings & S) -> auto & { return S.Entry.ClaimTimeout; }),
      time(
          "entry.max_unconfirmed", "8000", 500, 12 * Second,
          "Without control's word for this long, new jobs are refused.",
          [](Settings & S) -> auto & { return S.Entry.MaxUnconfirmed; }),
      time(
          "entry.drain_timeout", "30000", 100, 10 * Minute,
          "How long a stopping entry waits for its jobs.",
          [](Settings & S) -> auto & { return S.Entry.DrainTimeout; }),
  };
}

std::vector<SettingRule> agentRules() {
  return {
      text("agent.minion_url", "http://IP:port/path",
           "Where the upstream takes tasks.", "http://",
           [](Settings &S) -> std::string & { return S.Agent.UpstreamUrl; }),
      name("agent.pool", std::nullopt,
           "The pool of upstreams it joins; a workspace names its pool.",
           [](Settings &S) -> std::string & { return S.Agent.Pool; }),
      number(
          "agent.slots", "8", "tasks", 1, 256,
          "Tasks that the upstream runs at once.",
          [](Settings & S) -> auto & { return S.Agent.Slots; }),
      number(
          "agent.cpus", "16", "cores", 1, 4096, "The worker's cores.",
          [](Settings & S) -> auto & { return S.Agent.Cpus; }),
      number(
          "agent.memory_mb", "32768", "MB", 1, 67108864, "The worker's memory.",
          [](Settings & S) -> auto & { return S.Agent.MemoryMb; }),
      number(
          "agent.accelerators", "0", "devices", 0, 64,
          "The worker's accelerators.",
          [](Settings & S) -> auto & { return S.Agent.Accelerators; }),
      time(
          "agent.task_timeout", "60000", 100, 60 * Minute,
          "A task that runs longer is stopped and fails.",
          [](Settings & S) -> auto & { return S.Agent.TaskTimeout; }),
      time(
          "agent.freshness", "60000", 100, 10 * Minute,
          "A dispatch that rests on older news of this agent is refused.",
          [](Settings & S) -> auto & { return S.Agent.Freshness; }),
      time(
          "agent.drain_timeout", "30000", 100, 10 * Minute,
          "How long a stopping agent waits for its tasks.",
          [](Settings & S) -> auto & { return S.Agent.DrainTimeout; }),
  };
}

std::vector<SettingRule> controlRules() {
  return {
      text("control.data_dir", "a folder's absolute path",
           "The folder of the replicated log.", "/",
           [](Settings &S) -> std::string & { return S.Control.DataDir; }),
      address(
          "control.http_listen", "Where operators reach this replica.",
          [](Settings &S) -> std::string & { return S.Control.HttpListen; }),
      time(
          "control.election", "500", 50, Minute,
          "Without a leader for this long, a replica stands for election.",
          [](Settings & S) -> auto & { return S.Control.ElectionTimeout; }),
      time(
          "control.lease", "3000", 200, Minute,
          "A node that is silent for this long is lost.",
          [](Settings & S) -> auto & { return S.Control.Lease; }),
      time(
          "control.proposal_timeout", "5000", 100, Minute,
          "A change that is not committed by then is answered as unknown.",
          [](Settings & S) -> auto & { return S.Control.ProposalTimeout; }),
      number(
          "control.snapshot_every", "1000", "entries", 4, 1000000,
          "Log entries between two snapshots.",
          [](Settings & S) -> auto & { return S.Control.EntriesPerSnapshot; }),
      number(
          "control.holder_groups", "1", "groups", 1, 1024,
          "Groups of three ledger holders; set before the first start.",
          [](Settings & S) -> auto & { return S.Control.HolderGroups; }),
      time(
          "control.holder_replace_after", "30000", 500, 60 * Minute,
          "A ledger holder lost for this long is replaced.",
          [](Settings & S) -> auto & { return S.Control.HolderReplaceAfter; }),
  };
}

void append(std::vector<SettingRule> &Rules, std::vector<SettingRule> More) {
  for (SettingRule &Rule : More)
    Rules.push_back(std::move(Rule));
}

std::vector<SettingRule> allRules() {
  std::vector<SettingRule> Rules = commonRules();
  append(Rules, entryRules());
  append(Rules, agentRules());
  append(Rules, controlRules());
  return Rules;
}

} // namespace

bool isAddress(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  // inet_pton() would ignore anything after a NUL byte.
  if (Colon == std::string::npos || Text.find('\0') != std::string::npos)
    return false;
  std::int64_t Port = 0;
  if (!parseWithin(Text.substr(Colon + 1), 1, MaxPort, Port).empty())
    return false;
  in_addr Parsed{};
  return inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Parsed) == 1;
}

const std::vector<SettingRule> &settingRules() {
  static const std::vector<SettingRule> Rules = allRules();
  return Rules;
}

std::string settingsTable() {
  std::string Table = "| key | default | unit | range | meaning |\n"
                      "| --- | --- | --- | --- | --- |\n";
  for (const SettingRule &Rule : settingRules())
    Table += fmt::format("| `{}` | {} | {} | {} | {} |\n", Rule.Key,
                         Rule.Default.value_or("required"), Rule.Unit,
                         Rule.Range, Rule.Meaning);
  return Table;
}

} // namespace yardwheel
