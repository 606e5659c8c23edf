#include "core/logger.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <fmt/chrono.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace yardwheel {

namespace {

constexpr std::array<std::string_view, 4> LevelNames = {"debug", "info",
                                                        "warning", "error"};
std::atomic<LogLevel> LowestLevel{LogLevel::Info};

/// The rate limit of a process: enough for one line per job at several hundred
/// jobs per second. At about 10 us per line this is well under 1 % of a core.
constexpr std::uint32_t DefaultLinesPerSecond = 500;
/// The capacity of the token bucket, as seconds of the rate limit.
constexpr double BurstSeconds = 2;

/// Whether JSON writes a text as it is, between quotation marks.
bool isPlain(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
    constexpr unsigned char FirstPrintable = 0x20;
    constexpr unsigned char LastPrintable = 0x7e;
    return C >= FirstPrintable && C <= LastPrintable && C != '"' && C != '\\';
  });
}

std::string quote(const std::string &Text) {
  if (isPlain(Text))
    return '"' + Text + '"';
  return nlohmann::json(Text).dump(-1, ' ', /*ensure_ascii=*/false,
                                   nlohmann::json::error_handler_t::replace);
}

/// Writes whole lines to standard output, rate-limited by a token bucket.
class LineWriter {
public:
  void setBudget(std::uint32_t LinesPerSecond) {
    std::lock_guard Lock(this->Mutex);
    this->PerSecond = LinesPerSecond;
    this->Tokens = this->PerSecond * BurstSeconds;
  }

  void write(std::string Line) {
    std::lock_guard Lock(this->Mutex);
    if (!this->takeToken() || !isWritable()) {
      this->Dropped.fetch_add(1);
      return;
    }
    std::uint64_t Unreported = this->Dropped.load() - this->ReportedDropped;
    if (Unreported > 0)
      Line += fmt::format(R"(,"dropped_lines":{})", Unreported);
    Line += "}\n";
    // A single call, so that lines of several threads are not interleaved.
    ssize_t Written = ::write(STDOUT_FILENO, Line.data(), Line.size());
    if (Written == static_cast<ssize_t>(Line.size()))
      this->ReportedDropped += Unreported;
    else
      this->Dropped.fetch_add(1);
  }

  std::uint64_t dropped() const { return this->Dropped.load(); }

private:
  bool takeToken() {
    auto Now = std::chrono::steady_clock::now();
    std::chrono::duration<double> Passed = Now - this->Refilled;
    this->Refilled = Now;
    this->Tokens = std::min(this->Tokens + Passed.count() * this->PerSecond,
                            this->PerSecond * BurstSeconds);
    if (this->Tokens < 1)
      return false;
    this->Tokens -= 1;
    return true;
  }

  static bool isWritable() {
    pollfd Output{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&Output, 1, 0) == 1 && (Output.revents & POLLOUT) != 0;
  }

  std::mutex Mutex;
  double PerSecond = DefaultLinesPerSecond;
  double Tokens = DefaultLinesPerSecond * BurstSeconds;
  std::chrono::steady_clock::time_point Refilled =
      std::chrono::steady_clock::now();
  std::atomic<std::uint64_t> Dropped{0};
  std::uint64_t ReportedDropped = 0;
};

LineWriter &writer() {
  static LineWriter Writer;
  return Writer;
}

std::string lineStart(LogLevel Level, const std::string &Part) {
  auto Now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  auto Millis = Now.time_since_epoch() % std::chrono::seconds(1);
  auto Second =
      std::chrono::time_point_cast<std::chrono::seconds>(Now - Millis);
  // Most lines share their second with the one before.
  thread_local std::chrono::sys_seconds LastSecond{};
  thread_local std::string LastText;
  if (LastText.empty() || Second != LastSecond) {
    LastSecond = Second;
    LastText = fmt::format("{:%FT%T}", Second);
  }
  return fmt::format(R"({{"time":"{}.{:03}Z","level":"{}","part":"{}")",
                     LastText, Millis.count(),
                     LevelNames[static_cast<std::size_t>(Level)], Part);
}

} // namespace

LogValue::LogValue(const std::string &Text) : Json(quote(Text)) {}

std::optional<LogLevel> parseLogLevel(std::string_view Text) {
  for (std::size_t I = 0; I < LevelNames.size(); ++I)
    if (LevelNames[I] == Text)
      return static_cast<LogLevel>(I);
  return std::nullopt;
}

void Logger::setLevel(LogLevel Level) { LowestLevel.store(Level); }

void Logger::setBudget(std::uint32_t LinesPerSecond) {
  writer().setBudget(LinesPerSecond);
}

std::uint64_t Logger::dropped() { return writer().dropped(); }

bool Logger::isEnabled(LogLevel Level) {
  return Level >= LowestLevel.load(std::memory_order_relaxed);
}

void Logger::decision(const char *Name,
                      std::initializer_list<LogField> Fields) const {
  if (!isEnabled(LogLevel::Info))
    return;
  std::string Line = lineStart(LogLevel::Info, this->Part);
  Line += fmt::format(R"(,"decision":"{}")", Name);
  for (const LogField &Field : Fields)
    Line.append(",\"").append(Field.Key).append("\":").append(
        Field.Value.json());
  writer().write(std::move(Line));
}

void Logger::write(LogLevel Level, const std::string &Sentence) const {
  std::string Line = lineStart(Level, this->Part);
  Line += fmt::format(R"(,"message":{})", quote(Sentence));
  writer().write(std::move(Line));
}

} // namespace yardwheel
