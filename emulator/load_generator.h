//===- emulator/load_generator.h - HTTP load generator ----------*- C++ -*-===//
///
/// \file
/// Submits jobs from several threads, each with one connection, and measures
/// their response times. The number of requests and the time for each are
/// limited.
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
  /// Full URLs that accept a POST; callers are distributed over them.
  std::vector<std::string> Urls;
  std::string Body;
  std::uint32_t Callers = 1;
  /// Number of requests of each caller.
  std::uint32_t Requests = 100;
  std::chrono::milliseconds Timeout{10000};
};

struct LoadResult {
  /// Response times of answers with status 200, sorted.
  std::vector<std::chrono::microseconds> Times;
  /// Number of answers by HTTP status; status 0 counts requests without one.
  std::map<long, std::uint64_t> Statuses;
  std::chrono::microseconds Elapsed{};
};

LoadResult runLoad(const LoadOptions &Options);

/// Returns the quantile \p Share (0 to 1) of sorted times; zero if there are
/// none.
std::chrono::microseconds
quantile(const std::vector<std::chrono::microseconds> &Sorted, double Share);

} // namespace yardwheel

#endif
