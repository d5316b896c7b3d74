#include "coordination/CapacityView.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::coordination {

void
CapacityView::SetServer(CapacityServer aServer)
{
  const core::ServerId id = aServer.id_;
  servers_.insert_or_assign(id, std::move(aServer));
}

void
CapacityView::RemoveServer(const core::ServerId& aServer)
{
  for (const HeldReplica* replica : ReplicasOn(aServer)) {
    std::erase(byDeployment_[replica->deployment_], aServer);
  }
  byServer_.erase(aServer);
  usedMemory_.erase(aServer);
  ClearTiers(aServer);
  servers_.erase(aServer);
}

void
CapacityView::SetDeployment(CapacityDeployment aDeployment)
{
  const core::DeploymentId id = aDeployment.id_;
  deployments_.insert_or_assign(id, std::move(aDeployment));
}

void
CapacityView::RemoveDeployment(const core::DeploymentId& aDeployment)
{
  deployments_.erase(aDeployment);
}

void
CapacityView::SetReplica(HeldReplica aReplica)
{
  RemoveReplica(aReplica.deployment_, aReplica.server_);
  usedMemory_[aReplica.server_] += aReplica.memory_;
  byDeployment_[aReplica.deployment_].push_back(aReplica.server_);
  const core::DeploymentId deployment = aReplica.deployment_;
  byServer_[aReplica.server_].insert_or_assign(deployment, std::move(aReplica));
}

void
CapacityView::SetUse(const core::DeploymentId& aDeployment,
                     const core::ServerId& aServer,
                     std::uint32_t aInFlight,
                     core::MonotonicTime aLastUse)
{
  const auto server = byServer_.find(aServer);
  if (server == byServer_.end()) {
    return;
  }
  const auto found = server->second.find(aDeployment);
  if (found != server->second.end()) {
    found->second.inFlight_ = aInFlight;
    found->second.lastUse_ = aLastUse;
  }
}

void
CapacityView::RemoveReplica(const core::DeploymentId& aDeployment,
                            const core::ServerId& aServer)
{
  const HeldReplica* replica = Replica(aDeployment, aServer);
  if (replica == nullptr) {
    return;
  }
  core::Bytes& held = usedMemory_[aServer];
  held = held - replica->memory_;
  byServer_[aServer].erase(aDeployment);
  const auto servers = byDeployment_.find(aDeployment);
  std::erase(servers->second, aServer);
  if (servers->second.empty()) {
    byDeployment_.erase(servers);
  }
}

void
CapacityView::SetTier(const core::DeploymentId& aDeployment,
                      const core::ServerId& aServer,
                      CheckpointTier aTier)
{
  std::erase(inMemory_[aDeployment], aServer);
  if (aTier == CheckpointTier::Remote) {
    tiers_[aServer].erase(aDeployment);
    return;
  }
  tiers_[aServer][aDeployment] = { aTier, ++useCounter_ };
  if (aTier == CheckpointTier::Memory) {
    inMemory_[aDeployment].push_back(aServer);
  }
}

void
CapacityView::ClearTiers(const core::ServerId& aServer)
{
  const auto tiers = tiers_.find(aServer);
  if (tiers == tiers_.end()) {
    return;
  }
  for (const auto& [deployment, cached] : tiers->second) {
    std::erase(inMemory_[deployment], aServer);
  }
  tiers_.erase(tiers);
}

const std::vector<core::ServerId>&
CapacityView::ServersWithCheckpointInMemory(
  const core::DeploymentId& aDeployment) const
{
  static const std::vector<core::ServerId> sNone;
  const auto found = inMemory_.find(aDeployment);
  return found == inMemory_.end() ? sNone : found->second;
}

std::vector<core::DeploymentId>
CapacityView::CheckpointsInMemory(const core::ServerId& aServer) const
{
  std::vector<std::pair<std::uint64_t, core::DeploymentId>> byUse;
  const auto tiers = tiers_.find(aServer);
  if (tiers != tiers_.end()) {
    for (const auto& [deployment, cached] : tiers->second) {
      if (cached.tier_ == CheckpointTier::Memory) {
        byUse.emplace_back(cached.lastUseNumber_, deployment);
      }
    }
  }
  std::sort(byUse.rbegin(), byUse.rend());
  std::vector<core::DeploymentId> deployments;
  deployments.reserve(byUse.size());
  for (auto& [used, deployment] : byUse) {
    deployments.push_back(std::move(deployment));
  }
  return deployments;
}

const CapacityServer*
CapacityView::Server(const core::ServerId& aServer) const
{
  const auto found = servers_.find(aServer);
  return found == servers_.end() ? nullptr : &found->second;
}

const CapacityDeployment*
CapacityView::Deployment(const core::DeploymentId& aDeployment) const
{
  const auto found = deployments_.find(aDeployment);
  return found == deployments_.end() ? nullptr : &found->second;
}

const HeldReplica*
CapacityView::Replica(const core::DeploymentId& aDeployment,
                      const core::ServerId& aServer) const
{
  const auto server = byServer_.find(aServer);
  if (server == byServer_.end()) {
    return nullptr;
  }
  const auto found = server->second.find(aDeployment);
  return found == server->second.end() ? nullptr : &found->second;
}

CheckpointTier
CapacityView::Tier(const core::DeploymentId& aDeployment,
                   const core::ServerId& aServer) const
{
  const auto tiers = tiers_.find(aServer);
  if (tiers == tiers_.end()) {
    return CheckpointTier::Remote;
  }
  const auto found = tiers->second.find(aDeployment);
  return found == tiers->second.end() ? CheckpointTier::Remote
                                      : found->second.tier_;
}

core::Duration
CapacityView::LoadTime(const CapacityDeployment& aDeployment,
                       const CapacityServer& aServer) const
{
  const CheckpointTier tier = Tier(aDeployment.id_, aServer.id_);
  const core::Duration reference =
    aDeployment.loadTime_.at(static_cast<std::size_t>(tier));
  return std::chrono::duration_cast<core::Duration>(reference / aServer.speed_);
}

const std::map<core::ServerId, CapacityServer>&
CapacityView::Servers() const
{
  return servers_;
}

const std::unordered_map<core::DeploymentId, CapacityDeployment>&
CapacityView::Deployments() const
{
  return deployments_;
}

std::vector<const HeldReplica*>
CapacityView::ReplicasOf(const core::DeploymentId& aDeployment) const
{
  std::vector<const HeldReplica*> replicas;
  const auto servers = byDeployment_.find(aDeployment);
  if (servers == byDeployment_.end()) {
    return replicas;
  }
  for (const core::ServerId& server : servers->second) {
    replicas.push_back(Replica(aDeployment, server));
  }
  return replicas;
}

std::vector<const HeldReplica*>
CapacityView::ReplicasOn(const core::ServerId& aServer) const
{
  std::vector<const HeldReplica*> replicas;
  const auto server = byServer_.find(aServer);
  if (server == byServer_.end()) {
    return replicas;
  }
  for (const auto& [deployment, replica] : server->second) {
    replicas.push_back(&replica);
  }
  return replicas;
}

std::vector<const HeldReplica*>
CapacityView::Replicas() const
{
  std::vector<const HeldReplica*> replicas;
  for (const auto& [id, server] : servers_) {
    const std::vector<const HeldReplica*> here = ReplicasOn(id);
    replicas.insert(replicas.end(), here.begin(), here.end());
  }
  return replicas;
}

core::Bytes
CapacityView::UsedMemory(const core::ServerId& aServer) const
{
  const auto found = usedMemory_.find(aServer);
  return found == usedMemory_.end() ? core::Bytes() : found->second;
}

core::Bytes
CapacityView::FreeMemory(const core::ServerId& aServer) const
{
  const CapacityServer* server = Server(aServer);
  return server == nullptr ? core::Bytes()
                           : server->memory_ - UsedMemory(aServer);
}

} // namespace crocusslip::coordination
