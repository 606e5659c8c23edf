//===- settings/settings_rules.h - The table of settings --------*- C++ -*-===//
///
/// \file
/// One rule per setting: its key, default, unit and range, and the field that
/// holds its value. Used by the parser, the reference table and the tests.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_SETTINGS_SETTINGS_RULES_H
#define YARDWHEEL_SETTINGS_SETTINGS_RULES_H

#include "settings/settings.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace yardwheel {

/// Parses and stores a value.
/// \returns an empty string, or a description of the expected value.
using SettingSetter =
    std::function<std::string(Settings &Target, const std::string &Text)>;

struct SettingRule {
  /// "section.name", or "name" at the top level.
  std::string Key;
  /// Text parsed if the key is absent; the key is required if there is none.
  std::optional<std::string> Default;
  std::string Unit;
  std::string Range;
  std::string Meaning;
  SettingSetter Set;
};

/// \returns all rules, in the order of the reference table.
const std::vector<SettingRule> &settingRules();

/// \returns whether \p Text is an IPv4 address and a port, such as
/// "127.0.0.1:7000".
bool isAddress(const std::string &Text);

/// \returns the reference table in Markdown, as in docs/OPERATORS.md.
std::string settingsTable();

} // namespace yardwheel

#endif
