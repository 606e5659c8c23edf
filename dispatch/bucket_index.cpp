#include "dispatch/bucket_index.h"

#include <algorithm>

namespace yardwheel {

void BucketIndex::put(MinionIndex Minion, int Key) {
  auto Bucket = static_cast<std::size_t>(std::max(Key, 0));
  if (Minion < this->Places.size() && this->Places[Minion].Bucket == Bucket)
    return;
  this->remove(Minion);
  if (Minion >= this->Places.size())
    this->Places.resize(Minion + 1);
  if (Bucket >= this->Buckets.size())
    this->Buckets.resize(Bucket + 1);
  this->Places[Minion] = {Bucket, this->Buckets[Bucket].size()};
  this->Buckets[Bucket].push_back(Minion);
  this->Top = std::max(this->Top, Bucket);
}

void BucketIndex::remove(MinionIndex Minion) {
  if (!this->contains(Minion))
    return;
  Place &Old = this->Places[Minion];
  std::vector<MinionIndex> &Bucket = this->Buckets[Old.Bucket];
  MinionIndex Last = Bucket.back();
  Bucket[Old.Position] = Last;
  this->Places[Last].Position = Old.Position;
  Bucket.pop_back();
  Old.Bucket = Absent;
  while (this->Top > 0 && this->Buckets[this->Top].empty())
    --this->Top;
}

std::optional<MinionIndex>
BucketIndex::pickBest(std::mt19937_64 &Random) const {
  if (this->Top == 0)
    return std::nullopt;
  const std::vector<MinionIndex> &Best = this->Buckets[this->Top];
  return Best[Random() % Best.size()];
}

bool BucketIndex::contains(MinionIndex Minion) const {
  return Minion < this->Places.size() && this->Places[Minion].Bucket != Absent;
}

} // namespace yardwheel
