#include "coordination/PrefixCacheView.hpp"

#include <algorithm>
#include <bit>
#include <iterator>

namespace crocusslip::coordination {

namespace {

/// Prefix lengths, in blocks, that are looked up, and recorded for own
/// requests. The lengths between would cost more time than they gain in
/// precision.
constexpr std::array<std::uint32_t, 14> kDepths = {
  1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128
};

/// The greatest depth within the prompt for which the test holds; 0 if none.
/// Each block's hash covers all blocks before it, so a held block stands for
/// the whole prefix, and the depth is found by binary search.
template<typename Test>
std::uint32_t
GreatestDepth(std::span<const std::uint64_t> aBlocks, Test aHeld)
{
  const auto tooDeep = [&](std::uint32_t aDepth) {
    return aDepth > aBlocks.size() || !aHeld(aBlocks[aDepth - 1]);
  };
  const auto end = std::ranges::partition_point(
    kDepths, [&](std::uint32_t aDepth) { return !tooDeep(aDepth); });
  return end == kDepths.begin() ? 0 : *std::prev(end);
}

std::uint64_t
Mix(std::uint64_t aValue)
{
  aValue ^= aValue >> 32U;
  aValue *= 0x9e3779b97f4a7c15U;
  aValue ^= aValue >> 29U;
  return aValue;
}

} // namespace

PrefixCacheView::PrefixCacheView(std::uint32_t aEntries)
  : entries_(std::bit_ceil(std::max<std::size_t>(aEntries, kWays)))
{
}

CacheEventResult
PrefixCacheView::OnEvent(std::uint32_t aServer, const CacheEvent& aEvent)
{
  ServerEstimates& estimates = EstimatesOf(aServer);
  if (estimates.sequenceKnown_ && aEvent.sequence_ < estimates.nextSequence_) {
    return CacheEventResult::Late;
  }
  const bool gap =
    estimates.sequenceKnown_ && aEvent.sequence_ > estimates.nextSequence_;
  if (gap || aEvent.kind_ == CacheEventKind::Cleared) {
    Forget(aServer);
  }
  estimates.sequenceKnown_ = true;
  estimates.nextSequence_ = aEvent.sequence_ + 1;
  for (const std::uint64_t block : aEvent.blocks_) {
    if (aEvent.kind_ == CacheEventKind::Stored) {
      Store(aServer, block);
    } else {
      Erase(aServer, block);
    }
  }
  return gap ? CacheEventResult::Gap : CacheEventResult::Applied;
}

void
PrefixCacheView::OnRouted(std::uint32_t aServer,
                          std::span<const std::uint64_t> aBlocks)
{
  EstimatesOf(aServer);
  for (const std::uint32_t depth : kDepths) {
    if (depth > aBlocks.size()) {
      return;
    }
    Store(aServer, aBlocks[depth - 1]);
  }
}

void
PrefixCacheView::Forget(std::uint32_t aServer)
{
  ServerEstimates& estimates = EstimatesOf(aServer);
  ++estimates.generation_;
  estimates.sequenceKnown_ = false;
}

std::uint32_t
PrefixCacheView::MatchedBlocks(std::uint32_t aServer,
                               std::span<const std::uint64_t> aBlocks) const
{
  return GreatestDepth(
    aBlocks, [&](std::uint64_t aBlock) { return Holds(aServer, aBlock); });
}

std::size_t
PrefixCacheView::FindHolders(std::span<const std::uint64_t> aBlocks,
                             Holders& aHolders) const
{
  const std::uint32_t held = GreatestDepth(
    aBlocks, [&](std::uint64_t aBlock) { return HeldByAny(aBlock); });
  if (held == 0) {
    return 0;
  }
  std::size_t count = 0;
  const std::uint64_t block = aBlocks[held - 1];
  const std::size_t set = SetIndex(block);
  for (std::size_t i = set; i < set + kWays && count < kMaxHolders; ++i) {
    if (entries_[i].block_ == block && Valid(entries_[i])) {
      aHolders[count] = { entries_[i].server_, held };
      ++count;
    }
  }
  return count;
}

std::size_t
PrefixCacheView::MemoryBytes() const
{
  return sizeof(*this) + entries_.capacity() * sizeof(Entry) +
         servers_.capacity() * sizeof(ServerEstimates);
}

std::size_t
PrefixCacheView::SetIndex(std::uint64_t aBlock) const
{
  return (Mix(aBlock) & (entries_.size() / kWays - 1)) * kWays;
}

bool
PrefixCacheView::Valid(const Entry& aEntry) const
{
  return aEntry.generation_ != 0 &&
         aEntry.generation_ == servers_[aEntry.server_].generation_;
}

bool
PrefixCacheView::Holds(std::uint32_t aServer, std::uint64_t aBlock) const
{
  const std::size_t set = SetIndex(aBlock);
  for (std::size_t i = set; i < set + kWays; ++i) {
    const Entry& entry = entries_[i];
    if (entry.block_ == aBlock && entry.server_ == aServer && Valid(entry)) {
      return true;
    }
  }
  return false;
}

bool
PrefixCacheView::HeldByAny(std::uint64_t aBlock) const
{
  const std::size_t set = SetIndex(aBlock);
  for (std::size_t i = set; i < set + kWays; ++i) {
    if (entries_[i].block_ == aBlock && Valid(entries_[i])) {
      return true;
    }
  }
  return false;
}

void
PrefixCacheView::Store(std::uint32_t aServer, std::uint64_t aBlock)
{
  const std::size_t set = SetIndex(aBlock);
  // An invalid entry is preferred to the oldest one; the search goes on for an
  // entry of the same block and server.
  std::size_t victim = set;
  std::uint32_t oldest = 0;
  for (std::size_t i = set; i < set + kWays; ++i) {
    Entry& entry = entries_[i];
    if (!Valid(entry) || (entry.block_ == aBlock && entry.server_ == aServer)) {
      victim = i;
      if (entry.block_ == aBlock && entry.server_ == aServer) {
        break;
      }
      oldest = UINT32_MAX;
      continue;
    }
    // Unsigned subtraction stays correct when the counter wraps.
    const std::uint32_t age = storeCount_ - entry.storeNumber_;
    if (age > oldest) {
      oldest = age;
      victim = i;
    }
  }
  entries_[victim] = {
    aBlock, aServer, servers_[aServer].generation_, storeCount_
  };
  ++storeCount_;
}

void
PrefixCacheView::Erase(std::uint32_t aServer, std::uint64_t aBlock)
{
  const std::size_t set = SetIndex(aBlock);
  for (std::size_t i = set; i < set + kWays; ++i) {
    if (entries_[i].block_ == aBlock && entries_[i].server_ == aServer) {
      entries_[i] = {};
    }
  }
}

PrefixCacheView::ServerEstimates&
PrefixCacheView::EstimatesOf(std::uint32_t aServer)
{
  if (aServer >= servers_.size()) {
    servers_.resize(aServer + 1);
  }
  return servers_[aServer];
}

} // namespace crocusslip::coordination
