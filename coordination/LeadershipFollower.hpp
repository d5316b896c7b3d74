#pragma once

#include "core/Ids.hpp"

#include <cstdint>

namespace crocusslip::coordination {

/// What a component that runs only on the leader must do next.
enum class LeadershipStep : std::uint8_t
{
  /// Not the leader.
  Idle,
  /// Leadership was gained: start, and reload all state.
  Gained,
  /// Still the leader: continue.
  Leading,
  /// The lease has expired: keep all state but take no action. As long as the
  /// term stays the same, no other member has become leader.
  Paused,
  /// Leadership was lost: discard all state.
  Lost,
};

/// Tracks this member's own leadership; not related to the Raft role of a
/// follower. Distinguishes a briefly expired lease from lost leadership. A
/// leader that regains its lease in the same term had no successor, so it
/// needn't treat its own orders as those of another leader.
class LeadershipFollower
{
public:
  LeadershipStep Follow(bool aHasLease, core::Term aTerm);

private:
  bool leading_ = false;
  core::Term term_;
};

} // namespace crocusslip::coordination
