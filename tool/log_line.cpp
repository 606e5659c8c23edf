#include "tool/log_line.h"

#include <cstdio>

namespace yardwheel {

std::string LogLine::text(const char *Field) const {
  auto Found = this->Fields.find(Field);
  return Found != this->Fields.end() && Found->is_string()
             ? Found->get<std::string>()
             : "";
}

std::optional<std::int64_t> LogLine::number(const char *Field) const {
  auto Found = this->Fields.find(Field);
  if (Found == this->Fields.end() || !Found->is_number())
    return std::nullopt;
  return Found->get<std::int64_t>();
}

std::optional<WallTime> parseLogTime(const std::string &Text) {
  int Year = 0;
  unsigned Month = 0;
  unsigned Day = 0;
  int Hour = 0;
  int Minute = 0;
  int Second = 0;
  int Millis = 0;
  constexpr int Parts = 7;
  // NOLINTNEXTLINE(cert-err34-c): the number of parts is checked.
  if (std::sscanf(Text.c_str(), "%4d-%2u-%2uT%2d:%2d:%2d.%3dZ", &Year, &Month,
                  &Day, &Hour, &Minute, &Second, &Millis) != Parts)
    return std::nullopt;
  std::chrono::year_month_day Date{std::chrono::year(Year),
                                   std::chrono::month(Month),
                                   std::chrono::day(Day)};
  if (!Date.ok())
    return std::nullopt;
  return std::chrono::sys_days(Date) + std::chrono::hours(Hour) +
         std::chrono::minutes(Minute) + std::chrono::seconds(Second) +
         std::chrono::milliseconds(Millis);
}

std::optional<LogLine> parseLogLine(const std::string &Text,
                                    const std::string &Process) {
  nlohmann::json Fields =
      nlohmann::json::parse(Text, nullptr, /*allow_exceptions=*/false);
  if (!Fields.is_object())
    return std::nullopt;
  LogLine Line{Process, {}, "", std::move(Fields)};
  std::optional<WallTime> Time = parseLogTime(Line.text("time"));
  Line.Decision = Line.text("decision");
  if (!Time || Line.Decision.empty())
    return std::nullopt;
  Line.Time = *Time;
  if (std::string Named = Line.text("process"); !Named.empty())
    Line.Process = Named;
  return Line;
}

} // namespace yardwheel
