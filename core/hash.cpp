#include "core/hash.h"

namespace yardwheel {

namespace {

constexpr std::uint64_t FnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t FnvPrime = 0x100000001b3ULL;

/// The finalizer of SplitMix64.
std::uint64_t finalize(std::uint64_t Value) {
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31);
}

} // namespace

std::uint64_t stableHash(std::string_view Text) {
  std::uint64_t Hash = FnvOffset;
  for (unsigned char Byte : Text) {
    Hash ^= Byte;
    Hash *= FnvPrime;
  }
  return finalize(Hash);
}

std::uint64_t combineHash(std::uint64_t Hash, std::uint64_t Value) {
  constexpr std::uint64_t Golden = 0x9e3779b97f4a7c15ULL;
  return finalize(Hash + Golden + finalize(Value));
}

} // namespace yardwheel
