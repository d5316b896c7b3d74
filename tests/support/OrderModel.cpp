#include "tests/support/OrderModel.hpp"

#include "state/CommandCodec.hpp"

#include <utility>

namespace crocusslip::tests {

using namespace coordination;
using namespace std::chrono_literals;

namespace {

constexpr core::Duration kLease = 400ms;
constexpr std::chrono::milliseconds kOrderTimeout = 800ms;
constexpr core::Duration kLongestLoad = 1s;
constexpr double kDelayProbability = 0.6;
constexpr double kLossProbability = 0.1;
constexpr double kRestartProbability = 0.002;
// The explorer stops injecting faults at 15 s and compares members at 25 s. No
// new decisions are made after kLastDecisionTime, so that all outcomes are
// known when the members are compared.
constexpr core::Duration kLastDecisionTime = 19s;
constexpr std::uint64_t kServers = 3;
constexpr std::uint64_t kDeployments = 3;
const core::Bytes kMemory(8);
const core::Bytes kCapacity(20);

OrderSettings
Limits()
{
  OrderSettings limits;
  limits.leaderLease_ = kLease;
  limits.listInterval_ = 100ms;
  limits.idleListInterval_ = 400ms;
  limits.contactTimeout_ = 400ms;
  limits.proposalTimeout_ = 300ms;
  return limits;
}

} // namespace

OrderModel::OrderModel(state::EngineKind aKind, OrderRules aRules)
  : kind_(aKind)
  , rules_(aRules)
  , engines_(aKind,
             false,
             kLongestLoad,
             random_,
             [this](core::Duration aDelay, std::function<void()> aWork) {
               Schedule(aDelay, std::move(aWork));
             })
{
  for (std::uint64_t i = 0; i < kServers; ++i) {
    engines_.Add(core::ServerId("server-" + std::to_string(i)));
  }
}

std::unique_ptr<ExplorerStateMachine>
OrderModel::MakeMachine()
{
  return std::make_unique<StateReplica>(
    state::StateLimits(),
    [this](const StateReplica& aReplica,
           core::LogIndex aIndex,
           core::Term aTerm,
           const state::Command& aCommand,
           const state::Answer& aAnswer) {
      appliedTerms_[&aReplica] = aTerm;
      if (aIndex <= committed_.LastApplied()) {
        return;
      }
      committed_.Apply(aIndex, aTerm, aCommand);
      if (!std::holds_alternative<state::AdvanceTime>(aCommand)) {
        ++orderChanges_;
      }
      const auto* decided = std::get_if<state::DecisionAnswer>(&aAnswer);
      if (decided != nullptr &&
          decided->result_ == state::DecisionResult::Decided) {
        decisions_[aTerm].push_back(decided->order_);
      }
    });
}

ExplorerRequest
OrderModel::NextRequest(core::Random& aRandom)
{
  return { false,
           state::Encode(state::Command(state::AdvanceTime{
             state::AgreedTime(1ms * aRandom.Below(1000)) })) };
}

void
OrderModel::SeedOnce(core::Random& aRandom)
{
  if (!seeded_) {
    random_ = core::Random(aRandom.Next());
    seeded_ = true;
  }
}

void
OrderModel::Schedule(core::Duration aDelay, std::function<void()> aWork)
{
  events_.emplace(now_ + aDelay, std::move(aWork));
}

core::Duration
OrderModel::RandomDelay(core::Duration aLongest)
{
  return core::Duration(static_cast<core::Duration::rep>(
    random_.Uniform() * static_cast<double>(aLongest.count())));
}

OrderModel::LeaderState&
OrderModel::LeaderStateOf(const ExplorerLeader& aLeader)
{
  LeaderState& leaderState = leaderStates_[aLeader.member_];
  if (leaderState.term_ != aLeader.term_) {
    leaderState = LeaderState{
      OrderManager(Limits(), rules_), aLeader.term_, false, aLeader.now_, 0, {}
    };
  }
  return leaderState;
}

void
OrderModel::OnLeader(ExplorerLeader& aLeader, core::Random& aRandom)
{
  SeedOnce(aRandom);
  now_ = aLeader.now_;
  LeaderState& leaderState = LeaderStateOf(aLeader);
  if (leaderState.leading_ && aLeader.now_ - leaderState.lastSeen_ >= kLease) {
    leaderState.inbox_.clear();
    Handle(aLeader, leaderState, LeadershipLost{});
    leaderState.leading_ = false;
  }
  leaderState.lastSeen_ = aLeader.now_;
  if (!leaderState.leading_) {
    if (appliedTerms_[&aLeader.machine_] != aLeader.term_) {
      return;
    }
    leaderState.leading_ = true;
    leaderState.handledDecisions_ = decisions_[aLeader.term_].size();
    engines_.ForEach([&](const core::ServerId& aServer) {
      Handle(aLeader, leaderState, ServerAdded{ aServer, kind_ });
    });
    Handle(aLeader, leaderState, LeadershipGained{ aLeader.term_ });
  }
  const auto& state = static_cast<StateReplica&>(aLeader.machine_).State();
  const std::vector<core::OrderId>& decided = decisions_[aLeader.term_];
  while (leaderState.handledDecisions_ < decided.size() &&
         decided[leaderState.handledDecisions_].Value() <=
           state.LastApplied().Value()) {
    Handle(aLeader,
           leaderState,
           DecisionApplied{ decided[leaderState.handledDecisions_++] });
  }
  for (const OrderEvent& event : std::exchange(leaderState.inbox_, {})) {
    Handle(aLeader, leaderState, event);
  }
  Handle(aLeader, leaderState, OrderTick{});
  if (now_ < kLastDecisionTime && random_.Chance(0.2)) {
    Handle(aLeader, leaderState, RandomDecision());
  }
}

DecisionRequested
OrderModel::RandomDecision()
{
  const core::DeploymentId deployment(
    "model-" + std::to_string(random_.Below(kDeployments)));
  const core::ServerId server = engines_.PickRandomServer();
  if (random_.Chance(0.4)) {
    return { state::DecideUnload{ deployment, server, kOrderTimeout } };
  }
  return { state::DecideLoad{
    deployment, server, kMemory, kCapacity, 1, kOrderTimeout, kind_ } };
}

void
OrderModel::Handle(ExplorerLeader& aLeader,
                   LeaderState& aLeaderState,
                   const OrderEvent& aEvent)
{
  const auto& state = static_cast<StateReplica&>(aLeader.machine_).State();
  for (const OrderAction& action : aLeaderState.manager_.Handle(
         aEvent, state.Orders(), core::MonotonicTime(aLeader.now_))) {
    Perform(aLeader, action);
  }
}

void
OrderModel::Perform(ExplorerLeader& aLeader, const OrderAction& aAction)
{
  const core::MemberId member = aLeader.member_;
  const core::Term term = aLeader.term_;
  if (const auto* propose = std::get_if<ProposeCommand>(&aAction)) {
    aLeader.propose_(state::Encode(propose->command_));
  } else if (const auto* order = std::get_if<SendOrder>(&aAction)) {
    Send(member, *order);
  } else if (const auto* observe = std::get_if<RequestReplicaList>(&aAction)) {
    Schedule(RandomDelay(50ms), [=, this, observe = *observe] {
      if (const auto list = engines_.List(observe)) {
        Schedule(RandomDelay(50ms),
                 [=, this] { Deliver(member, term, *list); });
      }
    });
  } else if (const auto* fencingRequest =
               std::get_if<SendFencingNumber>(&aAction)) {
    Schedule(RandomDelay(50ms), [=, this, fencingRequest = *fencingRequest] {
      if (const auto answer = engines_.UpdateFencing(fencingRequest)) {
        Schedule(RandomDelay(50ms),
                 [=, this] { Deliver(member, term, *answer); });
      }
    });
  }
}

void
OrderModel::Send(core::MemberId aMember, const SendOrder& aOrder)
{
  const core::Duration remaining = aOrder.deadline_.time_since_epoch() - now_;
  const FakeEngines::Reply reply = [=, this](OrderReply aReply) {
    Deliver(aMember, aOrder.fencing_, OrderAnswered{ aOrder.order_, aReply });
  };
  Schedule(remaining, [reply] { reply(OrderReply::None); });
  const bool lost = random_.Chance(kLossProbability);
  Schedule(random_.Chance(kDelayProbability) ? RandomDelay(remaining)
                                             : RandomDelay(5ms),
           [=, this] {
             engines_.Deliver(aOrder, [=](OrderReply aReply) {
               if (!lost) {
                 reply(aReply);
               }
             });
           });
}

void
OrderModel::Deliver(core::MemberId aMember,
                    core::Term aTerm,
                    const OrderEvent& aEvent)
{
  LeaderState& leaderState = leaderStates_[aMember];
  if (leaderState.term_ == aTerm) {
    leaderState.inbox_.push_back(aEvent);
  }
}

void
OrderModel::OnTick(core::Duration aNow, core::Random& aRandom)
{
  SeedOnce(aRandom);
  while (!events_.empty() && events_.begin()->first <= aNow) {
    const auto next = events_.begin();
    now_ = next->first;
    const std::function<void()> work = std::move(next->second);
    events_.erase(next);
    work();
  }
  now_ = aNow;
  if (now_ < kLastDecisionTime && random_.Chance(kRestartProbability)) {
    engines_.Restart(engines_.PickRandomServer());
  }
}

std::optional<std::string>
OrderModel::Violation()
{
  const std::pair checking{ engines_.Changes(), orderChanges_ };
  if (checking == checked_) {
    return std::nullopt;
  }
  checked_ = checking;
  std::string excess = engines_.FindExcess(committed_.Orders(), kCapacity, 1);
  if (excess.empty()) {
    return std::nullopt;
  }
  return excess;
}

std::optional<std::string>
OrderModel::CheckHistory(const std::vector<ExplorerOperation>& /*aHistory*/)
{
  if (LoadsDone() == 0) {
    return "no replica was loaded in the whole run";
  }
  std::string difference = engines_.FindDifference(committed_.Orders());
  if (!difference.empty()) {
    return difference;
  }
  return std::nullopt;
}

} // namespace crocusslip::tests
