#include "control/Group.hpp"

#include "core/Log.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::control {

namespace raft = coordination::raft;

namespace {

/// Interval at which a full disk is tried again.
constexpr std::chrono::milliseconds kStorageRetry{ 100 };
/// Interval at which the free space is looked at without a proposal.
constexpr std::chrono::seconds kRoomCheck{ 1 };

} // namespace

void
Group::On(const raft::Persist& aAction)
{
  waiting_.emplace_back(aAction);
  WriteWaiting();
}

void
Group::On(const raft::RestoreSnapshot& aAction)
{
  waiting_.emplace_back(aAction);
  WriteWaiting();
}

// A write that finds no space stays at the front, since later ones build on
// it. The node acknowledges nothing before it is told Persisted, so that a
// member with a full disk delays its own vote and copy, but loses nothing.
void
Group::WriteWaiting()
{
  while (!waiting_.empty() && !halted_) {
    const core::Status done = std::visit(
      [this](const auto& aWrite) { return Store(aWrite); }, waiting_.front());
    if (!done.Ok() && done.Failure().code_ == core::Errc::DiskFull) {
      SetStorageFull(true);
      return;
    }
    if (!done.Ok()) {
      Halt(done.Failure().Message());
      return;
    }
    const Write write = std::move(waiting_.front());
    waiting_.pop_front();
    if (const auto* persist = std::get_if<raft::Persist>(&write)) {
      unsynced_ = persist->id_;
    } else if (const auto* restore =
                 std::get_if<raft::RestoreSnapshot>(&write)) {
      snapshotIndex_ = restore->meta_.index_;
      Feed(raft::SnapshotRestored{ restore->meta_.index_ });
    }
  }
}

core::Status
Group::Store(const raft::Persist& aAction)
{
  return storage_->Write(
    aAction.hardState_, aAction.truncateFrom_, aAction.entries_);
}

core::Status
Group::Store(const raft::RestoreSnapshot& aAction)
{
  const core::Result<state::Snapshot> snapshot =
    storage_->RestoreSnapshot(aAction.meta_);
  if (!snapshot.Ok()) {
    return snapshot.Failure();
  }
  appliedBytes_ = core::Bytes();
  const std::unique_lock lock(stateMutex_);
  return machine_.Restore(snapshot.Value().content_);
}

core::Status
Group::Store(const raft::Apply& aAction)
{
  ApplyEntries(aAction);
  return core::Success{};
}

void
Group::CheckStorage()
{
  const core::MonotonicTime now = clock_.Now();
  const core::Duration interval =
    waiting_.empty() ? core::Duration(kRoomCheck) : kStorageRetry;
  if (halted_ || now - storageCheckedAt_ < interval) {
    return;
  }
  storageCheckedAt_ = now;
  WriteWaiting();
  CheckRoomFor(core::Bytes());
}

void
Group::CheckRoomFor(core::Bytes aSize)
{
  if (!halted_) {
    SetStorageFull(!waiting_.empty() || !storage_->Log().HasRoomFor(aSize));
  }
}

void
Group::SetStorageFull(bool aFull)
{
  if (storageFull_ == aFull) {
    return;
  }
  storageFull_ = aFull;
  if (aFull) {
    core::Log(core::LogLevel::Error,
              "the disk is full; proposals are refused until it has room");
  } else {
    core::Log(core::LogLevel::Info, "the disk has room again");
  }
  Feed(raft::StorageStateChanged{ aFull });
}

// Only the copy of the tables is made here; a sync of many megabytes would hold
// up heartbeats for longer than the election timeout.
void
Group::MaybeSnapshot()
{
  const core::LogIndex applied = machine_.LastApplied();
  if (halted_ || writingSnapshot_ || !waiting_.empty() ||
      applied <= snapshotIndex_ ||
      (applied.Value() < snapshotIndex_.Value() + settings_.snapshotEvery_ &&
       appliedBytes_ < settings_.snapshotBytes_)) {
    return;
  }
  appliedBytes_ = core::Bytes();
  const state::SnapshotMeta meta = node_->SnapshotMetaAt(applied);
  writingSnapshot_ =
    snapshotWorker_.Submit([this, meta, content = machine_.Snapshot()] {
      core::Status written = storage_->Snapshots().Save(meta, content);
      Post([this, meta, written = std::move(written)] {
        OnSnapshotWritten(meta, written);
      });
    });
}

void
Group::OnSnapshotWritten(const state::SnapshotMeta& aMeta,
                         core::Status aWritten)
{
  writingSnapshot_ = false;
  // A newer one may have come from the leader meanwhile.
  const bool newest = snapshotIndex_ < aMeta.index_;
  if (aWritten.Ok()) {
    aWritten = storage_->RemoveBefore(newest ? aMeta.index_ : snapshotIndex_,
                                      settings_.entriesKept_);
  }
  snapshotIndex_ = std::max(snapshotIndex_, aMeta.index_);
  if (!aWritten.Ok()) {
    core::Log(core::LogLevel::Error,
              "snapshot could not be saved",
              { { "error", aWritten.Failure().Message() } });
    if (aWritten.Failure().code_ != core::Errc::DiskFull) {
      Halt(aWritten.Failure().Message());
    }
    return;
  }
  if (newest) {
    Feed(raft::CompactLog{ aMeta.index_ });
  }
}

} // namespace crocusslip::control
