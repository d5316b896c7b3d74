#pragma once

#include "core/Clock.hpp"

namespace crocusslip::state {

/// Largest deviation of a member's monotonic clock from real time.
inline constexpr double kClockDriftBound = 0.01;

/// Whether a lease on a slow clock ends before a follower with a fast clock,
/// which refuses votes for aRefusal after hearing from the leader, may vote for
/// another one. If not, two members can hold the lease at once.
bool
LeaseEndsBeforeVotes(core::Duration aLease,
                     core::Duration aRefusal,
                     double aDriftBound = kClockDriftBound);

} // namespace crocusslip::state
