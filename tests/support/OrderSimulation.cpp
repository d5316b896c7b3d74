#include "tests/support/OrderSimulation.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::tests {

using namespace coordination;
using namespace std::chrono_literals;

namespace {

constexpr core::Duration kTick = 50ms;
constexpr core::Duration kLease = 400ms;
constexpr std::chrono::milliseconds kOrderTimeout = 3s;
constexpr core::Duration kLongestLoad = 4s;
constexpr core::Duration kSettlePeriod = 60s;
constexpr double kDelayProbability = 0.15;
constexpr double kLossProbability = 0.1;
constexpr double kClockDrift = 0.01;
constexpr std::uint32_t kMaximumReplicas = 1;
constexpr std::uint64_t kDeployments = 5;
constexpr std::size_t kServers = 3;
const core::Bytes kCapacity(20);

core::Bytes
MemoryOf(const core::DeploymentId& aDeployment)
{
  return core::Bytes(6 + (aDeployment.Value().back() - '0'));
}

core::Duration
WithDrift(core::Duration aTime)
{
  return core::Duration(static_cast<core::Duration::rep>(double(aTime.count()) *
                                                         (1 + kClockDrift)));
}

} // namespace

OrderSimulation::OrderSimulation(OrderScenario aScenario)
  : scenario_(aScenario)
  , random_(aScenario.seed_)
  , engines_(aScenario.engine_,
             aScenario.fencingSurvivesRestart_,
             kLongestLoad,
             random_,
             [this](core::Duration aDelay, Event aEvent) {
               Schedule(aDelay, std::move(aEvent));
             })
{
  OrderSettings limits;
  limits.leaderLease_ = kLease;
  limits.fencingSurvivesRestart_ = scenario_.fencingSurvivesRestart_;
  for (auto& node : nodes_) {
    node = std::make_unique<Node>();
    node->manager_ = OrderManager(limits, scenario_.rules_);
  }
  for (std::size_t i = 0; i < kServers; ++i) {
    AddServer();
  }
}

void
OrderSimulation::Schedule(core::Duration aDelay, Event aEvent)
{
  events_.emplace(now_ + aDelay, std::move(aEvent));
}

core::Duration
OrderSimulation::RandomDelay(core::Duration aLongest)
{
  return core::Duration(static_cast<core::Duration::rep>(
    random_.Below(static_cast<std::uint64_t>(aLongest.count()) + 1)));
}

void
OrderSimulation::Handle(std::size_t aNode, const OrderEvent& aEvent)
{
  Node& node = *nodes_[aNode];
  const state::StateMachine& seen = node.deposed_ ? node.stale_ : committed_;
  for (const OrderAction& action :
       node.manager_.Handle(aEvent, seen.Orders(), now_)) {
    Perform(aNode, action);
  }
}

void
OrderSimulation::Perform(std::size_t aNode, const OrderAction& aAction)
{
  if (const auto* propose = std::get_if<ProposeCommand>(&aAction)) {
    Propose(aNode, propose->command_);
  } else if (const auto* order = std::get_if<SendOrder>(&aAction)) {
    Schedule(RandomDelay(kLease),
             [=, this, order = *order] { Transmit(aNode, order); });
  } else if (const auto* observe = std::get_if<RequestReplicaList>(&aAction)) {
    Observe(aNode, *observe);
  } else if (const auto* fencingRequest =
               std::get_if<SendFencingNumber>(&aAction)) {
    UpdateFencing(aNode, *fencingRequest);
  }
}

void
OrderSimulation::Propose(std::size_t aNode, const state::Command& aCommand)
{
  const core::Term term = nodes_[aNode]->term_;
  Schedule(RandomDelay(80ms), [=, this] {
    const Node& node = *nodes_[aNode];
    if (node.leading_ && !node.deposed_ && node.term_ == term) {
      Commit(aNode, aCommand);
    }
  });
}

void
OrderSimulation::Commit(std::size_t aNode, const state::Command& aCommand)
{
  const core::LogIndex index(++logIndex_);
  const core::Term term = nodes_[aNode]->term_;
  const state::Answer answer = committed_.Apply(index, term, aCommand);
  const auto* decided = std::get_if<state::DecisionAnswer>(&answer);
  if (decided == nullptr ||
      decided->result_ != state::DecisionResult::Decided) {
    return;
  }
  Schedule(RandomDelay(100ms), [=, this, order = decided->order_] {
    if (nodes_[aNode]->leading_ && nodes_[aNode]->term_ == term) {
      Handle(aNode, DecisionApplied{ order });
    }
  });
}

void
OrderSimulation::Transmit(std::size_t aNode, const SendOrder& aOrder)
{
  const Node& node = *nodes_[aNode];
  const bool holdsLease = !node.deposed_ || now_ <= node.leaseEnd_;
  if (node.term_ != aOrder.fencing_ || !holdsLease ||
      now_ >= aOrder.deadline_) {
    return;
  }
  const core::Duration remaining = WithDrift(aOrder.deadline_ - now_);
  auto answered = std::make_shared<bool>(false);
  const FakeEngines::Reply reply = [=, this](OrderReply aReply) {
    if (!*answered && nodes_[aNode]->term_ == aOrder.fencing_) {
      *answered = true;
      Handle(aNode, OrderAnswered{ aOrder.order_, aReply });
    }
  };
  Schedule(remaining, [reply] { reply(OrderReply::None); });
  const core::Duration delay =
    random_.Chance(kDelayProbability)
      ? RandomDelay(remaining)
      : RandomDelay(std::min(remaining, core::Duration(20ms)));
  const bool lost = faultsEnabled_ && random_.Chance(kLossProbability);
  if (lost && random_.Chance(0.5)) {
    Schedule(delay, [reply] { reply(OrderReply::None); });
    return;
  }
  Schedule(delay, [=, this] {
    engines_.Deliver(aOrder, [=, this](OrderReply aReply) {
      Schedule(RandomDelay(20ms),
               [=] { reply(lost ? OrderReply::None : aReply); });
    });
  });
}

void
OrderSimulation::Observe(std::size_t aNode, const RequestReplicaList& aAction)
{
  if (faultsEnabled_ && random_.Chance(kLossProbability)) {
    return;
  }
  Schedule(RandomDelay(100ms), [=, this] {
    if (const auto list = engines_.List(aAction)) {
      Schedule(RandomDelay(300ms), [=, this] { Handle(aNode, *list); });
    }
  });
}

void
OrderSimulation::UpdateFencing(std::size_t aNode,
                               const SendFencingNumber& aAction)
{
  if (faultsEnabled_ && random_.Chance(kLossProbability)) {
    return;
  }
  Schedule(RandomDelay(100ms), [=, this] {
    if (const auto fencingAnswer = engines_.UpdateFencing(aAction)) {
      Schedule(RandomDelay(100ms),
               [=, this] { Handle(aNode, *fencingAnswer); });
    }
  });
}

void
OrderSimulation::ChangeLeader()
{
  Node& old = *nodes_[leader_];
  const std::size_t oldNode = leader_;
  old.deposed_ = true;
  old.leaseEnd_ = now_ + WithDrift(kLease);
  const core::Status copied = old.stale_.Restore(committed_.Snapshot());
  if (!copied.Ok()) {
    Fail(copied.Failure().Message());
  }
  Schedule(RandomDelay(kLease), [=, this, term = old.term_] {
    if (nodes_[oldNode]->term_ == term) {
      Handle(oldNode, LeadershipLost{});
      nodes_[oldNode]->leading_ = false;
    }
  });
  ++leaderChanges_;
  leader_ = (leader_ + 1) % nodes_.size();
  Node& next = *nodes_[leader_];
  next.deposed_ = false;
  next.leading_ = true;
  next.term_ = core::Term(leaderChanges_ + 1);
  engines_.ForEach([&](const core::ServerId& aServer) {
    Handle(leader_, ServerAdded{ aServer, scenario_.engine_ });
  });
  Handle(leader_, LeadershipGained{ next.term_ });
}

void
OrderSimulation::Reclaim(const core::ServerId& aServer)
{
  engines_.Remove(aServer);
  const core::ServerId added = AddServer();
  Handle(leader_, ServerAdded{ added, scenario_.engine_ });
  // The platform's host list lags behind and is read repeatedly.
  for (int repeat = 1; repeat <= 10; ++repeat) {
    Schedule(repeat * 2s,
             [=, this] { Handle(leader_, ServerReclaimed{ aServer }); });
  }
}

core::ServerId
OrderSimulation::AddServer()
{
  core::ServerId server("server-" + std::to_string(serversAdded_++));
  engines_.Add(server);
  return server;
}

core::DeploymentId
OrderSimulation::RandomDeployment()
{
  return core::DeploymentId("model-" +
                            std::to_string(random_.Below(kDeployments)));
}

void
OrderSimulation::RequestRandomDecision()
{
  const core::DeploymentId deployment = RandomDeployment();
  const core::ServerId server = engines_.PickRandomServer();
  if (random_.Chance(0.6)) {
    Handle(leader_,
           DecisionRequested{ state::DecideLoad{ deployment,
                                                 server,
                                                 MemoryOf(deployment),
                                                 kCapacity,
                                                 kMaximumReplicas,
                                                 kOrderTimeout,
                                                 scenario_.engine_ } });
  } else {
    Handle(leader_,
           DecisionRequested{
             state::DecideUnload{ deployment, server, kOrderTimeout } });
  }
}

void
OrderSimulation::InjectEvents()
{
  if (random_.Chance(0.5)) {
    RequestRandomDecision();
  }
  if (random_.Chance(0.01)) {
    ChangeLeader();
  }
  if (random_.Chance(0.005)) {
    engines_.Restart(engines_.PickRandomServer());
  }
  if (random_.Chance(0.001)) {
    Reclaim(engines_.PickRandomServer());
  }
  if (scenario_.foreignReplicas_ && random_.Chance(0.02)) {
    const core::DeploymentId deployment = RandomDeployment();
    engines_.AddUnmanagedReplica(
      engines_.PickRandomServer(), deployment, MemoryOf(deployment));
  }
}

void
OrderSimulation::Tick()
{
  if (faultsEnabled_) {
    InjectEvents();
  }
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    if (nodes_[node]->leading_) {
      Handle(node, OrderTick{});
    }
  }
  Schedule(kTick, [this] { Tick(); });
}

void
OrderSimulation::RunUntil(core::MonotonicTime aEnd)
{
  while (failure_.empty() && events_.begin()->first <= aEnd) {
    const auto next = events_.begin();
    now_ = next->first;
    const Event event = std::move(next->second);
    events_.erase(next);
    event();
    Check();
  }
}

std::string
OrderSimulation::Run()
{
  ChangeLeader();
  Tick();
  RunUntil(now_ + scenario_.faultPeriod_);
  faultsEnabled_ = false;
  RunUntil(now_ + kSettlePeriod);
  Fail(engines_.FindDifference(committed_.Orders()));
  return failure_;
}

void
OrderSimulation::Check()
{
  const std::pair checking{ engines_.Changes(), logIndex_ };
  if (!scenario_.foreignReplicas_ && checking != checked_) {
    checked_ = checking;
    Fail(engines_.FindExcess(committed_.Orders(), kCapacity, kMaximumReplicas));
  }
}

void
OrderSimulation::Fail(const std::string& aWhat)
{
  if (failure_.empty() && !aWhat.empty()) {
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
      now_.time_since_epoch());
    failure_ = aWhat + " at " + std::to_string(at.count()) + " ms, seed " +
               std::to_string(scenario_.seed_);
  }
}

} // namespace crocusslip::tests
