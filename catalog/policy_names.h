//===- catalog/policy_names.h - Names of dispatch policies ------*- C++ -*-===//
///
/// \file
/// The names of policies that the parameters of a workspace may contain. The
/// classes are in dispatch/; with this list, control validates names without
/// linking them.
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

/// \returns all names, separated by commas.
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
