#include "dispatch/bucket_index.h"

#include <algorithm>

namespace yardwheel {

void BucketIndex::put(UpstreamIndex Upstream, int Key) {
  auto Bucket = static_cast<std::size_t>(std::max(Key, 0));
  if (Upstream < this->Locations.size() &&
      this->Locations[Upstream].Bucket == Bucket)
    return;
  this->remove(Upstream);
  if (Upstream >= this->Locations.size())
    this->Locations.resize(Upstream + 1);
  if (Bucket >= this->Buckets.size())
    this->Buckets.resize(Bucket + 1);
  this->Locations[Upstream] = {Bucket, this->Buckets[Bucket].size()};
  this->Buckets[Bucket].push_back(Upstream);
  this->Top = std::max(this->Top, Bucket);
}

void BucketIndex::remove(UpstreamIndex Upstream) {
  if (!this->contains(Upstream))
    return;
  Location &Old = this->Locations[Upstream];
  std::vector<UpstreamIndex> &Bucket = this->Buckets[Old.Bucket];
  UpstreamIndex Last = Bucket.back();
  Bucket[Old.Position] = Last;
  this->Locations[Last].Position = Old.Position;
  Bucket.pop_back();
  Old.Bucket = Absent;
  while (this->Top > 0 && this->Buckets[this->Top].empty())
    --this->Top;
}

std::optional<UpstreamIndex>
BucketIndex::pickBest(std::mt19937_64 &Random) const {
  if (this->Top == 0)
    return std::nullopt;
  const std::vector<UpstreamIndex> &Best = this->Buckets[this->Top];
  return Best[Random() % Best.size()];
}

bool BucketIndex::contains(UpstreamIndex Upstream) const {
  return Upstream < this->Locations.size() &&
         this->Locations[Upstream].Bucket != Absent;
}

} // namespace yardwheel
