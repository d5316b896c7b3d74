#include "coordination/OrderHandler.hpp"

#include <map>

/// Compares the replica list of a server with the order table.
namespace crocusslip::coordination {

namespace {

// A list may not yet show the effect of an order that has just arrived, so a
// missing effect counts only after two consecutive lists.
constexpr std::uint32_t kListsToConfirm = 2;

core::Duration
WithDrift(core::Duration aTime, double aDrift)
{
  return core::Duration(static_cast<core::Duration::rep>(
    static_cast<double>(aTime.count()) * (1.0 + aDrift)));
}

} // namespace

bool
OrderManager::Handler::HasAcceptedFencing(const TrackedServer& aTracked) const
{
  return aTracked.fencedAt_ && aTracked.instance_ &&
         *aTracked.instance_ == aTracked.fencingInstance_ &&
         aTracked.listRequestedAt_ >= *aTracked.fencedAt_;
}

bool
OrderManager::Handler::ArrivalExcluded(const state::Replica& aReplica,
                                       const TrackedServer& aTracked) const
{
  const auto sent = manager_.sent_.find(aReplica.order_);
  if (sent != manager_.sent_.end()) {
    return aTracked.listRequestedAt_ >= sent->second;
  }
  if (aReplica.order_ > manager_.lastInherited_) {
    return false; // not sent yet
  }
  const bool fences = aTracked.engine_ == state::EngineKind::Checks &&
                      manager_.limits_.fencingSurvivesRestart_;
  if (fences && aReplica.term_ < *manager_.term_) {
    return HasAcceptedFencing(aTracked);
  }
  if (!manager_.rules_.leaseWait_) {
    return true;
  }
  const core::Duration wait = aReplica.timeout_ + manager_.limits_.leaderLease_;
  return aTracked.listRequestedAt_ >=
         manager_.gainedAt_ + WithDrift(wait, manager_.limits_.clockDrift_);
}

void
OrderManager::Handler::CompareWithList(const ServerListed& aList,
                                       TrackedServer& aTracked,
                                       bool aRestarted) const
{
  std::map<core::DeploymentId, const ListedReplica*> listed;
  for (const ListedReplica& replica : aList.replicas_) {
    listed.emplace(replica.deployment_, &replica);
  }
  table_.ForServer(
    aList.server_,
    [&](const state::ReplicaKey& aKey, const state::Replica& aReplica) {
      const auto found = listed.find(aKey.deployment_);
      const ListedReplica* seen =
        found == listed.end() ? nullptr : found->second;
      if (!IsListCurrent(aKey.deployment_, aTracked)) {
        return;
      }
      if (!aReplica.Outstanding()) {
        CheckLoadedReplica(aKey, aReplica, seen, aTracked, aRestarted);
      } else if (aReplica.kind_ == state::OrderKind::Load) {
        ResolveLoadOrder(aKey, aReplica, seen, aTracked);
      } else {
        ResolveUnloadOrder(aKey, aReplica, seen, aTracked);
      }
    });
  for (const auto& [deployment, replica] : listed) {
    if (table_.Find({ deployment, aList.server_ }) == nullptr &&
        IsListCurrent(deployment, aTracked)) {
      Propose(state::AdoptReplica{
        deployment, aList.server_, replica->memory_, aTracked.engine_ });
    }
  }
}

bool
OrderManager::Handler::IsListCurrent(const core::DeploymentId& aDeployment,
                                     const TrackedServer& aTracked) const
{
  const auto changed = aTracked.changedAt_.find(aDeployment);
  return changed == aTracked.changedAt_.end() ||
         aTracked.listRequestedAt_ >= changed->second;
}

bool
OrderManager::Handler::ConfirmAbsence(const state::ReplicaKey& aKey,
                                      core::OrderId aOrder,
                                      TrackedServer& aTracked) const
{
  AbsenceCount& absence = aTracked.missingEffects_[aKey.deployment_];
  if (absence.order_ != aOrder) {
    absence = { aOrder, 0 };
  }
  return ++absence.count_ >= kListsToConfirm;
}

void
OrderManager::Handler::CheckLoadedReplica(const state::ReplicaKey& aKey,
                                          const state::Replica& aReplica,
                                          const ListedReplica* aSeen,
                                          TrackedServer& aTracked,
                                          bool aRestarted) const
{
  if (aSeen == nullptr) {
    if (aRestarted || ConfirmAbsence(aKey, aReplica.order_, aTracked)) {
      Propose(
        state::LoseReplica{ aKey.deployment_, aKey.server_, aReplica.order_ });
    }
    return;
  }
  aTracked.missingEffects_.erase(aKey.deployment_);
  if (aReplica.adopted_ && RecordProposalIfDue(aReplica.order_)) {
    Propose(state::DecideUnload{
      aKey.deployment_, aKey.server_, manager_.limits_.unloadTimeout_ });
  }
}

void
OrderManager::Handler::ResolveLoadOrder(const state::ReplicaKey& aKey,
                                        const state::Replica& aReplica,
                                        const ListedReplica* aSeen,
                                        TrackedServer& aTracked) const
{
  if (aSeen != nullptr && aSeen->phase_ == ListedPhase::Loaded) {
    RecordChange(aKey);
    ProposeOutcome(aReplica.order_, state::OrderOutcome::Done);
    return;
  }
  if (aSeen != nullptr || !ArrivalExcluded(aReplica, aTracked)) {
    aTracked.missingEffects_.erase(aKey.deployment_);
    return;
  }
  if (ConfirmAbsence(aKey, aReplica.order_, aTracked)) {
    RecordChange(aKey);
    ProposeOutcome(aReplica.order_, state::OrderOutcome::NotDone);
  }
}

void
OrderManager::Handler::ResolveUnloadOrder(const state::ReplicaKey& aKey,
                                          const state::Replica& aReplica,
                                          const ListedReplica* aSeen,
                                          TrackedServer& aTracked) const
{
  if (aSeen == nullptr) {
    RecordChange(aKey);
    ProposeOutcome(aReplica.order_, state::OrderOutcome::Done);
    return;
  }
  if (aSeen->phase_ != ListedPhase::Loaded ||
      !ArrivalExcluded(aReplica, aTracked)) {
    aTracked.missingEffects_.erase(aKey.deployment_);
    return;
  }
  if (ConfirmAbsence(aKey, aReplica.order_, aTracked)) {
    RecordChange(aKey);
    ProposeOutcome(aReplica.order_, state::OrderOutcome::NotDone);
  }
}

} // namespace crocusslip::coordination
