//===- core/logger.h - Structured lines on standard output ------*- C++ -*-===//
///
/// \file
/// Logs one JSON object per line to standard output. Every part of the system
/// has a Logger with its own fixed prefix; the level is shared by the process.
///
/// Logging never blocks. A line that standard output cannot accept at once, or
/// that exceeds the rate limit of the process, is dropped. The next line that
/// is written contains the number of dropped lines.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CORE_LOGGER_H
#define YARDWHEEL_CORE_LOGGER_H

#include <concepts>
#include <cstdint>
#include <fmt/format.h>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace yardwheel {

enum class LogLevel { Debug, Info, Warning, Error };

/// Parses "debug", "info", "warning" or "error".
std::optional<LogLevel> parseLogLevel(std::string_view Text);

/// A value in a log line, encoded as JSON.
class LogValue {
public:
  LogValue(const std::string &Text);
  LogValue(const char *Text) : LogValue(std::string(Text)) {}
  LogValue(bool Value) : Json(Value ? "true" : "false") {}
  template <std::integral Number>
  LogValue(Number Value) : Json(fmt::to_string(Value)) {}

  const std::string &json() const { return this->Json; }

private:
  std::string Json;
};

struct LogField {
  const char *Key;
  LogValue Value;
};

class Logger {
public:
  /// \param Part The part of the system that logs, for example "ledger".
  explicit Logger(std::string Part) : Part(std::move(Part)) {}

  /// Sets the minimum level of the lines that this process writes.
  static void setLevel(LogLevel Level);
  /// Sets the average number of lines per second that this process may write.
  static void setBudget(std::uint32_t LinesPerSecond);
  /// Returns the number of lines dropped since the process started.
  static std::uint64_t dropped();

  /// Logs a decision that affects a request or changes the process's view of
  /// the system: its name, its inputs with their age or version, its outcome.
  void decision(const char *Name, std::initializer_list<LogField> Fields) const;

  template <typename... Args>
  void debug(fmt::format_string<Args...> Format, Args &&...Arguments) const {
    this->log(LogLevel::Debug, Format, std::forward<Args>(Arguments)...);
  }
  template <typename... Args>
  void info(fmt::format_string<Args...> Format, Args &&...Arguments) const {
    this->log(LogLevel::Info, Format, std::forward<Args>(Arguments)...);
  }
  template <typename... Args>
  void warning(fmt::format_string<Args...> Format, Args &&...Arguments) const {
    this->log(LogLevel::Warning, Format, std::forward<Args>(Arguments)...);
  }
  template <typename... Args>
  void error(fmt::format_string<Args...> Format, Args &&...Arguments) const {
    this->log(LogLevel::Error, Format, std::forward<Args>(Arguments)...);
  }

private:
  template <typename... Args>
  void log(LogLevel Level, fmt::format_string<Args...> Format,
           Args &&...Arguments) const {
    if (isEnabled(Level))
      this->write(Level, fmt::format(Format, std::forward<Args>(Arguments)...));
  }
  static bool isEnabled(LogLevel Level);
  void write(LogLevel Level, const std::string &Sentence) const;

  std::string Part;
};

} // namespace yardwheel

#endif
