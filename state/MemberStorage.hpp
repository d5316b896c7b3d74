#pragma once

#include "state/LogStore.hpp"
#include "state/MemberIdentity.hpp"
#include "state/SnapshotStore.hpp"
#include "state/VoteStore.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusslip::state {

/// What a member finds on its disk at its start.
struct StoredState
{
  HardState hardState_;
  std::optional<Snapshot> snapshot_;
  /// Entries after the snapshot.
  std::vector<LogEntry> entries_;
};

/// Everything that a member keeps on disk, below one data folder.
class MemberStorage
{
public:
  /// Claims the folder for aExpected and reads all of it. Errc::WrongIdentity,
  /// Errc::NewerVersion and Errc::Corrupt must stop the process.
  static core::Result<std::unique_ptr<MemberStorage>> Open(
    FileSystem& aFiles,
    const std::string& aFolder,
    const MemberIdentity& aExpected,
    core::Random& aRandom,
    LogStoreLimits aLimits = {});

  const MemberIdentity& Identity() const { return identity_; }
  /// What Open has read; empty when called again.
  StoredState TakeStored();

  /// Writes in this order: hard state (synced), truncation, entries. The
  /// entries are durable after Sync; several calls may share one Sync.
  core::Status Write(const std::optional<HardState>& aHardState,
                     std::optional<core::LogIndex> aTruncateFrom,
                     const std::vector<LogEntry>& aEntries);
  core::Status Sync() { return log_->Sync(); }
  /// Stores a snapshot and removes what it makes unnecessary, but keeps
  /// aKept entries for followers that are a little behind.
  core::Status SaveSnapshot(const SnapshotMeta& aMeta,
                            std::string_view aContent,
                            std::uint64_t aKept);
  /// Removes what a saved snapshot at aIndex makes unnecessary, but keeps aKept
  /// entries before it. SaveSnapshot without the saving.
  core::Status RemoveBefore(core::LogIndex aIndex, std::uint64_t aKept);
  /// Empties the log after a received snapshot and returns that snapshot.
  core::Result<Snapshot> RestoreSnapshot(const SnapshotMeta& aMeta);

  LogStore& Log() { return *log_; }
  SnapshotStore& Snapshots() { return snapshots_; }

private:
  MemberStorage(FileSystem& aFiles, const std::string& aFolder);

  MemberIdentity identity_;
  VoteStore votes_;
  SnapshotStore snapshots_;
  std::unique_ptr<LogStore> log_;
  StoredState stored_;
};

} // namespace crocusslip::state
