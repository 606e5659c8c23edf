//===- catalog/policy_names.h - Names of dispatch policies ------*- C++ -*-===//
///
/// \file
/// The policies that a workspace's parameters may name. The classes are in
/// dispatch/; control checks names without linking them.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CATALOG_POLICY_NAMES_H
#define YARDWHEEL_CATALOG_POLICY_NAMES_H

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

namespace yardwheel {

constexpr std::array<std::string_view, 6> PolicyNames = {
    "random",     "round_robin", "two_choices",
    "slot_share", "slot_borrow", "late_binding"};

constexpr std::string_view DefaultPolicy = "slot_borrow";

inline bool isPolicyName(std::string_view Name) {
  return std::find(PolicyNames.begin(), PolicyNames.end(), Name) !=
         PolicyNames.end();
}

inline std::string policyNameList() {
  std::string List;
  for (std::string_view Name : PolicyNames) {
    if (!List.empty())
      List += ", ";
    List += Name;
  }
  return List;
}

} // namespace yardwheel

#endif
