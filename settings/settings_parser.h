//===- settings/settings_parser.h - Parser of settings files ----*- C++ -*-===//
///
/// \file
/// Reads a YAML settings file and reports all mistakes at once, each with its
/// line, so that an operator can correct them in one pass.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_SETTINGS_SETTINGS_PARSER_H
#define YARDWHEEL_SETTINGS_SETTINGS_PARSER_H

#include "settings/settings.h"

#include <string>
#include <vector>

namespace yardwheel {

struct SettingMistake {
  /// Line number, starting at 1; 0 if the mistake has no line, for example a
  /// missing key.
  int Line = 0;
  std::string Key;
  std::string Reason;
};

struct ParsedSettings {
  Settings Values;
  /// Empty if and only if Values is valid.
  std::vector<SettingMistake> Mistakes;
};

/// Parses the text of a settings file.
ParsedSettings parseSettings(const std::string &Yaml);

/// Reads and parses a file.
/// \throws Error with the file as the peer, if it cannot be read.
ParsedSettings readSettings(const std::string &Path);

/// \returns one line per mistake, in the form "FILE:LINE: KEY: REASON".
std::string describeMistakes(const std::string &Path,
                             const std::vector<SettingMistake> &Mistakes);

} // namespace yardwheel

#endif
