#include "core/job_id.h"

#include <algorithm>
#include <cctype>
#include <fmt/format.h>

namespace yardwheel {

namespace {

constexpr std::size_t UuidLength = 36;
constexpr std::size_t VersionPosition = 14;
constexpr std::size_t VariantPosition = 19;
constexpr std::uint64_t RandomMask = 0x3fffffffffffffffULL;

bool isDashPosition(std::size_t Position) {
  return Position == 8 || Position == 13 || Position == 18 || Position == 23;
}

bool hasUuidShape(std::string_view Text) {
  if (Text.size() != UuidLength)
    return false;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    bool IsDash = Text[I] == '-';
    if (isDashPosition(I) != IsDash)
      return false;
    if (!IsDash && std::isxdigit(static_cast<unsigned char>(Text[I])) == 0)
      return false;
  }
  return true;
}

} // namespace

std::optional<JobId> parseUuidV7(std::string_view Text) {
  if (!hasUuidShape(Text) || Text[VersionPosition] != '7')
    return std::nullopt;
  std::string Key(Text);
  std::transform(Key.begin(), Key.end(), Key.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  constexpr std::string_view Variants = "89ab";
  if (Variants.find(Key[VariantPosition]) == std::string_view::npos)
    return std::nullopt;
  std::string Stamp = Key.substr(0, 8) + Key.substr(9, 4);
  std::int64_t Millis = std::stoll(Stamp, nullptr, 16);
  return JobId{.Key = Key, .FirstSubmitted = fromUnixMillis(Millis)};
}

JobId makeUuidV7(WallTime Now, std::mt19937_64 &Random) {
  auto Millis = static_cast<std::uint64_t>(toUnixMillis(Now));
  std::uint64_t High = Random() & 0xfffU;
  std::uint64_t Low = (Random() & RandomMask) | 0x8000000000000000ULL;
  std::string Key = fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}",
                                (Millis >> 16) & 0xffffffffU, Millis & 0xffffU,
                                High, Low >> 48, Low & 0xffffffffffffULL);
  return {.Key = Key, .FirstSubmitted = Now};
}

bool isPlainKey(std::string_view Key) {
  if (Key.empty() || Key.size() > MaxKeyLength)
    return false;
  return std::all_of(Key.begin(), Key.end(), [](unsigned char C) {
    constexpr std::string_view Marks = "-_.:";
    return std::isalnum(C) != 0 ||
           Marks.find(static_cast<char>(C)) != std::string_view::npos;
  });
}

} // namespace yardwheel
