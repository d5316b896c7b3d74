#include "control/FleetController.hpp"
#include "core/Log.hpp"
#include "protocol/QuotaWire.hpp"

#include <algorithm>

namespace crocusslip::control {

void
FleetController::TakeQuotas(const std::string& aRoutes)
{
  if (!settings_.readQuotas_) {
    return;
  }
  const auto quotas = settings_.readQuotas_(aRoutes);
  if (!quotas.Ok()) {
    core::Log(core::LogLevel::Error,
              "quotas not read",
              { { "error", quotas.Failure().Message() } });
    return;
  }
  quotas_.SetLimits(quotas.Value());
}

void
FleetController::TakeQuotaUses(const wire::SyncRequest& aRequest,
                               core::MonotonicTime aNow)
{
  if (quotas_.Empty()) {
    return;
  }
  std::map<admission::TenantName, admission::QuotaUse> uses;
  for (const wire::TenantUse& use : aRequest.tenants) {
    if (use.quota) {
      uses[admission::TenantName(use.tenant)] = protocol::FromWire(use);
    }
  }
  quotas_.OnReport(core::HostId(aRequest.host),
                   aRequest.instance,
                   aRequest.quotasComplete,
                   static_cast<std::uint32_t>(std::max(0, aRequest.knownHosts)),
                   uses,
                   aNow);
}

void
FleetController::FillQuotaGrants(const wire::SyncRequest& aRequest,
                                 wire::SyncReply& aReply,
                                 core::MonotonicTime aNow)
{
  for (const auto& [tenant, grant] :
       quotas_.Grant(core::HostId(aRequest.host), aNow)) {
    protocol::ToWire(grant, protocol::EntryOf(aReply.tenants, tenant.Value()));
  }
}

} // namespace crocusslip::control
