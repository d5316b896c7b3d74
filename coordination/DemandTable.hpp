#pragma once

#include "core/Clock.hpp"
#include "core/Ids.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace crocusslip::coordination {

/// How long a host's reports stay valid after its last message.
inline constexpr core::Duration kDemandReportLifetime =
  std::chrono::milliseconds(1700);

/// One entry host's report of its demand for one deployment.
struct HostDemand
{
  core::HostId host_;
  core::DeploymentId deployment_;
  std::uint32_t waiting_ = 0;
  std::uint32_t inFlight_ = 0;
  std::optional<core::MonotonicTime> earliestDeadline_;
};

/// Demand for one deployment, summed over all entry hosts.
struct DeploymentDemand
{
  core::DeploymentId deployment_;
  std::uint32_t waiting_ = 0;
  std::uint32_t inFlight_ = 0;
  std::optional<core::MonotonicTime> earliestDeadline_;
  /// Start of the current uninterrupted period with waiting requests.
  core::MonotonicTime waitingSince_;
  /// Load a replica even if no request is waiting.
  bool warmUp_ = false;
};

/// Sums the reports of the entry hosts, so that a burst of first requests at
/// several hosts counts as one demand. A report is valid until the host
/// replaces it, or until the host has been silent for the report lifetime.
class DemandTable
{
public:
  explicit DemandTable(core::Duration aReportLifetime = kDemandReportLifetime);

  void Report(const HostDemand& aDemand, core::MonotonicTime aNow);
  /// Extends the lifetime of the host's reports after a message from it.
  void Renew(const core::HostId& aHost, core::MonotonicTime aNow);
  void RemoveHost(const core::HostId& aHost);
  /// Deployments with waiting requests, ordered by earliest deadline.
  std::vector<DeploymentDemand> Waiting(core::MonotonicTime aNow);
  /// Requests waiting or in flight at a deployment, over all hosts.
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

  core::Duration reportLifetime_;
  std::map<core::DeploymentId, Deployment> deployments_;
  std::map<core::HostId, core::MonotonicTime> lastHeard_;
};

} // namespace crocusslip::coordination
