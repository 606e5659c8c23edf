//===- core/hash.h - Stable hashes ------------------------------*- C++ -*-===//
///
/// \file
/// Hashes with the same result on every host and in every release, because
/// processes must agree on them.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CORE_HASH_H
#define YARDWHEEL_CORE_HASH_H

#include <cstdint>
#include <string_view>

namespace yardwheel {

/// 64-bit FNV-1a with a finalizer that improves the mixing of short inputs.
std::uint64_t stableHash(std::string_view Text);

/// Mixes another value into a hash.
std::uint64_t combineHash(std::uint64_t Hash, std::uint64_t Value);

} // namespace yardwheel

#endif
