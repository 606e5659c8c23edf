//===- http/request_age.h - Since when a request is here --------*- C++ -*-===//
///
/// \file
/// A process that stood still, or is busy, reads requests late. Only its host
/// knows when they came.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_HTTP_REQUEST_AGE_H
#define YARDWHEEL_HTTP_REQUEST_AGE_H

#include "core/clock.h"

#include <optional>

namespace yardwheel {

/// Since a request's last byte came to this host.
struct RequestAge {
  Duration AtLeast{};
  /// None if more has come behind the request: the host knows only when a
  /// connection's last bytes came.
  std::optional<Duration> AtMost;
};

/// The age of what was last read from a connection; none where the host does
/// not tell.
std::optional<RequestAge> findInputAge(int Descriptor);

} // namespace yardwheel

#endif
