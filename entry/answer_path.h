//===- entry/answer_path.h - From an outcome to an HTTP answer --*- C++ -*-===//
///
/// \file
/// The last filter of the request's path: statuses, words and advice.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_ANSWER_PATH_H
#define YARDWHEEL_ENTRY_ANSWER_PATH_H

#include "entry/job.h"
#include "entry/request_path.h"
#include "http/http_server.h"

#include <string>

namespace yardwheel {

/// \param Outcome Null for a job that is still running.
HttpAnswer answerFor(const std::string &Workspace, const std::string &Id,
                     const peer::JobOutcome *Outcome);

/// The answer to a submission that a filter has stopped; nothing of it ran.
HttpAnswer answerFor(const std::string &Workspace, const Rejection &Rejected);

} // namespace yardwheel

#endif
