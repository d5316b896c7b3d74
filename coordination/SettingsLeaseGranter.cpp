#include "coordination/SettingsLeaseGranter.hpp"

#include <algorithm>

namespace crocusslip::coordination {

namespace {

/// Maximum duration of a granted lease by the leader's clock, with clock drift.
core::Duration
WithDrift(core::Duration aLength)
{
  return core::Duration(static_cast<core::Duration::rep>(
    static_cast<double>(aLength.count()) * (1.0 + kClockDrift)));
}

} // namespace

SettingsLeaseGranter::SettingsLeaseGranter(core::Duration aLength)
  : length_(aLength)
  , maxDuration_(WithDrift(aLength))
{
}

void
SettingsLeaseGranter::OnLeadershipGained(core::MonotonicTime aNow)
{
  hosts_.clear();
  inheritedEnd_ = aNow + maxDuration_;
}

LeaseGrant
SettingsLeaseGranter::Grant(const core::HostId& aHost,
                            core::Revision aRevision,
                            core::MonotonicTime aNow)
{
  Leases& leases = hosts_[aHost];
  std::erase_if(leases,
                [&](const auto& aLease) { return aLease.second <= aNow; });
  leases[aRevision] = aNow + maxDuration_;
  return { length_, aRevision };
}

void
SettingsLeaseGranter::OnServing(const core::HostId& aHost,
                                core::Revision aRevision)
{
  const auto found = hosts_.find(aHost);
  if (found != hosts_.end()) {
    Leases& leases = found->second;
    leases.erase(leases.begin(), leases.lower_bound(aRevision));
  }
}

std::vector<core::HostId>
SettingsLeaseGranter::HostsBehind(core::Revision aRevision,
                                  core::MonotonicTime aNow) const
{
  std::vector<core::HostId> behind;
  for (const auto& [host, leases] : hosts_) {
    const bool serves =
      std::any_of(leases.begin(),
                  leases.lower_bound(aRevision),
                  [&](const auto& aLease) { return aLease.second > aNow; });
    if (serves) {
      behind.push_back(host);
    }
  }
  return behind;
}

bool
SettingsLeaseGranter::InForce(core::Revision aRevision,
                              core::MonotonicTime aNow) const
{
  return aNow >= inheritedEnd_ && HostsBehind(aRevision, aNow).empty();
}

} // namespace crocusslip::coordination
