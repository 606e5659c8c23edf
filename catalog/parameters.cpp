#include "catalog/parameters.h"

#include "catalog/policy_names.h"
#include "core/job_id.h"

#include <charconv>
#include <fmt/format.h>

namespace yardwheel {

namespace {

constexpr std::string_view PolicyKey = "policy";
constexpr std::string_view PoolKey = "pool";
constexpr std::uint32_t MaxTasksPerJob = 1300;
constexpr std::uint32_t OneHourMs = 3600000;

const ParameterRule *findRule(std::string_view Key) {
  for (const ParameterRule &Rule : parameterRules())
    if (Rule.Key == Key)
      return &Rule;
  return nullptr;
}

} // namespace

const std::vector<ParameterRule> &parameterRules() {
  using P = peer::Parameters;
  static const std::vector<ParameterRule> Rules = {
      {"capacity", 64, "tasks", 1, 1000000,
       "Tasks of the workspace that may be at upstreams at once, for each "
       "entry.",
       &P::capacity, &P::set_capacity},
      {"queue_limit", 10000, "tasks", 1, 1000000,
       "Tasks that may wait at one entry; more are refused at once.",
       &P::queue_limit, &P::set_queue_limit},
      {"weight", 100, "share", 1, 10000,
       "Share of dispatches when several workspaces wait.", &P::weight,
       &P::set_weight},
      {"max_tasks", MaxTasksPerJob, "tasks", 1, MaxTasksPerJob,
       "Tasks in one job.", &P::max_tasks, &P::set_max_tasks},
      {"max_deadline", 60000, "ms", 10, OneHourMs,
       "Longest time a job may take; also the deadline where none is given.",
       &P::max_deadline_ms, &P::set_max_deadline_ms},
      {"retry_budget", 20, "percent", 1, 100,
       "Tasks sent again, as a share of tasks sent.", &P::retry_budget_percent,
       &P::set_retry_budget_percent},
      {"answer_retention", 120000, "ms", 1000, OneHourMs,
       "How long a final answer is kept for those who ask again.",
       &P::answer_retention_ms, &P::set_answer_retention_ms},
      {"agent_queue", 8, "tasks", 1, 1024,
       "Tasks that may wait at one agent, where the policy lets them.",
       &P::agent_queue, &P::set_agent_queue},
      {"eject_failures", 3, "tasks", 1, 1000,
       "Failures in a row after which an upstream gets no tasks for a while.",
       &P::eject_failures, &P::set_eject_failures},
  };
  return Rules;
}

peer::Parameters defaultParameters() {
  peer::Parameters Result;
  for (const ParameterRule &Rule : parameterRules())
    (Result.*Rule.Set)(Rule.Default);
  Result.set_policy(std::string(DefaultPolicy));
  return Result;
}

std::string setParameter(peer::Parameters &Target, std::string_view Key,
                         std::string_view Value) {
  if (Key == PolicyKey) {
    if (!isPolicyName(Value))
      return fmt::format("policy: expected one of {}", policyNameList());
    Target.set_policy(std::string(Value));
    return {};
  }
  if (Key == PoolKey) {
    if (!isPlainKey(Value))
      return "pool: expected 1 to 128 letters, digits or -_.:";
    Target.set_pool(std::string(Value));
    return {};
  }
  const ParameterRule *Rule = findRule(Key);
  if (Rule == nullptr)
    return fmt::format("{}: unknown parameter", Key);
  std::uint32_t Number = 0;
  const char *End = Value.data() + Value.size();
  auto [Stop, Code] = std::from_chars(Value.data(), End, Number);
  bool IsNumber = Code == std::errc() && Stop == End;
  if (!IsNumber || Number < Rule->Min || Number > Rule->Max)
    return fmt::format("{}: expected a whole number from {} to {} ({})", Key,
                       Rule->Min, Rule->Max, Rule->Unit);
  (Target.*Rule->Set)(Number);
  return {};
}

std::string parameterText(const peer::Parameters &Source,
                          std::string_view Key) {
  if (Key == PolicyKey)
    return Source.policy();
  if (Key == PoolKey)
    return Source.pool();
  const ParameterRule *Rule = findRule(Key);
  return Rule == nullptr ? "" : fmt::to_string((Source.*Rule->Get)());
}

std::vector<std::string_view> parameterKeys() {
  std::vector<std::string_view> Keys;
  for (const ParameterRule &Rule : parameterRules())
    Keys.push_back(Rule.Key);
  Keys.push_back(PolicyKey);
  Keys.push_back(PoolKey);
  return Keys;
}

void overlayParameters(peer::Parameters &Target,
                       const peer::Parameters &Changes) {
  for (const ParameterRule &Rule : parameterRules())
    if ((Changes.*Rule.Get)() != 0)
      (Target.*Rule.Set)((Changes.*Rule.Get)());
  if (!Changes.policy().empty())
    Target.set_policy(Changes.policy());
  if (!Changes.pool().empty())
    Target.set_pool(Changes.pool());
}

std::string parametersTable() {
  std::string Table = "| key | default | unit | range | meaning |\n"
                      "| --- | --- | --- | --- | --- |\n";
  for (const ParameterRule &Rule : parameterRules())
    Table +=
        fmt::format("| `{}` | {} | {} | {} to {} | {} |\n", Rule.Key,
                    Rule.Default, Rule.Unit, Rule.Min, Rule.Max, Rule.Meaning);
  Table +=
      fmt::format("| `policy` | {} |  | {} | How tasks find upstreams. |\n",
                  DefaultPolicy, policyNameList());
  Table += "| `pool` | the workspace's name |  | a pool's name | The pool of "
           "upstreams that serves it; several workspaces may share one. |\n";
  return Table;
}

} // namespace yardwheel
