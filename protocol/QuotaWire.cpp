#include "protocol/QuotaWire.hpp"

#include "core/Durations.hpp"

#include <algorithm>
#include <cmath>

namespace crocusslip::protocol {

namespace {

/// Rates are sent as units in 1,000 s, credits as thousandths of units.
constexpr double kMilli = 1000;
/// Seconds of spending that are read from a report.
constexpr std::size_t kMaxRecent = 64;

std::int64_t
Whole(double aUnits)
{
  return std::llround(aUnits);
}

double
NotNegative(std::int64_t aUnits)
{
  return static_cast<double>(std::max<std::int64_t>(0, aUnits));
}

} // namespace

void
ToWire(const admission::QuotaUse& aUse, wire::TenantUse& aOut)
{
  aOut.quota = true;
  aOut.spent = Whole(aUse.spent_);
  aOut.requests = static_cast<std::int32_t>(aUse.requests_);
  aOut.wanted = Whole(aUse.wanted_);
  aOut.credit = Whole(aUse.credit_);
  aOut.reserved = Whole(aUse.reserved_);
  aOut.refused = static_cast<std::int32_t>(aUse.refused_);
  for (const double units : aUse.recent_) {
    aOut.recent.push_back(Whole(units));
  }
}

admission::QuotaUse
FromWire(const wire::TenantUse& aUse)
{
  admission::QuotaUse use;
  use.spent_ = static_cast<double>(aUse.spent);
  use.requests_ = static_cast<std::uint32_t>(std::max(0, aUse.requests));
  use.wanted_ = NotNegative(aUse.wanted);
  use.credit_ = static_cast<double>(aUse.credit);
  use.reserved_ = NotNegative(aUse.reserved);
  use.refused_ = static_cast<std::uint32_t>(std::max(0, aUse.refused));
  for (const std::int64_t units : aUse.recent) {
    if (use.recent_.size() < kMaxRecent) {
      use.recent_.push_back(NotNegative(units));
    }
  }
  return use;
}

void
ToWire(const admission::QuotaGrant& aGrant, wire::TenantGrant& aOut)
{
  aOut.quota = true;
  aOut.metered = aGrant.metered_;
  aOut.credit = Whole(aGrant.credit_);
  aOut.fallbackMilli = Whole(aGrant.fallbackPerSecond_ * kMilli);
  aOut.fallbackCreditMilli = Whole(aGrant.fallbackCredit_ * kMilli);
  aOut.retryAfterMs =
    static_cast<std::int32_t>(core::Milliseconds(aGrant.retryAfter_));
}

admission::QuotaGrant
FromWire(const wire::TenantGrant& aGrant)
{
  admission::QuotaGrant grant;
  grant.metered_ = aGrant.metered;
  grant.credit_ = NotNegative(aGrant.credit);
  grant.fallbackPerSecond_ = NotNegative(aGrant.fallbackMilli) / kMilli;
  grant.fallbackCredit_ = NotNegative(aGrant.fallbackCreditMilli) / kMilli;
  grant.retryAfter_ =
    std::chrono::milliseconds(std::max(0, aGrant.retryAfterMs));
  return grant;
}

} // namespace crocusslip::protocol
