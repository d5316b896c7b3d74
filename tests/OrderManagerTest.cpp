#define BOOST_TEST_MODULE OrderManager
#include <boost/test/unit_test.hpp>

#include "tests/support/OrderSimulation.hpp"

#include <string>

using namespace crocusslip;
using namespace std::chrono_literals;
using tests::OrderScenario;
using tests::OrderSimulation;

namespace {

constexpr std::uint64_t kSeeds = 200;
// Disabling a rule must cause a failure within this many seeds.
constexpr std::uint64_t kSearchSeeds = 200;

std::string
FirstFailure(OrderScenario aScenario, std::uint64_t aSeeds)
{
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    aScenario.seed_ = seed;
    std::string failure = OrderSimulation(aScenario).Run();
    if (!failure.empty()) {
      return failure;
    }
  }
  return {};
}

template<typename T>
const T*
Find(const std::vector<coordination::OrderAction>& aActions)
{
  for (const auto& action : aActions) {
    if (const T* found = std::get_if<T>(&action)) {
      return found;
    }
  }
  return nullptr;
}

/// A leader with one server and an order table that applies commands at once.
struct Leader
{
  coordination::OrderManager manager_;
  state::StateMachine state_;
  core::MonotonicTime now_;
  std::uint64_t index_ = 0;

  Leader()
  {
    Handle(coordination::ServerAdded{ kServer, state::EngineKind::Ignores });
    Handle(coordination::LeadershipGained{ core::Term(3) });
  }
  std::vector<coordination::OrderAction> Handle(
    const coordination::OrderEvent& aEvent)
  {
    return manager_.Handle(aEvent, state_.Orders(), now_);
  }
  void Apply(const state::Command& aCommand)
  {
    state_.Apply(core::LogIndex(++index_), core::Term(3), aCommand);
  }
  void List(std::uint64_t aObservation)
  {
    Handle(coordination::ServerListed{ kServer, aObservation, "1", {} });
  }

  static const core::ServerId kServer;
  static const state::DecideLoad kLoad;
};

const core::ServerId Leader::kServer("a");
const state::DecideLoad Leader::kLoad{
  core::DeploymentId("m"),   kServer, core::Bytes(8), core::Bytes(20), 1, 3s,
  state::EngineKind::Ignores
};

} // namespace

BOOST_AUTO_TEST_SUITE(An_order_manager)

// Guards against an order whose decision could be lost in a crash.
BOOST_FIXTURE_TEST_CASE(sends_an_order_once_its_decision_is_applied, Leader)
{
  List(1);
  const auto wanted = Handle(coordination::DecisionRequested{ kLoad });
  BOOST_TEST(Find<coordination::ProposeCommand>(wanted) != nullptr);
  BOOST_TEST(Find<coordination::SendOrder>(wanted) == nullptr);
  Apply(kLoad);
  const coordination::DecisionApplied applied{ core::OrderId(index_) };
  const auto actions = Handle(applied);
  const auto* order = Find<coordination::SendOrder>(actions);
  BOOST_REQUIRE(order != nullptr);
  BOOST_TEST(order->order_.Value() == 1U);
  BOOST_TEST(order->fencing_.Value() == 3U);
  BOOST_TEST((order->deadline_ == now_ + 3s));
  BOOST_TEST(Handle(applied).empty());
}

// Guards against decisions for a server whose replicas are not known yet.
BOOST_FIXTURE_TEST_CASE(defers_decisions_until_the_server_is_listed, Leader)
{
  const auto wanted = Handle(coordination::DecisionRequested{ kLoad });
  BOOST_TEST(Find<coordination::DecisionDropped>(wanted) != nullptr);
  BOOST_TEST(Find<coordination::ProposeCommand>(wanted) == nullptr);
  List(1);
  BOOST_TEST(manager_.Reconciled(kServer));
}

// Guards against releasing reserved memory because a server does not answer.
BOOST_FIXTURE_TEST_CASE(releases_an_unresponsive_server_only_when_reclaimed,
                        Leader)
{
  Apply(kLoad);
  Handle(coordination::DecisionApplied{ core::OrderId(index_) });
  for (int second = 0; second < 3600; ++second) {
    now_ += 1s;
    for (const auto& action : Handle(coordination::OrderTick{})) {
      if (const auto* propose =
            std::get_if<coordination::ProposeCommand>(&action)) {
        Apply(propose->command_);
      }
    }
  }
  BOOST_TEST(state_.Orders().HeldOn(kServer).Count() == 8U);
  const auto actions = Handle(coordination::ServerReclaimed{ kServer });
  const auto* propose = Find<coordination::ProposeCommand>(actions);
  BOOST_REQUIRE(propose != nullptr);
  Apply(propose->command_);
  BOOST_TEST(state_.Orders().HeldOn(kServer).Count() == 0U);
}

BOOST_AUTO_TEST_SUITE(with_lost_answers_restarts_and_leader_changes)

// Guards against more replicas or memory than decided, and against orders whose
// outcome is never determined, on engines that ignore fencing numbers.
BOOST_AUTO_TEST_CASE(keeps_to_decisions_on_engines_that_ignore_fencing_numbers)
{
  OrderScenario scenario;
  scenario.engine_ = state::EngineKind::Ignores;
  BOOST_TEST(FirstFailure(scenario, kSeeds) == "");
}

// Guards against the same failures on engines that reject older fencing numbers
// but lose the highest one at a restart.
BOOST_AUTO_TEST_CASE(keeps_to_decisions_on_engines_that_check_fencing_numbers)
{
  OrderScenario scenario;
  scenario.engine_ = state::EngineKind::Checks;
  BOOST_TEST(FirstFailure(scenario, kSeeds) == "");
}

// Guards against inferring an order's outcome before the engine has accepted
// the new fencing number. On these engines nothing else prevents late arrivals.
BOOST_AUTO_TEST_CASE(keeps_to_decisions_where_fencing_numbers_survive_restarts)
{
  OrderScenario scenario;
  scenario.engine_ = state::EngineKind::Checks;
  scenario.fencingSurvivesRestart_ = true;
  BOOST_TEST(FirstFailure(scenario, kSeeds) == "");
}

// Guards against replicas that were loaded without a decision staying loaded or
// missing from the reserved memory.
BOOST_AUTO_TEST_CASE(unloads_replicas_that_appear_without_an_order)
{
  OrderScenario scenario;
  scenario.foreignReplicas_ = true;
  BOOST_TEST(FirstFailure(scenario, kSeeds) == "");
  scenario.engine_ = state::EngineKind::Checks;
  BOOST_TEST(FirstFailure(scenario, kSeeds) == "");
}

// Guards against a simulation that passes because it has no loads or faults.
BOOST_AUTO_TEST_CASE(simulation_contains_loads_and_faults)
{
  OrderSimulation simulation{ OrderScenario() };
  BOOST_TEST(simulation.Run() == "");
  BOOST_TEST(simulation.LoadsDone() > 10U);
  BOOST_TEST(simulation.LeaderChanges() > 3U);
  BOOST_TEST(simulation.Restarts() > 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(without_one_of_its_rules)

// Guards against a simulation that can't detect orders of a deposed leader that
// arrive after their outcome was inferred.
BOOST_AUTO_TEST_CASE(fails_when_it_does_not_wait_for_earlier_leaders)
{
  OrderScenario scenario;
  scenario.rules_.leaseWait_ = false;
  BOOST_TEST(FirstFailure(scenario, kSearchSeeds) != "");
}

// Guards against a simulation that can't detect memory released too early.
BOOST_AUTO_TEST_CASE(fails_when_unknown_outcomes_release_their_memory)
{
  OrderScenario scenario;
  scenario.rules_.memoryHeldOnUnknown_ = false;
  BOOST_TEST(FirstFailure(scenario, kSearchSeeds) != "");
}

// Guards against a simulation that can't detect orders without a decision.
BOOST_AUTO_TEST_CASE(fails_when_orders_precede_their_decision)
{
  OrderScenario scenario;
  scenario.rules_.decisionBeforeOrder_ = false;
  BOOST_TEST(FirstFailure(scenario, kSearchSeeds) != "");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
