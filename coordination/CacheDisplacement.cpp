#include "coordination/CacheDisplacement.hpp"

#include "coordination/KeepAlive.hpp"

#include <algorithm>
#include <chrono>
#include <limits>

namespace crocusslip::coordination {

namespace {

double
Seconds(core::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

CacheDisplacement::CacheDisplacement(const CapacityView& aView,
                                     const KeepAlive& aKeepAlive,
                                     WaitCost aCost,
                                     core::Duration aHorizon,
                                     core::MonotonicTime aNow)
  : view_(aView)
  , keepAlive_(aKeepAlive)
  , waitCost_(aCost)
  , horizon_(aHorizon)
  , now_(aNow)
{
}

double
CacheDisplacement::ProbabilityOfUse(const core::DeploymentId& aDeployment) const
{
  const auto known = probabilities_.find(aDeployment);
  if (known != probabilities_.end()) {
    return known->second;
  }
  const double probability =
    keepAlive_.ProbabilityOfUse(aDeployment, now_, horizon_);
  probabilities_.emplace(aDeployment, probability);
  return probability;
}

double
CacheDisplacement::LoadTimeElsewhere(const CapacityDeployment& aDeployment,
                                     const core::ServerId& aServer) const
{
  const double fromMemory = Seconds(aDeployment.loadTime_.front());
  double least = std::numeric_limits<double>::infinity();
  for (const core::ServerId& other :
       view_.ServersWithCheckpointInMemory(aDeployment.id_)) {
    const CapacityServer* server = view_.Server(other);
    if (other != aServer && server != nullptr &&
        server->standing_ == ServerStanding::Live) {
      least = std::min(least, fromMemory / server->speed_);
    }
  }
  return least;
}

double
CacheDisplacement::DisplacementCostOf(const core::DeploymentId& aVictim,
                                      const core::ServerId& aServer) const
{
  const CapacityDeployment* victim = view_.Deployment(aVictim);
  if (victim == nullptr) {
    return 0;
  }
  constexpr auto kMemory = static_cast<std::size_t>(CheckpointTier::Memory);
  constexpr auto kDisk = static_cast<std::size_t>(CheckpointTier::Disk);
  const double speed = view_.Server(aServer)->speed_;
  const double present = Seconds(victim->loadTime_.at(kMemory)) / speed;
  const double displaced =
    std::min(Seconds(victim->loadTime_.at(kDisk)) / speed,
             LoadTimeElsewhere(*victim, aServer));
  return ProbabilityOfUse(aVictim) *
         std::max(0.0, waitCost_.Of(displaced) - waitCost_.Of(present));
}

double
CacheDisplacement::DisplacementCost(const CapacityDeployment& aDeployment,
                                    const core::ServerId& aServer) const
{
  const CapacityServer* server = view_.Server(aServer);
  if (server == nullptr || server->cacheMemory_ == core::Bytes() ||
      view_.Tier(aDeployment.id_, aServer) == CheckpointTier::Memory) {
    return 0;
  }
  core::Bytes used = aDeployment.memory_;
  double cost = 0;
  for (const Checkpoint& checkpoint : Checkpoints(aServer)) {
    used += checkpoint.memory_;
    cost += used > server->cacheMemory_ ? checkpoint.displacementCost_ : 0;
  }
  return cost;
}

const std::vector<CacheDisplacement::Checkpoint>&
CacheDisplacement::Checkpoints(const core::ServerId& aServer) const
{
  const auto known = checkpoints_.find(aServer);
  if (known != checkpoints_.end()) {
    return known->second;
  }
  std::vector<Checkpoint>& checkpoints = checkpoints_[aServer];
  for (const core::DeploymentId& id : view_.CheckpointsInMemory(aServer)) {
    const CapacityDeployment* deployment = view_.Deployment(id);
    if (deployment != nullptr) {
      checkpoints.push_back(
        { deployment->memory_, DisplacementCostOf(id, aServer) });
    }
  }
  return checkpoints;
}

} // namespace crocusslip::coordination
