#include "coordination/RaftNode.hpp"

#include <algorithm>
#include <utility>

/// Log replication, commits, membership changes and reads of a RaftNode.
namespace crocusslip::coordination {

void
RaftNode::BecomeLeader()
{
  ++counters_.elected_;
  leaderSince_ = now_;
  termsWithoutLeader_ = 0;
  SetRole(RaftRole::Leader, config_.self_);
  replicator_.Start(Members(), LastIndex(), now_);
  AppendAndReplicate(state::EntryKind::Noop, { std::string() });
  nextHeartbeat_ = now_ + config_.timings_.heartbeat_;
}

void
RaftNode::TickLeader()
{
  const RaftTimings& timings = config_.timings_;
  const auto contact = replicator_.QuorumContact(now_);
  const auto lastContact =
    std::max(contact.value_or(leaderSince_), leaderSince_);
  if (config_.rules_.checkQuorum_ &&
      lastContact + timings.electionMax_ < now_) {
    BecomeFollower(hardState_.term_, core::MemberId());
    return;
  }
  if (transfer_ && transfer_->deadline_ < now_) {
    transfer_.reset();
  }
  if (now_ >= nextHeartbeat_) {
    BroadcastHeartbeat();
  }
}

void
RaftNode::On(const raft::Propose& aEvent)
{
  if (!MayPropose(aEvent.requestId_)) {
    return;
  }
  const RaftLimits& limits = config_.limits_;
  const auto tooLarge = [&limits](const std::string& aPayload) {
    return core::Bytes(aPayload.size()) > limits.maxEntry_;
  };
  if (aEvent.payloads_.size() > limits.maxProposalEntries_ ||
      std::ranges::any_of(aEvent.payloads_, tooLarge)) {
    RefuseProposal(aEvent.requestId_,
                   core::Errc::TooLarge,
                   "proposal exceeds the size limit");
    return;
  }
  outbox_.Add(raft::ProposalAccepted{
    aEvent.requestId_, hardState_.term_, LastIndex().Next() });
  AppendAndReplicate(state::EntryKind::Command, aEvent.payloads_);
}

void
RaftNode::On(const raft::ProposeMembership& aEvent)
{
  if (!MayPropose(aEvent.requestId_)) {
    return;
  }
  if (config_.rules_.oneChangeAtATime_ &&
      (!OwnTermCommitted() || !MembersCommitted())) {
    RefuseProposal(aEvent.requestId_,
                   core::Errc::Conflict,
                   "the previous membership change isn't committed yet");
    return;
  }
  const core::MemberId id = aEvent.change_.member_.id_;
  if (aEvent.change_.kind_ == state::MemberChangeKind::Promote) {
    const RaftProgress* progress = replicator_.Find(id);
    if (progress == nullptr || progress->State() != ProgressState::Replicate ||
        progress->Match().Value() + config_.limits_.maxPromotionLag_ <
          LastIndex().Value()) {
      RefuseProposal(aEvent.requestId_,
                     core::Errc::Conflict,
                     "the learner hasn't caught up with the log");
      return;
    }
  }
  auto next = Members().After(aEvent.change_);
  if (!next) {
    RefuseProposal(
      aEvent.requestId_, core::Errc::InvalidInput, next.Failure().detail_);
    return;
  }
  // A change that the new majority can't commit would block the group for good
  // if undoing it requires the voter that it removes.
  if (!replicator_.IsMajorityActive(next.Value(),
                                    now_ - config_.timings_.electionMax_)) {
    RefuseProposal(aEvent.requestId_,
                   core::Errc::Conflict,
                   "no majority of the new voters is reachable");
    return;
  }
  outbox_.Add(raft::ProposalAccepted{
    aEvent.requestId_, hardState_.term_, LastIndex().Next() });
  AppendAndReplicate(state::EntryKind::Membership, { next.Value().Encode() });
}

void
RaftNode::On(const raft::SnapshotSent& aEvent)
{
  if (role_ == RaftRole::Leader) {
    replicator_.OnSnapshotSent(aEvent.to_, aEvent.delivered_);
  }
}

void
RaftNode::On(const raft::Read& aEvent)
{
  if (role_ != RaftRole::Leader ||
      (config_.rules_.readAfterOwnCommit_ && !OwnTermCommitted())) {
    outbox_.Add(raft::ReadRefused{ aEvent.requestId_ });
    return;
  }
  if (HasLease(now_)) {
    outbox_.Add(raft::ReadReady{ aEvent.requestId_, commit_ });
    return;
  }
  // Only a heartbeat round that starts after the read can confirm it. The first
  // pending read starts a round at once; later reads wait for the next one.
  const bool first = reads_.empty();
  const std::uint64_t round = replicator_.LastRound() + 1;
  reads_.push_back({ aEvent.requestId_, commit_, round });
  if (first) {
    BroadcastHeartbeat();
  }
}

void
RaftNode::On(const raft::TransferLeadership& aEvent)
{
  if (role_ != RaftRole::Leader || aEvent.to_ == config_.self_ ||
      !Members().IsVoter(aEvent.to_)) {
    return;
  }
  transfer_ = Transfer{ aEvent.to_, now_ + config_.timings_.electionMin_ };
  FinishTransferIfReady();
}

void
RaftNode::OnAppend(const RaftMessage& aMessage)
{
  if (role_ == RaftRole::Leader) {
    Halt("append received from another leader of the same term");
    return;
  }
  OnLeaderContact(aMessage.from_);
  LogPosition previous{ aMessage.index_, aMessage.logTerm_ };
  auto first = aMessage.entries_.begin();
  const auto end = aMessage.entries_.end();
  // Committed entries match the leader's log. They may be compacted locally, so
  // the consistency check starts at the commit index.
  if (previous.index_ < commit_) {
    first = std::ranges::find_if(aMessage.entries_,
                                 [this](const state::LogEntry& aEntry) {
                                   return aEntry.index_ > commit_;
                                 });
    const bool replaced = std::any_of(
      aMessage.entries_.begin(), first, [this](const state::LogEntry& aEntry) {
        return log_.TermAt(aEntry.index_).value_or(aEntry.term_) !=
               aEntry.term_;
      });
    if (replaced) {
      Halt("append would replace a committed entry");
      return;
    }
    previous = { commit_, *log_.TermAt(commit_) };
  }
  if (!log_.Matches(previous)) {
    RejectAppend(aMessage);
    return;
  }
  const std::vector<state::LogEntry> entries(first, end);
  StoreEntries(entries);
  const core::LogIndex last(previous.index_.Value() + entries.size());
  CommitThrough(std::min(aMessage.commit_, last));
  if (entries.empty()) {
    // Heartbeats are answered at once, even while entries are being synced.
    const bool sync = config_.rules_.syncBeforeAcknowledge_;
    Acknowledge(aMessage.from_,
                sync ? std::min(last, outbox_.DurableIndex()) : last,
                aMessage.round_,
                SyncRequirement::HardState);
  } else {
    Acknowledge(
      aMessage.from_, last, aMessage.round_, SyncRequirement::Entries);
  }
}

void
RaftNode::OnAppendReply(const RaftMessage& aMessage)
{
  if (role_ != RaftRole::Leader || aMessage.term_ != hardState_.term_) {
    return;
  }
  replicator_.OnReply(aMessage, log_);
  AdvanceCommit();
  if (role_ != RaftRole::Leader) {
    return;
  }
  AnswerReads();
  if (replicator_.Find(aMessage.from_) != nullptr) {
    Replicate(aMessage.from_);
  }
  FinishTransferIfReady();
}

void
RaftNode::AppendAndReplicate(state::EntryKind aKind,
                             std::vector<std::string> aPayloads)
{
  for (std::string& payload : aPayloads) {
    StoreEntry(
      { hardState_.term_, LastIndex().Next(), aKind, std::move(payload) });
  }
  if (aKind == state::EntryKind::Membership) {
    replicator_.SetMembers(Members(), core::LogIndex(LastIndex().Value() - 1));
  }
  ReplicateToAll();
  AdvanceCommit();
}

void
RaftNode::Replicate(core::MemberId aTo)
{
  ReplicationStep step = replicator_.Next(aTo, log_, now_);
  for (RaftMessage& append : step.appends_) {
    append.commit_ = commit_;
    SendMessage(std::move(append), SyncRequirement::HardState);
  }
  if (step.startSnapshot_) {
    outbox_.Add(raft::SendSnapshot{ aTo, hardState_.term_ });
  }
}

void
RaftNode::ReplicateToAll()
{
  for (const core::MemberId follower : replicator_.Followers()) {
    Replicate(follower);
  }
}

void
RaftNode::BroadcastHeartbeat()
{
  replicator_.StartRound(now_);
  nextHeartbeat_ = now_ + config_.timings_.heartbeat_;
  for (const core::MemberId follower : replicator_.Followers()) {
    RaftMessage heartbeat = replicator_.Heartbeat(follower, log_, now_);
    heartbeat.commit_ = commit_;
    SendMessage(std::move(heartbeat), SyncRequirement::HardState);
    Replicate(follower);
  }
}

void
RaftNode::AdvanceCommit()
{
  const core::LogIndex own = config_.rules_.syncBeforeAcknowledge_
                               ? outbox_.DurableIndex()
                               : LastIndex();
  const core::LogIndex agreed = replicator_.QuorumMatch(own);
  if (agreed <= commit_) {
    return;
  }
  if (config_.rules_.commitOwnTermOnly_ &&
      log_.TermAt(agreed) != hardState_.term_) {
    return;
  }
  CommitThrough(agreed);
  if (MembersCommitted() && !Members().IsVoter(config_.self_)) {
    // The change that removed this member from the voters is committed. Send
    // the commit index to the followers before stepping down.
    BroadcastHeartbeat();
    BecomeFollower(hardState_.term_, core::MemberId());
  }
}

bool
RaftNode::OwnTermCommitted() const
{
  return log_.TermAt(commit_) == hardState_.term_;
}

void
RaftNode::FinishTransferIfReady()
{
  if (!transfer_) {
    return;
  }
  const RaftProgress* progress = replicator_.Find(transfer_->to_);
  if (progress == nullptr || progress->Match() != LastIndex()) {
    return;
  }
  RaftMessage message;
  message.to_ = transfer_->to_;
  message.kind_ = RaftMessageKind::TimeoutNow;
  SendMessage(std::move(message), SyncRequirement::HardState);
  transfer_.reset();
  if (config_.rules_.endLeaseBeforeTransfer_) {
    BecomeFollower(hardState_.term_, core::MemberId());
  }
}

void
RaftNode::AnswerReads()
{
  const std::uint64_t confirmed = replicator_.QuorumRound();
  const auto isConfirmed = [confirmed](const PendingRead& aRead) {
    return aRead.round_ <= confirmed;
  };
  for (const PendingRead& read : reads_) {
    if (isConfirmed(read)) {
      outbox_.Add(raft::ReadReady{ read.requestId_, read.index_ });
    }
  }
  std::erase_if(reads_, isConfirmed);
}

void
RaftNode::RefuseReads()
{
  for (const PendingRead& read : reads_) {
    outbox_.Add(raft::ReadRefused{ read.requestId_ });
  }
  reads_.clear();
}

void
RaftNode::StoreEntries(const std::vector<state::LogEntry>& aEntries)
{
  for (const state::LogEntry& entry : aEntries) {
    const std::optional<core::Term> term = log_.TermAt(entry.index_);
    if (term == entry.term_) {
      continue;
    }
    if (term) {
      TruncateFrom(entry.index_);
    }
    StoreEntry(entry);
  }
}

void
RaftNode::Acknowledge(core::MemberId aTo,
                      core::LogIndex aMatch,
                      std::uint64_t aRound,
                      SyncRequirement aNeed)
{
  RaftMessage reply;
  reply.to_ = aTo;
  reply.kind_ = RaftMessageKind::AppendReply;
  reply.index_ = aMatch;
  reply.round_ = aRound;
  SendMessage(std::move(reply), aNeed);
}

void
RaftNode::RejectAppend(const RaftMessage& aMessage)
{
  const LogPosition hint =
    log_.HighestUpToTerm(aMessage.index_, aMessage.logTerm_);
  RaftMessage reply;
  reply.to_ = aMessage.from_;
  reply.kind_ = RaftMessageKind::AppendReply;
  reply.reject_ = true;
  reply.index_ = aMessage.index_;
  reply.hint_ = hint.index_;
  reply.logTerm_ = hint.term_;
  reply.round_ = aMessage.round_;
  SendMessage(std::move(reply), SyncRequirement::HardState);
}

bool
RaftNode::MayPropose(RaftRequestId aRequestId)
{
  if (role_ != RaftRole::Leader) {
    RefuseProposal(aRequestId, core::Errc::NotLeader, "");
    return false;
  }
  if (transfer_) {
    RefuseProposal(
      aRequestId, core::Errc::Unavailable, "leadership transfer in progress");
    return false;
  }
  if (storageFull_) {
    RefuseProposal(aRequestId, core::Errc::DiskFull, "");
    return false;
  }
  if (LastIndex().Value() - commit_.Value() >=
      config_.limits_.maxUncommitted_) {
    RefuseProposal(
      aRequestId, core::Errc::Unavailable, "too many uncommitted log entries");
    return false;
  }
  return true;
}

void
RaftNode::RefuseProposal(RaftRequestId aRequestId,
                         core::Errc aCode,
                         std::string aDetail)
{
  ++counters_.proposalsRefused_;
  outbox_.Add(
    raft::ProposalRefused{ aRequestId, { aCode, std::move(aDetail) } });
}

} // namespace crocusslip::coordination
