//===- emulator/load_generator.h - Callers by the handful -------*- C++ -*-===//
///
/// \file
/// Submits jobs from several threads, each with one connection, and measures
/// their response times. Bounded in count and time.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_EMULATOR_LOAD_GENERATOR_H
#define YARDWHEEL_EMULATOR_LOAD_GENERATOR_H

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace yardwheel {

struct LoadOptions {
  /// Full URLs that take a POST; callers are spread over them.
  std::vector<std::string> Urls;
  std::string Body;
  std::uint32_t Callers = 1;
  /// Requests of each caller.
  std::uint32_t Requests = 100;
  std::chrono::milliseconds Timeout{10000};
};

struct LoadResult {
  /// Response times of answers with status 200, sorted.
  std::vector<std::chrono::microseconds> Times;
  /// Answers by status; 0 for none.
  std::map<long, std::uint64_t> Statuses;
  std::chrono::microseconds Elapsed{};
};

LoadResult runLoad(const LoadOptions &Options);

/// The value at a share of sorted times; zero if there are none.
std::chrono::microseconds
quantile(const std::vector<std::chrono::microseconds> &Sorted, double Share);

} // namespace yardwheel

#endif
