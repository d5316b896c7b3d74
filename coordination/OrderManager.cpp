#include "coordination/OrderManager.hpp"

#include "coordination/OrderHandler.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::coordination {

void
OrderManager::Handler::operator()(const LeadershipGained& aEvent) const
{
  ResetTermState();
  manager_.term_ = aEvent.term_;
  manager_.gainedAt_ = now_;
  for (const auto& [key, replica] : table_.Replicas()) {
    manager_.lastInherited_ = std::max(manager_.lastInherited_, replica.order_);
    manager_.trackedServers_.try_emplace(key.server_,
                                         TrackedServer(replica.engine_));
  }
  for (auto& [server, tracked] : manager_.trackedServers_) {
    RequestList(server, tracked);
  }
}

void
OrderManager::Handler::operator()(const LeadershipLost& /*aEvent*/) const
{
  ResetTermState();
}

void
OrderManager::Handler::operator()(const ServerAdded& aEvent) const
{
  const auto [place, added] =
    manager_.trackedServers_.try_emplace(aEvent.server_);
  place->second.engine_ = aEvent.engine_;
  if (added && manager_.Leading()) {
    RequestList(place->first, place->second);
  }
}

void
OrderManager::Handler::operator()(const ServerReclaimed& aEvent) const
{
  manager_.trackedServers_.erase(aEvent.server_);
  if (manager_.Leading() && table_.Uses(aEvent.server_)) {
    Propose(state::ForgetServer{ aEvent.server_ });
  }
}

void
OrderManager::Handler::operator()(const DecisionRequested& aEvent) const
{
  std::visit([this](const auto& aDecision) { RequestDecision(aDecision); },
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
  // Earlier leaders may have sent inherited orders, so their outcome is
  // determined from the server's list.
  if (aEvent.order_ <= manager_.lastInherited_ || !replica.Outstanding() ||
      manager_.sent_.contains(aEvent.order_)) {
    return;
  }
  const core::MonotonicTime deadline = now_ + replica.timeout_;
  manager_.sent_.emplace(aEvent.order_, deadline);
  RecordChange(*key);
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
  RecordChange(*key);
  switch (aEvent.reply_) {
    case OrderReply::Done:
      ProposeOutcome(aEvent.order_, state::OrderOutcome::Done);
      break;
    case OrderReply::Refused:
    case OrderReply::Fenced:
      ProposeOutcome(aEvent.order_, state::OrderOutcome::NotDone);
      break;
    case OrderReply::None:
      HandleUnknownOutcome(aEvent.order_, *table_.Find(*key));
      break;
  }
}

void
OrderManager::Handler::operator()(const FencingNumberAnswered& aEvent) const
{
  const auto found = manager_.trackedServers_.find(aEvent.server_);
  if (found == manager_.trackedServers_.end() || aEvent.fencingRequest_ == 0 ||
      found->second.fencingRequest_ != aEvent.fencingRequest_) {
    return;
  }
  TrackedServer& tracked = found->second;
  tracked.fencingRequest_ = 0;
  if (aEvent.accepted_) {
    tracked.fencedAt_ = now_;
    tracked.nextListRequestAt_ = now_;
  }
}

void
OrderManager::Handler::operator()(const ServerListed& aEvent) const
{
  const auto found = manager_.trackedServers_.find(aEvent.server_);
  if (!manager_.Leading() || found == manager_.trackedServers_.end() ||
      aEvent.listRequest_ == 0 ||
      found->second.listRequest_ != aEvent.listRequest_) {
    return;
  }
  TrackedServer& tracked = found->second;
  tracked.listRequest_ = 0;
  const bool restarted =
    tracked.instance_ && *tracked.instance_ != aEvent.instance_;
  tracked.instance_ = aEvent.instance_;
  if (restarted) {
    // A restarted engine may have lost the fencing number.
    tracked.fencedAt_.reset();
    tracked.fencingRequest_ = 0;
    tracked.missingEffects_.clear();
  }
  CompareWithList(aEvent, tracked, restarted);
  if (tracked.engine_ == state::EngineKind::Ignores ||
      HasAcceptedFencing(tracked)) {
    tracked.reconciled_ = true;
  } else if (tracked.fencingRequest_ == 0 && !tracked.fencedAt_) {
    UpdateFencing(aEvent.server_, tracked);
  }
}

void
OrderManager::Handler::operator()(const OrderTick& /*aEvent*/) const
{
  if (!manager_.Leading()) {
    return;
  }
  RemoveFinishedOrders();
  for (const auto& [order, deadline] : manager_.sent_) {
    const state::Replica& replica = *table_.Find(*table_.FindOrder(order));
    if (deadline <= now_) {
      HandleUnknownOutcome(order, replica);
    }
  }
  for (auto& [server, tracked] : manager_.trackedServers_) {
    ContactServer(server, tracked);
  }
}

void
OrderManager::Handler::ResetTermState() const
{
  manager_.term_.reset();
  manager_.sent_.clear();
  manager_.proposedAt_.clear();
  for (auto& [server, tracked] : manager_.trackedServers_) {
    tracked = TrackedServer(tracked.engine_);
  }
}

void
OrderManager::Handler::RequestDecision(const state::DecideLoad& aDecision) const
{
  if (!manager_.Reconciled(aDecision.server_)) {
    actions_.emplace_back(
      DecisionDropped{ aDecision.deployment_, aDecision.server_ });
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
OrderManager::Handler::RequestDecision(
  const state::DecideUnload& aDecision) const
{
  if (!manager_.Reconciled(aDecision.server_)) {
    actions_.emplace_back(
      DecisionDropped{ aDecision.deployment_, aDecision.server_ });
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
OrderManager::Handler::RequestList(const core::ServerId& aServer,
                                   TrackedServer& aTracked) const
{
  aTracked.listRequest_ = ++manager_.lastRequestId_;
  aTracked.listRequestedAt_ = now_;
  const bool busy = !aTracked.reconciled_ || HasOutstanding(aServer);
  aTracked.nextListRequestAt_ =
    now_ + (busy ? manager_.limits_.listInterval_
                 : manager_.limits_.idleListInterval_);
  actions_.emplace_back(RequestReplicaList{ aServer, aTracked.listRequest_ });
}

void
OrderManager::Handler::UpdateFencing(const core::ServerId& aServer,
                                     TrackedServer& aTracked) const
{
  aTracked.fencingRequest_ = ++manager_.lastRequestId_;
  aTracked.fencingSentAt_ = now_;
  aTracked.fencingInstance_ = aTracked.instance_.value_or(std::string());
  actions_.emplace_back(
    SendFencingNumber{ aServer, *manager_.term_, aTracked.fencingRequest_ });
}

void
OrderManager::Handler::ContactServer(const core::ServerId& aServer,
                                     TrackedServer& aTracked) const
{
  const core::Duration timeout = manager_.limits_.contactTimeout_;
  if (aTracked.fencingRequest_ != 0 &&
      now_ - aTracked.fencingSentAt_ >= timeout) {
    UpdateFencing(aServer, aTracked);
  }
  if (aTracked.listRequest_ != 0 &&
      now_ - aTracked.listRequestedAt_ >= timeout) {
    aTracked.listRequest_ = 0;
  }
  if (aTracked.listRequest_ == 0 && now_ >= aTracked.nextListRequestAt_) {
    RequestList(aServer, aTracked);
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
OrderManager::Handler::RemoveFinishedOrders() const
{
  const auto finished = [this](const auto& aEntry) {
    const state::ReplicaKey* key = table_.FindOrder(aEntry.first);
    return key == nullptr || !table_.Find(*key)->Outstanding();
  };
  std::erase_if(manager_.sent_, finished);
  std::erase_if(manager_.proposedAt_, [this](const auto& aEntry) {
    return table_.FindOrder(aEntry.first) == nullptr;
  });
}

void
OrderManager::Handler::RecordChange(const state::ReplicaKey& aKey) const
{
  const auto found = manager_.trackedServers_.find(aKey.server_);
  if (found != manager_.trackedServers_.end()) {
    found->second.changedAt_[aKey.deployment_] = now_;
    found->second.missingEffects_.erase(aKey.deployment_);
    found->second.nextListRequestAt_ = std::min(
      found->second.nextListRequestAt_, now_ + manager_.limits_.listInterval_);
  }
}

bool
OrderManager::Handler::RecordProposalIfDue(core::OrderId aOrder) const
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
OrderManager::Handler::ProposeOutcome(core::OrderId aOrder,
                                      state::OrderOutcome aOutcome) const
{
  if (RecordProposalIfDue(aOrder)) {
    Propose(state::ObserveOrder{ aOrder, aOutcome });
  }
}

void
OrderManager::Handler::HandleUnknownOutcome(
  core::OrderId aOrder,
  const state::Replica& aReplica) const
{
  if (!manager_.rules_.memoryHeldOnUnknown_) {
    ProposeOutcome(aOrder, state::OrderOutcome::NotDone);
    return;
  }
  if (aReplica.phase_ != state::ReplicaPhase::Unknown) {
    ProposeOutcome(aOrder, state::OrderOutcome::Unknown);
  }
}

OrderManager::OrderManager(OrderSettings aLimits, OrderRules aRules)
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
  const auto found = trackedServers_.find(aServer);
  return term_ && found != trackedServers_.end() && found->second.reconciled_;
}

} // namespace crocusslip::coordination
