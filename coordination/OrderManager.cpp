#include "coordination/OrderManager.hpp"

#include "coordination/OrderHandler.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::coordination {

void
OrderManager::Handler::operator()(const LeadershipGained& aEvent) const
{
  ForgetTerm();
  manager_.term_ = aEvent.term_;
  manager_.gainedAt_ = now_;
  for (const auto& [key, replica] : table_.Replicas()) {
    manager_.inherited_ = std::max(manager_.inherited_, replica.order_);
    manager_.watches_.try_emplace(key.server_, Watch(replica.engine_));
  }
  for (auto& [server, watch] : manager_.watches_) {
    Observe(server, watch);
  }
}

void
OrderManager::Handler::operator()(const LeadershipLost& /*aEvent*/) const
{
  ForgetTerm();
}

void
OrderManager::Handler::operator()(const ServerKnown& aEvent) const
{
  const auto [place, added] = manager_.watches_.try_emplace(aEvent.server_);
  place->second.engine_ = aEvent.engine_;
  if (added && manager_.Leading()) {
    Observe(place->first, place->second);
  }
}

void
OrderManager::Handler::operator()(const ServerReclaimed& aEvent) const
{
  manager_.watches_.erase(aEvent.server_);
  if (manager_.Leading() && table_.Uses(aEvent.server_)) {
    Propose(state::ForgetServer{ aEvent.server_ });
  }
}

void
OrderManager::Handler::operator()(const DecisionRequested& aEvent) const
{
  std::visit([this](const auto& aDecision) { Want(aDecision); },
             aEvent.decision_);
}

void
OrderManager::Handler::operator()(const DecisionApplied& aEvent) const
{
  const state::ReplicaKey* key = table_.FindOrder(aEvent.order_);
  if (!manager_.Leading() || key == nullptr) {
    return;
  }
  const state::Replica& replica = *table_.Find(*key);
  // Inherited orders may have been sent; they are settled by lists.
  if (aEvent.order_ <= manager_.inherited_ || !replica.Outstanding() ||
      manager_.sent_.contains(aEvent.order_)) {
    return;
  }
  const core::MonotonicTime deadline = now_ + replica.timeout_;
  manager_.sent_.emplace(aEvent.order_, deadline);
  Changed(*key);
  if (manager_.rules_.decisionBeforeOrder_) {
    Send(aEvent.order_, replica.kind_, *key, replica.memory_, deadline);
  }
}

void
OrderManager::Handler::operator()(const OrderAnswered& aEvent) const
{
  const state::ReplicaKey* key = table_.FindOrder(aEvent.order_);
  if (key == nullptr || !manager_.sent_.contains(aEvent.order_) ||
      !table_.Find(*key)->Outstanding()) {
    return;
  }
  Changed(*key);
  switch (aEvent.reply_) {
    case OrderReply::Done:
      Settle(aEvent.order_, state::OrderOutcome::Done);
      break;
    case OrderReply::Refused:
    case OrderReply::Fenced:
      Settle(aEvent.order_, state::OrderOutcome::NotDone);
      break;
    case OrderReply::None:
      OutcomeUnknown(aEvent.order_, *table_.Find(*key));
      break;
  }
}

void
OrderManager::Handler::operator()(const FencingNumberAnswered& aEvent) const
{
  const auto found = manager_.watches_.find(aEvent.server_);
  if (found == manager_.watches_.end() || aEvent.fencingRequest_ == 0 ||
      found->second.fencingRequest_ != aEvent.fencingRequest_) {
    return;
  }
  Watch& watch = found->second;
  watch.fencingRequest_ = 0;
  if (aEvent.accepted_) {
    watch.touchedAt_ = now_;
    watch.observeNext_ = now_;
  }
}

void
OrderManager::Handler::operator()(const ServerListed& aEvent) const
{
  const auto found = manager_.watches_.find(aEvent.server_);
  if (!manager_.Leading() || found == manager_.watches_.end() ||
      aEvent.observation_ == 0 ||
      found->second.observation_ != aEvent.observation_) {
    return;
  }
  Watch& watch = found->second;
  watch.observation_ = 0;
  const bool restarted =
    watch.instance_ && *watch.instance_ != aEvent.instance_;
  watch.instance_ = aEvent.instance_;
  if (restarted) {
    // A restarted engine has forgotten the fencing number.
    watch.touchedAt_.reset();
    watch.fencingRequest_ = 0;
    watch.misses_.clear();
  }
  Compare(aEvent, watch, restarted);
  if (watch.engine_ == state::EngineKind::Ignores || Fenced(watch)) {
    watch.reconciled_ = true;
  } else if (watch.fencingRequest_ == 0 && !watch.touchedAt_) {
    UpdateFencing(aEvent.server_, watch);
  }
}

void
OrderManager::Handler::operator()(const OrderTick& /*aEvent*/) const
{
  if (!manager_.Leading()) {
    return;
  }
  DropSettled();
  for (const auto& [order, deadline] : manager_.sent_) {
    const state::Replica& replica = *table_.Find(*table_.FindOrder(order));
    if (deadline <= now_) {
      OutcomeUnknown(order, replica);
    }
  }
  for (auto& [server, watch] : manager_.watches_) {
    Contact(server, watch);
  }
}

void
OrderManager::Handler::ForgetTerm() const
{
  manager_.term_.reset();
  manager_.sent_.clear();
  manager_.proposedAt_.clear();
  for (auto& [server, watch] : manager_.watches_) {
    watch = Watch(watch.engine_);
  }
}

void
OrderManager::Handler::Want(const state::DecideLoad& aDecision) const
{
  if (!manager_.Reconciled(aDecision.server_)) {
    actions_.emplace_back(
      DecisionDeferred{ aDecision.deployment_, aDecision.server_ });
    return;
  }
  Propose(aDecision);
  if (!manager_.rules_.decisionBeforeOrder_) {
    Send({},
         state::OrderKind::Load,
         { aDecision.deployment_, aDecision.server_ },
         aDecision.memory_,
         now_ + aDecision.timeout_);
  }
}

void
OrderManager::Handler::Want(const state::DecideUnload& aDecision) const
{
  if (!manager_.Reconciled(aDecision.server_)) {
    actions_.emplace_back(
      DecisionDeferred{ aDecision.deployment_, aDecision.server_ });
    return;
  }
  Propose(aDecision);
  if (!manager_.rules_.decisionBeforeOrder_) {
    Send({},
         state::OrderKind::Unload,
         { aDecision.deployment_, aDecision.server_ },
         {},
         now_ + aDecision.timeout_);
  }
}

void
OrderManager::Handler::Propose(state::Command aCommand) const
{
  actions_.emplace_back(ProposeCommand{ std::move(aCommand) });
}

void
OrderManager::Handler::Send(core::OrderId aOrder,
                            state::OrderKind aKind,
                            const state::ReplicaKey& aKey,
                            core::Bytes aMemory,
                            core::MonotonicTime aDeadline) const
{
  actions_.emplace_back(SendOrder{ aOrder,
                                   *manager_.term_,
                                   aKind,
                                   aKey.deployment_,
                                   aKey.server_,
                                   aMemory,
                                   aDeadline });
}

void
OrderManager::Handler::Observe(const core::ServerId& aServer,
                               Watch& aWatch) const
{
  aWatch.observation_ = ++manager_.lastContact_;
  aWatch.observeSentAt_ = now_;
  const bool busy = !aWatch.reconciled_ || HasOutstanding(aServer);
  aWatch.observeNext_ = now_ + (busy ? manager_.limits_.observeInterval_
                                     : manager_.limits_.idleObserveInterval_);
  actions_.emplace_back(ObserveServer{ aServer, aWatch.observation_ });
}

void
OrderManager::Handler::UpdateFencing(const core::ServerId& aServer,
                                     Watch& aWatch) const
{
  aWatch.fencingRequest_ = ++manager_.lastContact_;
  aWatch.touchSentAt_ = now_;
  aWatch.touchInstance_ = aWatch.instance_.value_or(std::string());
  actions_.emplace_back(
    SendFencingNumber{ aServer, *manager_.term_, aWatch.fencingRequest_ });
}

void
OrderManager::Handler::Contact(const core::ServerId& aServer,
                               Watch& aWatch) const
{
  const core::Duration timeout = manager_.limits_.contactTimeout_;
  if (aWatch.fencingRequest_ != 0 && now_ - aWatch.touchSentAt_ >= timeout) {
    UpdateFencing(aServer, aWatch);
  }
  if (aWatch.observation_ != 0 && now_ - aWatch.observeSentAt_ >= timeout) {
    aWatch.observation_ = 0;
  }
  if (aWatch.observation_ == 0 && now_ >= aWatch.observeNext_) {
    Observe(aServer, aWatch);
  }
}

bool
OrderManager::Handler::HasOutstanding(const core::ServerId& aServer) const
{
  bool outstanding = false;
  table_.ForServer(aServer, [&](const auto&, const state::Replica& aReplica) {
    outstanding = outstanding || aReplica.Outstanding();
  });
  return outstanding;
}

void
OrderManager::Handler::DropSettled() const
{
  const auto settled = [this](const auto& aEntry) {
    const state::ReplicaKey* key = table_.FindOrder(aEntry.first);
    return key == nullptr || !table_.Find(*key)->Outstanding();
  };
  std::erase_if(manager_.sent_, settled);
  std::erase_if(manager_.proposedAt_, [this](const auto& aEntry) {
    return table_.FindOrder(aEntry.first) == nullptr;
  });
}

void
OrderManager::Handler::Changed(const state::ReplicaKey& aKey) const
{
  const auto found = manager_.watches_.find(aKey.server_);
  if (found != manager_.watches_.end()) {
    found->second.changedAt_[aKey.deployment_] = now_;
    found->second.misses_.erase(aKey.deployment_);
    found->second.observeNext_ = std::min(
      found->second.observeNext_, now_ + manager_.limits_.observeInterval_);
  }
}

bool
OrderManager::Handler::MayPropose(core::OrderId aOrder) const
{
  const auto found = manager_.proposedAt_.find(aOrder);
  if (found != manager_.proposedAt_.end() &&
      now_ - found->second < manager_.limits_.proposalTimeout_) {
    return false;
  }
  manager_.proposedAt_[aOrder] = now_;
  return true;
}

void
OrderManager::Handler::Settle(core::OrderId aOrder,
                              state::OrderOutcome aOutcome) const
{
  if (MayPropose(aOrder)) {
    Propose(state::ObserveOrder{ aOrder, aOutcome });
  }
}

void
OrderManager::Handler::OutcomeUnknown(core::OrderId aOrder,
                                      const state::Replica& aReplica) const
{
  if (!manager_.rules_.memoryHeldOnUnknown_) {
    Settle(aOrder, state::OrderOutcome::NotDone);
    return;
  }
  if (aReplica.phase_ != state::ReplicaPhase::Unknown) {
    Settle(aOrder, state::OrderOutcome::Unknown);
  }
}

OrderManager::OrderManager(OrderLimits aLimits, OrderRules aRules)
  : limits_(aLimits)
  , rules_(aRules)
{
}

std::vector<OrderAction>
OrderManager::Handle(const OrderEvent& aEvent,
                     const state::OrderTable& aTable,
                     core::MonotonicTime aNow)
{
  std::vector<OrderAction> actions;
  std::visit(Handler{ *this, aTable, aNow, actions }, aEvent);
  return actions;
}

bool
OrderManager::Reconciled(const core::ServerId& aServer) const
{
  const auto found = watches_.find(aServer);
  return term_ && found != watches_.end() && found->second.reconciled_;
}

} // namespace crocusslip::coordination
