#pragma once

#include "coordination/RaftAction.hpp"
#include "coordination/RaftConfig.hpp"
#include "coordination/RaftEvent.hpp"
#include "coordination/RaftLog.hpp"
#include "coordination/RaftMembership.hpp"
#include "coordination/RaftOutbox.hpp"
#include "coordination/RaftReplicator.hpp"
#include "core/Random.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocusslip::coordination {

/// Counters of one member since the process started.
struct RaftCounters
{
  std::uint64_t campaigns_ = 0;
  std::uint64_t elected_ = 0;
  std::uint64_t steppedDown_ = 0;
  /// Messages dropped because their cluster, group, sender, receiver, entry
  /// order, terms or size is invalid.
  std::uint64_t messagesRefused_ = 0;
  std::uint64_t votesRefusedUnderLease_ = 0;
  std::uint64_t proposalsRefused_ = 0;
};

/// One member of a Raft group, as a deterministic state machine: it takes
/// events and returns actions, which the owner must carry out in order. Not
/// thread-safe.
///
/// At most one member of a group holds the leader lease at any time. The
/// majority that acknowledged the leader refuses votes for electionMin_, which
/// outlasts the lease even if the clocks drift by driftBound_. A new leader
/// therefore needs no additional wait before it acts.
class RaftNode
{
public:
  /// aRandom must outlive the node.
  RaftNode(RaftConfig aConfig,
           RaftStartState aStart,
           core::MonotonicTime aNow,
           core::Random& aRandom);
  RaftNode(const RaftNode&) = delete;
  RaftNode& operator=(const RaftNode&) = delete;

  RaftActions Handle(const RaftEvent& aEvent, core::MonotonicTime aNow);

  /// Whether this member may act as the only leader now. Check it before each
  /// operation, since the lease expires without an event.
  bool HasLease(core::MonotonicTime aNow) const;
  /// End of the lease, until which no other member can lead; it may have
  /// passed. Empty if this member is not leader, no entry of its own term is
  /// committed, or no majority has answered.
  std::optional<core::MonotonicTime> LeaseEnd(core::MonotonicTime aNow) const;
  RaftRole Role() const { return role_; }
  core::Term Term() const { return hardState_.term_; }
  core::MemberId Leader() const { return leader_; }
  core::LogIndex CommitIndex() const { return commit_; }
  core::LogIndex LastIndex() const { return log_.LastIndex(); }
  core::LogIndex FirstIndex() const { return log_.BaseIndex().Next(); }
  const state::GroupMembers& Members() const { return membership_.Current(); }
  /// Whether the member list in force is committed.
  bool MembersCommitted() const { return membership_.LastChange() <= commit_; }
  /// Null unless this member leads and aId is one of its followers.
  const RaftProgress* FollowerProgress(core::MemberId aId) const;
  /// Metadata to store with a snapshot of the state machine at aIndex, which
  /// must be between the last compacted index and CommitIndex().
  state::SnapshotMeta SnapshotMetaAt(core::LogIndex aIndex) const;
  const RaftCounters& Counters() const { return counters_; }

private:
  struct PendingRead
  {
    RaftRequestId requestId_;
    core::LogIndex index_;
    std::uint64_t round_;
  };
  struct Transfer
  {
    core::MemberId to_;
    core::MonotonicTime deadline_;
  };
  enum class CampaignKind : std::uint8_t
  {
    PreVote,
    Vote,
    /// An election that the leader requested to transfer its leadership.
    Transfer,
  };

  void On(const raft::Tick& aEvent);
  void On(const raft::Receive& aEvent);
  void On(const raft::Propose& aEvent);
  void On(const raft::ProposeMembership& aEvent);
  void On(const raft::Persisted& aEvent);
  void On(const raft::SnapshotReceived& aEvent);
  void On(const raft::SnapshotRestored& aEvent);
  void On(const raft::SnapshotSent& aEvent);
  void On(const raft::CompactLog& aEvent);
  void On(const raft::Read& aEvent);
  void On(const raft::TransferLeadership& aEvent);
  void On(const raft::StorageStateChanged& aEvent);

  bool IsAcceptable(const RaftMessage& aMessage) const;
  /// Compares the message's term with this member's and adopts a newer one.
  /// Returns false if the message must not be processed further.
  bool AdoptTerm(const RaftMessage& aMessage);
  void RejectOldTerm(const RaftMessage& aMessage);
  void OnVoteRequest(const RaftMessage& aMessage);
  void OnVoteReply(const RaftMessage& aMessage);
  void OnAppend(const RaftMessage& aMessage);
  void OnAppendReply(const RaftMessage& aMessage);
  void OnTimeoutNow();

  void BecomeFollower(core::Term aTerm, core::MemberId aLeader);
  void BecomeLeader();
  void Campaign(CampaignKind aKind);
  void CountVote(core::MemberId aFrom);
  void SetRole(RaftRole aRole, core::MemberId aLeader);
  void SetHardState(core::Term aTerm, core::MemberId aVote);
  void OnLeaderContact(core::MemberId aLeader);
  void RestartElectionTimer();
  bool RefusesVotes() const;
  bool IsLogUpToDate(LogPosition aCandidate) const;

  void TickLeader();
  void AppendAndReplicate(state::EntryKind aKind,
                          std::vector<std::string> aPayloads);
  void Replicate(core::MemberId aTo);
  void ReplicateToAll();
  void BroadcastHeartbeat();
  void AdvanceCommit();
  bool OwnTermCommitted() const;
  void FinishTransferIfReady();
  void AnswerReads();
  void RefuseReads();

  void StoreEntry(const state::LogEntry& aEntry);
  void RecordMembership(const state::LogEntry& aEntry);
  void StoreEntries(const std::vector<state::LogEntry>& aEntries);
  void TruncateFrom(core::LogIndex aIndex);
  void CommitThrough(core::LogIndex aIndex);
  /// aRound is 0 for a reply that belongs to no heartbeat round.
  void Acknowledge(core::MemberId aTo,
                   core::LogIndex aMatch,
                   std::uint64_t aRound,
                   SyncRequirement aNeed);
  void RejectAppend(const RaftMessage& aMessage);
  void SendMessage(RaftMessage aMessage, SyncRequirement aNeed);
  void RefuseProposal(RaftRequestId aRequestId,
                      core::Errc aCode,
                      std::string aDetail);
  bool MayPropose(RaftRequestId aRequestId);
  /// Adds the action Halt. Events are still handled until the owner stops the
  /// member.
  void Halt(std::string aReason);

  const RaftConfig config_;
  core::Random& random_;
  core::MonotonicTime now_;
  state::HardState hardState_;
  RaftLog log_;
  RaftMembership membership_;
  RaftOutbox outbox_;
  RaftReplicator replicator_;
  RaftCounters counters_;

  RaftRole role_ = RaftRole::Follower;
  core::MemberId leader_;
  core::LogIndex commit_;
  /// Votes are refused for electionMin_ from this time: the last message from a
  /// leader, or the start of the process if votes are refused after it. Empty
  /// if there was neither.
  std::optional<core::MonotonicTime> refuseVotesFrom_;
  core::MonotonicTime electionDeadline_;
  /// Number of terms entered since the last message from a leader, or since
  /// this member was elected.
  std::uint32_t termsWithoutLeader_ = 0;
  std::set<core::MemberId> votes_;

  core::MonotonicTime leaderSince_;
  core::MonotonicTime nextHeartbeat_;
  std::optional<Transfer> transfer_;
  std::vector<PendingRead> reads_;
  bool storageFull_ = false;
};

} // namespace crocusslip::coordination
