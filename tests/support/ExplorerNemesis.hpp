#pragma once

#include "tests/support/ExplorerRun.hpp"

#include <set>
#include <vector>

namespace crocusslip::tests {

/// Injects random faults and membership changes into a run, one after another.
class ExplorerNemesis
{
public:
  ExplorerNemesis(ExplorerRun& aRun, std::uint32_t aVoters);

  /// Starts injecting crashes, partitions, lossy links, slow disks, clock drift
  /// and membership changes.
  void Start();
  /// Called when a member becomes leader.
  void OnLeader(core::MemberId aMember);
  /// Called when a member has applied entries.
  void OnApplied(core::MemberId aMember);
  /// Only isolates one follower at a time; the others must keep their leader.
  void StartIsolationOnly();
  /// Ends all faults and starts the members that are down.
  void Stop();

private:
  using Fault = void (ExplorerNemesis::*)();

  /// Draws the kinds of faults of this run and their weights, so that runs
  /// cover different combinations.
  void DrawFaults();
  void Next();
  void CutLink();
  void HealLinks();
  void CrashMember();
  void Partition();
  void ChangeNetworkConditions();
  void ChangeClockRate();
  void InjectDiskFault();
  void Compact();
  void Transfer();
  void ChangeMembership();
  void TransferDuringPartition();
  void RemoveVotersDuringPartition();
  void RestartDuringPartition();
  void CrashAndStart(core::MemberId aMember, core::Duration aLongestOutage);
  void Propose(ExplorerMember& aLeader,
               state::MemberChangeKind aKind,
               core::MemberId aMember);
  void DestroyMember();

  void IsolateFollower();
  void CheckLeaderUnchanged(core::MemberId aLeader, core::Term aTerm);

  core::MemberId AnyMember();
  core::Duration DrawBetween(core::Duration aFrom, core::Duration aTo);
  core::Duration DrawBetween(int aFromMs, int aToMs);

  ExplorerRun& run_;
  const std::uint32_t voters_;
  bool running_ = false;
  std::vector<Fault> faults_;
  core::Duration longestPause_ = std::chrono::milliseconds(600);
  core::Duration longestOutage_ = std::chrono::milliseconds(1500);
  double newLeaderCrashProbability_ = 0;
  /// New leaders that crash as soon as they apply their first commit.
  std::set<core::MemberId> crashAtCommit_;
};

} // namespace crocusslip::tests
