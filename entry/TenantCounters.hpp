#pragma once

#include "admission/Tenants.hpp"
#include "core/Metrics.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace crocusslip::entry {

/// Requests and refusals by tenant. The first tenants that send requests are
/// counted by name, all later ones together, which bounds the metrics page.
class TenantCounters
{
public:
  /// What became of a request at its tenant's quota.
  enum class QuotaOutcome : std::uint8_t
  {
    Admitted,
    Refused,
    /// Waited for the leader first; counted besides its outcome.
    Waited,
  };
  static constexpr std::size_t kMaxNamedTenants = 64;

  explicit TenantCounters(core::MetricsRegistry& aMetrics);

  void OnRequest(const admission::TenantName& aTenant);
  void OnRefusal(const admission::TenantName& aTenant);
  void OnQuota(const admission::TenantName& aTenant, QuotaOutcome aOutcome);

private:
  struct Counters
  {
    std::string label_;
    core::Counter* requests_ = nullptr;
    core::Counter* refusals_ = nullptr;
    /// By QuotaOutcome; null until the first one.
    std::array<core::Counter*, 3> quota_{};
  };

  Counters& Find(const admission::TenantName& aTenant);

  core::MetricsRegistry& metrics_;
  std::map<admission::TenantName, Counters> tenants_;
};

} // namespace crocusslip::entry
