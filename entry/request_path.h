//===- entry/request_path.h - Stages of a job request -----------*- C++ -*-===//
///
/// \file
/// The stages that a submission passes through, in order:
///
///   1. decode    decodeSubmission()       here: JSON to a typed document
///   2. validate  validateSubmission()     here: bounds, names, times
///   3. claim     Claimant                 ledger/claimant.h
///   4. admit     JobRunner::admit()       entry/job_runner.h
///   5. order     FairQueue                dispatch/fair_queue.h
///   6. route     RoutePolicy              dispatch/route_policy.h
///   7. dispatch  JobRunner::flush()       entry/job_runner.h, to AgentCore
///   8. collect   JobRunner::onUpdate()    entry/job_runner.h
///   9. answer    answerFor()              entry/answer_path.h
///
/// Stages 1, 2 and 9 run on the HTTP server's threads or are stateless. The
/// other stages run on the event loop, driven by JobService.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_REQUEST_PATH_H
#define YARDWHEEL_ENTRY_REQUEST_PATH_H

#include "catalog/node_catalog.h"
#include "entry/job.h"
#include "http/http_server.h"
#include "protocol/api.pb.h"

#include <optional>
#include <random>
#include <string>

namespace yardwheel {

/// Describes why a stage rejected a submission.
struct Rejection {
  HttpStatus Status = HttpStatus::BadRequest;
  std::string Step;
  /// The invalid field and the expected bounds.
  std::string Reason;
  /// Delay before a retry; 0 if a retry would be rejected again.
  std::chrono::milliseconds RetryAfter{};
};

/// Stage 1: parses the JSON text \p Body into \p Document.
/// \returns a rejection if \p Body is not a valid submission.
std::optional<Rejection> decodeSubmission(const std::string &Body,
                                          api::SubmitRequest &Document);

/// Rejects requests that name a workspace until the entry has received its
/// configuration. Until then, an unknown workspace may still exist.
std::optional<Rejection> rejectUnconfigured(const CatalogView &View);

/// Stage 2: checks \p Document against the workspace's limits and fills \p
/// Request.
/// \returns a rejection if a check fails.
std::optional<Rejection>
validateSubmission(const api::SubmitRequest &Document,
                   const std::string &Workspace, const CatalogView &View,
                   WallTime Now, std::mt19937_64 &Random, JobRequest &Request);

} // namespace yardwheel

#endif
