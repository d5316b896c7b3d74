#include "admission/QuotaLedger.hpp"

#include "core/Durations.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace crocusslip::admission {

namespace {

/// Part of the tolerance that is used; the rest is for what hosts do without
/// contact.
constexpr double kToleranceShare = 0.5;
/// A tenant's rate may rise to this multiple in one instant.
constexpr double kJumpFactor = 7.5;
/// Time in which hosts that have not reported since can spend credit.
constexpr std::chrono::milliseconds kExposureTime{ 600 };
/// Limits to fewer requests in a window than this leave no tolerance to use.
constexpr double kFewRequests = 25;
/// Least rate from which a jump is expected, as a share of the limit.
constexpr double kLeastRateShare = 0.25;
/// Credit in advance: this time of the host's usual rate and one request, twice
/// the mean where costs differ.
constexpr double kIdleSeconds = 1.2;
/// Near the limit a host gets this multiple of its share of half the room.
constexpr double kShareFactor = 8;
/// Share of the exposure that is kept from requests that wait.
constexpr double kExposureReserve = 0.5;
/// Time that the requests of a steady flow may wait for servers; more of them
/// may run all at once and count as run.
constexpr double kSteadyWaitSeconds = 0.4;
/// Share of the usual rate that hosts without contact may pass on, since they
/// do not know of a rise elsewhere, and share of the bound for it.
constexpr double kFallbackShare = 0.85;
constexpr double kFallbackBoundShare = 0.93;
/// Time constant of the hosts' rates, in seconds, and shortest time that one is
/// measured over.
constexpr double kRateTime = 2;
constexpr double kLeastRateTime = 0.05;
/// Weight of a report in the mean cost of a request.
constexpr double kCostWeight = 0.1;
/// Least cost of a tenant's requests as a share of its burst, until the first.
constexpr double kFirstCostShare = 0.125;
/// A host without a report for this time spends no credit any more.
constexpr std::chrono::milliseconds kSilentTime{ 1000 };
constexpr std::chrono::milliseconds kSilenceCheckInterval{ 100 };
/// A silent host passes on nothing after this time.
constexpr std::chrono::seconds kHostLifetime{ 60 };
/// A new leader waits for the reports of this share of the hosts, and this long
/// at most.
constexpr double kRebuiltShare = 0.97;
constexpr std::chrono::milliseconds kRebuildTime{ 2500 };

core::MonotonicTime
FallbackBegin(core::MonotonicTime aReportedAt)
{
  return aReportedAt + kCreditLifetime;
}

core::MonotonicTime
FallbackCreditEnd(core::MonotonicTime aReportedAt)
{
  return aReportedAt + kCreditLifetime + kFallbackCreditTime;
}

} // namespace

QuotaLedger::QuotaLedger(const QuotaBound& aBound)
  : bound_(aBound)
{
}

void
QuotaLedger::SetLimits(const std::map<TenantName, Quota>& aLimits)
{
  std::erase_if(accounts_, [&](const auto& aEntry) {
    const auto found = aLimits.find(aEntry.first);
    const bool kept = found != aLimits.end() && found->second.Limited() &&
                      found->second.unit_ == aEntry.second.quota_.unit_;
    if (!kept) {
      for (auto& [id, host] : hosts_) {
        host.parts_.erase(aEntry.first);
      }
    }
    return !kept;
  });
  for (const auto& [tenant, quota] : aLimits) {
    if (!quota.Limited()) {
      continue;
    }
    const auto [found, isNew] = accounts_.try_emplace(tenant);
    Account& account = found->second;
    if (isNew) {
      account.window_ = QuotaWindow(bound_.window_);
      account.meanCost_ = quota.unit_ == QuotaUnit::Requests ? 1
                          : quota.defaultTokens_ > 0
                            ? static_cast<double>(quota.defaultTokens_)
                            : kFirstCostShare * quota.burst_;
    } else if (BoundOf(quota) < BoundOf(account.quota_)) {
      account.window_.Scale(BoundOf(quota) / BoundOf(account.quota_));
    }
    account.quota_ = quota;
  }
}

double
QuotaLedger::UsualRate(const Account& aAccount) const
{
  return aAccount.window_.Units() / core::Seconds(bound_.window_);
}

double
QuotaLedger::BoundOf(const Quota& aQuota) const
{
  const double quota =
    aQuota.perSecond_ * core::Seconds(bound_.window_) + aQuota.burst_;
  const double overshoot = bound_.overshoot_ * quota;
  // The slack is some requests' worth of tokens.
  const double slack =
    aQuota.unit_ == QuotaUnit::Tokens ? std::min(overshoot, bound_.slack_) : 0;
  // One request more than is known of would pass a tolerance of one or two.
  const bool few = aQuota.unit_ == QuotaUnit::Requests && quota < kFewRequests;
  return quota + (few ? 0 : kToleranceShare) * (overshoot + slack);
}

double
QuotaLedger::ReservedOf(const Account& aAccount) const
{
  return std::max(
    0.0, aAccount.reserved_ - kSteadyWaitSeconds * UsualRate(aAccount));
}

double
QuotaLedger::JumpOf(const Account& aAccount) const
{
  const double rate =
    std::max({ UsualRate(aAccount),
               aAccount.rate_,
               kLeastRateShare * aAccount.quota_.perSecond_ });
  return kJumpFactor * rate * core::Seconds(kExposureTime);
}

double
QuotaLedger::ExposureOf(const Account& aAccount, double aIdle) const
{
  const bool few = BoundOf(aAccount.quota_) < kFewRequests * aAccount.meanCost_;
  return few ? aIdle : std::min(aIdle, JumpOf(aAccount));
}

double
QuotaLedger::LikelySpent(const Account& aAccount, const Part& aPart) const
{
  return aPart.pending_ +
         std::min(aPart.idle_,
                  JumpOf(aAccount) / static_cast<double>(hosts_.size()));
}

void
QuotaLedger::Remove(Account& aAccount, const Part& aPart)
{
  aAccount.pending_ -= aPart.pending_ + aPart.late_;
  aAccount.idle_ -= aPart.idle_;
  aAccount.reserved_ -= aPart.reserved_;
  aAccount.rate_ -= aPart.rate_;
}

// What became of a dead process's credit is not known.
void
QuotaLedger::CloseInstance(Host& aHost, core::MonotonicTime aNow)
{
  for (auto& [tenant, part] : aHost.parts_) {
    Account& account = accounts_.at(tenant);
    account.window_.Advance(aNow);
    account.window_.Add(LikelySpent(account, part) + part.reserved_, aNow);
    Remove(account, part);
  }
  aHost.parts_.clear();
  aHost.assumedTo_.reset();
}

void
QuotaLedger::AssumeSilent(core::MonotonicTime aNow)
{
  if (aNow < assumedAt_ + kSilenceCheckInterval) {
    return;
  }
  assumedAt_ = aNow;
  for (auto host = hosts_.begin(); host != hosts_.end();) {
    Host& silent = host->second;
    if (aNow < silent.reportedAt_ + kSilentTime) {
      ++host;
      continue;
    }
    const bool forgotten = aNow > silent.reportedAt_ + kHostLifetime;
    for (auto& [tenant, part] : silent.parts_) {
      AssumePart(accounts_.at(tenant), part, silent, aNow);
      if (forgotten) {
        Remove(accounts_.at(tenant), part);
      }
    }
    while (!silent.assumedTo_ ||
           *silent.assumedTo_ + QuotaWindow::kSlotTime <= aNow) {
      silent.assumedTo_ =
        silent.assumedTo_.value_or(FallbackBegin(silent.reportedAt_)) +
        QuotaWindow::kSlotTime;
    }
    host = forgotten ? hosts_.erase(host) : std::next(host);
  }
}

void
QuotaLedger::AssumePart(Account& aAccount,
                        Part& aPart,
                        const Host& aHost,
                        core::MonotonicTime aNow) const
{
  const core::MonotonicTime begin = FallbackBegin(aHost.reportedAt_);
  aAccount.window_.Advance(aNow);
  if (!aHost.assumedTo_) {
    aPart.assumedAtOnce_ = LikelySpent(aAccount, aPart);
    aAccount.pending_ +=
      aPart.fallbackCredit_ - aPart.late_ - std::exchange(aPart.pending_, 0);
    aPart.late_ = aPart.fallbackCredit_;
    aAccount.idle_ -= std::exchange(aPart.idle_, 0);
    aAccount.window_.Add(aPart.assumedAtOnce_, begin);
  }
  const core::MonotonicTime creditEnd = FallbackCreditEnd(aHost.reportedAt_);
  if (aNow >= creditEnd && aPart.late_ > 0) {
    aAccount.pending_ -= aPart.late_;
    aPart.assumedLate_ = std::exchange(aPart.late_, 0);
    aAccount.window_.Add(aPart.assumedLate_, creditEnd);
  }
  for (core::MonotonicTime at = aHost.assumedTo_.value_or(begin);
       at + QuotaWindow::kSlotTime <= aNow;
       at += QuotaWindow::kSlotTime) {
    aAccount.window_.Add(
      aPart.fallbackPerSecond_ * core::Seconds(QuotaWindow::kSlotTime), at);
  }
}

void
QuotaLedger::WithdrawAssumed(Host& aHost, core::MonotonicTime aNow)
{
  if (!aHost.assumedTo_) {
    return;
  }
  const core::MonotonicTime begin = FallbackBegin(aHost.reportedAt_);
  for (auto& [tenant, part] : aHost.parts_) {
    QuotaWindow& window = accounts_.at(tenant).window_;
    window.Advance(aNow);
    window.Withdraw(std::exchange(part.assumedAtOnce_, 0), begin);
    window.Withdraw(std::exchange(part.assumedLate_, 0),
                    FallbackCreditEnd(aHost.reportedAt_));
    for (core::MonotonicTime at = begin; at < *aHost.assumedTo_;
         at += QuotaWindow::kSlotTime) {
      window.Withdraw(
        part.fallbackPerSecond_ * core::Seconds(QuotaWindow::kSlotTime), at);
    }
  }
  aHost.assumedTo_.reset();
}

void
QuotaLedger::SpendReported(Account& aAccount,
                           const QuotaUse& aUse,
                           const ReportKind& aKind,
                           core::MonotonicTime aNow)
{
  QuotaWindow& window = aAccount.window_;
  if (aKind.known_ && aUse.spent_ < 0) {
    window.Withdraw(-aUse.spent_, aNow);
    return;
  }
  if (aKind.known_ && aUse.recent_.empty()) {
    // Some time since the report before.
    window.Add(aUse.spent_, aNow - aKind.elapsed_ / 2);
    return;
  }
  // What was spent before was reported then.
  double left = aKind.known_ ? aUse.spent_ : std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < aUse.recent_.size(); ++i) {
    // Up to a second later than it was, never earlier.
    const auto age =
      std::chrono::seconds(static_cast<std::int64_t>(i == 0 ? 0 : i - 1));
    const double units = std::min(left, aUse.recent_[i]);
    left -= units;
    window.Add(units, aNow - age);
  }
}

void
QuotaLedger::TakeUse(Account& aAccount,
                     Part& aPart,
                     const QuotaUse& aUse,
                     const ReportKind& aKind,
                     core::MonotonicTime aNow)
{
  aAccount.window_.Advance(aNow);
  const double late = aKind.returned_ ? std::max(0.0, aUse.credit_) : 0;
  aAccount.pending_ += late - std::exchange(aPart.late_, late);
  SpendReported(aAccount, aUse, aKind, aNow);
  if (aKind.known_) {
    const double seconds =
      std::max(kLeastRateTime, core::Seconds(aKind.elapsed_));
    const double weight = 1 - std::exp(-seconds / kRateTime);
    const double asked =
      std::max(0.0, aUse.spent_ + aUse.refused_ * aAccount.meanCost_);
    const double rate = aPart.rate_ + weight * (asked / seconds - aPart.rate_);
    aAccount.rate_ += rate - std::exchange(aPart.rate_, rate);
  }
  if (aUse.requests_ > 0 && aUse.spent_ > 0) {
    const double cost = aUse.spent_ / aUse.requests_;
    aAccount.meanCost_ += kCostWeight * (cost - aAccount.meanCost_);
  }
  aAccount.pending_ -= std::exchange(aPart.pending_, 0);
  const double credit = aKind.returned_ ? 0 : std::max(0.0, aUse.credit_);
  aAccount.idle_ += credit - std::exchange(aPart.idle_, credit);
  aAccount.reserved_ +=
    aUse.reserved_ - std::exchange(aPart.reserved_, aUse.reserved_);
  aPart.wanted_ = aUse.wanted_;
}

void
QuotaLedger::OnReport(const core::HostId& aHost,
                      std::int64_t aInstance,
                      bool aComplete,
                      std::uint32_t aKnownHosts,
                      const std::map<TenantName, QuotaUse>& aUses,
                      core::MonotonicTime aNow)
{
  if (!firstReportAt_) {
    firstReportAt_ = aNow;
  }
  knownHosts_ = std::max(knownHosts_, aKnownHosts);
  AssumeSilent(aNow);
  const bool isNew = !hosts_.contains(aHost);
  if (isNew && !aComplete) {
    return;
  }
  Host& host = hosts_[aHost];
  const bool restarted = !isNew && host.instance_ != aInstance;
  if (restarted) {
    CloseInstance(host, aNow);
  }
  ReportKind kind;
  kind.known_ = !isNew && !restarted;
  kind.returned_ = host.assumedTo_.has_value();
  kind.elapsed_ = isNew ? core::Duration(kSilentTime) : aNow - host.reportedAt_;
  WithdrawAssumed(host, aNow);
  host.instance_ = aInstance;
  host.reportedAt_ = aNow;
  for (auto& [tenant, account] : accounts_) {
    Part& part = host.parts_[tenant];
    const auto found = aUses.find(tenant);
    QuotaUse use;
    if (found != aUses.end()) {
      use = found->second;
    } else {
      use.credit_ = part.idle_;
      use.reserved_ = part.reserved_;
    }
    TakeUse(account, part, use, kind, aNow);
  }
}

bool
QuotaLedger::Rebuilt(core::MonotonicTime aNow)
{
  rebuilt_ =
    rebuilt_ || (firstReportAt_ && aNow >= *firstReportAt_ + kRebuildTime) ||
    (knownHosts_ > 0 && static_cast<double>(hosts_.size()) >=
                          kRebuiltShare * static_cast<double>(knownHosts_));
  return rebuilt_;
}

void
QuotaLedger::SetFallback(const Account& aAccount, QuotaGrant& aGrant) const
{
  const double free = kFallbackBoundShare * BoundOf(aAccount.quota_) -
                      ReservedOf(aAccount) - aAccount.pending_ -
                      ExposureOf(aAccount, aAccount.idle_);
  const double begin = core::Seconds(kCreditLifetime);
  const auto seconds =
    std::chrono::duration_cast<std::chrono::seconds>(bound_.window_);
  double rate =
    kFallbackShare * std::min(aAccount.quota_.perSecond_, UsualRate(aAccount));
  for (std::chrono::seconds at(1); at <= seconds; ++at) {
    rate = std::min(rate,
                    (free - aAccount.window_.Remaining(at)) /
                      (core::Seconds(at) - begin));
  }
  rate = std::max(0.0, rate);
  double credit = free - aAccount.window_.Units();
  for (std::chrono::seconds at(1); at <= seconds; ++at) {
    credit = std::min(credit,
                      free - aAccount.window_.Remaining(at) -
                        rate * (core::Seconds(at) - begin));
  }
  aGrant.fallbackPerSecond_ = rate;
  aGrant.fallbackCredit_ = std::max(0.0, credit);
}

core::Duration
QuotaLedger::RoomAfter(const Account& aAccount) const
{
  const double free = BoundOf(aAccount.quota_) - ReservedOf(aAccount) -
                      aAccount.pending_ - std::max(aAccount.meanCost_, 1.0);
  core::Duration after = QuotaWindow::kSlotTime;
  while (after < bound_.window_ && aAccount.window_.Remaining(after) > free) {
    after += QuotaWindow::kSlotTime;
  }
  return after;
}

QuotaGrant
QuotaLedger::GrantPart(Account& aAccount, Part& aPart) const
{
  QuotaGrant grant;
  const auto hosts = static_cast<double>(hosts_.size());
  aAccount.pending_ -= std::exchange(aPart.pending_, 0);
  aAccount.idle_ -= std::exchange(aPart.idle_, 0);
  double room = BoundOf(aAccount.quota_) - aAccount.window_.Units() -
                ReservedOf(aAccount) - aAccount.pending_;
  const double forWaiting =
    room - kExposureReserve * ExposureOf(aAccount, aAccount.idle_);
  const double wanted = std::max(0.0, std::exchange(aPart.wanted_, 0));
  aPart.pending_ = std::floor(std::clamp(forWaiting, 0.0, wanted));
  aAccount.pending_ += aPart.pending_;
  room -= aPart.pending_;
  const bool refuses = aPart.pending_ < wanted;
  const bool counted = aAccount.quota_.unit_ == QuotaUnit::Requests;
  const double least = counted ? 1 : std::max(1.0, 2 * aAccount.meanCost_);
  double idle = std::ceil(least + kIdleSeconds * aPart.rate_);
  if (room < ExposureOf(aAccount, aAccount.idle_ + idle)) {
    grant.metered_ = true;
    const double share =
      aAccount.rate_ > 0 ? aPart.rate_ / aAccount.rate_ : 1 / hosts;
    idle = std::min({ idle,
                      room / 2 * std::min(1.0, kShareFactor * share),
                      room - aAccount.idle_ });
    if (idle < aAccount.meanCost_) {
      idle = 0;
    }
  }
  aPart.idle_ = refuses ? 0 : std::floor(idle);
  aAccount.idle_ += aPart.idle_;
  grant.credit_ = aPart.pending_ + aPart.idle_;
  if (refuses || forWaiting - aPart.pending_ < aAccount.meanCost_) {
    grant.retryAfter_ = RoomAfter(aAccount);
  }
  SetFallback(aAccount, grant);
  grant.fallbackPerSecond_ /= hosts;
  grant.fallbackCredit_ /= hosts;
  aPart.fallbackPerSecond_ = grant.fallbackPerSecond_;
  aPart.fallbackCredit_ = grant.fallbackCredit_;
  return grant;
}

std::map<TenantName, QuotaGrant>
QuotaLedger::Grant(const core::HostId& aHost, core::MonotonicTime aNow)
{
  std::map<TenantName, QuotaGrant> grants;
  const auto found = hosts_.find(aHost);
  if (found == hosts_.end() || !Rebuilt(aNow)) {
    return grants;
  }
  for (auto& [tenant, account] : accounts_) {
    account.window_.Advance(aNow);
    grants[tenant] = GrantPart(account, found->second.parts_[tenant]);
  }
  return grants;
}

} // namespace crocusslip::admission
