#include "control/OrderFollower.hpp"

#include <algorithm>

namespace crocusslip::control {

OrderFollower::Changes
OrderFollower::Follow(const state::StateMachine& aState)
{
  Changes changes;
  std::optional<std::vector<state::ReplicaKey>> keys;
  if (seen_) {
    keys = aState.OrderChanges().Since(*seen_);
  }
  seen_ = aState.LastApplied();
  if (!keys) {
    changes.complete_ = true;
    for (const auto& [key, replica] : aState.Orders().Replicas()) {
      changes.replicas_.emplace_back(key, replica);
    }
    return changes;
  }
  std::sort(keys->begin(), keys->end());
  keys->erase(std::unique(keys->begin(), keys->end()), keys->end());
  for (state::ReplicaKey& key : *keys) {
    const state::Replica* replica = aState.Orders().Find(key);
    changes.replicas_.emplace_back(
      std::move(key),
      replica == nullptr ? std::nullopt : std::optional(*replica));
  }
  return changes;
}

} // namespace crocusslip::control
