#include "replay/BackendStandIn.hpp"

#include <algorithm>
#include <chrono>
#include <limits>

namespace crocusslip::replay {

namespace {

using coordination::CheckpointTier;

/// Checkpoints that a server keeps on its disk.
constexpr core::Bytes kDiskCache(128 * core::kGibi);

double
Seconds(core::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

core::Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<core::Duration>(
    std::chrono::duration<double>(aSeconds));
}

bool
Contains(const std::list<core::DeploymentId>& aList,
         const core::DeploymentId& aDeployment)
{
  return std::find(aList.begin(), aList.end(), aDeployment) != aList.end();
}

} // namespace

SharedStore::SharedStore(EventQueue& aEvents, double aFullSpeedLoads)
  : events_(aEvents)
  , fullSpeedLoads_(aFullSpeedLoads)
{
}

double
SharedStore::Speed() const
{
  const double capacity = fullSpeedLoads_ / factor_;
  return std::min(1.0, capacity / static_cast<double>(active_.size()));
}

void
SharedStore::Advance()
{
  const double elapsed = Seconds(events_.Now() - advancedAt_);
  advancedAt_ = events_.Now();
  if (active_.empty()) {
    return;
  }
  const double done = elapsed * Speed();
  for (auto& [id, active] : active_) {
    active.remaining_ -= done;
  }
}

void
SharedStore::Schedule()
{
  const std::uint64_t version = ++version_;
  if (active_.empty()) {
    return;
  }
  double least = std::numeric_limits<double>::max();
  for (const auto& [id, active] : active_) {
    least = std::min(least, active.remaining_);
  }
  // One microsecond more, so that rounding leaves no remainder.
  const core::Duration wait =
    FromSeconds(std::max(0.0, least) / Speed()) + std::chrono::microseconds(1);
  events_.After(wait, [this, version] { Complete(version); });
}

void
SharedStore::Complete(std::uint64_t aVersion)
{
  if (aVersion != version_) {
    return;
  }
  Advance();
  std::vector<Done> done;
  for (auto active = active_.begin(); active != active_.end();) {
    if (active->second.remaining_ > 0) {
      ++active;
      continue;
    }
    done.push_back(std::move(active->second.done_));
    active = active_.erase(active);
  }
  Schedule();
  for (const Done& one : done) {
    one();
  }
}

std::uint64_t
SharedStore::Start(core::Duration aAtFullSpeed, Done aDone)
{
  Advance();
  const std::uint64_t id = next_++;
  active_[id] = { Seconds(aAtFullSpeed), std::move(aDone) };
  Schedule();
  return id;
}

void
SharedStore::Cancel(std::uint64_t aLoad)
{
  Advance();
  active_.erase(aLoad);
  Schedule();
}

void
SharedStore::SetFactor(double aFactor)
{
  Advance();
  factor_ = aFactor;
  Schedule();
}

BackendStandIn::BackendStandIn(const protocol::TraceSettings& aSettings,
                               EventQueue& aEvents)
  : events_(aEvents)
  , models_(aEvents, aSettings.store_.models_)
  , adapters_(aEvents, aSettings.store_.adapters_)
{
  for (const protocol::TraceServer& server : aSettings.servers_) {
    servers_[server.id_].speed_ = server.speed_;
    servers_[server.id_].cacheMemory_ = server.cacheMemory_;
  }
  for (const protocol::TraceDeployment& deployment : aSettings.deployments_) {
    const core::DeploymentId& id = deployment.capacity_.id_;
    deployments_[id] = deployment.capacity_;
    for (const protocol::TraceCheckpoint& checkpoint : deployment.cached_) {
      Server& server = servers_[checkpoint.server_];
      if (checkpoint.tier_ == CheckpointTier::Memory) {
        MoveToFront(server.memory_, id, server.cacheMemory_);
      }
      MoveToFront(server.disk_, id, kDiskCache);
    }
  }
}

void
BackendStandIn::After(core::Duration aDelay,
                      const core::ServerId& aServer,
                      std::function<void()> aAction)
{
  const std::uint64_t life = servers_.at(aServer).life_;
  events_.After(aDelay, [this, aServer, life, action = std::move(aAction)] {
    if (servers_.at(aServer).life_ == life) {
      action();
    }
  });
}

void
BackendStandIn::Touch(Server& aServer, const core::DeploymentId& aDeployment)
{
  MoveToFront(aServer.memory_, aDeployment, aServer.cacheMemory_);
  MoveToFront(aServer.disk_, aDeployment, kDiskCache);
}

void
BackendStandIn::MoveToFront(std::list<core::DeploymentId>& aList,
                            const core::DeploymentId& aDeployment,
                            core::Bytes aLimit) const
{
  aList.remove(aDeployment);
  aList.push_front(aDeployment);
  core::Bytes total;
  for (auto checkpoint = aList.begin(); checkpoint != aList.end();
       ++checkpoint) {
    total += deployments_.at(*checkpoint).memory_;
    if (total > aLimit) {
      aList.erase(checkpoint, aList.end());
      return;
    }
  }
}

CheckpointTier
BackendStandIn::Tier(const core::DeploymentId& aDeployment,
                     const core::ServerId& aServer) const
{
  const Server& server = servers_.at(aServer);
  if (Contains(server.memory_, aDeployment)) {
    return CheckpointTier::Memory;
  }
  return Contains(server.disk_, aDeployment) ? CheckpointTier::Disk
                                             : CheckpointTier::Remote;
}

std::vector<std::pair<core::DeploymentId, CheckpointTier>>
BackendStandIn::Cached(const core::ServerId& aServer) const
{
  std::vector<std::pair<core::DeploymentId, CheckpointTier>> cached;
  const Server& server = servers_.at(aServer);
  for (const core::DeploymentId& deployment : server.memory_) {
    cached.emplace_back(deployment, CheckpointTier::Memory);
  }
  for (const core::DeploymentId& deployment : server.disk_) {
    if (!Contains(server.memory_, deployment)) {
      cached.emplace_back(deployment, CheckpointTier::Disk);
    }
  }
  std::reverse(cached.begin(), cached.end());
  return cached;
}

void
BackendStandIn::Load(const core::DeploymentId& aDeployment,
                     const core::ServerId& aServer,
                     Done aDone)
{
  Server& server = servers_.at(aServer);
  const coordination::CapacityDeployment& deployment =
    deployments_.at(aDeployment);
  const CheckpointTier tier = Tier(aDeployment, aServer);
  const core::Duration time = FromSeconds(
    Seconds(deployment.loadTime_.at(static_cast<std::size_t>(tier))) /
    server.speed_);
  auto finish = [this, aDeployment, aServer, done = std::move(aDone)] {
    Touch(servers_.at(aServer), aDeployment);
    servers_.at(aServer).replicas_[aDeployment];
    done();
  };
  if (tier != CheckpointTier::Remote) {
    After(time, aServer, std::move(finish));
    return;
  }
  const bool adapter =
    deployment.kind_ == coordination::DeploymentKind::Adapter;
  SharedStore& store = adapter ? adapters_ : models_;
  server.storeLoads_.emplace_back(&store, store.Start(time, std::move(finish)));
}

void
BackendStandIn::Unload(const core::DeploymentId& aDeployment,
                       const core::ServerId& aServer,
                       Done aDone)
{
  After(kUnloadTime,
        aServer,
        [this, aDeployment, aServer, done = std::move(aDone)] {
          servers_.at(aServer).replicas_.erase(aDeployment);
          done();
        });
}

void
BackendStandIn::Serve(const core::DeploymentId& aDeployment,
                      const core::ServerId& aServer,
                      ServiceCall aCall)
{
  Replica& replica = servers_.at(aServer).replicas_[aDeployment];
  if (replica.running_ >= deployments_.at(aDeployment).concurrency_) {
    replica.queue_.push_back(std::move(aCall));
    return;
  }
  Begin(aDeployment, aServer, aCall);
}

void
BackendStandIn::Begin(const core::DeploymentId& aDeployment,
                      const core::ServerId& aServer,
                      const ServiceCall& aCall)
{
  Server& server = servers_.at(aServer);
  ++server.replicas_[aDeployment].running_;
  const double service = Seconds(aCall.service_) / server.speed_;
  const double prompt =
    aCall.promptTokens_ / kPromptTokensPerSecond / server.speed_;
  After(FromSeconds(std::min(prompt, service)), aServer, aCall.firstByte_);
  After(FromSeconds(service),
        aServer,
        [this, aDeployment, aServer, finished = aCall.finished_] {
          Replica& replica = servers_.at(aServer).replicas_[aDeployment];
          --replica.running_;
          if (!replica.queue_.empty()) {
            const ServiceCall next = std::move(replica.queue_.front());
            replica.queue_.pop_front();
            Begin(aDeployment, aServer, next);
          }
          finished();
        });
  aCall.started_();
}

void
BackendStandIn::Kill(const core::ServerId& aServer)
{
  Server& server = servers_.at(aServer);
  ++server.life_;
  server.replicas_.clear();
  server.memory_.clear();
  for (const auto& [store, load] : server.storeLoads_) {
    store->Cancel(load);
  }
  server.storeLoads_.clear();
}

void
BackendStandIn::SetStoreFactor(double aFactor)
{
  models_.SetFactor(aFactor);
  adapters_.SetFactor(aFactor);
}

} // namespace crocusslip::replay
