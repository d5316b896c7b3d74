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

/// Nearest storage tier from which a server can load a checkpoint.
enum class CheckpointTier : std::uint8_t
{
  Memory,
  Disk,
  Remote,
};
inline constexpr std::size_t kCheckpointTiers = 3;

/// Availability of a server; only Live ones receive new replicas.
enum class ServerStanding : std::uint8_t
{
  Live,
  /// Only refuses connections, which may be a passing fault.
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

/// Phase of a replica for capacity decisions. Unknown means that the outcome of
/// a load or unload command is unknown; it occupies memory and a replica slot.
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
  /// Main memory that caches checkpoints, with LRU displacement; 0 when
  /// unknown.
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
  /// Requests that one replica runs concurrently.
  std::uint32_t concurrency_ = 1;
  core::Duration serviceTime_ = std::chrono::milliseconds(500);
  /// Expected load time on the reference server, indexed by CheckpointTier.
  std::array<core::Duration, kCheckpointTiers> loadTime_{};
  /// Servers on which it may be placed; empty for all.
  std::vector<core::ServerId> servers_;
};

/// A replica that occupies memory on a server, in any phase.
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

/// The leader's view of servers, replicas and checkpoints; input of Placement.
/// Indexed by server and by deployment.
class CapacityView
{
public:
  void SetServer(CapacityServer aServer);
  /// Also removes the server's replicas and checkpoint locations.
  void RemoveServer(const core::ServerId& aServer);
  void SetDeployment(CapacityDeployment aDeployment);
  void RemoveDeployment(const core::DeploymentId& aDeployment);
  /// Adds or replaces the replica of this deployment on this server.
  void SetReplica(HeldReplica aReplica);
  /// Updates the requests in flight and last use of a known replica.
  void SetUse(const core::DeploymentId& aDeployment,
              const core::ServerId& aServer,
              std::uint32_t aInFlight,
              core::MonotonicTime aLastUse);
  void RemoveReplica(const core::DeploymentId& aDeployment,
                     const core::ServerId& aServer);
  /// Sets the nearest tier of a checkpoint; Remote removes the entry. The order
  /// of the calls is the order of use in the memory cache.
  void SetTier(const core::DeploymentId& aDeployment,
               const core::ServerId& aServer,
               CheckpointTier aTier);

  /// Removes all checkpoint locations of the server.
  void ClearTiers(const core::ServerId& aServer);

  const CapacityServer* Server(const core::ServerId& aServer) const;
  const CapacityDeployment* Deployment(
    const core::DeploymentId& aDeployment) const;
  const HeldReplica* Replica(const core::DeploymentId& aDeployment,
                             const core::ServerId& aServer) const;
  CheckpointTier Tier(const core::DeploymentId& aDeployment,
                      const core::ServerId& aServer) const;
  /// Servers that have the checkpoint in main memory.
  const std::vector<core::ServerId>& ServersWithCheckpointInMemory(
    const core::DeploymentId& aDeployment) const;
  /// Checkpoints in the server's main memory, most recently used first.
  std::vector<core::DeploymentId> CheckpointsInMemory(
    const core::ServerId& aServer) const;
  /// Expected load time from the nearest tier, scaled by the server's speed.
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

  /// Memory of all replicas on the server, in any phase.
  core::Bytes UsedMemory(const core::ServerId& aServer) const;
  core::Bytes FreeMemory(const core::ServerId& aServer) const;

private:
  struct CachedCheckpoint
  {
    CheckpointTier tier_ = CheckpointTier::Remote;
    std::uint64_t lastUseNumber_ = 0;
  };
  using ByDeployment = std::map<core::DeploymentId, HeldReplica>;

  std::map<core::ServerId, CapacityServer> servers_;
  std::unordered_map<core::DeploymentId, CapacityDeployment> deployments_;
  std::unordered_map<core::ServerId, ByDeployment> byServer_;
  std::unordered_map<core::DeploymentId, std::vector<core::ServerId>>
    byDeployment_;
  std::unordered_map<core::ServerId, core::Bytes> usedMemory_;
  std::unordered_map<core::ServerId,
                     std::unordered_map<core::DeploymentId, CachedCheckpoint>>
    tiers_;
  std::unordered_map<core::DeploymentId, std::vector<core::ServerId>> inMemory_;
  std::uint64_t useCounter_ = 0;
};

} // namespace crocusslip::coordination
