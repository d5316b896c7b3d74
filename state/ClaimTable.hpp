#pragma once

#include "state/Answer.hpp"
#include "state/Command.hpp"
#include "state/TombstoneSet.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace crocusslip::state {

class SnapshotReader;
class SnapshotWriter;

/// Bounds of the claim table; equal on all members.
struct ClaimLimits
{
  /// Keys that need a tombstone: claims and tombstones together.
  std::size_t tombstones_ = 4000000;
  /// Claims within their retention, with or without a later tombstone.
  std::size_t claims_ = 4000000;
  /// Bytes of stored answers in total; above it only the status is kept.
  std::size_t answerBytes_ = 1024UL * 1024 * 1024;
  AgreedDuration retention_ = std::chrono::days(7);
};

/// The largest answer body that is kept for repeated requests.
inline constexpr std::size_t kMaxStoredAnswer = 64UL * 1024;
/// The longest time a claim may be in progress.
inline constexpr AgreedDuration kMaxClaimLifetime = std::chrono::hours(1);
/// A UUIDv7 further ahead of the agreed time is treated like any other key.
inline constexpr AgreedDuration kMaxKeySkew = std::chrono::hours(1);

/// The key of a claim; recognises UUIDv7 keys.
ClaimKey
MakeClaimKey(const core::DeploymentId& aDeployment,
             const core::CallerId& aCaller,
             std::string_view aKey);

/// The partition that a key belongs to, of aPartitions.
std::uint32_t
PartitionOf(const core::Digest& aKey, std::uint32_t aPartitions);

/// Records that let a non-idempotent request run at most once.
class ClaimTable
{
public:
  explicit ClaimTable(ClaimLimits aLimits = {});

  ClaimAnswer Apply(const Claim& aClaim, AgreedTime aNow);
  RecordAnswer Apply(const RecordOutcome& aRecord, AgreedTime aNow);
  /// Reduces claims past their retention to tombstones.
  void Expire(AgreedTime aNow);

  /// What a further claim of this key and body would be answered, without
  /// claiming it: Granted stands for a free key.
  ClaimAnswer Peek(const ClaimKey& aKey,
                   const core::Digest& aBody,
                   AgreedTime aNow) const;
  std::size_t Claims() const { return claims_.size(); }
  std::size_t Tombstones() const { return tombstones_.Size(); }
  std::size_t AnswerBytes() const { return answerBytes_; }

  void Write(SnapshotWriter& aWriter) const;
  void Read(SnapshotReader& aReader);

private:
  enum class Phase : std::uint8_t
  {
    Claimed,
    Answered,
    Unknown,
  };

  struct Entry
  {
    core::Digest body_;
    /// Hash of entry host and request id.
    std::uint64_t owner_ = 0;
    AgreedTime claimedAt_;
    AgreedTime deadline_;
    std::unique_ptr<StoredAnswer> answer_;
    Phase phase_ = Phase::Claimed;
    bool needsTombstone_ = true;
  };

  using Ages = std::deque<std::pair<AgreedTime, core::Digest>>;

  ClaimAnswer Repeat(const Entry& aEntry,
                     const core::Digest& aBody,
                     AgreedTime aNow) const;
  bool Full(bool aNeedsTombstone) const;
  void Store(Entry& aEntry, const StoredAnswer& aAnswer);
  void Remove(const core::Digest& aKey);
  void ExpireQueue(Ages& aAges, AgreedTime aClaimedUntil);
  void CompactQueues();
  void RebuildQueues();

  ClaimLimits limits_;
  std::unordered_map<core::Digest, Entry> claims_;
  TombstoneSet tombstones_;
  std::size_t claimsNeedingTombstone_ = 0;
  std::size_t answerBytes_ = 0;
  /// Claims in the order of their time; entries of released claims stay until
  /// the queues are compacted.
  Ages ages_;
  Ages datedKeyAges_;
};

} // namespace crocusslip::state
