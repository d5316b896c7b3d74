#pragma once

#include "coordination/CapacityView.hpp"
#include "coordination/WaitCost.hpp"

namespace crocusslip::coordination {

class KeepAlive;

/// Estimates the cost of displacing checkpoints from a server's main memory,
/// which is an LRU cache that each load fills.
class CacheDisplacement
{
public:
  CacheDisplacement(const CapacityView& aView,
                    const KeepAlive& aKeepAlive,
                    WaitCost aCost,
                    core::Duration aHorizon,
                    core::MonotonicTime aNow);

  /// Expected cost, within the horizon, of the slower loads of checkpoints that
  /// loading this deployment displaces from the server's memory.
  double DisplacementCost(const CapacityDeployment& aDeployment,
                          const core::ServerId& aServer) const;
  double ProbabilityOfUse(const core::DeploymentId& aDeployment) const;

private:
  struct Checkpoint
  {
    core::Bytes memory_;
    double displacementCost_ = 0;
  };

  const std::vector<Checkpoint>& Checkpoints(
    const core::ServerId& aServer) const;
  double DisplacementCostOf(const core::DeploymentId& aVictim,
                            const core::ServerId& aServer) const;
  /// Shortest load time on another live server that has the checkpoint in main
  /// memory, in seconds; infinity if there is none.
  double LoadTimeElsewhere(const CapacityDeployment& aDeployment,
                           const core::ServerId& aServer) const;

  const CapacityView& view_;
  const KeepAlive& keepAlive_;
  WaitCost waitCost_;
  core::Duration horizon_;
  core::MonotonicTime now_;
  /// Computed on first use; the view must not change during the lifetime.
  mutable std::unordered_map<core::DeploymentId, double> probabilities_;
  mutable std::unordered_map<core::ServerId, std::vector<Checkpoint>>
    checkpoints_;
};

} // namespace crocusslip::coordination
