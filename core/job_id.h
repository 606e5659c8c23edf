//===- core/job_id.h - Job ids with their first submission time -*- C++
//-*-===//
///
/// \file
/// A job id is either a UUID of version 7 (RFC 9562), whose first 48 bits are
/// the time of its first submission, or a plain key with a separate time.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CORE_JOB_ID_H
#define YARDWHEEL_CORE_JOB_ID_H

#include "core/clock.h"

#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace yardwheel {

/// The maximum length of a plain key, in bytes.
constexpr std::size_t MaxKeyLength = 128;

struct JobId {
  std::string Key;
  WallTime FirstSubmitted;
};

/// Parses a UUID of version 7. Returns nullopt if \p Text is anything else. The
/// key is converted to lower case, so that both spellings name the same job.
std::optional<JobId> parseUuidV7(std::string_view Text);

/// Makes a new id with the time \p Now.
JobId makeUuidV7(WallTime Now, std::mt19937_64 &Random);

/// Returns whether \p Key is a valid plain key: 1 to MaxKeyLength letters,
/// digits, '-', '_', '.' or ':'.
bool isPlainKey(std::string_view Key);

} // namespace yardwheel

#endif
