#include "tests/support/ExplorerMember.hpp"

#include <utility>

namespace crocusslip::tests {

namespace {

constexpr const char* kFolder = "data";
/// Small segments, so that each run has many of them.
constexpr state::LogStoreLimits kLogLimits{ core::Bytes(2048), core::Bytes(0) };

constexpr std::uint64_t kPieceSize = 200;

} // namespace

ExplorerMember::ExplorerMember(core::MemberId aId)
  : id_(aId)
{
}

core::MonotonicTime
ExplorerMember::LocalTime(core::Duration aNow) const
{
  const auto since = static_cast<double>((aNow - clockSince_).count());
  return core::MonotonicTime(
    clockBase_ +
    core::Duration(static_cast<core::Duration::rep>(since * clockRate_)));
}

void
ExplorerMember::SetRate(core::Duration aNow, double aRate)
{
  clockBase_ = LocalTime(aNow).time_since_epoch();
  clockSince_ = aNow;
  clockRate_ = aRate;
}

core::Status
ExplorerMember::Start(const coordination::RaftConfig& aConfig,
                      const coordination::RaftStartState& aBootstrap,
                      std::unique_ptr<ExplorerStateMachine> aMachine,
                      core::Duration aNow,
                      core::Random& aRandom)
{
  ++epoch_;
  const state::MemberIdentity identity{
    aConfig.cluster_, aConfig.group_, id_, {}
  };
  auto storage =
    state::MemberStorage::Open(disk_, kFolder, identity, aRandom, kLogLimits);
  if (!storage) {
    return storage.Failure();
  }
  storage_ = std::move(storage.Value());
  state::StoredState stored = storage_->TakeStored();
  coordination::RaftStartState start;
  start.hardState_ = stored.hardState_;
  start.entries_ = std::move(stored.entries_);
  machine_ = std::move(aMachine);
  if (stored.snapshot_) {
    start.snapshot_ = stored.snapshot_->meta_;
    machine_->Load(stored.snapshot_->content_);
  } else if (start.hardState_.term_ == core::Term()) {
    start = aBootstrap;
    if (auto done =
          storage_->Write(start.hardState_, std::nullopt, start.entries_);
        !done) {
      return done;
    }
    if (auto done = storage_->Sync(); !done) {
      return done;
    }
  }
  applied_ = start.snapshot_.index_;
  pendingWrites_.clear();
  lastReceived_.clear();
  written_ = coordination::PersistId();
  diskBusy_ = false;
  coordination::RaftConfig config = aConfig;
  config.self_ = id_;
  node_ = std::make_unique<coordination::RaftNode>(
    config, std::move(start), LocalTime(aNow), aRandom);
  return core::Success();
}

void
ExplorerMember::Crash(core::Random& aRandom)
{
  ++epoch_;
  node_.reset();
  storage_.reset();
  machine_.reset();
  disk_.Crash(aRandom);
  disk_.FailSyncs(false);
}

core::Status
ExplorerMember::WritePending()
{
  while (!pendingWrites_.empty()) {
    const coordination::raft::Persist& item = pendingWrites_.front();
    if (auto done =
          storage_->Write(item.hardState_, item.truncateFrom_, item.entries_);
        !done) {
      return done;
    }
    written_ = item.id_;
    pendingWrites_.pop_front();
  }
  return core::Success();
}

core::Status
ExplorerMember::Restore(const state::SnapshotMeta& aMeta)
{
  if (auto done = WritePending(); !done) {
    return done;
  }
  auto snapshot = storage_->RestoreSnapshot(aMeta);
  if (!snapshot) {
    return snapshot.Failure();
  }
  machine_->Load(snapshot.Value().content_);
  applied_ = aMeta.index_;
  return core::Success();
}

core::Status
ExplorerMember::Compact(std::uint64_t aKeptEntries)
{
  return storage_->SaveSnapshot(
    node_->SnapshotMetaAt(applied_), machine_->Save(), aKeptEntries);
}

std::vector<state::SnapshotPiece>
ExplorerMember::ReadSnapshot() const
{
  const state::SnapshotStore& store = storage_->Snapshots();
  const core::LogIndex index = store.NewestIndex().Value().value();
  std::vector<state::SnapshotPiece> pieces;
  std::uint64_t offset = 0;
  do {
    pieces.push_back(store.ReadPiece(index, offset, kPieceSize).Value());
    offset += pieces.back().bytes_.size();
  } while (offset < pieces.back().total_);
  return pieces;
}

} // namespace crocusslip::tests
