//===- tool/log_line.h - Lines of the processes' logs -----------*- C++ -*-===//
#ifndef YARDWHEEL_TOOL_LOG_LINE_H
#define YARDWHEEL_TOOL_LOG_LINE_H

#include "core/clock.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace yardwheel {

/// A log line that tells a decision, see core/logger.h.
struct LogLine {
  /// The process that wrote it.
  std::string Process;
  WallTime Time;
  std::string Decision;
  nlohmann::json Fields;

  /// Returns a field, or an empty text if the line has no such text.
  std::string text(const char *Field) const;
  /// Returns a field, or nothing if the line has no such number.
  std::optional<std::int64_t> number(const char *Field) const;
};

/// Parses a line. A field "process", which log collectors may add, goes before
/// \p Process.
/// \returns nothing if it is not a decision's line, for example a message or
/// the rest of one that was cut off.
std::optional<LogLine> parseLogLine(const std::string &Text,
                                    const std::string &Process);

/// Parses "2026-01-31T12:00:00.123Z".
std::optional<WallTime> parseLogTime(const std::string &Text);

} // namespace yardwheel

#endif
