#include "coordination/KeepAlive.hpp"
#include "coordination/Placement.hpp"

#include <chrono>
#include <map>
#include <set>

namespace crocusslip::coordination {

namespace {

double
Seconds(core::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// Base models of the adapters on each server. They can be unloaded only after
/// their adapters.
std::set<std::pair<core::DeploymentId, core::ServerId>>
BasesInUse(const CapacityView& aView)
{
  std::set<std::pair<core::DeploymentId, core::ServerId>> bases;
  for (const HeldReplica* replica : aView.Replicas()) {
    const CapacityDeployment* deployment =
      aView.Deployment(replica->deployment_);
    if (deployment != nullptr && deployment->base_) {
      bases.insert({ *deployment->base_, replica->server_ });
    }
  }
  return bases;
}

PlacementDecision
UnloadDecision(const HeldReplica& aReplica,
               PlacementReason aReason,
               core::MonotonicTime aNow)
{
  PlacementDecision decision;
  decision.action_ = PlacementAction::Unload;
  decision.reason_ = aReason;
  decision.deployment_ = aReplica.deployment_;
  decision.server_ = aReplica.server_;
  decision.memory_ = aReplica.memory_;
  decision.figures_.idleSeconds_ = Seconds(aNow - aReplica.lastUse_);
  return decision;
}

} // namespace

std::vector<PlacementDecision>
Placement::Unloads(const CapacityView& aView,
                   const DemandTable& aDemand,
                   core::MonotonicTime aNow) const
{
  std::vector<PlacementDecision> decisions;
  const auto basesInUse = BasesInUse(aView);
  std::map<core::DeploymentId, std::uint32_t> remaining;
  for (const HeldReplica* replica : aView.Replicas()) {
    remaining[replica->deployment_] +=
      replica->phase_ == HeldReplicaPhase::Unloading ? 0 : 1;
  }
  for (const HeldReplica* replica : aView.Replicas()) {
    const core::DeploymentId& id = replica->deployment_;
    if (replica->phase_ != HeldReplicaPhase::Loaded || replica->inFlight_ > 0 ||
        basesInUse.contains({ id, replica->server_ })) {
      continue;
    }
    const CapacityDeployment* deployment = aView.Deployment(id);
    std::uint32_t& left = remaining[id];
    if (deployment != nullptr && left > deployment->maxReplicas_) {
      --left;
      decisions.push_back(
        UnloadDecision(*replica, PlacementReason::AboveMaximum, aNow));
      continue;
    }
    const std::uint32_t minimum =
      deployment == nullptr ? 0 : deployment->minReplicas_;
    if (left <= minimum) {
      continue;
    }
    // Replicas beyond the first were loaded for a queue; they are unloaded
    // after a short idle time.
    const bool surplus =
      left > 1 && aNow - replica->lastUse_ >= settings_.surplusKeepAlive_;
    const bool idle = aDemand.Active(id, aNow) == 0 &&
                      keepAlive_.IdleDeadline(id, aNow) <= aNow;
    if (!surplus && !idle) {
      continue;
    }
    --left;
    PlacementDecision decision =
      UnloadDecision(*replica, PlacementReason::IdleDeadlinePassed, aNow);
    decision.figures_.useProbability_ =
      keepAlive_.ProbabilityOfUse(id, aNow, settings_.regretHorizon_);
    decisions.push_back(std::move(decision));
  }
  return decisions;
}

} // namespace crocusslip::coordination
