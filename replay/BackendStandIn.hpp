#pragma once

#include "protocol/TraceFile.hpp"
#include "replay/EventQueue.hpp"

#include <chrono>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocusslip::replay {

/// Time until an unloaded replica no longer holds accelerator memory.
inline constexpr auto kUnloadTime = std::chrono::milliseconds(200);
/// Prompt processing until the first byte of the answer, at speed 1.
inline constexpr double kPromptTokensPerSecond = 8000;

/// Loads from the store that share its throughput: each runs at full speed
/// while at most a given number is in flight, proportionally slower beyond.
class SharedStore
{
public:
  using Done = std::function<void()>;

  SharedStore(EventQueue& aEvents, double aFullSpeedLoads);

  std::uint64_t Start(core::Duration aAtFullSpeed, Done aDone);
  void Cancel(std::uint64_t aLoad);
  void SetFactor(double aFactor);

private:
  struct Active
  {
    double remaining_ = 0;
    Done done_;
  };

  double Speed() const;
  void Advance();
  void Schedule();
  void Complete(std::uint64_t aVersion);

  EventQueue& events_;
  double fullSpeedLoads_;
  double factor_ = 1.0;
  std::map<std::uint64_t, Active> active_;
  std::uint64_t next_ = 1;
  std::uint64_t version_ = 0;
  core::MonotonicTime advancedAt_;
};

/// One forwarded request on a replica.
struct ServiceCall
{
  std::uint64_t attempt_ = 0;
  core::Duration service_{};
  std::uint32_t promptTokens_ = 0;
  std::function<void()> started_;
  std::function<void()> firstByte_;
  std::function<void()> finished_;
};

/// Stand-in for backend servers and the weight store: load times by tier,
/// service times by speed, a bounded number of requests at once, checkpoint
/// caches. No network and no failures of its own.
class BackendStandIn
{
public:
  using Done = std::function<void()>;

  BackendStandIn(const protocol::TraceSettings& aSettings, EventQueue& aEvents);

  /// aDone is not called if the server is killed before.
  void Load(const core::DeploymentId& aDeployment,
            const core::ServerId& aServer,
            Done aDone);
  void Unload(const core::DeploymentId& aDeployment,
              const core::ServerId& aServer,
              Done aDone);
  void Serve(const core::DeploymentId& aDeployment,
             const core::ServerId& aServer,
             ServiceCall aCall);
  /// Drops everything that runs or loads there, without further callbacks.
  void Kill(const core::ServerId& aServer);
  void SetStoreFactor(double aFactor);
  coordination::CheckpointTier Tier(const core::DeploymentId& aDeployment,
                                    const core::ServerId& aServer) const;
  /// Checkpoints on a server that are not remote, the least recently used
  /// first.
  std::vector<std::pair<core::DeploymentId, coordination::CheckpointTier>>
  Cached(const core::ServerId& aServer) const;

private:
  struct Replica
  {
    std::uint32_t running_ = 0;
    std::deque<ServiceCall> queue_;
  };
  struct Server
  {
    double speed_ = 1.0;
    core::Bytes cacheMemory_;
    /// Changes when the server is killed, which voids pending events.
    std::uint64_t life_ = 0;
    std::map<core::DeploymentId, Replica> replicas_;
    std::vector<std::pair<SharedStore*, std::uint64_t>> storeLoads_;
    /// Most recently used first.
    std::list<core::DeploymentId> memory_;
    std::list<core::DeploymentId> disk_;
  };

  void Begin(const core::DeploymentId& aDeployment,
             const core::ServerId& aServer,
             const ServiceCall& aCall);
  /// Runs aAction later unless the server is killed before.
  void After(core::Duration aDelay,
             const core::ServerId& aServer,
             std::function<void()> aAction);
  /// Drops the least recently used checkpoints beyond the limit.
  void MoveToFront(std::list<core::DeploymentId>& aList,
                   const core::DeploymentId& aDeployment,
                   core::Bytes aLimit) const;
  void Touch(Server& aServer, const core::DeploymentId& aDeployment);

  EventQueue& events_;
  SharedStore models_;
  SharedStore adapters_;
  std::unordered_map<core::ServerId, Server> servers_;
  std::unordered_map<core::DeploymentId, coordination::CapacityDeployment>
    deployments_;
};

} // namespace crocusslip::replay
