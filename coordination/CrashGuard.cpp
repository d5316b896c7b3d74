#include "coordination/CrashGuard.hpp"

#include <algorithm>
#include <unordered_set>

namespace crocusslip::coordination {

core::Digest
FingerprintOf(const core::DeploymentId& aDeployment, std::string_view aBody)
{
  constexpr std::uint64_t kHighSeed = 1;
  constexpr std::uint64_t kLowSeed = 2;
  const core::Digest body = core::Hash128(aBody);
  return { body.high_ ^ core::Hash64(aDeployment.Value(), kHighSeed),
           body.low_ ^ core::Hash64(aDeployment.Value(), kLowSeed) };
}

std::uint64_t
RouteKeyOf(const core::Digest& aFingerprint)
{
  return std::max<std::uint64_t>(1, aFingerprint.low_);
}

CrashGuard::CrashGuard(CrashGuardSettings aSettings)
  : settings_(aSettings)
{
}

std::vector<CrashEvidence>
CrashGuard::OnServerFailure(const core::ServerId& aServer,
                            std::span<const InFlightRequest> aInFlight,
                            core::MonotonicTime aNow)
{
  std::vector<CrashEvidence> evidence;
  std::unordered_set<core::Digest> seen;
  for (const InFlightRequest& request : aInFlight) {
    if (!seen.insert(request.fingerprint_).second) {
      continue;
    }
    const bool certain = request.isolated_ || aInFlight.size() == 1;
    const bool proven = proven_.contains(request.fingerprint_);
    RecordCrash(request.fingerprint_, aServer, certain, aNow);
    if (certain || !proven) {
      evidence.push_back(
        { request.deployment_, request.fingerprint_, aServer, certain });
    }
  }
  return evidence;
}

void
CrashGuard::OnConnectionLost(const core::Digest& aFingerprint,
                             const core::ServerId& aServer,
                             core::MonotonicTime aNow)
{
  constexpr bool kCertain = false;
  RecordCrash(aFingerprint, aServer, kCertain, aNow);
}

std::vector<QuarantineEntry>
CrashGuard::Suspected(std::uint32_t aServers, core::MonotonicTime aNow) const
{
  std::vector<QuarantineEntry> entries;
  for (const auto& [fingerprint, suspect] : suspects_) {
    const std::uint32_t lost = CrashCount(fingerprint, aNow);
    if (lost >= aServers) {
      entries.push_back({ fingerprint, lost });
    }
  }
  return entries;
}

std::vector<CrashEvidence>
CrashGuard::SuspectCrashes(core::MonotonicTime aNow) const
{
  std::vector<CrashEvidence> lostConnections;
  for (const auto& [fingerprint, suspect] : suspects_) {
    if (suspect.completedSinceCrash_ ||
        aNow - suspect.lastCrash_ >= settings_.suspectLifetime_) {
      continue;
    }
    for (const Crash& crash : suspect.crashes_) {
      lostConnections.push_back({ {}, fingerprint, crash.server_, false });
    }
  }
  return lostConnections;
}

void
CrashGuard::OnCompleted(const core::Digest& aFingerprint,
                        core::MonotonicTime aNow)
{
  const auto suspect = suspects_.find(aFingerprint);
  if (suspect != suspects_.end()) {
    suspect->second.completedSinceCrash_ = true;
  }
  if (Verdict(aFingerprint, aNow) == CrashVerdict::Hold) {
    return;
  }
  RemoveProven(aFingerprint);
  provenOrder_.push_front(aFingerprint);
  proven_.emplace(aFingerprint, provenOrder_.begin());
  if (proven_.size() > settings_.maxProven_) {
    proven_.erase(provenOrder_.back());
    provenOrder_.pop_back();
  }
}

void
CrashGuard::OnQuarantine(std::span<const QuarantineEntry> aEntries)
{
  for (const QuarantineEntry& entry : aEntries) {
    SetQuarantine(entry);
  }
}

void
CrashGuard::ReplaceQuarantine(std::span<const QuarantineEntry> aEntries)
{
  std::unordered_set<core::Digest> listed;
  for (const QuarantineEntry& entry : aEntries) {
    listed.insert(entry.fingerprint_);
  }
  for (auto it = quarantine_.begin(); it != quarantine_.end();) {
    if (listed.contains(it->first)) {
      ++it;
      continue;
    }
    suspects_.erase(it->first);
    it = quarantine_.erase(it);
  }
  OnQuarantine(aEntries);
}

CrashVerdict
CrashGuard::Verdict(const core::Digest& aFingerprint,
                    core::MonotonicTime aNow) const
{
  const std::uint32_t lost = CrashCount(aFingerprint, aNow);
  if (lost >= settings_.maxCrashes_) {
    return CrashVerdict::Hold;
  }
  if (proven_.contains(aFingerprint)) {
    return CrashVerdict::Proven;
  }
  return lost > 0 ? CrashVerdict::Isolate : CrashVerdict::Unproven;
}

SuspectFigures
CrashGuard::Explain(const core::Digest& aFingerprint,
                    core::MonotonicTime aNow) const
{
  SuspectFigures figures;
  const auto suspect = suspects_.find(aFingerprint);
  if (suspect != suspects_.end() && !suspect->second.completedSinceCrash_) {
    figures.ownCrashes_ =
      static_cast<std::uint32_t>(suspect->second.crashes_.size());
  }
  const auto entry = quarantine_.find(aFingerprint);
  figures.groupCrashes_ = entry == quarantine_.end() ? 0 : entry->second;
  figures.limit_ = settings_.maxCrashes_;
  figures.verdict_ = Verdict(aFingerprint, aNow);
  return figures;
}

void
CrashGuard::Expire(core::MonotonicTime aNow)
{
  std::erase_if(suspects_, [&](const auto& aItem) {
    return aNow - aItem.second.lastCrash_ >= settings_.suspectLifetime_;
  });
}

std::size_t
CrashGuard::Suspects() const
{
  return suspects_.size();
}

std::size_t
CrashGuard::Proven() const
{
  return proven_.size();
}

void
CrashGuard::RecordCrash(const core::Digest& aFingerprint,
                        const core::ServerId& aServer,
                        bool aCertain,
                        core::MonotonicTime aNow)
{
  RemoveProven(aFingerprint);
  if (!suspects_.contains(aFingerprint) &&
      suspects_.size() >= settings_.maxSuspects_) {
    DropOldestSuspect();
  }
  Suspect& suspect = suspects_[aFingerprint];
  if (suspect.completedSinceCrash_ && !aCertain) {
    // The request has completed since, so it did not cause the earlier crashes.
    suspect.crashes_.clear();
  }
  suspect.completedSinceCrash_ = false;
  // A report may be late.
  suspect.lastCrash_ = std::max(suspect.lastCrash_, aNow);
  const auto same = [&](const Crash& aCrash) {
    return aCrash.server_ == aServer &&
           std::max(aNow, aCrash.at_) - std::min(aNow, aCrash.at_) <
             settings_.sameCrashWindow_;
  };
  if (std::ranges::none_of(suspect.crashes_, same)) {
    suspect.crashes_.push_back({ aServer, aNow });
  }
}

void
CrashGuard::SetQuarantine(const QuarantineEntry& aEntry)
{
  std::uint32_t& crashes = quarantine_[aEntry.fingerprint_];
  if (aEntry.crashes_ <= crashes) {
    // Replies may arrive out of order.
    return;
  }
  RemoveProven(aEntry.fingerprint_);
  crashes = aEntry.crashes_;
}

void
CrashGuard::RemoveProven(const core::Digest& aFingerprint)
{
  const auto found = proven_.find(aFingerprint);
  if (found == proven_.end()) {
    return;
  }
  provenOrder_.erase(found->second);
  proven_.erase(found);
}

void
CrashGuard::DropOldestSuspect()
{
  const auto oldest = std::ranges::min_element(
    suspects_, {}, [](const auto& aItem) { return aItem.second.lastCrash_; });
  if (oldest != suspects_.end()) {
    suspects_.erase(oldest);
  }
}

std::uint32_t
CrashGuard::CrashCount(const core::Digest& aFingerprint,
                       core::MonotonicTime aNow) const
{
  std::uint32_t lost = 0;
  const auto suspect = suspects_.find(aFingerprint);
  if (suspect != suspects_.end() && !suspect->second.completedSinceCrash_ &&
      aNow - suspect->second.lastCrash_ < settings_.suspectLifetime_) {
    lost = static_cast<std::uint32_t>(suspect->second.crashes_.size());
  }
  const auto entry = quarantine_.find(aFingerprint);
  return entry == quarantine_.end() ? lost : std::max(lost, entry->second);
}

} // namespace crocusslip::coordination
