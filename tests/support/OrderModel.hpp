#pragma once

#include "coordination/OrderManager.hpp"
#include "tests/support/ExplorerModel.hpp"
#include "tests/support/FakeEngines.hpp"
#include "tests/support/StateReplica.hpp"

#include <map>
#include <utility>
#include <vector>

namespace crocusslip::tests {

/// Model of leaders that load and unload replicas on fake engines through
/// OrderManager. Checks that engines never hold more replicas or memory than
/// the committed log records.
class OrderModel final : public ExplorerModel
{
public:
  OrderModel(state::EngineKind aKind, coordination::OrderRules aRules);

  std::unique_ptr<ExplorerStateMachine> MakeMachine() override;
  ExplorerRequest NextRequest(core::Random& aRandom) override;
  void OnLeader(ExplorerLeader& aLeader, core::Random& aRandom) override;
  void OnTick(core::Duration aNow, core::Random& aRandom) override;
  std::optional<std::string> Violation() override;
  std::optional<std::string> CheckHistory(
    const std::vector<ExplorerOperation>& aHistory) override;

  std::uint64_t LoadsDone() const { return engines_.LoadsDone(); }

private:
  /// One member's order manager in one term.
  struct LeaderState
  {
    coordination::OrderManager manager_;
    core::Term term_;
    bool leading_ = false;
    core::Duration lastSeen_{};
    std::size_t handledDecisions_ = 0;
    std::vector<coordination::OrderEvent> inbox_;
  };

  /// Seeds this model's own random generator from the explorer's at the first
  /// call.
  void SeedOnce(core::Random& aRandom);
  void Schedule(core::Duration aDelay, std::function<void()> aWork);
  core::Duration RandomDelay(core::Duration aLongest);
  LeaderState& LeaderStateOf(const ExplorerLeader& aLeader);
  void Handle(ExplorerLeader& aLeader,
              LeaderState& aLeaderState,
              const coordination::OrderEvent& aEvent);
  void Perform(ExplorerLeader& aLeader,
               const coordination::OrderAction& aAction);
  void Send(core::MemberId aMember, const coordination::SendOrder& aOrder);
  void Deliver(core::MemberId aMember,
               core::Term aTerm,
               const coordination::OrderEvent& aEvent);
  coordination::DecisionRequested RandomDecision();

  state::EngineKind kind_;
  coordination::OrderRules rules_;
  core::Random random_{ 1 };
  bool seeded_ = false;
  core::Duration now_{};
  std::multimap<core::Duration, std::function<void()>> events_;
  FakeEngines engines_;
  /// State after every command that any member has applied.
  state::StateMachine committed_;
  /// Number of applied commands that may change orders.
  std::uint64_t orderChanges_ = 0;
  /// Change counters of engines and orders at the last check.
  std::pair<std::uint64_t, std::uint64_t> checked_;
  std::map<const ExplorerStateMachine*, core::Term> appliedTerms_;
  std::map<core::Term, std::vector<core::OrderId>> decisions_;
  std::map<core::MemberId, LeaderState> leaderStates_;
};

} // namespace crocusslip::tests
