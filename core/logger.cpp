#include "core/logger.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>

namespace yardwheel {

namespace {

constexpr std::array<std::string_view, 4> LevelNames = {"debug", "info",
                                                        "warning", "error"};
std::atomic<LogLevel> LowestLevel{LogLevel::Info};

} // namespace

std::optional<LogLevel> parseLogLevel(std::string_view Text) {
  for (std::size_t I = 0; I < LevelNames.size(); ++I)
    if (LevelNames[I] == Text)
      return static_cast<LogLevel>(I);
  return std::nullopt;
}

void Logger::setLevel(LogLevel Level) { LowestLevel.store(Level); }

bool Logger::isEnabled(LogLevel Level) {
  return Level >= LowestLevel.load(std::memory_order_relaxed);
}

void Logger::write(LogLevel Level, const std::string &Sentence) const {
  auto Now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  // One call, so that lines of several threads do not mix.
  std::string Line = fmt::format("{:%FT%TZ} {:<7} [{}] {}\n", Now,
                                 LevelNames[static_cast<std::size_t>(Level)],
                                 this->Part, Sentence);
  std::fwrite(Line.data(), 1, Line.size(), stderr);
}

} // namespace yardwheel
