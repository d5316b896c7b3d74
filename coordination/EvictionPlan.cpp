#include "coordination/EvictionPlan.hpp"

#include "coordination/KeepAlive.hpp"

#include <algorithm>
#include <chrono>

namespace crocusslip::coordination {

namespace {

double
Seconds(core::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// Replicas that can only be evicted together: an adapter, or a base model and
/// its adapters on the same server.
struct EvictionGroup
{
  std::vector<Eviction> evictions_;
  core::Bytes memory_;
  double expectedReloadCost_ = 0;
  bool evictable_ = true;
};

class GroupBuilder
{
public:
  GroupBuilder(const EvictionRequest& aRequest,
               const std::set<EvictedReplica>& aAlreadyEvicted)
    : request_(aRequest)
    , alreadyEvicted_(aAlreadyEvicted)
    , replicas_(aRequest.view_.ReplicasOn(aRequest.server_))
  {
  }

  const std::vector<const HeldReplica*>& Replicas() const { return replicas_; }

  bool IsUnloading(const HeldReplica& aReplica) const
  {
    return aReplica.phase_ == HeldReplicaPhase::Unloading ||
           alreadyEvicted_.contains({ aReplica.deployment_, aReplica.server_ });
  }

  EvictionGroup Build(const HeldReplica& aReplica) const
  {
    EvictionGroup group;
    Add(group, aReplica);
    for (const HeldReplica* other : replicas_) {
      if (!IsUnloading(*other) && IsAdapterOf(*other, aReplica.deployment_)) {
        Add(group, *other);
      }
    }
    return group;
  }

private:
  bool IsAdapterOf(const HeldReplica& aReplica,
                   const core::DeploymentId& aBase) const
  {
    const CapacityDeployment* deployment =
      request_.view_.Deployment(aReplica.deployment_);
    return deployment != nullptr && deployment->base_ == aBase;
  }

  bool IsEvictable(const HeldReplica& aReplica) const
  {
    const core::DeploymentId& id = aReplica.deployment_;
    const CapacityDeployment* deployment = request_.view_.Deployment(id);
    const std::uint32_t minimum =
      deployment == nullptr ? 0 : deployment->minReplicas_;
    return aReplica.phase_ == HeldReplicaPhase::Loaded &&
           aReplica.inFlight_ == 0 && !request_.protected_.contains(id) &&
           request_.keptBase_ != id &&
           (minimum == 0 || request_.view_.ReplicasOf(id).size() > minimum);
  }

  void Add(EvictionGroup& aGroup, const HeldReplica& aReplica) const
  {
    aGroup.evictable_ = aGroup.evictable_ && IsEvictable(aReplica);
    Eviction eviction;
    eviction.deployment_ = aReplica.deployment_;
    eviction.memory_ = aReplica.memory_;
    eviction.idleSeconds_ = Seconds(request_.now_ - aReplica.lastUse_);
    const CapacityDeployment* deployment =
      request_.view_.Deployment(aReplica.deployment_);
    if (deployment != nullptr) {
      // After an unload, the checkpoint stays cached in the server's memory.
      eviction.reloadSeconds_ = Seconds(deployment->loadTime_.front());
    }
    eviction.useProbability_ = request_.keepAlive_.ProbabilityOfUse(
      aReplica.deployment_, request_.now_, request_.horizon_);
    eviction.expectedReloadCost_ =
      request_.cost_.Of(eviction.reloadSeconds_) * eviction.useProbability_;
    aGroup.expectedReloadCost_ += eviction.expectedReloadCost_;
    aGroup.memory_ += eviction.memory_;
    aGroup.evictions_.push_back(std::move(eviction));
  }

  const EvictionRequest& request_;
  const std::set<EvictedReplica>& alreadyEvicted_;
  std::vector<const HeldReplica*> replicas_;
};

double
RegretPerByte(const EvictionGroup& aGroup)
{
  return aGroup.expectedReloadCost_ /
         static_cast<double>(
           std::max<std::uint64_t>(1, aGroup.memory_.Count()));
}

bool
CheaperGroup(const EvictionGroup& aLeft, const EvictionGroup& aRight)
{
  const double left = RegretPerByte(aLeft);
  const double right = RegretPerByte(aRight);
  if (left != right) {
    return left < right;
  }
  return aLeft.evictions_.front().idleSeconds_ >
         aRight.evictions_.front().idleSeconds_;
}

/// Removes groups that aren't needed to free aMissing bytes, those with the
/// highest regret per byte first.
void
DropUnneeded(std::vector<EvictionGroup>& aGroups, core::Bytes aMissing)
{
  core::Bytes freed;
  for (const EvictionGroup& group : aGroups) {
    freed += group.memory_;
  }
  for (auto group = aGroups.end(); group != aGroups.begin();) {
    --group;
    if (freed - group->memory_ >= aMissing) {
      freed = freed - group->memory_;
      group = aGroups.erase(group);
    }
  }
}

void
AddGroup(EvictionPlan& aPlan, const EvictionGroup& aGroup)
{
  for (const Eviction& eviction : aGroup.evictions_) {
    const bool planned =
      std::any_of(aPlan.evictions_.begin(),
                  aPlan.evictions_.end(),
                  [&](const Eviction& aOther) {
                    return aOther.deployment_ == eviction.deployment_;
                  });
    if (!planned) {
      aPlan.expectedReloadCost_ += eviction.expectedReloadCost_;
      aPlan.evictions_.push_back(eviction);
    }
  }
}

} // namespace

std::optional<EvictionPlan>
PlanEvictions(const EvictionRequest& aRequest,
              core::Bytes aNeeded,
              const std::set<EvictedReplica>& aAlreadyEvicted)
{
  const GroupBuilder builder(aRequest, aAlreadyEvicted);
  core::Bytes free = aRequest.view_.FreeMemory(aRequest.server_);
  for (const HeldReplica* replica : builder.Replicas()) {
    free += builder.IsUnloading(*replica) ? replica->memory_ : core::Bytes();
  }
  EvictionPlan plan;
  if (free >= aNeeded) {
    return plan;
  }
  std::vector<EvictionGroup> groups;
  for (const HeldReplica* replica : builder.Replicas()) {
    EvictionGroup group = builder.Build(*replica);
    if (!builder.IsUnloading(*replica) && group.evictable_) {
      groups.push_back(std::move(group));
    }
  }
  std::sort(groups.begin(), groups.end(), CheaperGroup);
  const core::Bytes missing = aNeeded - free;
  core::Bytes freed;
  std::vector<EvictionGroup> chosen;
  std::set<core::DeploymentId> counted;
  for (EvictionGroup& group : groups) {
    if (freed >= missing) {
      break;
    }
    for (const Eviction& eviction : group.evictions_) {
      if (counted.insert(eviction.deployment_).second) {
        freed += eviction.memory_;
      }
    }
    chosen.push_back(std::move(group));
  }
  if (freed < missing) {
    return std::nullopt;
  }
  if (counted.size() == chosen.size()) {
    DropUnneeded(chosen, missing);
  }
  for (const EvictionGroup& group : chosen) {
    AddGroup(plan, group);
  }
  return plan;
}

} // namespace crocusslip::coordination
