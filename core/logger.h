//===- core/logger.h - Structured lines on standard output ------*- C++ -*-===//
///
/// \file
/// Logs one JSON object a line to standard output. Every part of the system
/// holds a Logger with its own fixed prefix; the level is one for the process.
///
/// A line never waits: what standard output does not take at once, and what
/// exceeds the process's budget of lines, is dropped and counted, and the next
/// line that is written says how many were.
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

/// A value of a log line, as JSON.
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
  /// \param Part The fixed prefix, for example "ledger".
  explicit Logger(std::string Part) : Part(std::move(Part)) {}

  /// Sets the lowest level that this process writes.
  static void setLevel(LogLevel Level);
  /// Sets how many lines a second this process writes, in the mean.
  static void setBudget(std::uint32_t LinesPerSecond);
  /// Lines dropped since the process began.
  static std::uint64_t dropped();

  /// A decision that touches a request or changes what the process believes:
  /// its name, its inputs with their age or version, and its outcome.
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
