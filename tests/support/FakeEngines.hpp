#pragma once

#include "coordination/OrderManager.hpp"
#include "core/Random.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace crocusslip::tests {

/// Engines that obey or ignore fencing numbers, load in their own time, fail
/// loads and restart.
class FakeEngines
{
public:
  using Reply = std::function<void(coordination::OrderReply)>;
  using Schedule = std::function<void(core::Duration, std::function<void()>)>;

  FakeEngines(state::EngineKind aKind,
              bool aFencingSurvivesRestart,
              core::Duration aMaxLoadTime,
              core::Random& aRandom,
              Schedule aSchedule);

  void Add(const core::ServerId& aServer);
  void Remove(const core::ServerId& aServer);
  void Restart(const core::ServerId& aServer);
  /// A replica that no order loaded.
  void AddUnmanagedReplica(const core::ServerId& aServer,
                           const core::DeploymentId& aDeployment,
                           core::Bytes aMemory);
  core::ServerId PickRandomServer() const;
  /// aReply is called later or not at all, as with a real connection.
  void Deliver(const coordination::SendOrder& aOrder, const Reply& aReply);
  std::optional<coordination::ServerListed> List(
    const coordination::ObserveServer& aAction) const;
  std::optional<coordination::FencingNumberAnswered> UpdateFencing(
    const coordination::SendFencingNumber& aAction);

  /// What is loaded or loading beyond the table, or empty text.
  std::string FindExcess(const state::OrderTable& aTable,
                         core::Bytes aCapacity,
                         std::uint32_t aMaximum) const;
  /// A difference between what is loaded and the table, or empty text.
  std::string FindDifference(const state::OrderTable& aTable) const;
  /// Grows with every change of what is loaded or loading.
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
    core::Term highestFencing_;
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
