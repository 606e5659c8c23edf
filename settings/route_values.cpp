#include "settings/route_values.h"

#include "core/error.h"

#include <charconv>
#include <cmath>
#include <sstream>

namespace yardwheel {

namespace {

/// Parses the whole of \p Text. \returns whether it is a number.
template <typename Number>
bool parseWhole(const std::string &Text, Number &Value) {
  const char *End = Text.data() + Text.size();
  auto [Rest, Problem] = std::from_chars(Text.data(), End, Value);
  return Problem == std::errc() && Rest == End;
}

} // namespace

std::map<std::uint32_t, double> parseRouteValues(const std::string &Text) {
  std::map<std::uint32_t, double> Values;
  std::istringstream Source(Text);
  for (std::string Pair; std::getline(Source, Pair, ',');) {
    std::size_t Sign = Pair.find('=');
    std::uint32_t Priority = 0;
    double Value = 0;
    bool IsValid = Sign != std::string::npos &&
                   parseWhole(Pair.substr(0, Sign), Priority) &&
                   parseWhole(Pair.substr(Sign + 1), Value) &&
                   std::isfinite(Value) && Value > 0;
    if (!IsValid || !Values.emplace(Priority, Value).second)
      throw Error("settings", Pair,
                  "route values: expected PRIORITY=VALUE pairs, each priority "
                  "once and each value above 0");
  }
  return Values;
}

} // namespace yardwheel
