#include "control/FleetController.hpp"
#include "core/Durations.hpp"
#include "core/Log.hpp"
#include "protocol/QuotaWire.hpp"

#include <algorithm>

namespace crocusslip::control {

namespace {

/// A tenant without a refusal for this time is within its quota again.
constexpr std::chrono::seconds kQuotaPause{ 10 };

} // namespace

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
  std::erase_if(quotaUsedUp_, [&](const auto& aEntry) {
    return !quotas.Value().contains(aEntry.first);
  });
}

void
FleetController::TakeQuotaUses(const wire::SyncRequest& aRequest,
                               core::MonotonicTime aNow)
{
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
    if (grant.retryAfter_ > core::Duration(0)) {
      const auto [last, isNew] = quotaUsedUp_.try_emplace(tenant, aNow);
      if (isNew || aNow > last->second + kQuotaPause) {
        core::Log(core::LogLevel::Info,
                  "quota used up",
                  { { "tenant", tenant.Value() },
                    { "retry_after_ms",
                      std::to_string(core::Milliseconds(grant.retryAfter_)) },
                    { "asked_by", aRequest.host } });
      }
      last->second = aNow;
    }
    protocol::ToWire(grant, protocol::EntryOf(aReply.tenants, tenant.Value()));
  }
}

} // namespace crocusslip::control
