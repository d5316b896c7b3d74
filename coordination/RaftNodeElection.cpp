#include "coordination/RaftNode.hpp"

#include <algorithm>
#include <utility>

/// Terms, elections and role changes of a RaftNode.
namespace crocusslip::coordination {

namespace {

/// Terms without a leader before the election timeout backs off, so that a
/// split vote is repeated after the normal timeout.
constexpr std::uint32_t kTermsBeforeBackoff = 2;
constexpr std::uint32_t kMaxBackoffDoublings = 3;

} // namespace

bool
RaftNode::AdoptTerm(const RaftMessage& aMessage)
{
  const RaftMessageKind kind = aMessage.kind_;
  if (aMessage.term_ < hardState_.term_) {
    RejectOldTerm(aMessage);
    return false;
  }
  if (aMessage.term_ == hardState_.term_ || kind == RaftMessageKind::PreVote ||
      (kind == RaftMessageKind::PreVoteReply && !aMessage.reject_)) {
    return true;
  }
  if (kind == RaftMessageKind::Vote && !aMessage.transfer_ && RefusesVotes()) {
    ++counters_.votesRefusedUnderLease_;
    return false;
  }
  BecomeFollower(aMessage.term_, core::MemberId());
  return true;
}

void
RaftNode::RejectOldTerm(const RaftMessage& aMessage)
{
  RaftMessage reply;
  reply.reject_ = true;
  switch (aMessage.kind_) {
    case RaftMessageKind::Append:
      reply.kind_ = RaftMessageKind::AppendReply;
      break;
    case RaftMessageKind::PreVote:
      reply.kind_ = RaftMessageKind::PreVoteReply;
      break;
    case RaftMessageKind::Vote:
      reply.kind_ = RaftMessageKind::VoteReply;
      break;
    default:
      return;
  }
  reply.to_ = aMessage.from_;
  SendMessage(std::move(reply), SyncRequirement::HardState);
}

void
RaftNode::OnVoteRequest(const RaftMessage& aMessage)
{
  const bool preVote = aMessage.kind_ == RaftMessageKind::PreVote;
  RaftMessage reply;
  reply.to_ = aMessage.from_;
  reply.kind_ =
    preVote ? RaftMessageKind::PreVoteReply : RaftMessageKind::VoteReply;
  bool granted = IsLogUpToDate({ aMessage.index_, aMessage.logTerm_ });
  if (preVote) {
    granted = granted && aMessage.term_ > hardState_.term_ && !RefusesVotes();
    reply.term_ = granted ? aMessage.term_ : hardState_.term_;
  } else {
    const core::MemberId vote = hardState_.vote_;
    granted = granted && (vote == core::MemberId() || vote == aMessage.from_) &&
              leader_ == core::MemberId();
    if (granted && vote != aMessage.from_) {
      SetHardState(hardState_.term_, aMessage.from_);
    }
    if (granted) {
      RestartElectionTimer();
    }
  }
  reply.reject_ = !granted;
  SendMessage(std::move(reply), SyncRequirement::HardState);
}

void
RaftNode::OnVoteReply(const RaftMessage& aMessage)
{
  const bool preVote = aMessage.kind_ == RaftMessageKind::PreVoteReply;
  const RaftRole expected =
    preVote ? RaftRole::PreCandidate : RaftRole::Candidate;
  const core::Term term = preVote ? hardState_.term_.Next() : hardState_.term_;
  if (role_ != expected || aMessage.reject_ || aMessage.term_ != term) {
    return;
  }
  CountVote(aMessage.from_);
}

void
RaftNode::OnTimeoutNow()
{
  if (role_ != RaftRole::Leader && Members().IsVoter(config_.self_)) {
    Campaign(CampaignKind::Transfer);
  }
}

void
RaftNode::BecomeFollower(core::Term aTerm, core::MemberId aLeader)
{
  const bool led = role_ == RaftRole::Leader;
  if (aTerm > hardState_.term_) {
    SetHardState(aTerm, core::MemberId());
  }
  transfer_.reset();
  votes_.clear();
  SetRole(RaftRole::Follower, aLeader);
  if (led) {
    ++counters_.steppedDown_;
    RefuseReads();
    RestartElectionTimer();
  }
}

void
RaftNode::Campaign(CampaignKind aKind)
{
  const bool preVote = aKind == CampaignKind::PreVote;
  votes_.clear();
  if (preVote) {
    SetRole(RaftRole::PreCandidate, core::MemberId());
  } else {
    ++counters_.campaigns_;
    SetHardState(hardState_.term_.Next(), config_.self_);
    SetRole(RaftRole::Candidate, core::MemberId());
    RestartElectionTimer();
  }
  const LogPosition last = log_.Last();
  for (const state::GroupMember& member : Members().members_) {
    if (member.role_ != state::MemberRole::Voter ||
        member.id_ == config_.self_) {
      continue;
    }
    RaftMessage request;
    request.to_ = member.id_;
    request.kind_ = preVote ? RaftMessageKind::PreVote : RaftMessageKind::Vote;
    request.term_ = preVote ? hardState_.term_.Next() : hardState_.term_;
    request.index_ = last.index_;
    request.logTerm_ = last.term_;
    request.transfer_ = aKind == CampaignKind::Transfer;
    SendMessage(std::move(request), SyncRequirement::HardState);
  }
  CountVote(config_.self_);
}

void
RaftNode::CountVote(core::MemberId aFrom)
{
  votes_.insert(aFrom);
  const auto granted =
    std::ranges::count_if(votes_, [this](core::MemberId aVoter) {
      return Members().IsVoter(aVoter);
    });
  if (static_cast<std::size_t>(granted) < Members().Quorum()) {
    return;
  }
  if (role_ == RaftRole::PreCandidate) {
    Campaign(CampaignKind::Vote);
  } else {
    BecomeLeader();
  }
}

void
RaftNode::SetRole(RaftRole aRole, core::MemberId aLeader)
{
  if (role_ == aRole && leader_ == aLeader) {
    return;
  }
  role_ = aRole;
  leader_ = aLeader;
  outbox_.Add(raft::RoleChanged{ aRole, hardState_.term_, aLeader });
}

void
RaftNode::SetHardState(core::Term aTerm, core::MemberId aVote)
{
  if (aTerm > hardState_.term_) {
    ++termsWithoutLeader_;
  }
  hardState_ = { aTerm, aVote };
  outbox_.SaveHardState(hardState_);
}

void
RaftNode::OnLeaderContact(core::MemberId aLeader)
{
  refuseVotesFrom_ = now_;
  termsWithoutLeader_ = 0;
  RestartElectionTimer();
  BecomeFollower(hardState_.term_, aLeader);
}

void
RaftNode::RestartElectionTimer()
{
  const RaftTimings& timings = config_.timings_;
  const auto spread = static_cast<std::uint64_t>(
    (timings.electionMax_ - timings.electionMin_).count());
  const core::Duration timeout =
    timings.electionMin_ +
    core::Duration(static_cast<core::Duration::rep>(random_.Below(spread)));
  // An election waits for two syncs, the candidate's and the voters'. If they
  // take longer than the timeout, candidates would start new terms before the
  // votes arrive and no election would ever succeed, so the timeout doubles.
  const std::uint32_t doublings = std::min(
    termsWithoutLeader_ - std::min(termsWithoutLeader_, kTermsBeforeBackoff),
    kMaxBackoffDoublings);
  electionDeadline_ = now_ + timeout * (1U << doublings);
}

bool
RaftNode::RefusesVotes() const
{
  if (!config_.rules_.refuseVotesUnderLease_) {
    return false;
  }
  return role_ == RaftRole::Leader ||
         (refuseVotesFrom_ &&
          now_ < *refuseVotesFrom_ + config_.timings_.electionMin_);
}

bool
RaftNode::IsLogUpToDate(LogPosition aCandidate) const
{
  const LogPosition own = log_.Last();
  return !config_.rules_.compareLogsInVotes_ || aCandidate.term_ > own.term_ ||
         (aCandidate.term_ == own.term_ && aCandidate.index_ >= own.index_);
}

} // namespace crocusslip::coordination
