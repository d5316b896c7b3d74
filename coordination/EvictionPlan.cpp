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

/// Replicas that are evicted together: one adapter, or a model with the
/// adapters that run on it.
struct Unit
{
  std::vector<Eviction> evictions_;
  core::Bytes memory_;
  double regretSeconds_ = 0;
  bool evictable_ = true;
};

class UnitBuilder
{
public:
  UnitBuilder(const EvictionRequest& aRequest,
              const std::set<EvictedReplica>& aAlreadyEvicted)
    : request_(aRequest)
    , alreadyEvicted_(aAlreadyEvicted)
    , replicas_(aRequest.view_.ReplicasOn(aRequest.server_))
  {
  }

  const std::vector<const HeldReplica*>& Replicas() const { return replicas_; }

  bool IsGoing(const HeldReplica& aReplica) const
  {
    return aReplica.phase_ == HeldReplicaPhase::Unloading ||
           alreadyEvicted_.contains({ aReplica.deployment_, aReplica.server_ });
  }

  Unit Build(const HeldReplica& aReplica) const
  {
    Unit unit;
    Add(unit, aReplica);
    for (const HeldReplica* other : replicas_) {
      if (!IsGoing(*other) && IsAdapterOf(*other, aReplica.deployment_)) {
        Add(unit, *other);
      }
    }
    return unit;
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
           request_.keep_ != id &&
           (minimum == 0 || request_.view_.ReplicasOf(id).size() > minimum);
  }

  void Add(Unit& aUnit, const HeldReplica& aReplica) const
  {
    aUnit.evictable_ = aUnit.evictable_ && IsEvictable(aReplica);
    Eviction eviction;
    eviction.deployment_ = aReplica.deployment_;
    eviction.memory_ = aReplica.memory_;
    eviction.idleSeconds_ = Seconds(request_.now_ - aReplica.lastUse_);
    const CapacityDeployment* deployment =
      request_.view_.Deployment(aReplica.deployment_);
    if (deployment != nullptr) {
      // An unloaded checkpoint stays in the server's memory cache.
      eviction.reloadSeconds_ = Seconds(deployment->loadTime_.front());
    }
    eviction.useProbability_ = request_.keepAlive_.ProbabilityOfUse(
      aReplica.deployment_, request_.now_, request_.horizon_);
    eviction.regretSeconds_ =
      request_.cost_.Of(eviction.reloadSeconds_) * eviction.useProbability_;
    aUnit.regretSeconds_ += eviction.regretSeconds_;
    aUnit.memory_ += eviction.memory_;
    aUnit.evictions_.push_back(std::move(eviction));
  }

  const EvictionRequest& request_;
  const std::set<EvictedReplica>& alreadyEvicted_;
  std::vector<const HeldReplica*> replicas_;
};

double
RegretPerByte(const Unit& aUnit)
{
  return aUnit.regretSeconds_ /
         static_cast<double>(std::max<std::uint64_t>(1, aUnit.memory_.Count()));
}

bool
CheaperUnit(const Unit& aLeft, const Unit& aRight)
{
  const double left = RegretPerByte(aLeft);
  const double right = RegretPerByte(aRight);
  if (left != right) {
    return left < right;
  }
  return aLeft.evictions_.front().idleSeconds_ >
         aRight.evictions_.front().idleSeconds_;
}

/// Drops units that turned out not to be needed, the dearest first.
void
DropSuperfluous(std::vector<Unit>& aUnits, core::Bytes aMissing)
{
  core::Bytes freed;
  for (const Unit& unit : aUnits) {
    freed += unit.memory_;
  }
  for (auto unit = aUnits.end(); unit != aUnits.begin();) {
    --unit;
    if (freed - unit->memory_ >= aMissing) {
      freed = freed - unit->memory_;
      unit = aUnits.erase(unit);
    }
  }
}

void
AddUnit(EvictionPlan& aPlan, const Unit& aUnit)
{
  for (const Eviction& eviction : aUnit.evictions_) {
    const bool planned =
      std::any_of(aPlan.evictions_.begin(),
                  aPlan.evictions_.end(),
                  [&](const Eviction& aOther) {
                    return aOther.deployment_ == eviction.deployment_;
                  });
    if (!planned) {
      aPlan.regretSeconds_ += eviction.regretSeconds_;
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
  const UnitBuilder builder(aRequest, aAlreadyEvicted);
  core::Bytes free = aRequest.view_.FreeMemory(aRequest.server_);
  for (const HeldReplica* replica : builder.Replicas()) {
    free += builder.IsGoing(*replica) ? replica->memory_ : core::Bytes();
  }
  EvictionPlan plan;
  if (free >= aNeeded) {
    return plan;
  }
  std::vector<Unit> units;
  for (const HeldReplica* replica : builder.Replicas()) {
    Unit unit = builder.Build(*replica);
    if (!builder.IsGoing(*replica) && unit.evictable_) {
      units.push_back(std::move(unit));
    }
  }
  std::sort(units.begin(), units.end(), CheaperUnit);
  const core::Bytes missing = aNeeded - free;
  core::Bytes freed;
  std::vector<Unit> chosen;
  std::set<core::DeploymentId> counted;
  for (Unit& unit : units) {
    if (freed >= missing) {
      break;
    }
    for (const Eviction& eviction : unit.evictions_) {
      if (counted.insert(eviction.deployment_).second) {
        freed += eviction.memory_;
      }
    }
    chosen.push_back(std::move(unit));
  }
  if (freed < missing) {
    return std::nullopt;
  }
  if (counted.size() == chosen.size()) {
    DropSuperfluous(chosen, missing);
  }
  for (const Unit& unit : chosen) {
    AddUnit(plan, unit);
  }
  return plan;
}

} // namespace crocusslip::coordination
