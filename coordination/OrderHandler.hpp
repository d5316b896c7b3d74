#pragma once

#include "coordination/OrderManager.hpp"

#include <vector>

namespace crocusslip::coordination {

/// Handles one event: the manager, the applied table and the actions so far.
struct OrderManager::Handler
{
  OrderManager& manager_;
  const state::OrderTable& table_;
  core::MonotonicTime now_;
  std::vector<OrderAction>& actions_;

  void operator()(const LeadershipGained& aEvent) const;
  void operator()(const LeadershipLost& aEvent) const;
  void operator()(const ServerKnown& aEvent) const;
  void operator()(const ServerReclaimed& aEvent) const;
  void operator()(const DecisionRequested& aEvent) const;
  void operator()(const DecisionApplied& aEvent) const;
  void operator()(const OrderAnswered& aEvent) const;
  void operator()(const FencingNumberAnswered& aEvent) const;
  void operator()(const ServerListed& aEvent) const;
  void operator()(const OrderTick& aEvent) const;

  /// Drops all that is known only to the leader of one term.
  void ForgetTerm() const;
  void Want(const state::DecideLoad& aDecision) const;
  void Want(const state::DecideUnload& aDecision) const;
  void Propose(state::Command aCommand) const;
  void Send(core::OrderId aOrder,
            state::OrderKind aKind,
            const state::ReplicaKey& aKey,
            core::Bytes aMemory,
            core::MonotonicTime aDeadline) const;
  void Observe(const core::ServerId& aServer, Watch& aWatch) const;
  void UpdateFencing(const core::ServerId& aServer, Watch& aWatch) const;
  /// Repeats contacts without an answer and observes the server when due.
  void Contact(const core::ServerId& aServer, Watch& aWatch) const;
  bool HasOutstanding(const core::ServerId& aServer) const;
  void DropSettled() const;
  /// Remembers that this leader saw the replica change just now, so that lists
  /// that were asked for earlier say nothing about it.
  void Changed(const state::ReplicaKey& aKey) const;
  /// True, and remembered, unless the same was proposed a moment ago.
  bool MayPropose(core::OrderId aOrder) const;
  void Settle(core::OrderId aOrder, state::OrderOutcome aOutcome) const;
  void OutcomeUnknown(core::OrderId aOrder,
                      const state::Replica& aReplica) const;

  /// The present instance accepted this leader's fencing number.
  bool Fenced(const Watch& aWatch) const;
  /// Whether the order can no longer arrive after the last list was asked for.
  bool ArrivalExcluded(const state::Replica& aReplica,
                       const Watch& aWatch) const;
  void Compare(const ServerListed& aList, Watch& aWatch, bool aRestarted) const;
  /// Whether the last list was asked for after the replica's last change.
  bool Current(const core::DeploymentId& aDeployment,
               const Watch& aWatch) const;
  bool Missed(const state::ReplicaKey& aKey,
              core::OrderId aOrder,
              Watch& aWatch) const;
  void CompareLoaded(const state::ReplicaKey& aKey,
                     const state::Replica& aReplica,
                     const ListedReplica* aSeen,
                     Watch& aWatch,
                     bool aRestarted) const;
  void CompareLoad(const state::ReplicaKey& aKey,
                   const state::Replica& aReplica,
                   const ListedReplica* aSeen,
                   Watch& aWatch) const;
  void CompareUnload(const state::ReplicaKey& aKey,
                     const state::Replica& aReplica,
                     const ListedReplica* aSeen,
                     Watch& aWatch) const;
};

} // namespace crocusslip::coordination
