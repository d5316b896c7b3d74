#pragma once

#include "admission/Tenants.hpp"
#include "core/Metrics.hpp"

#include <map>

namespace crocusslip::entry {

/// Requests and refusals by tenant. The first tenants that send requests are
/// counted by name, all later ones together, which bounds the metrics page.
class TenantCounters
{
public:
  static constexpr std::size_t kMaxNamedTenants = 64;

  explicit TenantCounters(core::MetricsRegistry& aMetrics);

  void OnRequest(const admission::TenantName& aTenant);
  void OnRefusal(const admission::TenantName& aTenant);

private:
  struct Counters
  {
    core::Counter* requests_ = nullptr;
    core::Counter* refusals_ = nullptr;
  };

  const Counters& Find(const admission::TenantName& aTenant);

  core::MetricsRegistry& metrics_;
  std::map<admission::TenantName, Counters> tenants_;
};

} // namespace crocusslip::entry
