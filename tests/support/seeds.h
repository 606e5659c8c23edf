//===- tests/support/seeds.h - Seeds of randomized tests --------*- C++ -*-===//
///
/// \file
/// The range of seeds that a randomized test runs. Set YARDWHEEL_SEEDS=5000 to
/// run more of them outside CI, or YARDWHEEL_FIRST_SEED=N YARDWHEEL_SEEDS=N to
/// replay a failing seed alone.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_TESTS_SUPPORT_SEEDS_H
#define YARDWHEEL_TESTS_SUPPORT_SEEDS_H

#include <cstdint>
#include <cstdlib>
#include <string>

namespace yardwheel {

struct SeedRange {
  std::uint64_t First = 1;
  std::uint64_t Last = 0;
};

inline SeedRange seedRange(std::uint64_t DefaultCount) {
  auto NumberFrom = [](const char *Variable, std::uint64_t Default) {
    const char *Given = std::getenv(Variable);
    return Given == nullptr ? Default : std::stoull(Given);
  };
  return {NumberFrom("YARDWHEEL_FIRST_SEED", 1),
          NumberFrom("YARDWHEEL_SEEDS", DefaultCount)};
}

} // namespace yardwheel

#endif
