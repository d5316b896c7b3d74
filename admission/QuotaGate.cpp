#include "admission/QuotaGate.hpp"

#include "core/Durations.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusslip::admission {

namespace {

/// An exhausted quota is taken as exhausted for this time without asking again.
constexpr std::chrono::milliseconds kExhaustedTime{ 300 };
/// Weight of a new request in the mean cost.
constexpr double kCostWeight = 0.1;
/// Retry-After when the leader has named no time.
constexpr std::chrono::milliseconds kDefaultRetryAfter{ 1000 };
constexpr std::chrono::milliseconds kMinRetryAfter{ 100 };
/// A host without contact stops after this time; from then on the leader no
/// longer counts what it may pass on.
constexpr std::chrono::seconds kFallbackTime{ 55 };

std::int64_t
SecondOf(core::MonotonicTime aTime)
{
  return std::chrono::floor<std::chrono::seconds>(aTime.time_since_epoch())
    .count();
}

} // namespace

bool
QuotaGate::HasContact(const Account& aAccount, core::MonotonicTime aNow)
{
  return aAccount.grantedAt_ != core::MonotonicTime::min() &&
         aNow < aAccount.grantedAt_ + kCreditLifetime;
}

// The level is capped, so that what was not passed on while there were no
// requests, or while this process was frozen, does not come at once.
double
QuotaGate::RefillFallback(Account& aAccount, core::MonotonicTime aNow) const
{
  if (aAccount.grantedAt_ == core::MonotonicTime::min() ||
      aNow > aAccount.grantedAt_ + kFallbackTime) {
    return 0;
  }
  if (aAccount.fallbackAt_ < aAccount.grantedAt_) {
    aAccount.fallbackAt_ = aAccount.grantedAt_ + kCreditLifetime;
    aAccount.fallback_ =
      aAccount.grant_.fallbackCredit_ + phase_ * aAccount.meanCost_;
    aAccount.credit_ = 0;
  }
  const double rate = aAccount.grant_.fallbackPerSecond_;
  const double cap =
    std::max(aAccount.meanCost_, rate * core::Seconds(kCreditLifetime));
  const double elapsed =
    std::max(0.0, core::Seconds(aNow - aAccount.fallbackAt_));
  const bool early =
    aNow < aAccount.grantedAt_ + kCreditLifetime + kFallbackCreditTime;
  aAccount.fallback_ = std::min(early ? std::max(cap, aAccount.fallback_) : cap,
                                aAccount.fallback_ + rate * elapsed);
  aAccount.fallbackAt_ = std::max(aAccount.fallbackAt_, aNow);
  return cap;
}

bool
QuotaGate::TakeFallback(Account& aAccount,
                        double aCost,
                        core::MonotonicTime aNow) const
{
  const double cap = RefillFallback(aAccount, aNow);
  if (cap <= 0 || aAccount.fallback_ < std::min(aCost, cap)) {
    return false;
  }
  aAccount.fallback_ -= aCost;
  return true;
}

void
QuotaGate::AddRecent(Account& aAccount, double aUnits, core::MonotonicTime aNow)
{
  const std::int64_t second = SecondOf(aNow);
  const auto size = static_cast<std::int64_t>(kRecentSeconds);
  const std::int64_t first =
    std::max(aAccount.recentSecond_ + 1, second - size + 1);
  for (std::int64_t i = first; i <= second; ++i) {
    aAccount.recent_.at(static_cast<std::size_t>(i % size)) = 0;
  }
  aAccount.recentSecond_ = std::max(aAccount.recentSecond_, second);
  aAccount.recent_.at(static_cast<std::size_t>(second % size)) += aUnits;
}

void
QuotaGate::Admit(Account& aAccount, double aCost)
{
  aAccount.reserved_ += aCost;
  aAccount.dirty_ = true;
}

QuotaGate::Verdict
QuotaGate::Take(const TenantName& aTenant,
                const Quota& aQuota,
                Id aId,
                double aCost,
                core::MonotonicTime aNow,
                core::Random& aRandom)
{
  if (!std::exchange(hasPhase_, true)) {
    phase_ = aRandom.Uniform();
  }
  Account& account = accounts_[aTenant];
  if (account.unit_ != aQuota.unit_) {
    account.unit_ = aQuota.unit_;
    account.credit_ = 0;
    account.meanCost_ = 0;
    account.recent_ = {};
  }
  account.meanCost_ =
    account.meanCost_ <= 0
      ? aCost
      : account.meanCost_ + kCostWeight * (aCost - account.meanCost_);
  if (HasContact(account, aNow)) {
    // Requests that wait come first.
    if (account.credit_ >= aCost && account.waiting_.empty()) {
      account.credit_ -= aCost;
      account.taken_ += aCost;
      Admit(account, aCost);
      needsReport_ = needsReport_ || account.credit_ < account.meanCost_;
      return Verdict::Admitted;
    }
    const core::Duration exhausted =
      std::min<core::Duration>(account.grant_.retryAfter_, kExhaustedTime);
    if (aNow < account.grantedAt_ + exhausted) {
      ++account.refused_;
      account.dirty_ = true;
      return Verdict::Refused;
    }
  } else if (TakeFallback(account, aCost, aNow)) {
    Admit(account, aCost);
    return Verdict::Admitted;
  }
  account.waiting_.push_back({ aId, aCost, reports_ + 1 });
  needsReport_ = true;
  return Verdict::Waiting;
}

bool
QuotaGate::Expire(const TenantName& aTenant, Id aId, core::MonotonicTime aNow)
{
  Account& account = accounts_[aTenant];
  const auto found =
    std::ranges::find(account.waiting_, aId, [](const Waiting& aWaiting) {
      return aWaiting.id_;
    });
  if (found == account.waiting_.end()) {
    return false;
  }
  const double cost = found->cost_;
  account.waiting_.erase(found);
  if (!HasContact(account, aNow) && TakeFallback(account, cost, aNow)) {
    Admit(account, cost);
    return true;
  }
  ++account.refused_;
  account.dirty_ = true;
  return false;
}

void
QuotaGate::OnSent(const TenantName& aTenant,
                  double aCost,
                  core::MonotonicTime aNow)
{
  Account& account = accounts_[aTenant];
  account.reserved_ = std::max(0.0, account.reserved_ - aCost);
  account.spent_ += aCost;
  ++account.requests_;
  account.dirty_ = true;
  AddRecent(account, aCost, aNow);
}

void
QuotaGate::OnNotRun(const TenantName& aTenant,
                    double aCost,
                    core::MonotonicTime aNow)
{
  Account& account = accounts_[aTenant];
  account.reserved_ += aCost;
  account.spent_ -= aCost;
  account.dirty_ = true;
  AddRecent(account, -aCost, aNow);
}

void
QuotaGate::Release(const TenantName& aTenant, double aCost)
{
  Account& account = accounts_[aTenant];
  account.reserved_ = std::max(0.0, account.reserved_ - aCost);
  account.dirty_ = true;
}

void
QuotaGate::ChargeAgain(const TenantName& aTenant, double aCost)
{
  Admit(accounts_[aTenant], aCost);
}

std::map<TenantName, QuotaUse>
QuotaGate::TakeReport(core::MonotonicTime aNow)
{
  ++reports_;
  reportedAt_ = aNow;
  needsReport_ = false;
  std::map<TenantName, QuotaUse> report;
  for (auto& [tenant, account] : accounts_) {
    QuotaUse use;
    use.spent_ = account.spent_;
    use.requests_ = account.requests_;
    const bool contact = HasContact(account, aNow);
    if (contact) {
      use.credit_ = account.credit_;
    } else if (RefillFallback(account, aNow) > 0 &&
               account.fallback_ >= account.meanCost_) {
      use.credit_ = account.fallback_;
    }
    use.reserved_ = account.reserved_;
    use.refused_ = std::exchange(account.refused_, 0);
    for (const Waiting& waiting : account.waiting_) {
      use.wanted_ += waiting.cost_;
    }
    account.spentReported_ = account.spent_;
    account.requestsReported_ = account.requests_;
    account.taken_ = 0;
    if (!granted_ || !contact) {
      AddRecent(account, 0, aNow);
      const auto size = static_cast<std::int64_t>(kRecentSeconds);
      for (std::int64_t i = 0; i < size; ++i) {
        const auto index = (account.recentSecond_ - i) % size;
        use.recent_.push_back(
          std::max(0.0, account.recent_.at(static_cast<std::size_t>(index))));
      }
    }
    // A report without an answer may be lost.
    account.unanswered_ =
      account.unanswered_ || std::exchange(account.dirty_, false);
    if (account.unanswered_ || use.wanted_ > 0 || !granted_ || !contact) {
      report.emplace(tenant, std::move(use));
    }
  }
  return report;
}

std::vector<std::pair<QuotaGate::Id, QuotaGate::Verdict>>
QuotaGate::OnReply(const std::map<TenantName, QuotaGrant>& aGrants,
                   core::MonotonicTime aNow)
{
  std::vector<std::pair<Id, Verdict>> decided;
  // A leader that is not ready wants all that this host knows.
  needsReport_ = needsReport_ || (aGrants.empty() && granted_);
  granted_ = !aGrants.empty();
  for (auto& [tenant, account] : accounts_) {
    account.spent_ -= std::exchange(account.spentReported_, 0);
    account.requests_ -= std::exchange(account.requestsReported_, 0);
    account.unanswered_ = false;
  }
  for (const auto& [tenant, grant] : aGrants) {
    Account& account = accounts_[tenant];
    account.grant_ = grant;
    // An answer may have lain here while this process was frozen.
    account.grantedAt_ = reportedAt_;
    if (!HasContact(account, aNow)) {
      needsReport_ = true;
      continue;
    }
    account.credit_ = grant.credit_ - account.taken_;
    while (!account.waiting_.empty()) {
      const Waiting& first = account.waiting_.front();
      if (account.credit_ >= first.cost_) {
        account.credit_ -= first.cost_;
        account.taken_ += first.cost_;
        Admit(account, first.cost_);
        decided.emplace_back(first.id_, Verdict::Admitted);
      } else if (first.report_ <= reports_ &&
                 grant.retryAfter_ > core::Duration(0)) {
        ++account.refused_;
        account.dirty_ = true;
        decided.emplace_back(first.id_, Verdict::Refused);
      } else {
        break;
      }
      account.waiting_.pop_front();
    }
    needsReport_ = needsReport_ || !account.waiting_.empty();
  }
  return decided;
}

core::Duration
QuotaGate::RetryAfter(const TenantName& aTenant, core::MonotonicTime aNow) const
{
  const auto found = accounts_.find(aTenant);
  if (found == accounts_.end() || !HasContact(found->second, aNow) ||
      found->second.grant_.retryAfter_ <= core::Duration(0)) {
    return kDefaultRetryAfter;
  }
  return std::max<core::Duration>(kMinRetryAfter,
                                  found->second.grantedAt_ +
                                    found->second.grant_.retryAfter_ - aNow);
}

} // namespace crocusslip::admission
