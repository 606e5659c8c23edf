//===- catalog/parameters.h - What operators may turn -----------*- C++ -*-===//
///
/// \file
/// The parameters of templates and workspaces: one table with key, default,
/// unit and range. Operators write KEY=VALUE; the code sees typed fields.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CATALOG_PARAMETERS_H
#define YARDWHEEL_CATALOG_PARAMETERS_H

#include "protocol/peer.pb.h"

#include <string>
#include <string_view>
#include <vector>

namespace yardwheel {

struct ParameterRule {
  std::string_view Key;
  std::uint32_t Default;
  std::string_view Unit;
  std::uint32_t Low;
  std::uint32_t High;
  std::string_view Meaning;
  std::uint32_t (peer::Parameters::*Get)() const;
  void (peer::Parameters::*Set)(std::uint32_t);
};

/// The numeric parameters, in the order of the reference table.
const std::vector<ParameterRule> &parameterRules();

/// Every parameter at its default.
peer::Parameters defaultParameters();

/// Sets one parameter from text.
/// \returns an empty string, or what was expected.
std::string setParameter(peer::Parameters &Target, std::string_view Key,
                         std::string_view Value);

/// The value of a parameter as text.
std::string parameterText(const peer::Parameters &Source, std::string_view Key);

/// All keys, numeric and not.
std::vector<std::string_view> parameterKeys();

/// Copies over every parameter that \p Changes sets (is not zero or empty).
void overlayParameters(peer::Parameters &Target,
                       const peer::Parameters &Changes);

/// The reference table in Markdown, as docs/OPERATORS.md holds it.
std::string parametersTable();

} // namespace yardwheel

#endif
