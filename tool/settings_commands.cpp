//===- Commands that work offline ---
//--------------------------------------===//

#include "catalog/parameters.h"
#include "settings/settings_parser.h"
#include "settings/settings_rules.h"
#include "tool/commands.h"

#include <fmt/format.h>

namespace yardwheel {

ExitCode checkSettings(ApiClient &, const Arguments &Rest) {
  CommandLine Line = expectWords(Rest, 1, {}, "settings check FILE");
  ParsedSettings Parsed = readSettings(Line.Words[0]);
  if (!Parsed.Mistakes.empty()) {
    fmt::print(stderr, "{}", describeMistakes(Line.Words[0], Parsed.Mistakes));
    return ExitCode::Usage;
  }
  fmt::print("{}: good settings for {} '{}' of cluster '{}'\n", Line.Words[0],
             roleName(Parsed.Values.Role), Parsed.Values.Node,
             Parsed.Values.Cluster);
  return ExitCode::Ok;
}

ExitCode printReference(ApiClient &, const Arguments &Rest) {
  expectWords(Rest, 0, {}, "settings reference");
  fmt::print("{}\n{}", settingsTable(), parametersTable());
  return ExitCode::Ok;
}

} // namespace yardwheel
