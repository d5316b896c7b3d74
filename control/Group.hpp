#pragma once

#include "coordination/RaftNode.hpp"
#include "core/Clock.hpp"
#include "core/Error.hpp"
#include "core/WorkerPool.hpp"
#include "state/MemberStorage.hpp"
#include "state/StateMachine.hpp"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace crocusslip::control {

/// What a leader knows of another member.
struct FollowerContact
{
  core::MemberId member_;
  /// When the newest answered heartbeat was sent; nothing before the first.
  std::optional<core::MonotonicTime> answered_;
  core::LogIndex match_;
};

/// What others may know of this member without waiting.
struct GroupStatus
{
  coordination::RaftRole role_ = coordination::RaftRole::Follower;
  core::Term term_;
  core::MemberId leader_;
  core::LogIndex commit_;
  core::LogIndex applied_;
  core::LogIndex first_;
  core::LogIndex last_;
  state::GroupMembers members_;
  coordination::RaftCounters counters_;
  /// Whether the list of members is committed.
  bool membersCommitted_ = false;
  /// Empty unless this member leads.
  std::vector<FollowerContact> followers_;
  bool halted_ = false;
  /// Proposals are refused until the disk has room again.
  bool storageFull_ = false;
};

/// What a group hands to its owner; called on the group's thread, and must not
/// block.
struct GroupHooks
{
  std::function<void(const coordination::RaftMessage&)> send_;
  std::function<void(core::MemberId, core::Term)> sendSnapshot_;
  /// Called after each command, under the state lock.
  std::function<void(core::LogIndex,
                     core::Term,
                     const state::Command&,
                     const state::Answer&)>
    applied_;
  /// The list of members in force has changed.
  std::function<void(const state::GroupMembers&)> members_;
  std::function<void(const std::string&)> halted_;
  /// So many proposals were refused because the disk is full.
  std::function<void(std::size_t)> refusedDiskFull_;
};

struct GroupSettings
{
  coordination::RaftConfig raft_;
  state::StateLimits limits_;
  /// A snapshot is written once either many entries or many bytes have been
  /// applied since the last one.
  std::uint64_t snapshotEvery_ = 50'000;
  core::Bytes snapshotBytes_{ 256 * core::kMebi };
  std::uint64_t entriesKept_ = 10'000;
};

using ProposalResult = core::Result<state::Answer>;
using ProposalCallback = std::function<void(ProposalResult)>;

/// One member of a consensus group with its disk and its state machine. A
/// thread of its own drives the RaftNode; proposals that arrive while a sync
/// runs are committed together.
class Group
{
public:
  Group(GroupSettings aSettings,
        std::unique_ptr<state::MemberStorage> aStorage,
        const core::Clock& aClock,
        std::uint64_t aSeed,
        GroupHooks aHooks);
  ~Group();
  Group(const Group&) = delete;
  Group& operator=(const Group&) = delete;

  core::Status Start();
  void Stop();

  /// The callback runs on the group's thread. NotLeader and DiskFull say that
  /// the command takes no effect; any other error leaves it open.
  void Propose(const state::Command& aCommand, const ProposalCallback& aDone);
  core::Result<state::Answer> ProposeAndWait(const state::Command& aCommand,
                                             std::chrono::milliseconds aWait);
  core::Status ProposeMembership(const state::MemberChange& aChange,
                                 std::chrono::milliseconds aWait);
  void TransferLeadership(core::MemberId aTo);
  void Receive(coordination::RaftMessage aMessage);
  /// A part of a snapshot from the leader; false when it must begin anew.
  bool ReceiveSnapshot(core::MemberId aFrom,
                       core::Term aTerm,
                       state::SnapshotPiece aPiece);
  void SnapshotSent(core::MemberId aTo, bool aDelivered);
  core::Result<state::SnapshotPiece> ReadSnapshot(core::LogIndex aIndex,
                                                  std::uint64_t aOffset,
                                                  std::uint64_t aLength);
  core::Result<std::optional<core::LogIndex>> NewestSnapshot();

  GroupStatus Status() const;
  /// Whether this member leads, holds the lease and has applied an entry of
  /// its own term.
  bool MayDecide() const;
  /// The term in which this member may decide, if it may.
  std::optional<core::Term> DecidingTerm() const;
  /// Calls aRead under the shared state lock.
  template<typename Read>
  auto WithState(Read aRead) const
  {
    const std::shared_lock lock(stateMutex_);
    return aRead(static_cast<const state::StateMachine&>(machine_));
  }

private:
  struct Proposal
  {
    std::string payload_;
    ProposalCallback done_;
  };
  struct Pending
  {
    core::Term term_;
    ProposalCallback done_;
  };
  /// Writes in the order in which the node asked for them.
  using Write = std::variant<coordination::raft::Persist,
                             coordination::raft::RestoreSnapshot,
                             coordination::raft::Apply>;
  struct Inbox
  {
    std::vector<Proposal> proposals_;
    std::vector<std::function<void()>> tasks_;
  };

  void Run();
  void RunInbox(Inbox aInbox);
  void Post(std::function<void()> aTask);
  template<typename Result>
  Result PostAndWait(std::function<Result()> aTask, Result aStopped);
  void Feed(const coordination::RaftEvent& aEvent);
  void ProposeBatch(std::vector<Proposal> aProposals);
  void FailPending(core::Errc aCode);
  void SyncPending();
  void WriteWaiting();
  core::Status Store(const coordination::raft::Persist& aAction);
  core::Status Store(const coordination::raft::RestoreSnapshot& aAction);
  core::Status Store(const coordination::raft::Apply& aAction);
  void ApplyEntries(const coordination::raft::Apply& aAction);
  void CheckStorage();
  void CheckRoomFor(core::Bytes aSize);
  void SetStorageFull(bool aFull);
  void UpdateStatus();
  void EndLease();
  void MaybeSnapshot();
  void OnSnapshotWritten(const state::SnapshotMeta& aMeta,
                         core::Status aWritten);
  void Halt(const std::string& aReason);

  void On(const coordination::raft::Send& aAction);
  void On(const coordination::raft::Persist& aAction);
  void On(const coordination::raft::Apply& aAction);
  void On(const coordination::raft::SendSnapshot& aAction);
  void On(const coordination::raft::RestoreSnapshot& aAction);
  void On(const coordination::raft::RoleChanged& aAction);
  void On(const coordination::raft::ProposalAccepted& aAction);
  void On(const coordination::raft::ProposalRefused& aAction);
  void On(const coordination::raft::ReadReady& aAction);
  void On(const coordination::raft::ReadRefused& aAction);
  void On(const coordination::raft::Halt& aAction);

  const GroupSettings settings_;
  const core::Clock& clock_;
  const GroupHooks hooks_;
  core::Random random_;

  /// Owned by the group's thread from here on.
  std::unique_ptr<state::MemberStorage> storage_;
  std::unique_ptr<coordination::RaftNode> node_;
  std::optional<coordination::PersistId> unsynced_;
  /// Not empty only while the disk is full.
  std::deque<Write> waiting_;
  bool storageFull_ = false;
  core::MonotonicTime storageCheckedAt_;
  std::map<core::LogIndex, Pending> pending_;
  std::map<std::uint64_t, std::vector<ProposalCallback>> offered_;
  std::map<std::uint64_t, std::function<void(core::Status)>> memberChanges_;
  std::uint64_t nextTag_ = 1;
  core::LogIndex snapshotIndex_;
  /// Applied since the last snapshot was begun.
  core::Bytes appliedBytes_;
  bool writingSnapshot_ = false;
  state::GroupMembers announced_;
  bool halted_ = false;

  /// Lock order 3: taken after the locks of the services. Guards machine_;
  /// written only by the group's thread.
  mutable std::shared_mutex stateMutex_;
  state::StateMachine machine_;

  /// Lock order 4. Guards status_ and leaseEnd_.
  mutable std::mutex statusMutex_;
  GroupStatus status_;
  /// Empty while this member may not decide. Other threads compare it with the
  /// clock, so that a group's thread held up by a sync does not end the lease.
  std::optional<core::MonotonicTime> leaseEnd_;

  /// Lock order 5. Guards the inbox.
  std::mutex inboxMutex_;
  std::condition_variable inboxReady_;
  Inbox inbox_;
  bool stopping_ = false;
  std::thread thread_;
  /// Writes snapshots, so that heartbeats don't wait for the disk.
  core::WorkerPool snapshotWorker_{ 1, 1 };
};

} // namespace crocusslip::control
