//===- catalog/parameters.h - Parameters of workspaces ----------*- C++ -*-===//
///
/// \file
/// The parameters of templates and workspaces: one table with key, default,
/// unit and range. Operators write KEY=VALUE; the code uses typed fields.
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
  std::uint32_t Min;
  std::uint32_t Max;
  std::string_view Meaning;
  std::uint32_t (peer::Parameters::*Get)() const;
  void (peer::Parameters::*Set)(std::uint32_t);
};

/// \returns the numeric parameters, in the order of the reference table.
const std::vector<ParameterRule> &parameterRules();

/// \returns all parameters at their defaults.
peer::Parameters defaultParameters();

/// Sets one parameter from text.
/// \returns an empty string, or an error that states what was expected.
std::string setParameter(peer::Parameters &Target, std::string_view Key,
                         std::string_view Value);

/// \returns the value of a parameter as text; empty for an unknown key.
std::string parameterText(const peer::Parameters &Source, std::string_view Key);

/// \returns the keys of all parameters, numeric ones first.
std::vector<std::string_view> parameterKeys();

/// Copies every parameter that is set in \p Changes (not zero or empty).
void overlayParameters(peer::Parameters &Target,
                       const peer::Parameters &Changes);

/// \returns the reference table in Markdown, as in docs/OPERATORS.md.
std::string parametersTable();

} // namespace yardwheel

#endif
