//===- dispatch/bucket_index.h - Index of the best upstreams ----*- C++ -*-===//
///
/// \file
/// Indexes upstreams by a small integer key, so that one with the greatest key
/// is found, and an upstream is moved to another key, without visiting the
/// others.
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

/// Position of an upstream in its table; never changes while it is known.
using UpstreamIndex = std::uint32_t;

class BucketIndex {
public:
  /// Sets the key of \p Upstream, which is added if it is absent. Negative keys
  /// count as 0.
  void put(UpstreamIndex Upstream, int Key);
  void remove(UpstreamIndex Upstream);

  /// Returns one of the upstreams with the greatest key, selected at random;
  /// none if no key is above 0.
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
  /// All buckets above this one are empty.
  std::size_t Top = 0;
};

} // namespace yardwheel

#endif
