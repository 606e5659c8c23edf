//===- entry/answer_path.h - HTTP response for an outcome -------*- C++ -*-===//
///
/// \file
/// The last stage of a request: HTTP status, failure description and advice.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_ENTRY_ANSWER_PATH_H
#define YARDWHEEL_ENTRY_ANSWER_PATH_H

#include "entry/job.h"
#include "entry/request_path.h"
#include "http/http_server.h"

#include <string>

namespace yardwheel {

/// Returns the HTTP response for a job.
/// \param Outcome The job's outcome; null if the job is still running.
HttpAnswer answerFor(const std::string &Workspace, const std::string &Id,
                     const peer::JobOutcome *Outcome);

/// Returns the HTTP response for a submission that a stage rejected; none of
/// its tasks ran.
HttpAnswer answerFor(const std::string &Workspace, const Rejection &Rejected);

} // namespace yardwheel

#endif
