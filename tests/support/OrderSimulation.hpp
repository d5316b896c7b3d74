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
  /// Replicas also appear on servers without any order; the bounds on
  /// replicas and memory are then checked only against the table's charge.
  bool foreignReplicas_ = false;
  core::Duration faults_ = std::chrono::seconds(60);
};

/// A seeded schedule of decisions, changes of leader, lost and delayed messages
/// and engine failures around OrderManager and StateMachine.
class OrderSimulation
{
public:
  explicit OrderSimulation(OrderScenario aScenario);

  /// Runs the schedule, then a quiet period without faults. The text is empty
  /// if every check held, else it says which one failed, and when.
  std::string Run();

  std::uint64_t LoadsDone() const { return engines_.LoadsDone(); }
  std::uint64_t LeaderChanges() const { return leaderChanges_; }
  std::uint64_t Restarts() const { return engines_.Restarts(); }

private:
  struct Node
  {
    coordination::OrderManager manager_;
    /// The table as last seen by a deposed leader.
    state::StateMachine stale_;
    bool leading_ = false;
    bool deposed_ = false;
    core::Term term_;
    core::MonotonicTime leaseEnd_;
  };
  using Event = std::function<void()>;

  void After(core::Duration aDelay, Event aEvent);
  core::Duration Within(core::Duration aLongest);
  void Handle(std::size_t aNode, const coordination::OrderEvent& aEvent);
  void Do(std::size_t aNode, const coordination::OrderAction& aAction);
  void Propose(std::size_t aNode, const state::Command& aCommand);
  void Commit(std::size_t aNode, const state::Command& aCommand);
  void Transmit(std::size_t aNode, const coordination::SendOrder& aOrder);
  void Observe(std::size_t aNode, const coordination::ObserveServer& aAction);
  void UpdateFencing(std::size_t aNode,
                     const coordination::SendFencingNumber& aAction);
  void ChangeLeader();
  void Reclaim(const core::ServerId& aServer);
  core::ServerId AddServer();
  void WantSomething();
  void Disturb();
  void Tick();
  void RunUntil(core::MonotonicTime aEnd);
  core::DeploymentId AnyDeployment();
  void Check();
  void Fail(const std::string& aWhat);

  OrderScenario scenario_;
  core::Random random_;
  core::MonotonicTime now_;
  std::multimap<core::MonotonicTime, Event> events_;
  state::StateMachine truth_;
  std::uint64_t logIndex_ = 0;
  std::array<std::unique_ptr<Node>, 3> nodes_;
  std::size_t leader_ = 0;
  FakeEngines engines_;
  std::uint64_t serversAdded_ = 0;
  /// State of engines and log at the last check.
  std::pair<std::uint64_t, std::uint64_t> checked_;
  bool disturbing_ = true;
  std::string failure_;
  std::uint64_t leaderChanges_ = 0;
};

} // namespace crocusslip::tests
