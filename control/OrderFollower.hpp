#pragma once

#include "state/StateMachine.hpp"

#include <optional>
#include <utility>
#include <vector>

namespace crocusslip::control {

/// Reads what changed in the order table since the last call, so that a copy
/// of it costs as much as its changes.
class OrderFollower
{
public:
  struct Changes
  {
    /// All replicas are named; those of the copy that are not are gone.
    bool complete_ = false;
    /// A replica as it is now; nothing when it is gone.
    std::vector<std::pair<state::ReplicaKey, std::optional<state::Replica>>>
      replicas_;
  };

  /// Call under the state lock.
  Changes Follow(const state::StateMachine& aState);
  /// The next call names all replicas.
  void Restart() { seen_.reset(); }

private:
  std::optional<core::LogIndex> seen_;
};

} // namespace crocusslip::control
