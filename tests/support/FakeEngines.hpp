#pragma once

#include "coordination/OrderManager.hpp"
#include "core/Random.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace crocusslip::tests {

/// Simulated engines with random load times and load failures. They check or
/// ignore fencing numbers and can restart.
class FakeEngines
{
public:
  using Reply = std::function<void(coordination::OrderReply)>;
  using Schedule = std::function<void(core::Duration, std::function<void()>)>;

  /// aFencingSurvivesRestart: whether an engine keeps its highest fencing
  /// number over a restart.
  FakeEngines(state::EngineKind aKind,
              bool aFencingSurvivesRestart,
              core::Duration aMaxLoadTime,
              core::Random& aRandom,
              Schedule aSchedule);

  void Add(const core::ServerId& aServer);
  void Remove(const core::ServerId& aServer);
  void Restart(const core::ServerId& aServer);
  /// Adds a loaded replica that no order asked for.
  void AddUnmanagedReplica(const core::ServerId& aServer,
                           const core::DeploymentId& aDeployment,
                           core::Bytes aMemory);
  core::ServerId PickRandomServer() const;
  /// Executes an order. aReply may be called later or, as with a real
  /// connection, never.
  void Deliver(const coordination::SendOrder& aOrder, const Reply& aReply);
  std::optional<coordination::ServerListed> List(
    const coordination::RequestReplicaList& aAction) const;
  std::optional<coordination::FencingNumberAnswered> UpdateFencing(
    const coordination::SendFencingNumber& aAction);

  /// Describes an engine that uses, or is assigned by aTable, more memory than
  /// aCapacity, or a deployment with more replicas than aTable has or than
  /// aMaximum; empty if there is none.
  std::string FindExcess(const state::OrderTable& aTable,
                         core::Bytes aCapacity,
                         std::uint32_t aMaximum) const;
  /// Describes a difference between the engines' replicas and the table; empty
  /// if there is none.
  std::string FindDifference(const state::OrderTable& aTable) const;
  /// Incremented with every change of the engines or their replicas.
  std::uint64_t Changes() const { return changes_; }
  std::uint64_t LoadsDone() const { return loadsDone_; }
  std::uint64_t Restarts() const { return restarts_; }

  template<typename Visit>
  void ForEach(Visit aVisit) const
  {
    for (const auto& engine : engines_) {
      aVisit(engine.first);
    }
  }

private:
  struct EngineReplica
  {
    coordination::ListedPhase phase_ = coordination::ListedPhase::Loading;
    core::Bytes memory_;
  };
  struct Engine
  {
    std::uint64_t instance_ = 1;
    core::Term highestFencingNumber_;
    std::map<core::DeploymentId, EngineReplica> replicas_;
  };

  void Load(const coordination::SendOrder& aOrder, const Reply& aReply);
  void FinishLoad(const coordination::SendOrder& aOrder,
                  std::uint64_t aInstance,
                  bool aFails,
                  const Reply& aReply);
  void Unload(const coordination::SendOrder& aOrder, const Reply& aReply);

  state::EngineKind kind_;
  bool fencingSurvivesRestart_;
  core::Duration maxLoadTime_;
  core::Random& random_;
  Schedule schedule_;
  std::map<core::ServerId, Engine> engines_;
  std::uint64_t changes_ = 0;
  std::uint64_t loadsDone_ = 0;
  std::uint64_t restarts_ = 0;
};

} // namespace crocusslip::tests
