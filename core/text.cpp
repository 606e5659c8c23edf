#include "core/text.h"

#include <cstdint>

namespace yardwheel {

namespace {

/// Returns the length of the sequence that starts with \p First, or 0 if none
/// can.
std::size_t sequenceLength(unsigned char First) {
  if (First < 0x80)
    return 1;
  if (First >= 0xc2 && First <= 0xdf)
    return 2;
  if (First >= 0xe0 && First <= 0xef)
    return 3;
  if (First >= 0xf0 && First <= 0xf4)
    return 4;
  return 0;
}

/// Returns whether a decoded value is invalid in a sequence of this length.
bool isForbidden(std::uint32_t Value, std::size_t Length) {
  bool Overlong =
      (Length == 3 && Value < 0x800) || (Length == 4 && Value < 0x10000);
  bool Surrogate = Value >= 0xd800 && Value <= 0xdfff;
  return Overlong || Surrogate || Value > 0x10ffff;
}

} // namespace

bool isUtf8(std::string_view Text) {
  constexpr unsigned TailBits = 6;
  std::size_t I = 0;
  while (I < Text.size()) {
    auto First = static_cast<unsigned char>(Text[I]);
    std::size_t Length = sequenceLength(First);
    if (Length == 0 || I + Length > Text.size())
      return false;
    std::uint32_t Value = Length == 1 ? First : First & (0x7fU >> Length);
    for (std::size_t J = 1; J < Length; ++J) {
      auto Tail = static_cast<unsigned char>(Text[I + J]);
      if ((Tail & 0xc0U) != 0x80U)
        return false;
      Value = (Value << TailBits) | (Tail & 0x3fU);
    }
    if (isForbidden(Value, Length))
      return false;
    I += Length;
  }
  return true;
}

std::string printable(std::string_view Text, std::size_t Limit) {
  std::string Result(Text.substr(0, Limit));
  for (char &C : Result)
    if (C < ' ' || C > '~')
      C = '?';
  return Result;
}

} // namespace yardwheel
