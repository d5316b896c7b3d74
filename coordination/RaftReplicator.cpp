#include "coordination/RaftReplicator.hpp"

#include <algorithm>
#include <functional>

namespace crocusslip::coordination {

namespace {

/// Heartbeat rounds are forgotten after this many maximum election timeouts; by
/// then they can no longer extend a lease.
constexpr int kRoundRetentionTimeouts = 4;

/// The highest value that a majority of voters has reached.
template<typename Value>
Value
QuorumValue(std::vector<Value> aValues, const state::GroupMembers& aMembers)
{
  std::ranges::sort(aValues, std::greater<>());
  return aValues[aMembers.Quorum() - 1];
}

} // namespace

RaftReplicator::RaftReplicator(const RaftConfig& aConfig)
  : config_(aConfig)
{
}

void
RaftReplicator::Start(const state::GroupMembers& aMembers,
                      core::LogIndex aLast,
                      core::MonotonicTime aNow)
{
  followers_.clear();
  rounds_.clear();
  SetMembers(aMembers, aLast);
  StartRound(aNow);
}

void
RaftReplicator::SetMembers(const state::GroupMembers& aMembers,
                           core::LogIndex aLast)
{
  members_ = aMembers;
  std::erase_if(followers_, [this](const auto& aItem) {
    return members_.Find(aItem.first) == nullptr;
  });
  for (const state::GroupMember& member : members_.members_) {
    if (member.id_ != config_.self_) {
      followers_.try_emplace(member.id_, aLast.Next());
    }
  }
}

std::vector<core::MemberId>
RaftReplicator::Followers() const
{
  std::vector<core::MemberId> result;
  for (const auto& [id, progress] : followers_) {
    result.push_back(id);
  }
  return result;
}

const RaftProgress*
RaftReplicator::Find(core::MemberId aId) const
{
  const auto found = followers_.find(aId);
  return found == followers_.end() ? nullptr : &found->second;
}

std::uint64_t
RaftReplicator::StartRound(core::MonotonicTime aNow)
{
  const core::Duration retention =
    kRoundRetentionTimeouts * config_.timings_.electionMax_;
  while (!rounds_.empty() && rounds_.front().sentAt_ + retention < aNow) {
    rounds_.pop_front();
  }
  rounds_.push_back({ ++lastRound_, aNow });
  return lastRound_;
}

ReplicationStep
RaftReplicator::Next(core::MemberId aTo,
                     const RaftLog& aLog,
                     core::MonotonicTime aNow)
{
  ReplicationStep result;
  RaftProgress& progress = followers_.at(aTo);
  while (progress.MaySend(config_.limits_.maxInFlight_) &&
         progress.Next() <= aLog.LastIndex()) {
    const core::LogIndex previous(progress.Next().Value() - 1);
    const std::optional<core::Term> term = aLog.TermAt(previous);
    if (!term) {
      progress.StartSnapshot(aNow);
      result.startSnapshot_ = true;
      break;
    }
    RaftMessage message = MakeAppend(aTo, { previous, *term });
    message.entries_ = aLog.Slice(progress.Next(),
                                  config_.limits_.maxAppendEntries_,
                                  config_.limits_.maxAppend_);
    core::Bytes size;
    for (const state::LogEntry& entry : message.entries_) {
      size += EntrySize(entry);
    }
    progress.OnSent(message.entries_.back().index_, size);
    result.appends_.push_back(std::move(message));
  }
  return result;
}

RaftMessage
RaftReplicator::Heartbeat(core::MemberId aTo,
                          const RaftLog& aLog,
                          core::MonotonicTime aNow)
{
  RaftProgress& progress = followers_.at(aTo);
  if (progress.State() == ProgressState::Probe) {
    progress.AllowProbe();
  }
  if (progress.State() == ProgressState::Snapshot &&
      progress.SnapshotStarted() + config_.timings_.snapshotRetry_ <= aNow) {
    progress.Probe(progress.Next());
  }
  const core::LogIndex previous(progress.Next().Value() - 1);
  const std::optional<core::Term> term = aLog.TermAt(previous);
  if (!term && progress.State() == ProgressState::Replicate) {
    // Appends in flight may have been lost, and the entries needed to resend
    // them are compacted, so probe again and fall back to a snapshot.
    progress.Probe(progress.Next());
  }
  // For a follower that needs a snapshot, use position 0, which always matches.
  return MakeAppend(aTo, term ? LogPosition{ previous, *term } : LogPosition{});
}

void
RaftReplicator::OnReply(const RaftMessage& aReply, const RaftLog& aLog)
{
  const auto found = followers_.find(aReply.from_);
  if (found == followers_.end()) {
    return;
  }
  RaftProgress& progress = found->second;
  const auto round = std::ranges::find(rounds_, aReply.round_, &Round::number_);
  if (round != rounds_.end()) {
    progress.OnRound(round->number_, round->sentAt_);
  }
  if (aReply.reject_) {
    const bool stale = aReply.index_ <= progress.Match() ||
                       progress.State() == ProgressState::Snapshot;
    if (!stale) {
      const LogPosition match =
        aLog.HighestUpToTerm(aReply.hint_, aReply.logTerm_);
      // The logs diverge before the base, so the follower needs a snapshot.
      // Next() starts one when the previous position is before the base.
      const bool compacted =
        aReply.hint_ < aLog.BaseIndex() || match.term_ > aReply.logTerm_;
      progress.Probe(compacted ? aLog.BaseIndex() : match.index_.Next());
    }
    return;
  }
  if (aReply.index_ > aLog.LastIndex()) {
    return;
  }
  if (progress.State() == ProgressState::Snapshot &&
      aReply.index_ >= aLog.BaseIndex()) {
    progress.Probe(aReply.index_.Next());
  }
  progress.OnMatch(aReply.index_);
}

void
RaftReplicator::OnSnapshotSent(core::MemberId aTo, bool aDelivered)
{
  const auto found = followers_.find(aTo);
  if (found != followers_.end() && !aDelivered &&
      found->second.State() == ProgressState::Snapshot) {
    found->second.Probe(found->second.Next());
  }
}

core::LogIndex
RaftReplicator::QuorumMatch(core::LogIndex aOwn) const
{
  std::vector<core::LogIndex> values;
  for (const state::GroupMember& member : members_.members_) {
    if (member.role_ == state::MemberRole::Voter) {
      const RaftProgress* progress = Find(member.id_);
      values.push_back(progress == nullptr ? aOwn : progress->Match());
    }
  }
  return QuorumValue(std::move(values), members_);
}

std::uint64_t
RaftReplicator::QuorumRound() const
{
  std::vector<std::uint64_t> values;
  for (const state::GroupMember& member : members_.members_) {
    if (member.role_ == state::MemberRole::Voter) {
      const RaftProgress* progress = Find(member.id_);
      values.push_back(progress == nullptr ? lastRound_
                                           : progress->AckedRound());
    }
  }
  return QuorumValue(std::move(values), members_);
}

std::optional<core::MonotonicTime>
RaftReplicator::QuorumContact(core::MonotonicTime aNow) const
{
  std::vector<std::optional<core::MonotonicTime>> values;
  for (const state::GroupMember& member : members_.members_) {
    if (member.role_ == state::MemberRole::Voter) {
      const RaftProgress* progress = Find(member.id_);
      values.push_back(progress == nullptr ? aNow : progress->AckedAt());
    }
  }
  return QuorumValue(std::move(values), members_);
}

bool
RaftReplicator::IsMajorityActive(const state::GroupMembers& aMembers,
                                 core::MonotonicTime aSince) const
{
  const auto active = std::ranges::count_if(
    aMembers.members_, [&](const state::GroupMember& aMember) {
      const RaftProgress* progress = Find(aMember.id_);
      const bool answered =
        progress == nullptr
          ? aMember.id_ == config_.self_
          : progress->AckedAt().has_value() && *progress->AckedAt() >= aSince;
      return answered && aMember.role_ == state::MemberRole::Voter;
    });
  return static_cast<std::size_t>(active) >= aMembers.Quorum();
}

RaftMessage
RaftReplicator::MakeAppend(core::MemberId aTo, LogPosition aPrevious) const
{
  RaftMessage message;
  message.to_ = aTo;
  message.kind_ = RaftMessageKind::Append;
  message.index_ = aPrevious.index_;
  message.logTerm_ = aPrevious.term_;
  message.round_ = lastRound_;
  return message;
}

} // namespace crocusslip::coordination
