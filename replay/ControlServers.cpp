#include "replay/ControlModel.hpp"

#include <algorithm>

namespace crocusslip::replay {

using coordination::HeldReplica;
using coordination::ServerStanding;

void
ControlModel::SetStanding(const core::ServerId& aServer,
                          ServerStanding aStanding)
{
  const coordination::CapacityServer* known = view_.Server(aServer);
  if (known == nullptr) {
    return;
  }
  coordination::CapacityServer server = *known;
  server.standing_ = aStanding;
  view_.SetServer(server);
  for (const HeldReplica* replica : view_.ReplicasOn(aServer)) {
    onReplicas_(replica->deployment_);
  }
}

void
ControlModel::OnServerGone(const core::ServerId& aServer)
{
  std::vector<core::DeploymentId> affected;
  for (const HeldReplica* replica : view_.ReplicasOn(aServer)) {
    affected.push_back(replica->deployment_);
  }
  view_.RemoveServer(aServer);
  for (const core::DeploymentId& deployment : affected) {
    scheduler_.Cancel(deployment, aServer);
    scheduler_.OnFinish(deployment, aServer, false, events_.Now());
    recorder_.OnReleased(deployment, aServer, events_.Now());
    recorder_.ColdStarts().OnReplicaLost(deployment);
    onReplicas_(deployment);
  }
  StartLoads();
  RequestDecide();
}

void
ControlModel::OnServerRestored(const protocol::TraceServer& aServer)
{
  view_.SetServer({ aServer.id_,
                    aServer.failureDomain_,
                    aServer.memory_,
                    aServer.speed_,
                    aServer.cacheMemory_,
                    ServerStanding::Live });
  UpdateTiers(aServer.id_);
  RequestDecide();
}

std::vector<core::ServerId>
ControlModel::Loaded(const core::DeploymentId& aDeployment) const
{
  std::vector<core::ServerId> servers;
  for (const HeldReplica* replica : view_.ReplicasOf(aDeployment)) {
    const coordination::CapacityServer* server = view_.Server(replica->server_);
    if (replica->phase_ == HeldReplicaPhase::Loaded && server != nullptr &&
        server->standing_ == ServerStanding::Live) {
      servers.push_back(replica->server_);
    }
  }
  return servers;
}

core::MonotonicTime
ControlModel::ExpectedReady(const core::DeploymentId& aDeployment) const
{
  core::MonotonicTime ready = core::MonotonicTime::max();
  for (const HeldReplica* replica : view_.ReplicasOf(aDeployment)) {
    if (replica->phase_ == HeldReplicaPhase::Loading) {
      ready = std::min(ready, std::max(replica->readyAt_, events_.Now()));
    }
  }
  return ready;
}

} // namespace crocusslip::replay
