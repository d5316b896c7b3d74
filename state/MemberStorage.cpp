#include "state/MemberStorage.hpp"

#include <utility>

namespace crocusslip::state {

MemberStorage::MemberStorage(FileSystem& aFiles, const std::string& aFolder)
  : votes_(aFiles, aFolder)
  , snapshots_(aFiles, aFolder + "/snapshot")
{
}

core::Result<std::unique_ptr<MemberStorage>>
MemberStorage::Open(FileSystem& aFiles,
                    const std::string& aFolder,
                    const MemberIdentity& aExpected,
                    core::Random& aRandom,
                    LogStoreLimits aLimits)
{
  std::unique_ptr<MemberStorage> result(new MemberStorage(aFiles, aFolder));
  auto identity = ClaimFolder(aFiles, aFolder, aExpected, aRandom);
  if (!identity) {
    return identity.Failure();
  }
  result->identity_ = std::move(identity.Value());
  const auto hardState = result->votes_.Load();
  if (!hardState) {
    return hardState.Failure();
  }
  result->stored_.hardState_ = hardState.Value();
  if (auto done = result->snapshots_.Open(); !done) {
    return done.Failure();
  }
  auto snapshot = result->snapshots_.LoadNewest();
  if (!snapshot) {
    return snapshot.Failure();
  }
  result->stored_.snapshot_ = std::move(snapshot.Value());
  const SnapshotMeta meta = result->stored_.snapshot_
                              ? result->stored_.snapshot_->meta_
                              : SnapshotMeta();
  auto log = LogStore::Open(aFiles, aFolder + "/log", meta, aLimits);
  if (!log) {
    return log.Failure();
  }
  result->log_ = std::move(log.Value());
  result->stored_.entries_ = result->log_->TakeEntries();
  return result;
}

StoredState
MemberStorage::TakeStored()
{
  return std::exchange(stored_, {});
}

core::Status
MemberStorage::Write(const std::optional<HardState>& aHardState,
                     std::optional<core::LogIndex> aTruncateFrom,
                     const std::vector<LogEntry>& aEntries)
{
  if (aHardState) {
    if (auto done = votes_.Save(*aHardState); !done) {
      return done;
    }
  }
  return log_->Write(aTruncateFrom, aEntries);
}

core::Status
MemberStorage::SaveSnapshot(const SnapshotMeta& aMeta,
                            std::string_view aContent,
                            std::uint64_t aKept)
{
  if (auto done = snapshots_.Save(aMeta, aContent); !done) {
    return done;
  }
  return RemoveBefore(aMeta.index_, aKept);
}

core::Status
MemberStorage::RemoveBefore(core::LogIndex aIndex, std::uint64_t aKept)
{
  if (auto done = snapshots_.RemoveOld(); !done) {
    return done;
  }
  const std::uint64_t index = aIndex.Value();
  return log_->CompactThrough(
    core::LogIndex(index > aKept ? index - aKept : 0));
}

core::Result<Snapshot>
MemberStorage::RestoreSnapshot(const SnapshotMeta& aMeta)
{
  // A newer one may be there as well, received from a leader of an old term.
  auto snapshot = snapshots_.Load(aMeta.index_);
  if (!snapshot) {
    return snapshot;
  }
  if (snapshot.Value().meta_ != aMeta) {
    return core::Error{ core::Errc::Corrupt, "received snapshot was replaced" };
  }
  if (auto done = log_->Reset(aMeta.index_); !done) {
    return done.Failure();
  }
  if (auto done = snapshots_.RemoveOld(); !done) {
    return done.Failure();
  }
  return snapshot;
}

} // namespace crocusslip::state
