//===- core/logger.h - One short sentence a line ----------------*- C++ -*-===//
///
/// \file
/// Logs to standard error through fmt. Every part of the system holds a
/// Logger with its own fixed prefix; the level is one for the process.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CORE_LOGGER_H
#define YARDWHEEL_CORE_LOGGER_H

#include <fmt/format.h>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace yardwheel {

enum class LogLevel { Debug, Info, Warning, Error };

/// Parses "debug", "info", "warning" or "error".
std::optional<LogLevel> parseLogLevel(std::string_view Text);

class Logger {
public:
  /// \param Part The fixed prefix, for example "ledger".
  explicit Logger(std::string Part) : Part(std::move(Part)) {}

  /// Sets the lowest level that this process writes.
  static void setLevel(LogLevel Level);

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
