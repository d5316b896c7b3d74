#pragma once

#include "core/Clock.hpp"
#include "core/Ids.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace crocusslip::coordination {

/// How long a host's reports count after the host was last heard.
inline constexpr core::Duration kDemandReportLifetime =
  std::chrono::milliseconds(1700);

/// One entry host's report on one deployment.
struct HostDemand
{
  core::HostId host_;
  core::DeploymentId deployment_;
  std::uint32_t waiting_ = 0;
  std::uint32_t inFlight_ = 0;
  std::optional<core::MonotonicTime> earliestDeadline_;
};

/// The demand of all entry hosts on one deployment.
struct DeploymentDemand
{
  core::DeploymentId deployment_;
  std::uint32_t waiting_ = 0;
  std::uint32_t inFlight_ = 0;
  std::optional<core::MonotonicTime> earliestDeadline_;
  /// Since when requests have waited without interruption.
  core::MonotonicTime waitingSince_;
  /// Nothing waits; the replica is loaded ahead of expected use.
  bool warmUp_ = false;
};

/// Adds up the reports of the entry hosts, so that a burst of first requests
/// at several hosts becomes one demand. A host's reports stand until it reports
/// otherwise, and expire once it is silent.
class DemandTable
{
public:
  explicit DemandTable(core::Duration aReportLife = kDemandReportLifetime);

  void Report(const HostDemand& aDemand, core::MonotonicTime aNow);
  /// The host was heard: what it has not reported otherwise still holds.
  void Renew(const core::HostId& aHost, core::MonotonicTime aNow);
  void RemoveHost(const core::HostId& aHost);
  /// Demand with requests waiting, the earliest deadline first.
  std::vector<DeploymentDemand> Waiting(core::MonotonicTime aNow);
  /// Requests waiting or in flight on a deployment, over all hosts.
  std::uint32_t Active(const core::DeploymentId& aDeployment,
                       core::MonotonicTime aNow) const;
  std::size_t Size() const { return deployments_.size(); }

private:
  struct Entry
  {
    HostDemand demand_;
    core::MonotonicTime reportedAt_;
  };
  struct Deployment
  {
    std::map<core::HostId, Entry> hosts_;
    core::MonotonicTime waitingSince_;
    bool waiting_ = false;
  };

  bool Fresh(const Entry& aEntry, core::MonotonicTime aNow) const;

  core::Duration reportLife_;
  std::map<core::DeploymentId, Deployment> deployments_;
  std::map<core::HostId, core::MonotonicTime> heard_;
};

} // namespace crocusslip::coordination
