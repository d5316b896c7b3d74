#pragma once

#include "coordination/OrderManager.hpp"
#include "tests/support/ExplorerModel.hpp"
#include "tests/support/FakeEngines.hpp"
#include "tests/support/StateReplica.hpp"

#include <map>
#include <utility>
#include <vector>

namespace crocusslip::tests {

/// Leaders that load and unload replicas on fake engines through OrderManager.
/// Engines may never hold more replicas or memory than the committed log says.
class OrderModel final : public ExplorerModel
{
public:
  OrderModel(state::EngineKind aKind, coordination::OrderRules aRules);

  std::unique_ptr<ExplorerMachine> MakeMachine() override;
  ExplorerRequest NextRequest(core::Random& aRandom) override;
  void OnLeader(ExplorerLeader& aLeader, core::Random& aRandom) override;
  void OnTime(core::Duration aNow, core::Random& aRandom) override;
  std::optional<std::string> Violation() override;
  std::optional<std::string> CheckHistory(
    const std::vector<ExplorerOperation>& aHistory) override;

  std::uint64_t LoadsDone() const { return engines_.LoadsDone(); }

private:
  /// One member's order manager in one term.
  struct Acting
  {
    coordination::OrderManager manager_;
    core::Term term_;
    bool gained_ = false;
    core::Duration lastSeen_{};
    std::size_t handledDecisions_ = 0;
    std::vector<coordination::OrderEvent> inbox_;
  };

  /// Draws of this model stay apart from the explorer's own.
  void SeedOnce(core::Random& aRandom);
  void After(core::Duration aDelay, std::function<void()> aWork);
  core::Duration Within(core::Duration aLongest);
  Acting& ActingOf(const ExplorerLeader& aLeader);
  void Handle(ExplorerLeader& aLeader,
              Acting& aActing,
              const coordination::OrderEvent& aEvent);
  void Do(ExplorerLeader& aLeader, const coordination::OrderAction& aAction);
  void Send(core::MemberId aMember, const coordination::SendOrder& aOrder);
  void Deliver(core::MemberId aMember,
               core::Term aTerm,
               const coordination::OrderEvent& aEvent);
  coordination::DecisionRequested Wanted();

  state::EngineKind kind_;
  coordination::OrderRules rules_;
  core::Random random_{ 1 };
  bool seeded_ = false;
  core::Duration now_{};
  std::multimap<core::Duration, std::function<void()>> events_;
  FakeEngines engines_;
  /// The committed log, applied as soon as any member has applied it.
  state::StateMachine truth_;
  /// Commands in it that may change orders.
  std::uint64_t orderChanges_ = 0;
  /// State of engines and orders at the last check.
  std::pair<std::uint64_t, std::uint64_t> checked_;
  std::map<const ExplorerMachine*, core::Term> appliedTerms_;
  std::map<core::Term, std::vector<core::OrderId>> decisions_;
  std::map<core::MemberId, Acting> acting_;
};

} // namespace crocusslip::tests
