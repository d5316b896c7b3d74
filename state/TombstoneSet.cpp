#include "state/TombstoneSet.hpp"

#include <algorithm>

namespace crocusslip::state {

namespace {

// About 1,000 keys a bucket at 4 million keys, so that an insertion moves
// 8 kB on average.
constexpr unsigned kBucketBits = 12;
// Buckets grow by an eighth, so that little allocated memory is unused.
constexpr std::size_t kGrowthDivisor = 8;
constexpr std::size_t kSmallestGrowth = 4;

std::size_t
BucketOf(const core::Digest& aKey)
{
  return aKey.high_ >> (64U - kBucketBits);
}

} // namespace

TombstoneSet::TombstoneSet()
  : buckets_(std::size_t{ 1 } << kBucketBits)
{
}

bool
TombstoneSet::Contains(const core::Digest& aKey) const
{
  const Bucket& bucket = buckets_[BucketOf(aKey)];
  return std::binary_search(bucket.begin(), bucket.end(), aKey);
}

bool
TombstoneSet::Insert(const core::Digest& aKey)
{
  Bucket& bucket = buckets_[BucketOf(aKey)];
  auto place = std::lower_bound(bucket.begin(), bucket.end(), aKey);
  if (place != bucket.end() && *place == aKey) {
    return false;
  }
  if (bucket.size() == bucket.capacity()) {
    const auto offset = place - bucket.begin();
    bucket.reserve(bucket.size() +
                   std::max(kSmallestGrowth, bucket.size() / kGrowthDivisor));
    place = bucket.begin() + offset;
  }
  bucket.insert(place, aKey);
  ++size_;
  return true;
}

std::size_t
TombstoneSet::AllocatedBytes() const
{
  std::size_t bytes = buckets_.capacity() * sizeof(Bucket);
  for (const Bucket& bucket : buckets_) {
    bytes += bucket.capacity() * sizeof(core::Digest);
  }
  return bytes;
}

} // namespace crocusslip::state
