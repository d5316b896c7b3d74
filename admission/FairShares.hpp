#pragma once

#include "admission/Tenants.hpp"
#include "core/Clock.hpp"
#include "core/Ids.hpp"

#include <chrono>
#include <cstdint>
#include <map>

namespace crocusslip::admission {

/// Requests of a tenant for scarce servers.
struct ScarceUse
{
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
};

/// Use of scarce servers in percent of the fair share, of the tenants that use
/// their share or more.
using SharePercents = std::map<TenantName, std::uint32_t>;

/// Time for which a host goes by the last shares that it was told.
inline constexpr std::chrono::seconds kSharesLifetime{ 2 };

/// How far a tenant's use exceeds its fair share, in steps: 0 below its share,
/// 1 from its share on, 2 from twice and 3 from four times its share on.
std::uint32_t
OveruseStep(std::uint32_t aPercent);

/// Compares the tenants' requests in flight at all hosts with their fair
/// shares: equal parts, where what one tenant does not use is lent to the
/// others. Answers the load of many tenants that compete for few slots, one of
/// which sends many times its usual.
class FairShares
{
public:
  /// Replaces what the host has reported.
  void OnReport(const core::HostId& aHost,
                std::map<TenantName, ScarceUse> aUses,
                core::MonotonicTime aNow);
  /// Empty unless tenants compete: one of them is below its share.
  const SharePercents& Percents(core::MonotonicTime aNow);

private:
  struct Host
  {
    std::map<TenantName, ScarceUse> uses_;
    core::MonotonicTime reportedAt_;
  };

  void Compute(core::MonotonicTime aNow);

  std::map<core::HostId, Host> hosts_;
  SharePercents percents_;
  /// Requests in flight, as a maximum of the last moments.
  double total_ = 0;
  core::MonotonicTime computedAt_;
};

} // namespace crocusslip::admission
