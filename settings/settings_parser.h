//===- settings/settings_parser.h - Settings checked whole ------*- C++ -*-===//
///
/// \file
/// Reads a YAML settings file and reports every mistake with its line at
/// once, so that an operator mends a file in one round.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_SETTINGS_SETTINGS_PARSER_H
#define YARDWHEEL_SETTINGS_SETTINGS_PARSER_H

#include "settings/settings.h"

#include <string>
#include <vector>

namespace yardwheel {

struct SettingMistake {
  /// Counted from 1; 0 where a key is missing.
  int Line = 0;
  std::string Key;
  std::string Reason;
};

struct ParsedSettings {
  Settings Values;
  /// Empty if and only if Values may be used.
  std::vector<SettingMistake> Mistakes;
};

/// Parses the text of a settings file.
ParsedSettings parseSettings(const std::string &Yaml);

/// Reads and parses a file.
/// \throws Error with the file as the peer, if it cannot be read.
ParsedSettings readSettings(const std::string &Path);

/// One line a mistake: "FILE:LINE: KEY: REASON".
std::string describeMistakes(const std::string &Path,
                             const std::vector<SettingMistake> &Mistakes);

} // namespace yardwheel

#endif
