#pragma once

#include "core/Hash.hpp"

#include <cstddef>
#include <vector>

namespace crocusslip::state {

/// A set of 16-byte hashes that only grows, kept as sorted buckets selected by
/// the leading bits, so that an element costs little more than its 16 bytes.
class TombstoneSet
{
public:
  TombstoneSet();

  bool Contains(const core::Digest& aKey) const;
  /// False if it was there before.
  bool Insert(const core::Digest& aKey);
  std::size_t Size() const { return size_; }
  std::size_t AllocatedBytes() const;

  /// Calls aVisit(digest) in ascending order.
  template<typename Visit>
  void ForEach(Visit aVisit) const
  {
    for (const auto& bucket : buckets_) {
      for (const auto& key : bucket) {
        aVisit(key);
      }
    }
  }

private:
  using Bucket = std::vector<core::Digest>;

  std::vector<Bucket> buckets_;
  std::size_t size_ = 0;
};

} // namespace crocusslip::state
