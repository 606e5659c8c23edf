//===- dispatch/bucket_index.h - Best of many in constant time --*- C++ -*-===//
///
/// \file
/// Keeps upstreams by a small whole number, so that one of the best is found,
/// and an upstream moved, without looking at the others.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_DISPATCH_BUCKET_INDEX_H
#define YARDWHEEL_DISPATCH_BUCKET_INDEX_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace yardwheel {

/// Position of an upstream in its table; stays the same while it is known.
using UpstreamIndex = std::uint32_t;

class BucketIndex {
public:
  /// Puts \p Upstream under \p Key, or moves it there. Keys below 0 count as 0.
  void put(UpstreamIndex Upstream, int Key);
  void remove(UpstreamIndex Upstream);

  /// One of the upstreams with the greatest key, picked at random; nothing if
  /// none has a key above 0.
  std::optional<UpstreamIndex> pickBest(std::mt19937_64 &Random) const;

  bool contains(UpstreamIndex Upstream) const;

private:
  static constexpr std::size_t Absent = SIZE_MAX;

  struct Location {
    std::size_t Bucket = Absent;
    std::size_t Position = 0;
  };

  std::vector<std::vector<UpstreamIndex>> Buckets;
  std::vector<Location> Locations;
  /// No bucket above this one holds anything.
  std::size_t Top = 0;
};

} // namespace yardwheel

#endif
