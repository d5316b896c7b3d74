#pragma once

#include "coordination/CapacityView.hpp"
#include "coordination/WaitCost.hpp"

namespace crocusslip::coordination {

class KeepAlive;

/// Values checkpoints in the servers' main memory, which a load displaces in
/// order of last use.
class CacheDisplacement
{
public:
  CacheDisplacement(const CapacityView& aView,
                    const KeepAlive& aKeepAlive,
                    WaitCost aCost,
                    core::Duration aHorizon,
                    core::MonotonicTime aNow);

  /// Expected cost of longer loads, within the horizon, caused by what a
  /// load of this deployment displaces from the server's memory.
  double DisplacementCost(const CapacityDeployment& aDeployment,
                          const core::ServerId& aServer) const;
  double ProbabilityOfUse(const core::DeploymentId& aDeployment) const;

private:
  struct Checkpoint
  {
    core::Bytes memory_;
    double loss_ = 0;
  };

  const std::vector<Checkpoint>& Checkpoints(
    const core::ServerId& aServer) const;
  double LossOf(const core::DeploymentId& aVictim,
                const core::ServerId& aServer) const;
  /// Least time of a load from the main memory of another server.
  double LoadElsewhere(const CapacityDeployment& aDeployment,
                       const core::ServerId& aServer) const;

  const CapacityView& view_;
  const KeepAlive& keepAlive_;
  WaitCost cost_;
  core::Duration horizon_;
  core::MonotonicTime now_;
  /// Computed at first use; the view does not change meanwhile.
  mutable std::unordered_map<core::DeploymentId, double> probabilities_;
  mutable std::unordered_map<core::ServerId, std::vector<Checkpoint>>
    checkpoints_;
};

} // namespace crocusslip::coordination
