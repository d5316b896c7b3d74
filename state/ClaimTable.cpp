#include "state/ClaimTable.hpp"

#include "state/SnapshotCodec.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace crocusslip::state {

namespace {

// Released claims leave entries in the age queues; above this number of them
// the queues are compacted once they are more than half stale.
constexpr std::size_t kStaleEntries = 1024;
// Bookkeeping of a stored answer beyond its texts.
constexpr std::size_t kAnswerOverhead = 80;

constexpr std::size_t kUuidBytes = 36;
constexpr std::array<std::size_t, 4> kUuidDashes = { 8, 13, 18, 23 };
constexpr std::size_t kUuidVersionPlace = 14;
constexpr std::size_t kUuidVariantPlace = 19;
constexpr std::size_t kUuidTimeBytes = 13;

int
HexValue(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  if (aDigit >= 'a' && aDigit <= 'f') {
    return aDigit - 'a' + 10;
  }
  return aDigit >= 'A' && aDigit <= 'F' ? aDigit - 'A' + 10 : -1;
}

bool
IsDash(std::size_t aPlace)
{
  return std::find(kUuidDashes.begin(), kUuidDashes.end(), aPlace) !=
         kUuidDashes.end();
}

/// The time in a UUIDv7 (RFC 9562, section 5.7), if the key is one.
std::optional<AgreedTime>
TimeInKey(std::string_view aKey)
{
  if (aKey.size() != kUuidBytes || aKey[kUuidVersionPlace] != '7') {
    return std::nullopt;
  }
  std::int64_t milliseconds = 0;
  for (std::size_t i = 0; i < aKey.size(); ++i) {
    const int digit = HexValue(aKey[i]);
    if (IsDash(i) ? aKey[i] != '-' : digit < 0) {
      return std::nullopt;
    }
    if (i < kUuidTimeBytes && !IsDash(i)) {
      milliseconds = milliseconds * 16 + digit;
    }
  }
  const int variant = HexValue(aKey[kUuidVariantPlace]);
  if (variant < 8 || variant > 11) {
    return std::nullopt;
  }
  return AgreedTime(AgreedDuration(milliseconds));
}

std::uint64_t
OwnerOf(const core::HostId& aHost, const core::RequestId& aRequest)
{
  return core::Hash64(aHost.Value() + '\0' + aRequest.Value());
}

std::size_t
SizeOf(const StoredAnswer& aAnswer)
{
  return aAnswer.body_.size() + aAnswer.contentType_.size() + kAnswerOverhead;
}

} // namespace

ClaimKey
MakeClaimKey(const core::DeploymentId& aDeployment,
             const core::CallerId& aCaller,
             std::string_view aKey)
{
  std::string text = aDeployment.Value();
  text += '\0';
  text += aCaller.Value();
  text += '\0';
  text += aKey;
  return { core::Hash128(text), TimeInKey(aKey) };
}

std::uint32_t
PartitionOf(const core::Digest& aKey, std::uint32_t aPartitions)
{
  return aPartitions < 2 ? 0
                         : static_cast<std::uint32_t>(aKey.low_ % aPartitions);
}

ClaimTable::ClaimTable(ClaimLimits aLimits)
  : limits_(aLimits)
{
}

ClaimAnswer
ClaimTable::Peek(const ClaimKey& aKey,
                 const core::Digest& aBody,
                 AgreedTime aNow) const
{
  const auto found = claims_.find(aKey.hash_);
  if (found != claims_.end()) {
    return Repeat(found->second, aBody, aNow);
  }
  if (tombstones_.Contains(aKey.hash_) ||
      (aKey.issued_ && *aKey.issued_ + limits_.retention_ <= aNow)) {
    return { ClaimResult::KeyExpired, {} };
  }
  const bool dated = aKey.issued_ && *aKey.issued_ <= aNow + kMaxKeySkew;
  if (Full(!dated)) {
    return { ClaimResult::TableFull, {} };
  }
  return { ClaimResult::Granted, {} };
}

ClaimAnswer
ClaimTable::Repeat(const Entry& aEntry,
                   const core::Digest& aBody,
                   AgreedTime aNow) const
{
  if (aEntry.body_ != aBody) {
    return { ClaimResult::KeyReused, {} };
  }
  if (aEntry.phase_ == Phase::Answered) {
    return { ClaimResult::Answered, *aEntry.answer_ };
  }
  if (aEntry.phase_ == Phase::Unknown || aEntry.deadline_ <= aNow) {
    return { ClaimResult::OutcomeUnknown, {} };
  }
  return { ClaimResult::InProgress, {} };
}

ClaimAnswer
ClaimTable::Apply(const Claim& aClaim, AgreedTime aNow)
{
  ClaimAnswer answer = Peek(aClaim.key_, aClaim.body_, aNow);
  const std::uint64_t owner = OwnerOf(aClaim.host_, aClaim.request_);
  const auto found = claims_.find(aClaim.key_.hash_);
  if (found != claims_.end()) {
    // The owner asks again because it did not get the first answer.
    const bool resent = answer.result_ == ClaimResult::InProgress &&
                        !aClaim.request_.Empty() &&
                        found->second.owner_ == owner;
    return resent ? ClaimAnswer{ ClaimResult::Granted, {} } : answer;
  }
  if (answer.result_ != ClaimResult::Granted) {
    return answer;
  }
  Entry entry;
  entry.body_ = aClaim.body_;
  entry.owner_ = owner;
  entry.claimedAt_ = aNow;
  entry.deadline_ = aNow + std::min(aClaim.lifetime_, kMaxClaimLifetime);
  entry.needsTombstone_ =
    !aClaim.key_.issued_ || *aClaim.key_.issued_ > aNow + kMaxKeySkew;
  if (entry.needsTombstone_) {
    ++claimsNeedingTombstone_;
  }
  Ages& ages = entry.needsTombstone_ ? ages_ : datedKeyAges_;
  ages.emplace_back(aNow, aClaim.key_.hash_);
  claims_.emplace(aClaim.key_.hash_, std::move(entry));
  return answer;
}

RecordAnswer
ClaimTable::Apply(const RecordOutcome& aRecord, AgreedTime aNow)
{
  const auto found = claims_.find(aRecord.key_);
  if (found == claims_.end()) {
    return { RecordResult::NoClaim };
  }
  Entry& entry = found->second;
  if (entry.owner_ != OwnerOf(aRecord.host_, aRecord.request_)) {
    return { RecordResult::NotOwner };
  }
  if (entry.phase_ == Phase::Answered) {
    return { RecordResult::Settled };
  }
  if (aRecord.outcome_ == ClaimOutcome::Answered) {
    Store(entry, aRecord.answer_);
    return { RecordResult::Recorded };
  }
  // A claim past its deadline is reported as unknown and never released.
  if (entry.phase_ == Phase::Unknown || entry.deadline_ <= aNow) {
    return { RecordResult::Settled };
  }
  if (aRecord.outcome_ == ClaimOutcome::NotSent) {
    Remove(aRecord.key_);
    CompactQueues();
  } else {
    entry.phase_ = Phase::Unknown;
  }
  return { RecordResult::Recorded };
}

bool
ClaimTable::Full(bool aNeedsTombstone) const
{
  if (claims_.size() >= limits_.claims_) {
    return true;
  }
  return aNeedsTombstone &&
         claimsNeedingTombstone_ + tombstones_.Size() >= limits_.tombstones_;
}

void
ClaimTable::Store(Entry& aEntry, const StoredAnswer& aAnswer)
{
  auto stored = std::make_unique<StoredAnswer>(aAnswer);
  if (stored->contentType_.size() > kMaxStoredAnswer) {
    stored->contentType_.clear();
    stored->complete_ = false;
  }
  if (stored->body_.size() > kMaxStoredAnswer ||
      answerBytes_ + SizeOf(*stored) > limits_.answerBytes_) {
    stored->body_ = std::string();
    stored->complete_ = false;
  }
  answerBytes_ += SizeOf(*stored);
  aEntry.answer_ = std::move(stored);
  aEntry.phase_ = Phase::Answered;
}

void
ClaimTable::Remove(const core::Digest& aKey)
{
  const auto found = claims_.find(aKey);
  const Entry& entry = found->second;
  if (entry.answer_) {
    answerBytes_ -= SizeOf(*entry.answer_);
  }
  if (entry.needsTombstone_) {
    --claimsNeedingTombstone_;
  }
  claims_.erase(found);
}

void
ClaimTable::Expire(AgreedTime aNow)
{
  ExpireQueue(ages_, aNow - limits_.retention_);
  // A dated key may be issued up to the skew after its claim; its claim must
  // outlive the time at which its own age refuses it.
  ExpireQueue(datedKeyAges_, aNow - limits_.retention_ - kMaxKeySkew);
}

void
ClaimTable::ExpireQueue(Ages& aAges, AgreedTime aClaimedUntil)
{
  while (!aAges.empty() && aAges.front().first <= aClaimedUntil) {
    const auto [claimedAt, key] = aAges.front();
    aAges.pop_front();
    const auto found = claims_.find(key);
    if (found == claims_.end() || found->second.claimedAt_ != claimedAt) {
      continue;
    }
    if (found->second.needsTombstone_) {
      tombstones_.Insert(key);
    }
    Remove(key);
  }
}

void
ClaimTable::CompactQueues()
{
  const std::size_t queued = ages_.size() + datedKeyAges_.size();
  if (queued > 2 * claims_.size() + kStaleEntries) {
    RebuildQueues();
  }
}

void
ClaimTable::RebuildQueues()
{
  ages_.clear();
  datedKeyAges_.clear();
  for (const auto& [key, entry] : claims_) {
    Ages& ages = entry.needsTombstone_ ? ages_ : datedKeyAges_;
    ages.emplace_back(entry.claimedAt_, key);
  }
  std::sort(ages_.begin(), ages_.end());
  std::sort(datedKeyAges_.begin(), datedKeyAges_.end());
}

void
ClaimTable::Write(SnapshotWriter& aWriter) const
{
  std::vector<core::Digest> keys;
  keys.reserve(claims_.size());
  for (const auto& claim : claims_) {
    keys.push_back(claim.first);
  }
  std::sort(keys.begin(), keys.end());
  aWriter.Number(keys.size());
  for (const core::Digest& key : keys) {
    const Entry& entry = claims_.at(key);
    aWriter.Digest(key);
    aWriter.Digest(entry.body_);
    aWriter.Number(entry.owner_);
    aWriter.Time(entry.claimedAt_);
    aWriter.Time(entry.deadline_);
    aWriter.Number(static_cast<std::uint64_t>(entry.phase_));
    aWriter.Flag(entry.needsTombstone_);
    if (entry.phase_ == Phase::Answered) {
      aWriter.Number(static_cast<std::uint32_t>(entry.answer_->status_));
      aWriter.Text(entry.answer_->contentType_);
      aWriter.Text(entry.answer_->body_);
      aWriter.Flag(entry.answer_->complete_);
    }
  }
  aWriter.Number(tombstones_.Size());
  tombstones_.ForEach([&](const core::Digest& aKey) { aWriter.Digest(aKey); });
}

void
ClaimTable::Read(SnapshotReader& aReader)
{
  for (std::size_t left = aReader.Count(); left > 0; --left) {
    const core::Digest key = aReader.Digest();
    Entry entry;
    entry.body_ = aReader.Digest();
    entry.owner_ = aReader.Number();
    entry.claimedAt_ = aReader.Time<AgreedTime>();
    entry.deadline_ = aReader.Time<AgreedTime>();
    entry.phase_ = aReader.Enum(Phase::Unknown);
    entry.needsTombstone_ = aReader.Flag();
    if (entry.phase_ == Phase::Answered) {
      StoredAnswer answer;
      answer.status_ = static_cast<std::int32_t>(aReader.Number());
      answer.contentType_ = aReader.Text();
      answer.body_ = aReader.Text();
      answer.complete_ = aReader.Flag();
      answerBytes_ += SizeOf(answer);
      entry.answer_ = std::make_unique<StoredAnswer>(std::move(answer));
    }
    claimsNeedingTombstone_ += entry.needsTombstone_ ? 1 : 0;
    if (!claims_.emplace(key, std::move(entry)).second) {
      aReader.Fail("claim twice in the snapshot");
      return;
    }
  }
  for (std::size_t left = aReader.Count(); left > 0; --left) {
    tombstones_.Insert(aReader.Digest());
  }
  RebuildQueues();
}

} // namespace crocusslip::state
