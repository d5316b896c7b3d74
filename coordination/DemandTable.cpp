#include "coordination/DemandTable.hpp"

#include <algorithm>

namespace crocusslip::coordination {

DemandTable::DemandTable(core::Duration aReportLifetime)
  : reportLifetime_(aReportLifetime)
{
}

void
DemandTable::Report(const HostDemand& aDemand, core::MonotonicTime aNow)
{
  if (aDemand.waiting_ == 0 && aDemand.inFlight_ == 0) {
    const auto found = deployments_.find(aDemand.deployment_);
    if (found == deployments_.end()) {
      return;
    }
    found->second.hosts_.erase(aDemand.host_);
    if (found->second.hosts_.empty()) {
      deployments_.erase(found);
    }
    return;
  }
  deployments_[aDemand.deployment_].hosts_[aDemand.host_] = { aDemand, aNow };
}

void
DemandTable::Renew(const core::HostId& aHost, core::MonotonicTime aNow)
{
  lastHeard_[aHost] = aNow;
}

void
DemandTable::RemoveHost(const core::HostId& aHost)
{
  lastHeard_.erase(aHost);
  for (auto& [id, deployment] : deployments_) {
    deployment.hosts_.erase(aHost);
  }
  std::erase_if(deployments_,
                [](const auto& aItem) { return aItem.second.hosts_.empty(); });
}

bool
DemandTable::Fresh(const Entry& aEntry, core::MonotonicTime aNow) const
{
  const auto heard = lastHeard_.find(aEntry.demand_.host_);
  const core::MonotonicTime at =
    heard == lastHeard_.end() ? aEntry.reportedAt_
                              : std::max(aEntry.reportedAt_, heard->second);
  return aNow - at <= reportLifetime_;
}

std::vector<DeploymentDemand>
DemandTable::Waiting(core::MonotonicTime aNow)
{
  std::vector<DeploymentDemand> waiting;
  for (auto& [id, deployment] : deployments_) {
    std::erase_if(deployment.hosts_, [this, aNow](const auto& aItem) {
      return !Fresh(aItem.second, aNow);
    });
    DeploymentDemand sum;
    sum.deployment_ = id;
    for (const auto& [host, entry] : deployment.hosts_) {
      const HostDemand& demand = entry.demand_;
      sum.waiting_ += demand.waiting_;
      sum.inFlight_ += demand.inFlight_;
      if (demand.earliestDeadline_ &&
          (!sum.earliestDeadline_ ||
           *demand.earliestDeadline_ < *sum.earliestDeadline_)) {
        sum.earliestDeadline_ = demand.earliestDeadline_;
      }
    }
    if (sum.waiting_ > 0 && !deployment.waiting_) {
      deployment.waitingSince_ = aNow;
    }
    deployment.waiting_ = sum.waiting_ > 0;
    sum.waitingSince_ = deployment.waitingSince_;
    if (deployment.waiting_) {
      waiting.push_back(sum);
    }
  }
  std::erase_if(deployments_,
                [](const auto& aItem) { return aItem.second.hosts_.empty(); });
  std::stable_sort(
    waiting.begin(),
    waiting.end(),
    [](const DeploymentDemand& aLeft, const DeploymentDemand& aRight) {
      constexpr auto kNever = core::MonotonicTime::max();
      return aLeft.earliestDeadline_.value_or(kNever) <
             aRight.earliestDeadline_.value_or(kNever);
    });
  return waiting;
}

std::uint32_t
DemandTable::Active(const core::DeploymentId& aDeployment,
                    core::MonotonicTime aNow) const
{
  const auto found = deployments_.find(aDeployment);
  if (found == deployments_.end()) {
    return 0;
  }
  std::uint32_t active = 0;
  for (const auto& [host, entry] : found->second.hosts_) {
    if (Fresh(entry, aNow)) {
      active += entry.demand_.waiting_ + entry.demand_.inFlight_;
    }
  }
  return active;
}

} // namespace crocusslip::coordination
