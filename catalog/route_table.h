//===- catalog/route_table.h - Where requests go ----------------*- C++ -*-===//
///
/// \file
/// The route table that operators replace as a whole under increasing
/// versions: what makes one valid, whether two are the same, and which route
/// a request takes.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CATALOG_ROUTE_TABLE_H
#define YARDWHEEL_CATALOG_ROUTE_TABLE_H

#include "protocol/peer.pb.h"

#include <string>
#include <string_view>

namespace yardwheel {

/// What is wrong with a table, or an empty string.
std::string checkRouteTable(const peer::RouteTable &Table);

/// Whether \p New may take the place of \p Held. The outcome has the verdict
/// and the version in force: a table that is not newer changes nothing and is
/// acknowledged, so that a change sent again is; other content under the
/// version held is a conflict.
peer::ChangeResult weighRouteTable(const peer::RouteTable &Held,
                                   const peer::RouteTable &New);

/// The route with this host and the longest prefix of \p Path, or null.
const peer::Route *findRoute(const peer::RouteTable &Table,
                             std::string_view Host, std::string_view Path);

} // namespace yardwheel

#endif
