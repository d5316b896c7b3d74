#include "coordination/RaftNode.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::coordination {

RaftNode::RaftNode(RaftConfig aConfig,
                   RaftStartState aStart,
                   core::MonotonicTime aNow,
                   core::Random& aRandom)
  : config_(std::move(aConfig))
  , random_(aRandom)
  , now_(aNow)
  , hardState_(aStart.hardState_)
  , log_({ aStart.snapshot_.index_, aStart.snapshot_.term_ },
         std::move(aStart.entries_))
  , membership_(aStart.snapshot_)
  , outbox_(config_.rules_.syncBeforeAcknowledge_, log_.LastIndex())
  , replicator_(config_)
  , commit_(aStart.snapshot_.index_)
{
  for (core::LogIndex index = FirstIndex(); index <= LastIndex();
       index = index.Next()) {
    RecordMembership(log_.At(index));
  }
  if (config_.rules_.refuseVotesAfterStart_) {
    refuseVotesFrom_ = aNow;
  }
  RestartElectionTimer();
}

RaftActions
RaftNode::Handle(const RaftEvent& aEvent, core::MonotonicTime aNow)
{
  now_ = aNow;
  std::visit([this](const auto& aItem) { On(aItem); }, aEvent);
  return outbox_.Flush();
}

bool
RaftNode::HasLease(core::MonotonicTime aNow) const
{
  const auto end = LeaseEnd(aNow);
  return end && aNow < *end;
}

std::optional<core::MonotonicTime>
RaftNode::LeaseEnd(core::MonotonicTime aNow) const
{
  if (role_ != RaftRole::Leader ||
      (config_.rules_.readAfterOwnCommit_ && !OwnTermCommitted())) {
    return std::nullopt;
  }
  const auto contact = replicator_.QuorumContact(aNow);
  if (!contact) {
    return std::nullopt;
  }
  return *contact + config_.timings_.lease_;
}

const RaftProgress*
RaftNode::FollowerProgress(core::MemberId aId) const
{
  return role_ == RaftRole::Leader ? replicator_.Find(aId) : nullptr;
}

state::SnapshotMeta
RaftNode::SnapshotMetaAt(core::LogIndex aIndex) const
{
  return { aIndex,
           log_.TermAt(aIndex).value_or(core::Term()),
           membership_.At(aIndex) };
}

void
RaftNode::On(const raft::Tick&)
{
  if (role_ == RaftRole::Leader) {
    TickLeader();
  } else if (now_ >= electionDeadline_) {
    RestartElectionTimer();
    if (Members().IsVoter(config_.self_)) {
      Campaign(config_.rules_.preVote_ ? CampaignKind::PreVote
                                       : CampaignKind::Vote);
    }
  }
}

void
RaftNode::On(const raft::Receive& aEvent)
{
  const RaftMessage& message = aEvent.message_;
  if (!IsAcceptable(message)) {
    ++counters_.messagesRefused_;
    return;
  }
  if (!AdoptTerm(message)) {
    return;
  }
  switch (message.kind_) {
    case RaftMessageKind::PreVote:
    case RaftMessageKind::Vote:
      OnVoteRequest(message);
      break;
    case RaftMessageKind::PreVoteReply:
    case RaftMessageKind::VoteReply:
      OnVoteReply(message);
      break;
    case RaftMessageKind::Append:
      OnAppend(message);
      break;
    case RaftMessageKind::AppendReply:
      OnAppendReply(message);
      break;
    case RaftMessageKind::TimeoutNow:
      OnTimeoutNow();
      break;
  }
}

void
RaftNode::On(const raft::Persisted& aEvent)
{
  outbox_.OnPersisted(aEvent.through_);
  if (role_ == RaftRole::Leader) {
    AdvanceCommit();
  }
}

void
RaftNode::On(const raft::SnapshotReceived& aEvent)
{
  const state::SnapshotMeta& meta = aEvent.meta_;
  if (aEvent.term_ < hardState_.term_ || role_ == RaftRole::Leader) {
    return;
  }
  if (aEvent.term_ > hardState_.term_) {
    SetHardState(aEvent.term_, core::MemberId());
  }
  OnLeaderContact(aEvent.from_);
  if (meta.index_ <= commit_) {
    Acknowledge(leader_, commit_, 0, SyncRequirement::Entries);
    return;
  }
  if (log_.Matches({ meta.index_, meta.term_ })) {
    CommitThrough(meta.index_);
    Acknowledge(leader_, meta.index_, 0, SyncRequirement::Entries);
    return;
  }
  log_.Reset({ meta.index_, meta.term_ });
  membership_.Reset(meta);
  outbox_.ResetLog(meta.index_);
  commit_ = meta.index_;
  outbox_.Add(raft::RestoreSnapshot{ meta });
}

void
RaftNode::On(const raft::SnapshotRestored& aEvent)
{
  if (role_ != RaftRole::Leader && leader_ != core::MemberId()) {
    Acknowledge(leader_, aEvent.index_, 0, SyncRequirement::HardState);
  }
}

void
RaftNode::On(const raft::CompactLog& aEvent)
{
  if (aEvent.through_ > commit_) {
    Halt("log compaction beyond the commit index");
    return;
  }
  log_.CompactThrough(aEvent.through_);
  membership_.CompactThrough(aEvent.through_);
}

void
RaftNode::On(const raft::StorageStateChanged& aEvent)
{
  storageFull_ = aEvent.full_;
}

bool
RaftNode::IsAcceptable(const RaftMessage& aMessage) const
{
  if (aMessage.cluster_ != config_.cluster_ ||
      aMessage.group_ != config_.group_ || aMessage.to_ != config_.self_ ||
      aMessage.from_ == config_.self_ || aMessage.from_ == core::MemberId()) {
    return false;
  }
  const RaftLimits& limits = config_.limits_;
  if (aMessage.entries_.size() > limits.maxAppendEntries_) {
    return false;
  }
  core::Bytes size;
  LogPosition previous{ aMessage.index_, aMessage.logTerm_ };
  for (const state::LogEntry& entry : aMessage.entries_) {
    size += EntrySize(entry);
    if (entry.index_ != previous.index_.Next() ||
        entry.term_ < previous.term_ || entry.term_ > aMessage.term_) {
      return false;
    }
    previous = { entry.index_, entry.term_ };
  }
  const bool single = aMessage.entries_.size() == 1;
  return size <= limits.maxAppend_ || single;
}

void
RaftNode::StoreEntry(const state::LogEntry& aEntry)
{
  log_.Append(aEntry);
  outbox_.SaveEntry(aEntry);
  RecordMembership(aEntry);
}

void
RaftNode::RecordMembership(const state::LogEntry& aEntry)
{
  if (aEntry.kind_ != state::EntryKind::Membership) {
    return;
  }
  auto members = state::GroupMembers::Decode(aEntry.payload_);
  if (members) {
    membership_.Append(aEntry.index_, std::move(members.Value()));
  } else {
    Halt(members.Failure().Message());
  }
}

void
RaftNode::TruncateFrom(core::LogIndex aIndex)
{
  log_.TruncateFrom(aIndex);
  membership_.TruncateFrom(aIndex);
  outbox_.Truncate(aIndex);
}

void
RaftNode::CommitThrough(core::LogIndex aIndex)
{
  if (aIndex <= commit_) {
    return;
  }
  outbox_.Add(raft::Apply{ log_.Range(commit_.Next(), aIndex) });
  commit_ = aIndex;
}

void
RaftNode::SendMessage(RaftMessage aMessage, SyncRequirement aNeed)
{
  aMessage.cluster_ = config_.cluster_;
  aMessage.group_ = config_.group_;
  aMessage.from_ = config_.self_;
  if (aMessage.term_ == core::Term()) {
    aMessage.term_ = hardState_.term_;
  }
  outbox_.Send(std::move(aMessage), aNeed);
}

void
RaftNode::Halt(std::string aReason)
{
  outbox_.Add(raft::Halt{ std::move(aReason) });
}

} // namespace crocusslip::coordination
