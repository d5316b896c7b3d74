#include "coordination/RaftConfig.hpp"

namespace crocusslip::coordination {

bool
RaftTimings::LeaseIsSafe() const
{
  return state::LeaseEndsBeforeVotes(lease_, electionMin_, driftBound_) &&
         electionMin_ < electionMax_ && heartbeat_ < lease_;
}

RaftStartState
RaftBootstrapState(const state::GroupMembers& aMembers)
{
  const core::Term firstTerm(1);
  RaftStartState result;
  result.hardState_.term_ = firstTerm;
  result.entries_.push_back({ firstTerm,
                              core::LogIndex(1),
                              state::EntryKind::Membership,
                              aMembers.Encode() });
  return result;
}

} // namespace crocusslip::coordination
