//===- settings/settings_rules.h - The table of settings --------*- C++ -*-===//
///
/// \file
/// One row a setting: its key, default, unit and range, and where its value
/// goes. The parser, the reference table and the tests all read these rows.
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

/// Stores a parsed value. \returns an empty string, or what was expected.
using SettingSetter =
    std::function<std::string(Settings &Target, const std::string &Text)>;

struct SettingRule {
  /// "section.name", or just "name" at the top level.
  std::string Key;
  /// The text that stands for an absent key; nothing makes it required.
  std::optional<std::string> Default;
  std::string Unit;
  std::string Range;
  std::string Meaning;
  SettingSetter Set;
};

/// All rules, in the order of the reference table.
const std::vector<SettingRule> &settingRules();

/// Whether \p Text is an IP number and a port, such as "127.0.0.1:7000".
bool isAddress(const std::string &Text);

/// The reference table in Markdown, as docs/OPERATORS.md holds it.
std::string settingsTable();

} // namespace yardwheel

#endif
