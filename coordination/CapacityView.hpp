#pragma once

#include "core/Clock.hpp"
#include "core/Ids.hpp"
#include "core/Units.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace crocusslip::coordination {

/// Where the checkpoint nearest to a server's accelerator is kept.
enum class CheckpointTier : std::uint8_t
{
  Memory,
  Disk,
  Remote,
};
inline constexpr std::size_t kCheckpointTiers = 3;

/// Whether a server may receive new replicas.
enum class ServerStanding : std::uint8_t
{
  Live,
  Suspect,
  Drained,
  Leaving,
  Gone,
};

enum class DeploymentKind : std::uint8_t
{
  Model,
  Adapter,
};

/// Phase of a replica as the capacity decisions see it. Unknown is an order
/// whose outcome has not been observed; it holds memory and a replica slot.
enum class HeldReplicaPhase : std::uint8_t
{
  Loading,
  Loaded,
  Unloading,
  Unknown,
};

struct CapacityServer
{
  core::ServerId id_;
  core::FailureDomainId failureDomain_;
  core::Bytes memory_;
  /// Load and service speed relative to the reference server.
  double speed_ = 1.0;
  /// Main memory in which the server keeps checkpoints, the least recently
  /// used displaced first; 0 when unknown.
  core::Bytes cacheMemory_{};
  ServerStanding standing_ = ServerStanding::Live;
};

struct CapacityDeployment
{
  core::DeploymentId id_;
  DeploymentKind kind_ = DeploymentKind::Model;
  /// Base model of an adapter.
  std::optional<core::DeploymentId> base_;
  core::Bytes memory_;
  std::uint32_t minReplicas_ = 0;
  std::uint32_t maxReplicas_ = 1;
  /// Requests that one replica runs at once.
  std::uint32_t concurrency_ = 1;
  core::Duration serviceTime_ = std::chrono::milliseconds(500);
  /// Expected load time on the reference server, by CheckpointTier.
  std::array<core::Duration, kCheckpointTiers> loadTime_{};
  /// Servers that may hold it; empty means every server.
  std::vector<core::ServerId> servers_;
};

/// A replica that is held on a server, in any phase.
struct HeldReplica
{
  core::DeploymentId deployment_;
  core::ServerId server_;
  HeldReplicaPhase phase_ = HeldReplicaPhase::Loading;
  core::Bytes memory_;
  std::uint32_t inFlight_ = 0;
  core::MonotonicTime lastUse_;
  core::MonotonicTime readyAt_;
};

/// What the leader knows of servers, replicas and checkpoints; input of
/// Placement. Indexed by server and by deployment.
class CapacityView
{
public:
  void SetServer(CapacityServer aServer);
  /// Also forgets the server's replicas and checkpoint locations.
  void RemoveServer(const core::ServerId& aServer);
  void SetDeployment(CapacityDeployment aDeployment);
  void RemoveDeployment(const core::DeploymentId& aDeployment);
  /// Adds or replaces the replica of this deployment on this server.
  void SetReplica(HeldReplica aReplica);
  /// Requests in flight on and last use of a replica that is held.
  void SetUse(const core::DeploymentId& aDeployment,
              const core::ServerId& aServer,
              std::uint32_t aInFlight,
              core::MonotonicTime aLastUse);
  void RemoveReplica(const core::DeploymentId& aDeployment,
                     const core::ServerId& aServer);
  /// Remote removes the entry. A checkpoint set to Memory later counts as
  /// more recently used.
  void SetTier(const core::DeploymentId& aDeployment,
               const core::ServerId& aServer,
               CheckpointTier aTier);

  /// Forgets which checkpoints the server keeps.
  void ClearTiers(const core::ServerId& aServer);

  const CapacityServer* Server(const core::ServerId& aServer) const;
  const CapacityDeployment* Deployment(
    const core::DeploymentId& aDeployment) const;
  const HeldReplica* Replica(const core::DeploymentId& aDeployment,
                             const core::ServerId& aServer) const;
  CheckpointTier Tier(const core::DeploymentId& aDeployment,
                      const core::ServerId& aServer) const;
  /// Servers that keep the checkpoint in main memory.
  const std::vector<core::ServerId>& InMemory(
    const core::DeploymentId& aDeployment) const;
  /// Checkpoints in the server's main memory, the most recently used first.
  std::vector<core::DeploymentId> MemoryCache(
    const core::ServerId& aServer) const;
  /// Expected time of a load, from the nearest tier and the server's speed.
  core::Duration LoadTime(const CapacityDeployment& aDeployment,
                          const CapacityServer& aServer) const;

  const std::map<core::ServerId, CapacityServer>& Servers() const;
  const std::unordered_map<core::DeploymentId, CapacityDeployment>&
  Deployments() const;
  std::vector<const HeldReplica*> ReplicasOf(
    const core::DeploymentId& aDeployment) const;
  std::vector<const HeldReplica*> ReplicasOn(
    const core::ServerId& aServer) const;
  std::vector<const HeldReplica*> Replicas() const;

  /// Memory of all replicas on the server, whatever their phase.
  core::Bytes UsedMemory(const core::ServerId& aServer) const;
  core::Bytes FreeMemory(const core::ServerId& aServer) const;

private:
  struct CachedCheckpoint
  {
    CheckpointTier tier_ = CheckpointTier::Remote;
    std::uint64_t used_ = 0;
  };
  using ByDeployment = std::map<core::DeploymentId, HeldReplica>;

  std::map<core::ServerId, CapacityServer> servers_;
  std::unordered_map<core::DeploymentId, CapacityDeployment> deployments_;
  std::unordered_map<core::ServerId, ByDeployment> byServer_;
  std::unordered_map<core::DeploymentId, std::vector<core::ServerId>>
    byDeployment_;
  std::unordered_map<core::ServerId, core::Bytes> held_;
  std::unordered_map<core::ServerId,
                     std::unordered_map<core::DeploymentId, CachedCheckpoint>>
    tiers_;
  std::unordered_map<core::DeploymentId, std::vector<core::ServerId>> inMemory_;
  std::uint64_t cacheUses_ = 0;
};

} // namespace crocusslip::coordination
