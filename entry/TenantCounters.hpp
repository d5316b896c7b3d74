#pragma once

#include "admission/Tenants.hpp"
#include "core/Metrics.hpp"

#include <map>

namespace crocusslip::entry {

/// What became of tenants' requests at the quota, by tenant. Tenants beyond a
/// number are counted together, so that the page of metrics stays bounded.
class TenantCounters
{
public:
  struct Entry
  {
    core::Counter* admitted_ = nullptr;
    /// Of these and of the refused: those that waited for the leader.
    core::Counter* waited_ = nullptr;
    core::Counter* refused_ = nullptr;
  };

  explicit TenantCounters(core::MetricsRegistry& aMetrics);

  const Entry& Of(const admission::TenantName& aTenant);

private:
  Entry Add(const std::string& aName);

  core::MetricsRegistry& metrics_;
  std::map<admission::TenantName, Entry> entries_;
  Entry others_;
};

} // namespace crocusslip::entry
