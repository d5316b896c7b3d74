#pragma once

#include "coordination/OrderManager.hpp"

#include <vector>

namespace crocusslip::coordination {

/// Handles one event and appends the resulting actions.
struct OrderManager::Handler
{
  OrderManager& manager_;
  const state::OrderTable& table_;
  core::MonotonicTime now_;
  std::vector<OrderAction>& actions_;

  void operator()(const LeadershipGained& aEvent) const;
  void operator()(const LeadershipLost& aEvent) const;
  void operator()(const ServerAdded& aEvent) const;
  void operator()(const ServerReclaimed& aEvent) const;
  void operator()(const DecisionRequested& aEvent) const;
  void operator()(const DecisionApplied& aEvent) const;
  void operator()(const OrderAnswered& aEvent) const;
  void operator()(const FencingNumberAnswered& aEvent) const;
  void operator()(const ServerListed& aEvent) const;
  void operator()(const OrderTick& aEvent) const;

  /// Discards all state that belongs to one term of leadership.
  void ResetTermState() const;
  void RequestDecision(const state::DecideLoad& aDecision) const;
  void RequestDecision(const state::DecideUnload& aDecision) const;
  void Propose(state::Command aCommand) const;
  void Send(core::OrderId aOrder,
            state::OrderKind aKind,
            const state::ReplicaKey& aKey,
            core::Bytes aMemory,
            core::MonotonicTime aDeadline) const;
  void RequestList(const core::ServerId& aServer,
                   TrackedServer& aTracked) const;
  void UpdateFencing(const core::ServerId& aServer,
                     TrackedServer& aTracked) const;
  /// Repeats requests that timed out and requests the replica list when due.
  void ContactServer(const core::ServerId& aServer,
                     TrackedServer& aTracked) const;
  bool HasOutstanding(const core::ServerId& aServer) const;
  /// Removes the send times of orders that are no longer outstanding, and the
  /// proposal times of orders that are no longer in the table.
  void RemoveFinishedOrders() const;
  /// Records that the replica may have changed now (order sent or answered, or
  /// outcome proposed), so that lists requested earlier are ignored for it.
  void RecordChange(const state::ReplicaKey& aKey) const;
  /// Records a proposal for the order and returns true, or returns false if the
  /// previous one was less than proposalTimeout_ ago.
  bool RecordProposalIfDue(core::OrderId aOrder) const;
  void ProposeOutcome(core::OrderId aOrder, state::OrderOutcome aOutcome) const;
  void HandleUnknownOutcome(core::OrderId aOrder,
                            const state::Replica& aReplica) const;

  /// Whether the current engine instance accepted this leader's fencing number
  /// before the last list was requested.
  bool HasAcceptedFencing(const TrackedServer& aTracked) const;
  /// Whether the order could no longer arrive when the last list was requested.
  bool ArrivalExcluded(const state::Replica& aReplica,
                       const TrackedServer& aTracked) const;
  void CompareWithList(const ServerListed& aList,
                       TrackedServer& aTracked,
                       bool aRestarted) const;
  /// Whether the last list was requested after the replica's last change.
  bool IsListCurrent(const core::DeploymentId& aDeployment,
                     const TrackedServer& aTracked) const;
  /// Counts a list without the effect of the order. Returns true once enough
  /// consecutive lists agree.
  bool ConfirmAbsence(const state::ReplicaKey& aKey,
                      core::OrderId aOrder,
                      TrackedServer& aTracked) const;
  /// Checks a loaded replica without outstanding order.
  void CheckLoadedReplica(const state::ReplicaKey& aKey,
                          const state::Replica& aReplica,
                          const ListedReplica* aSeen,
                          TrackedServer& aTracked,
                          bool aRestarted) const;
  /// Proposes the outcome of an outstanding load once the lists show it.
  void ResolveLoadOrder(const state::ReplicaKey& aKey,
                        const state::Replica& aReplica,
                        const ListedReplica* aSeen,
                        TrackedServer& aTracked) const;
  /// Proposes the outcome of an outstanding unload once the lists show it.
  void ResolveUnloadOrder(const state::ReplicaKey& aKey,
                          const state::Replica& aReplica,
                          const ListedReplica* aSeen,
                          TrackedServer& aTracked) const;
};

} // namespace crocusslip::coordination
