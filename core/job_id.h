//===- core/job_id.h - Job ids that carry their first submission -*- C++
//-*-===//
///
/// \file
/// A job id is a UUID of version 7 (RFC 9562), whose first 48 bits are the
/// time of its first submission, or a plain key with that time beside it.
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

/// The longest plain key that is accepted, in bytes.
constexpr std::size_t MaxKeyLength = 128;

struct JobId {
  std::string Key;
  WallTime FirstSubmitted;
};

/// Parses a UUID of version 7; nothing if \p Text is anything else. The key
/// is folded to lower case, so that both spellings name one job.
std::optional<JobId> parseUuidV7(std::string_view Text);

/// Makes a fresh id stamped \p Now.
JobId makeUuidV7(WallTime Now, std::mt19937_64 &Random);

/// Whether \p Key may serve as a plain key: 1 to MaxKeyLength letters,
/// digits, '-', '_', '.' or ':'.
bool isPlainKey(std::string_view Key);

} // namespace yardwheel

#endif
