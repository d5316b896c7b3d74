#pragma once

#include "tests/support/Explorer.hpp"
#include "tests/support/ExplorerChecks.hpp"
#include "tests/support/ExplorerClients.hpp"
#include "tests/support/ExplorerMember.hpp"
#include "tests/support/ExplorerNetwork.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <set>
#include <utility>
#include <vector>

namespace crocusslip::tests {

/// Discrete-event simulation of one run: executes events in time order and
/// carries out the actions of the members.
class ExplorerRun
{
public:
  explicit ExplorerRun(const ExplorerOptions& aOptions);

  /// Runs until aUntil or the first violated invariant.
  void RunUntil(core::Duration aUntil);
  void After(core::Duration aDelay, std::function<void()> aWork);

  const coordination::RaftLimits& Limits() const { return config_.limits_; }
  core::Duration Now() const { return now_; }
  core::Random& Random() { return random_; }
  ExplorerNetwork& Network() { return network_; }
  ExplorerChecks& Checks() { return checks_; }
  const ExplorerClients& Clients() const { return clients_; }
  ExplorerModel& Model() { return *model_; }
  ExplorerReport Report() const;
  ExplorerReport& Counts() { return counts_; }

  std::vector<core::MemberId> MemberIds() const;
  ExplorerMember& Member(core::MemberId aId) { return *members_.at(aId); }
  /// The running leader with the highest term, or null.
  ExplorerMember* Leader();
  /// Starts a machine with a new disk, to be added to the group as a learner.
  core::MemberId AddMachine();
  void Start(core::MemberId aId);
  void Crash(core::MemberId aId);
  /// Crashes the member; its machine and disk are lost for good.
  void Destroy(core::MemberId aId);
  bool IsDestroyed(core::MemberId aId) const;
  void Handle(ExplorerMember& aMember, const coordination::RaftEvent& aEvent);
  void SetDiskLatency(core::Duration aLatency) { diskLatency_ = aLatency; }
  void SetThinkTime(core::Duration aLongest) { longestThinkTime_ = aLongest; }
  using MemberHook = std::function<void(core::MemberId)>;
  /// Called as soon as a member becomes leader.
  void SetLeaderHook(MemberHook aHook) { leaderHook_ = std::move(aHook); }
  /// Called when a member has applied entries, before it sends anything.
  void SetApplyHook(MemberHook aHook) { applyHook_ = std::move(aHook); }
  void StopClients() { clientsRun_ = false; }
  void Trace(core::MemberId aMember, const std::string& aText) const;

private:
  struct Event
  {
    core::Duration time_;
    std::uint64_t sequence_;
    std::function<void()> work_;

    bool operator<(const Event& aOther) const
    {
      return time_ > aOther.time_ ||
             (time_ == aOther.time_ && sequence_ > aOther.sequence_);
    }
  };

  /// Runs aWork after the delay unless the member's process has ended by then.
  void AfterIfRunning(ExplorerMember& aMember,
                      core::Duration aDelay,
                      std::function<void(ExplorerMember&)> aWork);
  void Tick(ExplorerMember& aMember);
  void ActAsLeader(ExplorerMember& aMember);
  void RunClient();
  void Submit(ExplorerMember& aMember);

  void Perform(ExplorerMember& aMember, coordination::raft::Send& aAction);
  void Perform(ExplorerMember& aMember, coordination::raft::Persist& aAction);
  void Perform(ExplorerMember& aMember, coordination::raft::Apply& aAction);
  void Perform(ExplorerMember& aMember,
               coordination::raft::SendSnapshot& aAction);
  void Perform(ExplorerMember& aMember,
               coordination::raft::RestoreSnapshot& aAction);
  void Perform(ExplorerMember& aMember,
               coordination::raft::RoleChanged& aAction);
  void Perform(ExplorerMember& aMember,
               coordination::raft::ProposalAccepted& aAction);
  void Perform(ExplorerMember& aMember,
               coordination::raft::ProposalRefused& aAction);
  void Perform(ExplorerMember& aMember, coordination::raft::ReadReady& aAction);
  void Perform(ExplorerMember& aMember,
               coordination::raft::ReadRefused& aAction);
  void Perform(ExplorerMember& aMember, coordination::raft::Halt& aAction);

  void Receive(ExplorerMember& aMember,
               const coordination::RaftMessage& aMessage);
  void ReceiveSnapshot(ExplorerMember& aMember,
                       core::MemberId aFrom,
                       core::Term aTerm,
                       const std::vector<state::SnapshotPiece>& aPieces);
  void StartDisk(ExplorerMember& aMember);
  void WriteDisk(ExplorerMember& aMember);
  void SyncDisk(ExplorerMember& aMember);
  core::Duration DrawBelow(core::Duration aBound);

  const ExplorerOptions options_;
  core::Random random_;
  ExplorerNetwork network_;
  ExplorerChecks checks_;
  ExplorerClients clients_;
  std::unique_ptr<ExplorerModel> model_;
  coordination::RaftConfig config_;
  coordination::RaftStartState bootstrap_;
  ExplorerChecks::Members members_;
  std::set<core::MemberId> firstMembers_;
  std::set<core::MemberId> destroyed_;
  std::priority_queue<Event> events_;
  std::uint64_t lastSequence_ = 0;
  core::Duration now_{};
  core::Duration diskLatency_ = std::chrono::milliseconds(4);
  core::Duration longestThinkTime_ = std::chrono::milliseconds(60);
  bool clientsRun_ = true;
  MemberHook leaderHook_;
  MemberHook applyHook_;
  ExplorerReport counts_;
};

} // namespace crocusslip::tests
