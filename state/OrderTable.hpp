#pragma once

#include "state/Answer.hpp"
#include "state/Command.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocusslip::state {

class SnapshotReader;
class SnapshotWriter;

enum class ReplicaPhase : std::uint8_t
{
  Loading,
  Loaded,
  Unloading,
  /// The outcome of the last order is not known.
  Unknown,
};

std::string_view
Name(ReplicaPhase aPhase);

enum class OrderKind : std::uint8_t
{
  Load,
  Unload,
};

struct ReplicaKey
{
  core::DeploymentId deployment_;
  core::ServerId server_;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const ReplicaKey&, const ReplicaKey&) = default;
};

/// A replica and its last order. It holds its memory and counts as a replica
/// in every phase.
struct Replica
{
  ReplicaPhase phase_ = ReplicaPhase::Loading;
  core::Bytes memory_;
  EngineKind engine_ = EngineKind::Ignores;
  /// Found on the server without an order.
  bool adopted_ = false;
  OrderKind kind_ = OrderKind::Load;
  core::OrderId order_;
  /// Fencing number of the order.
  core::Term term_;
  std::chrono::milliseconds timeout_{ 0 };

  bool Outstanding() const { return phase_ != ReplicaPhase::Loaded; }
};

/// Orders and the replicas derived from them. An order's id is the log index
/// of its decision, its fencing number the term of that log entry.
class OrderTable
{
public:
  DecisionAnswer Decide(core::LogIndex aIndex,
                        core::Term aTerm,
                        const DecideLoad& aDecision);
  DecisionAnswer Decide(core::LogIndex aIndex,
                        core::Term aTerm,
                        const DecideUnload& aDecision);
  ObservationAnswer Observe(const ObserveOrder& aObservation);
  ObservationAnswer Adopt(core::LogIndex aIndex,
                          core::Term aTerm,
                          const AdoptReplica& aFound);
  ObservationAnswer Lose(const LoseReplica& aLost);
  ObservationAnswer Forget(const ForgetServer& aGone);

  const Replica* Find(const ReplicaKey& aKey) const;
  /// The replica whose last order this is, if any.
  const ReplicaKey* FindOrder(core::OrderId aOrder) const;
  const std::map<ReplicaKey, Replica>& Replicas() const { return replicas_; }
  std::uint32_t ReplicasOf(const core::DeploymentId& aDeployment) const;
  /// Memory held on a server.
  core::Bytes HeldOn(const core::ServerId& aServer) const;

  bool Uses(const core::ServerId& aServer) const
  {
    return servers_.contains(aServer);
  }

  /// Calls aVisit(key, replica) for each replica on a server.
  template<typename Visit>
  void ForServer(const core::ServerId& aServer, Visit aVisit) const
  {
    const auto usage = servers_.find(aServer);
    if (usage == servers_.end()) {
      return;
    }
    for (const auto& deployment : usage->second.deployments_) {
      const ReplicaKey key{ deployment, aServer };
      aVisit(key, replicas_.at(key));
    }
  }

  /// Replicas changed since the last call.
  std::vector<ReplicaKey> TakeTouched() { return std::exchange(touched_, {}); }

  void Write(SnapshotWriter& aWriter) const;
  void Read(SnapshotReader& aReader);

private:
  struct ServerUsage
  {
    core::Bytes held_;
    std::set<core::DeploymentId> deployments_;
  };

  void Insert(const ReplicaKey& aKey, const Replica& aReplica);
  void Remove(const ReplicaKey& aKey);

  std::map<ReplicaKey, Replica> replicas_;
  std::unordered_map<core::OrderId, ReplicaKey> orders_;
  std::unordered_map<core::DeploymentId, std::uint32_t> counts_;
  std::unordered_map<core::ServerId, ServerUsage> servers_;
  std::vector<ReplicaKey> touched_;
};

} // namespace crocusslip::state
