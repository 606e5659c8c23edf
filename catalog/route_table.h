//===- catalog/route_table.h - Routes of requests ---------------*- C++ -*-===//
///
/// \file
/// Operations on the route table, which operators replace as a whole under
/// increasing versions: validation, replacement and route lookup.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CATALOG_ROUTE_TABLE_H
#define YARDWHEEL_CATALOG_ROUTE_TABLE_H

#include "protocol/peer.pb.h"

#include <string>
#include <string_view>

namespace yardwheel {

/// \returns what is wrong with a table, or an empty string if it is valid.
std::string checkRouteTable(const peer::RouteTable &Table);

/// Checks whether \p New may replace \p Current. A table with an older version,
/// or with the same version and content, changes nothing and is acknowledged,
/// so that a change sent again succeeds. Different content under the current
/// version is a conflict.
/// \returns the verdict and the version in force.
peer::ChangeResult checkRouteReplacement(const peer::RouteTable &Current,
                                         const peer::RouteTable &New);

/// \returns the route for \p Host with the longest prefix of \p Path, or null
/// if none matches.
const peer::Route *findRoute(const peer::RouteTable &Table,
                             std::string_view Host, std::string_view Path);

} // namespace yardwheel

#endif
