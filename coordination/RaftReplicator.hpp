#pragma once

#include "coordination/RaftConfig.hpp"
#include "coordination/RaftLog.hpp"
#include "coordination/RaftMessage.hpp"
#include "coordination/RaftProgress.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace crocusslip::coordination {

/// What the leader sends next to one follower.
struct ReplicationStep
{
  std::vector<RaftMessage> appends_;
  bool startSnapshot_ = false;
};

/// Tracks a leader's followers: what to send to each one next, the highest
/// index that a majority has, and the last contact with a majority.
class RaftReplicator
{
public:
  explicit RaftReplicator(const RaftConfig& aConfig);

  /// Resets the state at the start of a term as leader.
  void Start(const state::GroupMembers& aMembers,
             core::LogIndex aLast,
             core::MonotonicTime aNow);
  /// New followers are probed from the entry after aLast.
  void SetMembers(const state::GroupMembers& aMembers, core::LogIndex aLast);
  std::vector<core::MemberId> Followers() const;
  const RaftProgress* Find(core::MemberId aId) const;

  /// Starts a heartbeat round. The lease starts at the send time of the newest
  /// round that a majority acknowledged.
  std::uint64_t StartRound(core::MonotonicTime aNow);
  std::uint64_t LastRound() const { return lastRound_; }
  /// The next appends for a follower, within the limits of flow control.
  ReplicationStep Next(core::MemberId aTo,
                       const RaftLog& aLog,
                       core::MonotonicTime aNow);
  /// A heartbeat for a follower. Also allows a probe or a timed-out snapshot
  /// transfer to be sent again, since it may have been lost.
  RaftMessage Heartbeat(core::MemberId aTo,
                        const RaftLog& aLog,
                        core::MonotonicTime aNow);
  void OnReply(const RaftMessage& aReply, const RaftLog& aLog);
  void OnSnapshotSent(core::MemberId aTo, bool aDelivered);

  /// Highest index that a majority of voters has synced. aOwn is the highest
  /// index synced on this member.
  core::LogIndex QuorumMatch(core::LogIndex aOwn) const;
  /// Newest heartbeat round that a majority of voters has acknowledged.
  std::uint64_t QuorumRound() const;
  /// Send time of the newest round that a majority of voters has acknowledged.
  std::optional<core::MonotonicTime> QuorumContact(
    core::MonotonicTime aNow) const;

  /// Whether a majority of the voters in aMembers has acknowledged a round that
  /// was sent at or after aSince.
  bool IsMajorityActive(const state::GroupMembers& aMembers,
                        core::MonotonicTime aSince) const;

private:
  struct Round
  {
    std::uint64_t number_;
    core::MonotonicTime sentAt_;
  };

  RaftMessage MakeAppend(core::MemberId aTo, LogPosition aPrevious) const;

  const RaftConfig& config_;
  state::GroupMembers members_;
  std::map<core::MemberId, RaftProgress> followers_;
  /// Recent heartbeat rounds, ascending by number.
  std::deque<Round> rounds_;
  std::uint64_t lastRound_ = 0;
};

} // namespace crocusslip::coordination
