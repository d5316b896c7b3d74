#include "coordination/LeadershipFollower.hpp"

namespace crocusslip::coordination {

LeadershipStep
LeadershipFollower::Follow(bool aHasLease, core::Term aTerm)
{
  if (leading_ && aTerm != term_) {
    // Leadership in the new term, if any, is reported as Gained by the next
    // call.
    leading_ = false;
    return LeadershipStep::Lost;
  }
  if (leading_) {
    return aHasLease ? LeadershipStep::Leading : LeadershipStep::Paused;
  }
  if (!aHasLease) {
    return LeadershipStep::Idle;
  }
  leading_ = true;
  term_ = aTerm;
  return LeadershipStep::Gained;
}

} // namespace crocusslip::coordination
