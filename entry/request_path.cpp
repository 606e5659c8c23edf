#include "entry/request_path.h"

#include "core/hash.h"
#include "core/job_id.h"
#include "core/text.h"
#include "http/json.h"

#include <fmt/format.h>
#include <google/protobuf/util/time_util.h>

namespace yardwheel {

namespace {

constexpr std::uint32_t MaxDeclaredMs = 3600000;
/// Roughly the time that a starting entry needs to receive its configuration.
constexpr std::chrono::milliseconds UnconfiguredRetryDelay{1000};

Rejection reject(std::string Reason) {
  return {HttpStatus::BadRequest, "validate", std::move(Reason)};
}

WallTime toWallTime(const google::protobuf::Timestamp &Time) {
  return fromUnixMillis(
      google::protobuf::util::TimeUtil::TimestampToMilliseconds(Time));
}

/// Hashes what a resubmission must repeat: the tasks and the repeatable flag.
/// The deadline is excluded because a client may change it.
std::uint64_t fingerprint(const api::SubmitRequest &Document) {
  std::uint64_t Hash = combineHash(0, Document.repeatable() ? 1 : 0);
  for (const api::TaskSpec &Task : Document.tasks()) {
    Hash = combineHash(Hash, stableHash(Task.payload()));
    Hash = combineHash(Hash, Task.cpus());
    Hash = combineHash(Hash, Task.memory_mb());
    Hash = combineHash(Hash, Task.accelerators());
  }
  return Hash;
}

std::optional<Rejection> readId(const api::SubmitRequest &Document,
                                WallTime Now, std::mt19937_64 &Random,
                                JobRequest &Request) {
  if (Document.id().empty()) {
    JobId Made = makeUuidV7(Now, Random);
    Request.Id = Made.Key;
    Request.FirstSubmitted = Now;
    Request.HasGeneratedId = true;
    return std::nullopt;
  }
  if (std::optional<JobId> Uuid = parseUuidV7(Document.id())) {
    Request.Id = Uuid->Key;
    Request.FirstSubmitted = Uuid->FirstSubmitted;
    return std::nullopt;
  }
  if (!isPlainKey(Document.id()))
    return reject(fmt::format("id: expected a UUID of version 7, or 1 to {} "
                              "letters, digits, '-', '_', '.' or ':'",
                              MaxKeyLength));
  if (!Document.has_first_submitted())
    return reject("first_submitted: expected beside an id that is not a UUID "
                  "of version 7");
  Request.Id = Document.id();
  Request.FirstSubmitted = toWallTime(Document.first_submitted());
  return std::nullopt;
}

std::optional<Rejection> readTasks(const api::SubmitRequest &Document,
                                   std::uint32_t MaxTasks,
                                   JobRequest &Request) {
  auto Count = static_cast<std::uint32_t>(Document.tasks_size());
  if (Count < 1 || Count > MaxTasks)
    return reject(
        fmt::format("tasks: expected 1 to {}, found {}", MaxTasks, Count));
  for (const api::TaskSpec &Given : Document.tasks()) {
    if (Given.declared_ms() > MaxDeclaredMs)
      return reject(fmt::format("tasks[{}].declared_ms: expected 0 to {}",
                                Request.Tasks.size(), MaxDeclaredMs));
    TaskSpec Task;
    Task.Payload = Given.payload();
    Task.Declared = std::chrono::milliseconds(Given.declared_ms());
    Task.Needs.set_cpus(Given.cpus());
    Task.Needs.set_memory_mb(Given.memory_mb());
    Task.Needs.set_accelerators(Given.accelerators());
    Request.Tasks.push_back(std::move(Task));
  }
  return std::nullopt;
}

std::optional<Rejection> readDeadline(const api::SubmitRequest &Document,
                                      std::uint32_t MaxDeadlineMs, WallTime Now,
                                      JobRequest &Request) {
  Request.TimeLeft = std::chrono::milliseconds(MaxDeadlineMs);
  if (!Document.has_deadline())
    return std::nullopt;
  std::chrono::milliseconds Left = toWallTime(Document.deadline()) - Now;
  if (Left.count() <= 0)
    return reject(fmt::format("deadline: is {} ms in the past", -Left.count()));
  if (Left.count() > MaxDeadlineMs)
    return reject(fmt::format("deadline: expected at most {} ms from now, "
                              "found {}",
                              MaxDeadlineMs, Left.count()));
  Request.TimeLeft = Left;
  return std::nullopt;
}

} // namespace

std::optional<Rejection> decodeSubmission(const std::string &Body,
                                          api::SubmitRequest &Document) {
  if (!isUtf8(Body))
    return Rejection{HttpStatus::BadRequest, "decode",
                     "body: expected UTF-8 text"};
  std::string Error = fromJson(Body, Document);
  if (Error.empty())
    return std::nullopt;
  return Rejection{HttpStatus::BadRequest, "decode", "body: " + Error};
}

std::optional<Rejection> rejectUnconfigured(const CatalogView &View) {
  if (View.Revision > 0)
    return std::nullopt;
  return Rejection{HttpStatus::Unavailable, "validate",
                   "this entry has not heard of its configuration yet",
                   UnconfiguredRetryDelay};
}

std::optional<Rejection>
validateSubmission(const api::SubmitRequest &Document,
                   const std::string &Workspace, const CatalogView &View,
                   WallTime Now, std::mt19937_64 &Random, JobRequest &Request) {
  if (std::optional<Rejection> Unconfigured = rejectUnconfigured(View))
    return Unconfigured;
  const peer::Workspace *Config = View.findWorkspace(Workspace);
  if (Config == nullptr)
    return Rejection{
        HttpStatus::NotFound, "validate",
        fmt::format("workspace '{}': not found", printable(Workspace))};
  const peer::Parameters &Limits = Config->parameters();
  Request.Workspace = Workspace;
  Request.Repeatable = Document.repeatable();
  Request.Fingerprint = fingerprint(Document);
  std::optional<Rejection> Error = readId(Document, Now, Random, Request);
  if (!Error)
    Error = readTasks(Document, Limits.max_tasks(), Request);
  if (!Error)
    Error = readDeadline(Document, Limits.max_deadline_ms(), Now, Request);
  return Error;
}

} // namespace yardwheel
