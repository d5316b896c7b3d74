#pragma once

#include "coordination/OrderManager.hpp"
#include "core/Clock.hpp"
#include "core/Random.hpp"
#include "state/StateMachine.hpp"
#include "tests/support/FakeEngines.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace crocusslip::tests {

struct OrderScenario
{
  std::uint64_t seed_ = 1;
  state::EngineKind engine_ = state::EngineKind::Ignores;
  bool fencingSurvivesRestart_ = false;
  coordination::OrderRules rules_;
  /// Replicas also appear on servers without an order. The bounds on replicas
  /// and memory are then not checked during the run; at the end, the replicas
  /// on servers must equal those in the order table.
  bool foreignReplicas_ = false;
  core::Duration faultPeriod_ = std::chrono::seconds(60);
};

/// Seeded simulation of OrderManager and StateMachine with random decisions,
/// leader changes, lost and delayed messages and engine failures.
class OrderSimulation
{
public:
  explicit OrderSimulation(OrderScenario aScenario);

  /// Runs the simulation with faults, then a period without faults. Returns an
  /// empty string if every check passed, otherwise which one failed, and when.
  std::string Run();

  std::uint64_t LoadsDone() const { return engines_.LoadsDone(); }
  std::uint64_t LeaderChanges() const { return leaderChanges_; }
  std::uint64_t Restarts() const { return engines_.Restarts(); }

private:
  struct Node
  {
    coordination::OrderManager manager_;
    /// State that a deposed leader had applied when it was deposed.
    state::StateMachine stale_;
    bool leading_ = false;
    bool deposed_ = false;
    core::Term term_;
    core::MonotonicTime leaseEnd_;
  };
  using Event = std::function<void()>;

  void Schedule(core::Duration aDelay, Event aEvent);
  core::Duration RandomDelay(core::Duration aLongest);
  void Handle(std::size_t aNode, const coordination::OrderEvent& aEvent);
  void Perform(std::size_t aNode, const coordination::OrderAction& aAction);
  void Propose(std::size_t aNode, const state::Command& aCommand);
  void Commit(std::size_t aNode, const state::Command& aCommand);
  void Transmit(std::size_t aNode, const coordination::SendOrder& aOrder);
  void Observe(std::size_t aNode,
               const coordination::RequestReplicaList& aAction);
  void UpdateFencing(std::size_t aNode,
                     const coordination::SendFencingNumber& aAction);
  void ChangeLeader();
  void Reclaim(const core::ServerId& aServer);
  core::ServerId AddServer();
  void RequestRandomDecision();
  void InjectEvents();
  void Tick();
  void RunUntil(core::MonotonicTime aEnd);
  core::DeploymentId RandomDeployment();
  void Check();
  void Fail(const std::string& aWhat);

  OrderScenario scenario_;
  core::Random random_;
  core::MonotonicTime now_;
  std::multimap<core::MonotonicTime, Event> events_;
  state::StateMachine committed_;
  std::uint64_t logIndex_ = 0;
  std::array<std::unique_ptr<Node>, 3> nodes_;
  std::size_t leader_ = 0;
  FakeEngines engines_;
  std::uint64_t serversAdded_ = 0;
  /// Change counter of the engines and log index at the last check.
  std::pair<std::uint64_t, std::uint64_t> checked_;
  bool faultsEnabled_ = true;
  std::string failure_;
  std::uint64_t leaderChanges_ = 0;
};

} // namespace crocusslip::tests
