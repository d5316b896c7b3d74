#include "control/FleetController.hpp"

#include <algorithm>
#include <utility>

/// The tenants' shares of scarce servers.
namespace crocusslip::control {

void
FleetController::TakeTenantUses(const wire::SyncRequest& aRequest,
                                core::MonotonicTime aNow)
{
  std::map<admission::TenantName, admission::ScarceUse> uses;
  for (const wire::TenantUse& use : aRequest.tenants) {
    if (use.running > 0 || use.waiting > 0) {
      uses[admission::TenantName(use.tenant)] = {
        static_cast<std::uint32_t>(std::max(0, use.running)),
        static_cast<std::uint32_t>(std::max(0, use.waiting))
      };
    }
  }
  fairShares_.OnReport(core::HostId(aRequest.host), std::move(uses), aNow);
}

void
FleetController::FillTenantShares(const wire::SyncRequest& aRequest,
                                  wire::SyncReply& aReply,
                                  core::MonotonicTime aNow)
{
  const admission::SharePercents& percents = fairShares_.Percents(aNow);
  for (const wire::TenantUse& use : aRequest.tenants) {
    const auto percent = percents.find(admission::TenantName(use.tenant));
    if (percent == percents.end()) {
      continue;
    }
    const auto found =
      std::ranges::find(aReply.tenants, use.tenant, &wire::TenantGrant::tenant);
    wire::TenantGrant& out =
      found != aReply.tenants.end() ? *found : aReply.tenants.emplace_back();
    out.tenant = use.tenant;
    out.sharePercent = static_cast<std::int32_t>(percent->second);
  }
}

} // namespace crocusslip::control
