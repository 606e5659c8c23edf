//===- coordination/delegated_job.h - Delegated jobs on the wire *- C++ -*-===//
#ifndef YARDWHEEL_COORDINATION_DELEGATED_JOB_H
#define YARDWHEEL_COORDINATION_DELEGATED_JOB_H

#include "coordination/leased_job.h"

namespace yardwheel {

/// Encodes a job for a delegate, without its number and stamp.
peer::DelegatedJob encodeDelegatedJob(const LeasedJobRequest &Request);
LeasedJobRequest decodeDelegatedJob(const peer::DelegatedJob &Job);

/// Encodes an answer of a delegate, without its number and stamp.
peer::DelegatedAnswer encodeDelegatedAnswer(const LeasedAnswer &Answer);
/// Decodes an answer. A declined job and an unknown end give
/// LeasedEnd::Unknown.
LeasedAnswer decodeDelegatedAnswer(const peer::DelegatedAnswer &Answer);

} // namespace yardwheel

#endif
