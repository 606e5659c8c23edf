//===- http/request_age.h - Time since a request arrived --------*- C++ -*-===//
///
/// \file
/// A process that was stalled or is busy reads requests late. Only the host's
/// kernel knows when they arrived.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_HTTP_REQUEST_AGE_H
#define YARDWHEEL_HTTP_REQUEST_AGE_H

#include "core/clock.h"

#include <optional>

namespace yardwheel {

/// The time since a request's last byte arrived at this host.
struct RequestAge {
  Duration AtLeast{};
  /// None if more input has arrived after the request: the host records only
  /// the time of a connection's last input.
  std::optional<Duration> AtMost;
};

/// Returns the age of a connection's last input; none if the host does not
/// provide it.
std::optional<RequestAge> findInputAge(int Descriptor);

} // namespace yardwheel

#endif
