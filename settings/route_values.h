//===- settings/route_values.h - What routes earn ---------------*- C++ -*-===//
///
/// \file
/// Parses the values that an operator gives to routes.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_SETTINGS_ROUTE_VALUES_H
#define YARDWHEEL_SETTINGS_ROUTE_VALUES_H

#include <cstdint>
#include <map>
#include <string>

namespace yardwheel {

/// Parses what a core-second of a route earns, by the priority of its queue,
/// from a text like "0=10,1=4,2=7.5". Only the ratio of the values matters.
/// \throws Error with the pair as the peer if one is malformed, stands twice or
/// has a value that is not above 0.
std::map<std::uint32_t, double> parseRouteValues(const std::string &Text);

} // namespace yardwheel

#endif
