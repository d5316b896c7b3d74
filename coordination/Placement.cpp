#include "coordination/Placement.hpp"

#include "coordination/CacheDisplacement.hpp"
#include "coordination/EvictionPlan.hpp"
#include "coordination/KeepAlive.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <set>

namespace crocusslip::coordination {

namespace {

double
Seconds(core::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// Memory reservations, demands and evictions so far in one call to Decide.
struct DecideState
{
  std::map<core::ServerId, core::Bytes> reserved_;
  std::set<core::DeploymentId> decided_;
  /// Deployments with demand in this call, and their base models; their
  /// replicas are not evicted.
  std::set<core::DeploymentId> demanded_;
  std::set<EvictedReplica> evicted_;
};

struct Candidate
{
  PlacementCandidate summary_;
  const CapacityServer* server_ = nullptr;
  core::Bytes freeNow_;
  EvictionPlan evictions_;
};

bool
CheaperCandidate(const Candidate& aLeft, const Candidate& aRight)
{
  if (aLeft.summary_.totalCost_ != aRight.summary_.totalCost_) {
    return aLeft.summary_.totalCost_ < aRight.summary_.totalCost_;
  }
  return aLeft.summary_.server_ < aRight.summary_.server_;
}

bool
IsAllowed(const CapacityDeployment& aDeployment, const core::ServerId& aServer)
{
  const auto& servers = aDeployment.servers_;
  return servers.empty() ||
         std::find(servers.begin(), servers.end(), aServer) != servers.end();
}

/// State and logic of one call to Decide.
class DecisionPass
{
public:
  DecisionPass(const PlacementSettings& aSettings,
               const KeepAlive& aKeepAlive,
               const CapacityView& aView,
               core::MonotonicTime aNow)
    : settings_(aSettings)
    , keepAlive_(aKeepAlive)
    , view_(aView)
    , now_(aNow)
    , displacement_(aView,
                    aKeepAlive,
                    aSettings.waitCost_,
                    aSettings.stageHorizon_,
                    aNow)
  {
  }

  void Protect(const core::DeploymentId& aDeployment);
  void DecideOne(const DeploymentDemand& aDemand, PlacementReason aLoadReason);
  std::vector<PlacementDecision> TakeDecisions()
  {
    return std::move(decisions_);
  }

private:
  struct ReplicaCounts
  {
    /// Whatever their phase and server.
    std::uint32_t total_ = 0;
    /// Replicas in phase Loaded and in phase Loading, except on leaving, gone
    /// or drained servers.
    std::uint32_t loaded_ = 0;
    std::uint32_t loading_ = 0;
  };

  ReplicaCounts CountReplicas(const core::DeploymentId& aDeployment) const;
  std::uint32_t WantedReplicas(const CapacityDeployment& aDeployment,
                               const DeploymentDemand& aDemand) const;
  std::vector<Candidate> Candidates(const CapacityDeployment& aDeployment,
                                    bool& aMemoryShort) const;
  std::optional<Candidate> Evaluate(const CapacityDeployment& aDeployment,
                                    const CapacityServer& aServer,
                                    bool& aMemoryShort) const;
  bool IsEligible(const CapacityDeployment& aDeployment,
                  const CapacityServer& aServer) const;
  bool IsNewFailureDomain(const CapacityDeployment& aDeployment,
                          const CapacityServer& aServer) const;
  void DecideBase(const CapacityDeployment& aAdapter,
                  const DeploymentDemand& aDemand);
  void SelectCandidate(const Candidate& aBest, PlacementDecision aDecision);
  void Wait(PlacementDecision aDecision, PlacementReason aReason);

  const PlacementSettings& settings_;
  const KeepAlive& keepAlive_;
  const CapacityView& view_;
  core::MonotonicTime now_;
  CacheDisplacement displacement_;
  DecideState state_;
  std::vector<PlacementDecision> decisions_;
};

void
DecisionPass::Protect(const core::DeploymentId& aDeployment)
{
  state_.demanded_.insert(aDeployment);
  const CapacityDeployment* deployment = view_.Deployment(aDeployment);
  if (deployment != nullptr && deployment->base_) {
    state_.demanded_.insert(*deployment->base_);
  }
}

DecisionPass::ReplicaCounts
DecisionPass::CountReplicas(const core::DeploymentId& aDeployment) const
{
  ReplicaCounts count;
  for (const HeldReplica* replica : view_.ReplicasOf(aDeployment)) {
    ++count.total_;
    const CapacityServer* server = view_.Server(replica->server_);
    const bool leaving = server == nullptr ||
                         server->standing_ == ServerStanding::Leaving ||
                         server->standing_ == ServerStanding::Gone ||
                         server->standing_ == ServerStanding::Drained;
    if (leaving) {
      continue;
    }
    count.loading_ += replica->phase_ == HeldReplicaPhase::Loading ? 1 : 0;
    count.loaded_ += replica->phase_ == HeldReplicaPhase::Loaded ? 1 : 0;
  }
  return count;
}

std::uint32_t
DecisionPass::WantedReplicas(const CapacityDeployment& aDeployment,
                             const DeploymentDemand& aDemand) const
{
  // Shorter loads count as this long; otherwise a short queue would already
  // justify another replica.
  constexpr double kShortestLoadSeconds = 1.0;
  const double load =
    std::max(kShortestLoadSeconds,
             Seconds(aDeployment.loadTime_.at(
               static_cast<std::size_t>(CheckpointTier::Disk))));
  const double work = aDemand.waiting_ * Seconds(aDeployment.serviceTime_) /
                      std::max(1U, aDeployment.concurrency_);
  const double ratio = work / (load * settings_.queueToLoadRatio_);
  const auto wanted = static_cast<std::uint32_t>(
    std::min<double>(std::ceil(ratio), aDeployment.maxReplicas_));
  const std::uint32_t minimum =
    std::max(aDeployment.minReplicas_,
             aDemand.waiting_ > 0 || aDemand.warmUp_ ? 1U : 0U);
  return std::min(std::max(wanted, minimum), aDeployment.maxReplicas_);
}

bool
DecisionPass::IsEligible(const CapacityDeployment& aDeployment,
                         const CapacityServer& aServer) const
{
  if (aServer.standing_ != ServerStanding::Live ||
      aServer.memory_ < aDeployment.memory_ ||
      !IsAllowed(aDeployment, aServer.id_) ||
      view_.Replica(aDeployment.id_, aServer.id_) != nullptr) {
    return false;
  }
  if (!aDeployment.base_) {
    return true;
  }
  const HeldReplica* base = view_.Replica(*aDeployment.base_, aServer.id_);
  return base != nullptr && base->phase_ == HeldReplicaPhase::Loaded &&
         !state_.evicted_.contains({ *aDeployment.base_, aServer.id_ });
}

bool
DecisionPass::IsNewFailureDomain(const CapacityDeployment& aDeployment,
                                 const CapacityServer& aServer) const
{
  for (const HeldReplica* replica : view_.ReplicasOf(aDeployment.id_)) {
    const CapacityServer* server = view_.Server(replica->server_);
    if (server != nullptr && server->failureDomain_ == aServer.failureDomain_) {
      return false;
    }
  }
  return true;
}

std::optional<Candidate>
DecisionPass::Evaluate(const CapacityDeployment& aDeployment,
                       const CapacityServer& aServer,
                       bool& aMemoryShort) const
{
  if (!IsEligible(aDeployment, aServer)) {
    return std::nullopt;
  }
  Candidate candidate;
  candidate.server_ = &aServer;
  const auto reserved = state_.reserved_.find(aServer.id_);
  const core::Bytes reservedBytes =
    reserved == state_.reserved_.end() ? core::Bytes() : reserved->second;
  candidate.freeNow_ = view_.FreeMemory(aServer.id_) - reservedBytes;
  const EvictionRequest request{ view_,
                                 keepAlive_,
                                 state_.demanded_,
                                 now_,
                                 settings_.regretHorizon_,
                                 settings_.waitCost_,
                                 aServer.id_,
                                 aDeployment.base_ };
  std::optional<EvictionPlan> plan = PlanEvictions(
    request, aDeployment.memory_ + reservedBytes, state_.evicted_);
  if (!plan) {
    aMemoryShort = true;
    return std::nullopt;
  }
  candidate.evictions_ = std::move(*plan);
  PlacementCandidate& summary = candidate.summary_;
  summary.server_ = aServer.id_;
  summary.tier_ = view_.Tier(aDeployment.id_, aServer.id_);
  summary.free_ = candidate.freeNow_;
  summary.loadSeconds_ = Seconds(view_.LoadTime(aDeployment, aServer));
  summary.expectedReloadCost_ = candidate.evictions_.expectedReloadCost_;
  summary.spreadCost_ =
    IsNewFailureDomain(aDeployment, aServer) ? 0 : settings_.spreadCost_;
  const double service = Seconds(aDeployment.serviceTime_) / aServer.speed_;
  const double unloading =
    candidate.freeNow_ < aDeployment.memory_ ? settings_.unloadSeconds_ : 0;
  summary.displacementCost_ =
    settings_.displacementWeight_ *
    displacement_.DisplacementCost(aDeployment, aServer.id_);
  summary.totalCost_ =
    settings_.waitCost_.Of(summary.loadSeconds_ + unloading) +
    summary.expectedReloadCost_ + summary.displacementCost_ +
    summary.spreadCost_ + service;
  return candidate;
}

std::vector<Candidate>
DecisionPass::Candidates(const CapacityDeployment& aDeployment,
                         bool& aMemoryShort) const
{
  std::vector<Candidate> candidates;
  for (const auto& [id, server] : view_.Servers()) {
    std::optional<Candidate> candidate =
      Evaluate(aDeployment, server, aMemoryShort);
    if (candidate) {
      candidates.push_back(std::move(*candidate));
    }
  }
  std::sort(candidates.begin(), candidates.end(), CheaperCandidate);
  return candidates;
}

void
DecisionPass::Wait(PlacementDecision aDecision, PlacementReason aReason)
{
  aDecision.action_ = PlacementAction::Wait;
  aDecision.reason_ = aReason;
  decisions_.push_back(std::move(aDecision));
}

void
DecisionPass::DecideBase(const CapacityDeployment& aAdapter,
                         const DeploymentDemand& aDemand)
{
  DeploymentDemand base = aDemand;
  base.deployment_ = *aAdapter.base_;
  base.warmUp_ = true;
  DecideOne(base, PlacementReason::BaseOfAdapter);
}

void
DecisionPass::SelectCandidate(const Candidate& aBest,
                              PlacementDecision aDecision)
{
  state_.reserved_[aBest.summary_.server_] += aDecision.memory_;
  aDecision.server_ = aBest.summary_.server_;
  aDecision.tier_ = aBest.summary_.tier_;
  aDecision.expectedLoad_ =
    view_.LoadTime(*view_.Deployment(aDecision.deployment_), *aBest.server_);
  for (const Eviction& eviction : aBest.evictions_.evictions_) {
    PlacementDecision evict;
    evict.action_ = PlacementAction::Evict;
    evict.reason_ = PlacementReason::MakeRoom;
    evict.deployment_ = eviction.deployment_;
    evict.server_ = aDecision.server_;
    evict.onBehalfOf_ = aDecision.deployment_;
    evict.memory_ = eviction.memory_;
    evict.figures_.reloadSeconds_ = eviction.reloadSeconds_;
    evict.figures_.useProbability_ = eviction.useProbability_;
    evict.figures_.idleSeconds_ = eviction.idleSeconds_;
    state_.evicted_.insert({ eviction.deployment_, aDecision.server_ });
    decisions_.push_back(std::move(evict));
  }
  if (aBest.freeNow_ < aDecision.memory_) {
    Wait(std::move(aDecision), PlacementReason::AwaitingUnload);
    return;
  }
  aDecision.action_ = PlacementAction::Load;
  decisions_.push_back(std::move(aDecision));
}

void
DecisionPass::DecideOne(const DeploymentDemand& aDemand,
                        PlacementReason aLoadReason)
{
  if (!state_.decided_.insert(aDemand.deployment_).second) {
    return;
  }
  PlacementDecision decision;
  decision.deployment_ = aDemand.deployment_;
  decision.reason_ = aLoadReason;
  decision.earliestDeadline_ = aDemand.earliestDeadline_;
  PlacementFigures& figures = decision.figures_;
  figures.waiting_ = aDemand.waiting_;
  figures.inFlight_ = aDemand.inFlight_;
  const CapacityDeployment* deployment = view_.Deployment(aDemand.deployment_);
  if (deployment == nullptr) {
    Wait(std::move(decision), PlacementReason::UnknownDeployment);
    return;
  }
  const ReplicaCounts count = CountReplicas(aDemand.deployment_);
  decision.memory_ = deployment->memory_;
  figures.needed_ = deployment->memory_;
  figures.replicas_ = count.total_;
  figures.wantedReplicas_ = WantedReplicas(*deployment, aDemand);
  figures.maxReplicas_ = deployment->maxReplicas_;
  if (count.loaded_ + count.loading_ >= figures.wantedReplicas_) {
    Wait(std::move(decision),
         count.loaded_ >= figures.wantedReplicas_
           ? PlacementReason::EnoughReplicas
           : PlacementReason::AwaitingLoad);
    return;
  }
  if (count.total_ >= deployment->maxReplicas_) {
    Wait(std::move(decision), PlacementReason::MaximumReplicas);
    return;
  }
  bool memoryShort = false;
  const std::vector<Candidate> candidates =
    Candidates(*deployment, memoryShort);
  if (candidates.empty() && deployment->base_ && !memoryShort) {
    Wait(std::move(decision), PlacementReason::AwaitingBase);
    DecideBase(*deployment, aDemand);
    return;
  }
  if (candidates.empty()) {
    Wait(std::move(decision),
         memoryShort ? PlacementReason::NoMemory
                     : PlacementReason::NoEligibleServer);
    return;
  }
  if (aLoadReason == PlacementReason::FirstReplica && count.loaded_ > 0) {
    decision.reason_ = PlacementReason::MoreReplicas;
  }
  for (const Candidate& candidate : candidates) {
    if (figures.candidates_.size() >= settings_.candidatesShown_) {
      break;
    }
    figures.candidates_.push_back(candidate.summary_);
  }
  SelectCandidate(candidates.front(), std::move(decision));
}

} // namespace

Placement::Placement(PlacementSettings aSettings, const KeepAlive& aKeepAlive)
  : settings_(aSettings)
  , keepAlive_(aKeepAlive)
{
}

std::vector<PlacementDecision>
Placement::Decide(const CapacityView& aView,
                  const std::vector<DeploymentDemand>& aDemand,
                  core::MonotonicTime aNow) const
{
  DecisionPass round(settings_, keepAlive_, aView, aNow);
  for (const DeploymentDemand& demand : aDemand) {
    round.Protect(demand.deployment_);
  }
  for (const DeploymentDemand& demand : aDemand) {
    round.DecideOne(demand,
                    demand.warmUp_ ? PlacementReason::WarmUp
                                   : PlacementReason::FirstReplica);
  }
  return round.TakeDecisions();
}

} // namespace crocusslip::coordination
