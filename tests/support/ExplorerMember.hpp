#pragma once

#include "coordination/RaftNode.hpp"
#include "state/MemberStorage.hpp"
#include "tests/support/ExplorerModel.hpp"
#include "tests/support/FaultyFileSystem.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace crocusslip::tests {

/// Simulated machine of one member: clock, disk, and the process while it runs.
class ExplorerMember
{
public:
  explicit ExplorerMember(core::MemberId aId);

  core::MemberId Id() const { return id_; }
  bool Up() const { return node_ != nullptr; }
  /// Changes at each start and crash, so that events of an earlier process can
  /// be recognised and dropped.
  std::uint64_t Epoch() const { return epoch_; }

  core::MonotonicTime LocalTime(core::Duration aNow) const;
  /// Sets the rate of the local clock from now on.
  void SetRate(core::Duration aNow, double aRate);

  /// Starts from the state on disk. On a new disk, aBootstrap is written first.
  core::Status Start(const coordination::RaftConfig& aConfig,
                     const coordination::RaftStartState& aBootstrap,
                     std::unique_ptr<ExplorerStateMachine> aMachine,
                     core::Duration aNow,
                     core::Random& aRandom);
  void Crash(core::Random& aRandom);

  coordination::RaftNode& Node() { return *node_; }
  const coordination::RaftNode& Node() const { return *node_; }
  ExplorerStateMachine& StateMachine() { return *machine_; }
  state::MemberStorage& Storage() { return *storage_; }
  FaultyFileSystem& Disk() { return disk_; }
  core::LogIndex Applied() const { return applied_; }
  void SetApplied(core::LogIndex aIndex) { applied_ = aIndex; }

  /// Writes all pending Persist actions without syncing them.
  core::Status WritePending();
  core::Status Restore(const state::SnapshotMeta& aMeta);
  /// Writes a snapshot and keeps the last aKeptEntries entries of the log
  /// before it.
  core::Status Compact(std::uint64_t aKeptEntries);
  /// The newest snapshot, split into small pieces for sending.
  std::vector<state::SnapshotPiece> ReadSnapshot() const;

  /// Persist actions that have not been written yet.
  std::deque<coordination::raft::Persist> pendingWrites_;
  coordination::PersistId written_;
  bool diskBusy_ = false;
  /// Time of the last message from each member to this process.
  std::map<core::MemberId, core::Duration> lastReceived_;

private:
  const core::MemberId id_;
  FaultyFileSystem disk_;
  std::uint64_t epoch_ = 0;
  std::unique_ptr<state::MemberStorage> storage_;
  std::unique_ptr<coordination::RaftNode> node_;
  std::unique_ptr<ExplorerStateMachine> machine_;
  core::LogIndex applied_;

  core::Duration clockSince_{};
  core::Duration clockBase_{};
  double clockRate_ = 1.0;
};

} // namespace crocusslip::tests
