#pragma once

#include "admission/QuotaBound.hpp"
#include "admission/Tenants.hpp"
#include "core/Clock.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace crocusslip::bench {

/// How hosts decide; the others are baselines.
enum class QuotaPolicy : std::uint8_t
{
  Ledger,
  /// Each host has an equal part of rate and burst.
  EqualSplit,
  /// Hosts report, and refuse while the last answer said that the quota is
  /// used up.
  FreeRunning,
};

struct QuotaModelTenant
{
  admission::Quota quota_;
  /// Usual use as a share of the rate.
  double use_ = 0.7;
  /// Multiple of the usual use from jumpAt_ on.
  double jump_ = 1;
  double meanCost_ = 1;
};

struct QuotaModelSettings
{
  QuotaPolicy policy_ = QuotaPolicy::Ledger;
  admission::QuotaBound bound_;
  std::uint32_t hosts_ = 67;
  std::vector<QuotaModelTenant> tenants_;
  std::uint64_t seed_ = 1;
  std::chrono::seconds time_{ 60 };
  /// Mean requests of a clump, which arrive at one host within kClumpTime.
  double clump_ = 1.5;
  /// Refusals are judged from here on.
  std::chrono::milliseconds judgeFrom_{ 0 };
  std::chrono::milliseconds jumpAt_{ -1 };
  /// The leader dies, and another one leads after leaderGap_.
  std::chrono::milliseconds leaderDiesAt_{ -1 };
  std::chrono::milliseconds leaderGap_{ 4000 };
  /// The first hosts don't reach the leader, or are frozen.
  std::chrono::milliseconds cutAt_{ -1 };
  std::chrono::milliseconds cutTime_{ 10000 };
  std::uint32_t cutHosts_ = 0;
  bool frozen_ = false;
  std::chrono::milliseconds addAt_{ -1 };
  std::uint32_t addHosts_ = 0;
  /// All limits are multiplied.
  std::chrono::milliseconds changeAt_{ -1 };
  double change_ = 1;
  /// Longest time that an admitted request waits for a server.
  std::chrono::milliseconds serverWait_{ 30 };
};

struct QuotaModelResult
{
  std::uint64_t requests_ = 0;
  std::uint64_t refused_ = 0;
  /// While the requests run in the window were within the quota.
  std::uint64_t wronglyRefused_ = 0;
  /// Had to wait for an answer of the leader.
  std::uint64_t waited_ = 0;
  /// Highest share of what may be run in a window that was run.
  double peak_ = 0;
  std::size_t peakTenant_ = 0;
  core::Duration peakAt_{ 0 };
  double messagesPerHost_ = 0;
  /// Entries in reports and answers, per host and second.
  double entriesPerHost_ = 0;
  /// Time that the leader takes for a report and its answer.
  double leaderMicros_ = 0;
};

/// Tenants by a skew: the first has an eighth of the requests or more, the last
/// some in a second.
inline std::vector<QuotaModelTenant>
SkewedTenants(std::size_t aCount, double aRequestsPerSecond, double aUse)
{
  double weights = 0;
  for (std::size_t i = 1; i <= aCount; ++i) {
    weights += 1 / static_cast<double>(i);
  }
  std::vector<QuotaModelTenant> tenants;
  for (std::size_t i = 1; i <= aCount; ++i) {
    QuotaModelTenant tenant;
    const double limit =
      aRequestsPerSecond / (static_cast<double>(i) * weights) / aUse;
    // Every other tenant is limited by tokens.
    tenant.meanCost_ = i % 2 == 0 ? 1 : 1630;
    tenant.quota_.unit_ = i % 2 == 0 ? admission::QuotaUnit::Requests
                                     : admission::QuotaUnit::Tokens;
    tenant.quota_.perSecond_ = limit * tenant.meanCost_;
    tenant.quota_.burst_ = tenant.quota_.perSecond_;
    tenant.quota_.defaultTokens_ = 1630;
    tenant.use_ = aUse;
    tenants.push_back(tenant);
  }
  return tenants;
}

} // namespace crocusslip::bench
