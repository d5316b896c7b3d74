#include "state/QuarantineTable.hpp"

#include "state/SnapshotCodec.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace crocusslip::state {

QuarantineAnswer
QuarantineTable::Report(const ReportCrash& aReport, AgreedTime aNow)
{
  if (!entries_.contains(aReport.fingerprint_) &&
      entries_.size() >= kMaxQuarantineEntries) {
    DropOldest();
  }
  QuarantineEntry& entry = entries_[aReport.fingerprint_];
  entry.deployment_ = aReport.deployment_;
  entry.certain_ = entry.certain_ || aReport.certain_;
  entry.lastReport_ = aNow;
  const std::uint32_t limit =
    std::clamp<std::uint32_t>(aReport.limit_, 1, kMaxServersLost);
  const bool known =
    std::find(entry.servers_.begin(), entry.servers_.end(), aReport.server_) !=
    entry.servers_.end();
  // A held request needs no longer list to stay held.
  if (!known && entry.servers_.size() < kMaxServersLost) {
    entry.servers_.push_back(aReport.server_);
  }
  if (entry.servers_.size() >= limit) {
    entry.held_ = true;
    entry.until_ = std::max(entry.until_, aNow + aReport.hold_);
  }
  return { entry.held_,
           static_cast<std::uint32_t>(entry.servers_.size()),
           entry.until_ };
}

QuarantineAnswer
QuarantineTable::Release(const ReleaseQuarantine& aRelease)
{
  entries_.erase(aRelease.fingerprint_);
  return {};
}

void
QuarantineTable::Expire(AgreedTime aNow)
{
  for (auto next = entries_.begin(); next != entries_.end();) {
    QuarantineEntry& entry = next->second;
    entry.held_ = entry.held_ && entry.until_ > aNow;
    const bool forgotten =
      !entry.held_ && entry.lastReport_ + kCrashMemory <= aNow;
    next = forgotten ? entries_.erase(next) : std::next(next);
  }
}

const QuarantineEntry*
QuarantineTable::Find(const std::string& aFingerprint) const
{
  const auto found = entries_.find(aFingerprint);
  return found == entries_.end() ? nullptr : &found->second;
}

bool
QuarantineTable::Held(const std::string& aFingerprint, AgreedTime aNow) const
{
  const QuarantineEntry* entry = Find(aFingerprint);
  return entry != nullptr && entry->held_ && entry->until_ > aNow;
}

void
QuarantineTable::DropOldest()
{
  const auto oldest = std::min_element(
    entries_.begin(),
    entries_.end(),
    [](const auto& aLeft, const auto& aRight) {
      return std::tie(aLeft.second.held_, aLeft.second.lastReport_) <
             std::tie(aRight.second.held_, aRight.second.lastReport_);
    });
  entries_.erase(oldest);
}

void
QuarantineTable::Write(SnapshotWriter& aWriter) const
{
  aWriter.Number(entries_.size());
  for (const auto& [fingerprint, entry] : entries_) {
    aWriter.Text(fingerprint);
    aWriter.Id(entry.deployment_);
    aWriter.Number(entry.servers_.size());
    for (const core::ServerId& server : entry.servers_) {
      aWriter.Id(server);
    }
    aWriter.Flag(entry.certain_);
    aWriter.Flag(entry.held_);
    aWriter.Time(entry.until_);
    aWriter.Time(entry.lastReport_);
  }
}

void
QuarantineTable::Read(SnapshotReader& aReader)
{
  for (std::size_t left = aReader.Count(); left > 0; --left) {
    std::string fingerprint = aReader.Text();
    QuarantineEntry entry;
    entry.deployment_ = aReader.Id<core::DeploymentId>();
    for (std::size_t servers = aReader.Count(); servers > 0; --servers) {
      entry.servers_.push_back(aReader.Id<core::ServerId>());
    }
    entry.certain_ = aReader.Flag();
    entry.held_ = aReader.Flag();
    entry.until_ = aReader.Time<AgreedTime>();
    entry.lastReport_ = aReader.Time<AgreedTime>();
    entries_.emplace(std::move(fingerprint), std::move(entry));
  }
}

} // namespace crocusslip::state
