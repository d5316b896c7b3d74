#include "replay/ControlModel.hpp"

#include <algorithm>
#include <chrono>

namespace crocusslip::replay {

namespace {

using namespace std::chrono_literals;
using coordination::CapacityDeployment;
using coordination::CheckpointTier;
using coordination::DeploymentDemand;
using coordination::HeldReplica;
using coordination::LoadClass;
using coordination::PlacementAction;
using coordination::PlacementDecision;
using coordination::QueuedLoad;
using coordination::ServerStanding;

/// From demand at an entry host to a committed decision.
constexpr auto kDecisionDelay = 5ms;
constexpr auto kDecideInterval = 200ms;
constexpr auto kWarmUpInterval = 5s;
/// A warm-up that finds no memory for this long is given up.
constexpr auto kWarmUpPatience = 30s;
/// Pause after nothing was found worth staging.
constexpr auto kStageInterval = 2min;
constexpr auto kShortestIdleCheck = 50ms;

LoadClass
ClassOf(const CapacityDeployment& aDeployment, CheckpointTier aTier)
{
  if (aTier != CheckpointTier::Remote) {
    return LoadClass::Local;
  }
  return aDeployment.kind_ == coordination::DeploymentKind::Adapter
           ? LoadClass::Adapter
           : LoadClass::Model;
}

} // namespace

ControlModel::ControlModel(const protocol::TraceSettings& aSettings,
                           const ReplayPolicy& aPolicy,
                           EventQueue& aEvents,
                           BackendStandIn& aBackend,
                           Recorder& aRecorder,
                           OnReplicas aOnReplicas)
  : settings_(aSettings)
  , events_(aEvents)
  , backend_(aBackend)
  , recorder_(aRecorder)
  , onReplicas_(std::move(aOnReplicas))
  , staging_(aPolicy.staging_)
  , keepAlive_(aPolicy.keepAlive_, core::MonotonicTime{})
  , placement_(aPolicy.placement_, keepAlive_)
  , scheduler_(aSettings.store_, aPolicy.loadOrder_)
{
  for (const protocol::TraceServer& server : aSettings.servers_) {
    OnServerRestored(server);
  }
  for (const protocol::TraceDeployment& deployment : aSettings.deployments_) {
    const CapacityDeployment& capacity = deployment.capacity_;
    view_.SetDeployment(capacity);
    coordination::KeepAliveSettings keepAlive;
    keepAlive.idleCost_ = aPolicy.idleCost_.value_or(aSettings.idleCost_);
    keepAlive.windows_ = deployment.windows_;
    coordination::KeepAliveCost cost;
    cost.acceleratorShare_ =
      ShareOf(capacity.id_, aSettings.servers_.front().id_);
    cost.reload_ = capacity.loadTime_.front();
    keepAlive_.SetDeployment(capacity.id_, keepAlive, cost);
  }
}

double
ControlModel::ShareOf(const core::DeploymentId& aDeployment,
                      const core::ServerId& aServer) const
{
  const CapacityDeployment* deployment = view_.Deployment(aDeployment);
  const coordination::CapacityServer* server = view_.Server(aServer);
  if (deployment == nullptr || server == nullptr) {
    return 0;
  }
  return static_cast<double>(deployment->memory_.Count()) /
         static_cast<double>(
           std::max<std::uint64_t>(1, server->memory_.Count()));
}

void
ControlModel::Start()
{
  for (const protocol::TraceDeployment& deployment : settings_.deployments_) {
    LoadMinimum(deployment.capacity_);
  }
  CheckWarmUps();
}

/// Minimum replicas are loaded before the trace begins.
void
ControlModel::LoadMinimum(const CapacityDeployment& aDeployment)
{
  std::uint32_t missing = aDeployment.minReplicas_;
  for (const core::ServerId& server : aDeployment.servers_) {
    if (missing == 0) {
      return;
    }
    view_.SetReplica({ aDeployment.id_,
                       server,
                       HeldReplicaPhase::Loaded,
                       aDeployment.memory_,
                       0,
                       events_.Now(),
                       events_.Now() });
    --missing;
  }
  onReplicas_(aDeployment.id_);
}

void
ControlModel::OnUse(const core::DeploymentId& aDeployment,
                    core::MonotonicTime aNow)
{
  keepAlive_.OnUse(aDeployment, aNow);
  const CapacityDeployment* deployment = view_.Deployment(aDeployment);
  if (deployment != nullptr && deployment->base_) {
    keepAlive_.OnUse(*deployment->base_, aNow);
  }
}

void
ControlModel::Report(const coordination::HostDemand& aDemand)
{
  demand_.Report(aDemand, events_.Now());
  if (aDemand.waiting_ > 0) {
    RequestDecide();
  }
}

void
ControlModel::RequestDecide()
{
  if (decideScheduled_) {
    return;
  }
  decideScheduled_ = true;
  events_.After(kDecisionDelay, [this] {
    decideScheduled_ = false;
    Decide();
  });
}

std::vector<DeploymentDemand>
ControlModel::DemandWithWarmUps()
{
  std::vector<DeploymentDemand> demand = demand_.Waiting(events_.Now());
  std::erase_if(warmUps_, [this](const auto& aWarmUp) {
    return aWarmUp.second < events_.Now() ||
           !view_.ReplicasOf(aWarmUp.first).empty();
  });
  for (const auto& [deployment, until] : warmUps_) {
    DeploymentDemand warmUp;
    warmUp.deployment_ = deployment;
    warmUp.warmUp_ = true;
    demand.push_back(warmUp);
  }
  return demand;
}

void
ControlModel::Decide()
{
  const std::vector<DeploymentDemand> demand = DemandWithWarmUps();
  for (const DeploymentDemand& one : demand) {
    for (const HeldReplica* replica : view_.ReplicasOf(one.deployment_)) {
      if (replica->phase_ == HeldReplicaPhase::Loading) {
        scheduler_.Update(one.deployment_, one.waiting_, one.earliestDeadline_);
      }
    }
  }
  for (const PlacementDecision& decision :
       placement_.Decide(view_, demand, events_.Now())) {
    Apply(decision);
  }
  StartLoads();
  if (!demand.empty()) {
    events_.After(kDecideInterval, [this] { RequestDecide(); });
  }
}

void
ControlModel::Apply(const PlacementDecision& aDecision)
{
  switch (aDecision.action_) {
    case PlacementAction::Load:
      ApplyLoad(aDecision);
      break;
    case PlacementAction::Evict:
      recorder_.OnEviction();
      ApplyUnload(aDecision);
      break;
    case PlacementAction::Unload:
      recorder_.OnUnload();
      ApplyUnload(aDecision);
      break;
    case PlacementAction::Wait:
      break;
  }
}

void
ControlModel::ApplyLoad(const PlacementDecision& aDecision)
{
  const core::MonotonicTime now = events_.Now();
  const CapacityDeployment& deployment =
    *view_.Deployment(aDecision.deployment_);
  QueuedLoad load;
  load.deployment_ = aDecision.deployment_;
  load.server_ = aDecision.server_;
  load.class_ = ClassOf(deployment, aDecision.tier_);
  load.enqueuedAt_ = now;
  load.earliestDeadline_ = aDecision.earliestDeadline_;
  load.waiting_ = aDecision.figures_.waiting_;
  load.additional_ = aDecision.figures_.replicas_ > 0;
  load.expected_ = aDecision.expectedLoad_;
  const core::MonotonicTime ready =
    now + scheduler_.ExpectedWait(load.class_) + load.expected_;
  view_.SetReplica({ load.deployment_,
                     load.server_,
                     HeldReplicaPhase::Loading,
                     deployment.memory_,
                     0,
                     now,
                     ready });
  recorder_.OnLoad();
  recorder_.OnHeld(load.deployment_,
                   load.server_,
                   ShareOf(load.deployment_, load.server_),
                   now);
  recorder_.ColdStarts().OnLoadDecided(aDecision, now);
  CheckInvariants(load.deployment_, load.server_);
  scheduler_.Enqueue(std::move(load));
}

void
ControlModel::CheckInvariants(const core::DeploymentId& aDeployment,
                              const core::ServerId& aServer)
{
  const coordination::CapacityServer* server = view_.Server(aServer);
  if (view_.UsedMemory(aServer) > server->memory_) {
    recorder_.Violation(
      "memory", events_.Now(), aServer.Value() + " is overcommitted");
  }
  if (server->standing_ != ServerStanding::Live) {
    recorder_.Violation(
      "leaving_server", events_.Now(), "load on " + aServer.Value());
  }
  const std::uint32_t maximum = view_.Deployment(aDeployment)->maxReplicas_;
  if (view_.ReplicasOf(aDeployment).size() > maximum) {
    recorder_.Violation(
      "maximum_replicas", events_.Now(), "too many of " + aDeployment.Value());
  }
}

void
ControlModel::StartLoads()
{
  while (const auto load = scheduler_.NextToStart(events_.Now())) {
    const core::DeploymentId deployment = load->deployment_;
    const core::ServerId server = load->server_;
    recorder_.ColdStarts().OnLoadStarted(deployment, server, events_.Now());
    backend_.Load(deployment, server, [this, deployment, server] {
      OnLoaded(deployment, server);
    });
  }
  const auto next = scheduler_.NextStartTime(events_.Now());
  if (next && *next > events_.Now()) {
    events_.At(*next, [this] { StartLoads(); });
  }
}

void
ControlModel::OnLoaded(const core::DeploymentId& aDeployment,
                       const core::ServerId& aServer)
{
  scheduler_.OnFinish(aDeployment, aServer, true, events_.Now());
  const HeldReplica* known = view_.Replica(aDeployment, aServer);
  if (known == nullptr) {
    return;
  }
  recorder_.ColdStarts().OnLoaded(aDeployment, aServer, events_.Now());
  HeldReplica replica = *known;
  replica.phase_ = HeldReplicaPhase::Loaded;
  replica.lastUse_ = events_.Now();
  view_.SetReplica(replica);
  UpdateTiers(aServer);
  onReplicas_(aDeployment);
  ScheduleIdleCheck(keepAlive_.IdleDeadline(aDeployment, events_.Now()));
  StartLoads();
  RequestDecide();
}

void
ControlModel::ApplyUnload(const PlacementDecision& aDecision)
{
  const core::DeploymentId deployment = aDecision.deployment_;
  const core::ServerId server = aDecision.server_;
  HeldReplica replica = *view_.Replica(deployment, server);
  if (replica.inFlight_ > 0) {
    recorder_.Violation("eviction_in_use",
                        events_.Now(),
                        deployment.Value() + " on " + server.Value());
  }
  recorder_.ColdStarts().OnUnload(aDecision);
  replica.phase_ = HeldReplicaPhase::Unloading;
  view_.SetReplica(replica);
  onReplicas_(deployment);
  backend_.Unload(deployment, server, [this, deployment, server] {
    view_.RemoveReplica(deployment, server);
    recorder_.OnReleased(deployment, server, events_.Now());
    UpdateTiers(server);
    RequestDecide();
  });
}

void
ControlModel::UpdateTiers(const core::ServerId& aServer)
{
  view_.ClearTiers(aServer);
  for (const auto& [deployment, tier] : backend_.Cached(aServer)) {
    view_.SetTier(deployment, aServer, tier);
  }
}

void
ControlModel::OnInFlight(const core::DeploymentId& aDeployment,
                         const core::ServerId& aServer,
                         int aChange)
{
  recorder_.OnBusy(aDeployment, aServer, aChange, events_.Now());
  const CapacityDeployment* deployment = view_.Deployment(aDeployment);
  if (deployment != nullptr && deployment->base_) {
    // A request for an adapter runs on its base model.
    recorder_.OnBusy(*deployment->base_, aServer, aChange, events_.Now());
  }
  const HeldReplica* known = view_.Replica(aDeployment, aServer);
  if (known == nullptr) {
    return;
  }
  HeldReplica replica = *known;
  replica.inFlight_ += aChange;
  replica.lastUse_ = events_.Now();
  view_.SetReplica(replica);
  if (replica.inFlight_ == 0) {
    ScheduleIdleCheck(keepAlive_.IdleDeadline(aDeployment, events_.Now()));
  }
}

void
ControlModel::ScheduleIdleCheck(core::MonotonicTime aTime)
{
  const core::MonotonicTime time =
    std::max(aTime, events_.Now() + kShortestIdleCheck);
  if (nextIdleCheck_ && *nextIdleCheck_ <= time) {
    return;
  }
  nextIdleCheck_ = time;
  events_.At(time, [this, time] {
    if (nextIdleCheck_ == time) {
      CheckIdle();
    }
  });
}

void
ControlModel::CheckIdle()
{
  nextIdleCheck_.reset();
  for (const PlacementDecision& decision :
       placement_.Unloads(view_, demand_, events_.Now())) {
    Apply(decision);
  }
  ScheduleIdleChecks();
}

void
ControlModel::ScheduleIdleChecks()
{
  for (const HeldReplica* replica : view_.Replicas()) {
    const CapacityDeployment* deployment =
      view_.Deployment(replica->deployment_);
    if (replica->phase_ != HeldReplicaPhase::Loaded || replica->inFlight_ > 0 ||
        deployment->minReplicas_ > 0) {
      continue;
    }
    const core::MonotonicTime due =
      keepAlive_.IdleDeadline(replica->deployment_, events_.Now());
    // One that is due but held back, e.g. by adapters, is looked at again.
    ScheduleIdleCheck(due <= events_.Now() ? events_.Now() + 1s : due);
  }
}

void
ControlModel::CheckWarmUps()
{
  for (const coordination::WarmUp& warmUp :
       keepAlive_.DueWarmUps(events_.Now())) {
    warmUps_[warmUp.deployment_] = events_.Now() + kWarmUpPatience;
  }
  if (!warmUps_.empty()) {
    RequestDecide();
  }
  if (staging_ && events_.Now() >= nextStage_) {
    StageCheckpoint();
  }
  events_.After(kWarmUpInterval, [this] { CheckWarmUps(); });
}

/// Stages one checkpoint at a time, while no load is queued or in flight.
void
ControlModel::StageCheckpoint()
{
  using coordination::LoadClass;
  const std::size_t inFlight = scheduler_.InFlight(LoadClass::Model) +
                               scheduler_.InFlight(LoadClass::Local);
  if (scheduler_.Queued() + inFlight > 0) {
    return;
  }
  const auto decision = placement_.Stage(view_, events_.Now());
  if (!decision) {
    nextStage_ = events_.Now() + kStageInterval;
    return;
  }
  Apply(*decision);
  StartLoads();
}

} // namespace crocusslip::replay
