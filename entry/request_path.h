//===- entry/request_path.h - A request's way through an entry --*- C++ -*-===//
///
/// \file
/// The filters that a submission passes, in order:
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
/// Filters 1, 2 and 9 run on the HTTP server's threads or need no state; the
/// rest run on the loop, behind JobService, which joins them.
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

/// A submission that a filter has stopped.
struct Rejection {
  HttpStatus Status = HttpStatus::BadRequest;
  std::string Step;
  /// Names the field and the bound.
  std::string Reason;
  /// When to come back; 0 where it would be rejected again.
  std::chrono::milliseconds RetryAfter{};
};

/// Filter 1. \returns a rejection if \p Body is no submission.
std::optional<Rejection> decodeSubmission(const std::string &Body,
                                          api::SubmitRequest &Document);

/// Rejects whatever names a workspace until the configuration is known:
/// a workspace that has not been heard of may well exist.
std::optional<Rejection> rejectUnconfigured(const CatalogView &View);

/// Filter 2. Fills \p Request, or returns a rejection.
std::optional<Rejection>
validateSubmission(const api::SubmitRequest &Document,
                   const std::string &Workspace, const CatalogView &View,
                   WallTime Now, std::mt19937_64 &Random, JobRequest &Request);

} // namespace yardwheel

#endif
