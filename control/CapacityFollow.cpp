#include "control/CapacityController.hpp"

#include "core/Log.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace crocusslip::control {

namespace {

using coordination::HeldReplicaPhase;

/// A proposed load that has not appeared in the table is given up after this.
constexpr std::chrono::seconds kProposedFor{ 5 };

HeldReplicaPhase
ToHoldPhase(state::ReplicaPhase aPhase)
{
  switch (aPhase) {
    case state::ReplicaPhase::Loading:
      return HeldReplicaPhase::Loading;
    case state::ReplicaPhase::Loaded:
      return HeldReplicaPhase::Loaded;
    case state::ReplicaPhase::Unloading:
      return HeldReplicaPhase::Unloading;
    case state::ReplicaPhase::Unknown:
      return HeldReplicaPhase::Unknown;
  }
  return HeldReplicaPhase::Unknown;
}

} // namespace

state::EngineKind
ToEngineKind(state::Fencing aFencing)
{
  return aFencing == state::Fencing::Checked ? state::EngineKind::Checks
                                             : state::EngineKind::Ignores;
}

void
CapacityController::FollowSettings()
{
  const auto difference = group_.WithState(
    [this](const auto& aState) -> std::optional<state::SettingsDifference> {
      if (aState.Settings().CurrentRevision() == revision_) {
        return std::nullopt;
      }
      return aState.Settings().Difference(
        revision_, std::numeric_limits<std::size_t>::max());
    });
  if (difference) {
    revision_ = difference->through_;
    FollowNews(FollowDifference(tree_, *difference));
  }
  group_.WithState(
    [this](const auto& aState) { servers_.SetDrains(aState.Drains()); });
  FollowStandings();
}

void
CapacityController::FollowNews(const SettingsNews& aNews)
{
  for (const core::Finding& finding : aNews.findings_) {
    core::Log(core::LogLevel::Warning,
              "settings in force have a finding",
              { { "finding", finding.Text() } });
  }
  if (aNews.store_) {
    FollowStore();
  }
  if (aNews.servers_) {
    FollowServers();
  }
  if (!aNews.allDeployments_) {
    for (const core::DeploymentId& id : aNews.deployments_) {
      FollowDeployment(id);
    }
    return;
  }
  std::vector<core::DeploymentId> known;
  for (const auto& [id, deployment] : view_.Deployments()) {
    known.push_back(id);
  }
  for (const core::DeploymentId& id : known) {
    if (!tree_.Has("deployment." + id.Value())) {
      FollowDeployment(id);
    }
  }
  for (const core::DeploymentId& id : tree_.Deployments()) {
    FollowDeployment(id);
  }
}

// The scheduler begins anew: loads that were queued are decided again.
void
CapacityController::FollowStore()
{
  const state::StoreSettings store = tree_.Store();
  scheduler_.emplace(coordination::StoreLimits{ store.loadsPerSecond_,
                                                store.concurrentLoads_,
                                                store.adapterLoads_ },
                     coordination::DeadlineOrder{});
  std::erase_if(planned_, [this](const auto& aItem) {
    const bool queued = aItem.second.phase_ == PlannedPhase::Queued;
    if (queued) {
      view_.RemoveReplica(aItem.first.deployment_, aItem.first.server_);
    }
    return queued;
  });
}

void
CapacityController::FollowServers()
{
  const std::vector<state::ServerSettings> servers = tree_.Servers();
  servers_.SetServers(servers);
  serversVersion_ = 0;
  pools_.clear();
  std::set<core::ServerId> engines;
  for (const state::ServerSettings& server : servers) {
    if (server.kind_ != state::ServerKind::Engine) {
      continue;
    }
    engines.insert(server.id_);
    const std::set<std::string> names{ std::string(), server.pool_ };
    for (const std::string& name : names) {
      Pool& pool = pools_[name];
      pool.servers_.push_back(server.id_);
      pool.slots_ = std::max(pool.slots_, server.slots_);
    }
    Feed(coordination::ServerAdded{ server.id_, ToEngineKind(server.fencing_) },
         clock_.Now());
  }
  std::vector<core::ServerId> gone;
  for (const auto& [id, server] : view_.Servers()) {
    if (!engines.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const core::ServerId& id : gone) {
    view_.RemoveServer(id);
    // Replicas that the order table has there still count as replicas.
    orderFollower_.Restart();
  }
}

void
CapacityController::FollowStandings()
{
  if (serversVersion_ == servers_.Version()) {
    return;
  }
  serversVersion_ = servers_.Version();
  servers_.ForEach([this](const TrackedServer& aServer) {
    if (aServer.settings_.kind_ == state::ServerKind::Engine) {
      coordination::CapacityServer capacity;
      capacity.id_ = aServer.settings_.id_;
      capacity.failureDomain_ = aServer.settings_.failureDomain_;
      capacity.memory_ = aServer.settings_.memory_;
      capacity.standing_ = aServer.standing_;
      view_.SetServer(std::move(capacity));
    }
  });
}

void
CapacityController::FollowDeployment(const core::DeploymentId& aId)
{
  const auto deployment = tree_.Deployment(aId);
  if (deployment && deployment->kind_ != state::DeploymentKind::Service) {
    SetCapacityDeployment(*deployment);
    const bool kept =
      deployment->minReplicas_ > 0 || !deployment->warmWindows_.empty();
    kept ? void(kept_.insert(aId)) : void(kept_.erase(aId));
    return;
  }
  view_.RemoveDeployment(aId);
  keepAlive_.RemoveDeployment(aId);
  kept_.erase(aId);
}

void
CapacityController::SetCapacityDeployment(
  const state::DeploymentSettings& aDeployment)
{
  const bool adapter = aDeployment.kind_ == state::DeploymentKind::Adapter;
  coordination::CapacityDeployment capacity;
  capacity.id_ = aDeployment.id_;
  capacity.kind_ = adapter ? coordination::DeploymentKind::Adapter
                           : coordination::DeploymentKind::Model;
  if (adapter) {
    capacity.base_ = aDeployment.base_;
  }
  capacity.memory_ = aDeployment.memory_;
  capacity.minReplicas_ = aDeployment.minReplicas_;
  capacity.maxReplicas_ = aDeployment.maxReplicas_;
  const auto pool = pools_.find(aDeployment.pool_);
  if (pool != pools_.end()) {
    capacity.servers_ = pool->second.servers_;
    capacity.concurrency_ = pool->second.slots_;
  }
  if (const auto model = tree_.Model(aDeployment.model_)) {
    if (capacity.memory_.Count() == 0) {
      capacity.memory_ = model->memory_;
    }
    capacity.loadTime_ = { model->loadFromMemory_,
                           model->loadFromDisk_,
                           model->loadFromRemote_ };
  }
  keepAlive_.SetDeployment(
    aDeployment.id_,
    { aDeployment.idleCost_,
      aDeployment.keepAliveMin_,
      aDeployment.keepAliveMax_,
      {} },
    { 1.0,
      std::max<core::Duration>(capacity.loadTime_[static_cast<std::size_t>(
                                 coordination::CheckpointTier::Remote)],
                               std::chrono::milliseconds(1)) });
  view_.SetDeployment(std::move(capacity));
}

// Brings the view up to the order table, together with loads that are decided
// here and not yet in the table.
void
CapacityController::FollowReplicas(core::MonotonicTime aNow)
{
  const OrderFollower::Changes changes = group_.WithState(
    [this](const auto& aState) { return orderFollower_.Follow(aState); });
  if (changes.complete_) {
    std::set<state::ReplicaKey> present;
    for (const auto& [key, replica] : changes.replicas_) {
      present.insert(key);
    }
    for (const coordination::HeldReplica* held : view_.Replicas()) {
      const state::ReplicaKey key{ held->deployment_, held->server_ };
      if (!present.contains(key) && !planned_.contains(key)) {
        view_.RemoveReplica(key.deployment_, key.server_);
      }
    }
  }
  for (const auto& [key, replica] : changes.replicas_) {
    if (replica) {
      TakeReplica(key, *replica, aNow);
    } else if (!planned_.contains(key)) {
      view_.RemoveReplica(key.deployment_, key.server_);
    }
  }
  EndLoads(aNow);
  for (const core::DeploymentId& id : std::exchange(reported_, {})) {
    RefreshUse(id, aNow);
  }
}

void
CapacityController::TakeReplica(const state::ReplicaKey& aKey,
                                const state::Replica& aReplica,
                                core::MonotonicTime aNow)
{
  planned_.erase(aKey);
  coordination::HeldReplica held;
  held.deployment_ = aKey.deployment_;
  held.server_ = aKey.server_;
  held.phase_ = ToHoldPhase(aReplica.phase_);
  held.memory_ = aReplica.memory_;
  view_.SetReplica(std::move(held));
  const auto loading = loading_.find(aKey);
  if (loading != loading_.end() &&
      aReplica.phase_ == state::ReplicaPhase::Loaded) {
    loads_.Add();
    loadTime_.Observe(
      std::chrono::duration<double>(aNow - loading->second.since_).count());
    scheduler_->OnFinish(aKey.deployment_, aKey.server_, true, aNow);
    view_.SetTier(
      aKey.deployment_, aKey.server_, coordination::CheckpointTier::Disk);
    loading_.erase(loading);
    // Idle time counts from the end of the load.
    lastUse_[aKey.deployment_] = aNow;
  }
  RefreshUse(aKey.deployment_, aNow);
}

// Loads that were refused or lost, and proposals that came to nothing.
void
CapacityController::EndLoads(core::MonotonicTime aNow)
{
  std::vector<state::ReplicaKey> ended;
  group_.WithState([&](const auto& aState) {
    for (const auto& [key, loading] : loading_) {
      if (!planned_.contains(key) && aState.Orders().Find(key) == nullptr) {
        ended.push_back(key);
      }
    }
  });
  for (const state::ReplicaKey& key : ended) {
    scheduler_->OnFinish(key.deployment_, key.server_, false, aNow);
    loading_.erase(key);
  }
  std::erase_if(planned_, [&](const auto& aItem) {
    const bool lost = aItem.second.phase_ == PlannedPhase::Proposed &&
                      aNow - aItem.second.since_ > kProposedFor;
    if (lost) {
      view_.RemoveReplica(aItem.first.deployment_, aItem.first.server_);
    }
    return lost;
  });
}

void
CapacityController::RefreshUse(const core::DeploymentId& aDeployment,
                               core::MonotonicTime aNow)
{
  const std::vector<const coordination::HeldReplica*> replicas =
    view_.ReplicasOf(aDeployment);
  if (replicas.empty()) {
    return;
  }
  const std::uint32_t active = demand_.Active(aDeployment, aNow);
  core::MonotonicTime& lastUse = lastUse_[aDeployment];
  // A request that runs on unchanged is not reported again.
  if (lastUse == core::MonotonicTime() || active > 0) {
    lastUse = aNow;
  }
  for (const coordination::HeldReplica* replica : replicas) {
    view_.SetUse(aDeployment, replica->server_, active, lastUse);
  }
}

// Also finds demand that has expired, which nothing reports.
void
CapacityController::RefreshAllUse(core::MonotonicTime aNow)
{
  std::set<core::DeploymentId> held;
  for (const coordination::HeldReplica* replica : view_.Replicas()) {
    held.insert(replica->deployment_);
  }
  for (const core::DeploymentId& id : held) {
    RefreshUse(id, aNow);
  }
}

} // namespace crocusslip::control
