#include "state/LeaseTiming.hpp"

namespace crocusslip::state {

bool
LeaseEndsBeforeVotes(core::Duration aLease,
                     core::Duration aRefusal,
                     double aDriftBound)
{
  const auto longestLease =
    static_cast<double>(aLease.count()) / (1.0 - aDriftBound);
  const auto shortestRefusal =
    static_cast<double>(aRefusal.count()) / (1.0 + aDriftBound);
  return longestLease < shortestRefusal;
}

} // namespace crocusslip::state
