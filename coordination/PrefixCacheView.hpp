#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace crocusslip::coordination {

enum class CacheEventKind : std::uint8_t
{
  Stored,
  Removed,
  Cleared,
};

/// One event of an engine's prefix cache.
struct CacheEvent
{
  /// Consecutive per server and per run of the engine.
  std::uint64_t sequence_ = 0;
  CacheEventKind kind_ = CacheEventKind::Stored;
  std::span<const std::uint64_t> blocks_;
};

enum class CacheEventResult : std::uint8_t
{
  Applied,
  /// Older than an event already applied.
  Late,
  /// Events are missing: earlier estimates about the server were dropped.
  Gap,
};

/// A server that is estimated to hold a prefix.
struct CacheHolder
{
  std::uint32_t server_ = 0;
  std::uint32_t matchedBlocks_ = 0;
};

/// Estimates which prefix blocks each server has cached, from events that may
/// be late or missing. Uses a set-associative table of fixed size that replaces
/// the oldest entry of a set. Estimates only affect routing preference: a wrong
/// one costs time but never loses a request.
class PrefixCacheView
{
public:
  static constexpr std::size_t kMaxHolders = 4;
  using Holders = std::array<CacheHolder, kMaxHolders>;

  explicit PrefixCacheView(std::uint32_t aEntries);

  CacheEventResult OnEvent(std::uint32_t aServer, const CacheEvent& aEvent);
  /// Adds the blocks that a request sent to the server leaves in its cache.
  void OnRouted(std::uint32_t aServer, std::span<const std::uint64_t> aBlocks);
  /// Drops all estimates about the server, in constant time.
  void Forget(std::uint32_t aServer);

  /// Number of leading blocks that the server is estimated to hold, rounded
  /// down to one of a few fixed depths.
  std::uint32_t MatchedBlocks(std::uint32_t aServer,
                              std::span<const std::uint64_t> aBlocks) const;
  /// Finds servers that hold the longest cached prefix of the prompt; returns
  /// their number.
  std::size_t FindHolders(std::span<const std::uint64_t> aBlocks,
                          Holders& aHolders) const;
  std::size_t MemoryBytes() const;

private:
  static constexpr std::size_t kWays = 8;

  struct Entry
  {
    std::uint64_t block_ = 0;
    std::uint32_t server_ = 0;
    /// Generation of the server's estimates; 0 for an unused entry.
    std::uint32_t generation_ = 0;
    /// Value of storeCount_ when the entry was stored.
    std::uint32_t storeNumber_ = 0;
  };
  struct ServerEstimates
  {
    std::uint32_t generation_ = 1;
    std::uint64_t nextSequence_ = 0;
    bool sequenceKnown_ = false;
  };

  std::size_t SetIndex(std::uint64_t aBlock) const;
  bool Valid(const Entry& aEntry) const;
  bool Holds(std::uint32_t aServer, std::uint64_t aBlock) const;
  bool HeldByAny(std::uint64_t aBlock) const;
  void Store(std::uint32_t aServer, std::uint64_t aBlock);
  void Erase(std::uint32_t aServer, std::uint64_t aBlock);
  ServerEstimates& EstimatesOf(std::uint32_t aServer);

  std::vector<Entry> entries_;
  std::vector<ServerEstimates> servers_;
  /// Number of stores so far; wraps.
  std::uint32_t storeCount_ = 0;
};

} // namespace crocusslip::coordination
