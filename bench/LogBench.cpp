#include "coordination/RaftNode.hpp"
#include "crocusslip_types.h"
#include "state/MemberStorage.hpp"
#include "state/PosixFileSystem.hpp"

#include <filesystem>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <unistd.h>

using namespace crocusslip;
using coordination::RaftNode;
namespace raft = coordination::raft;

namespace {

constexpr std::size_t kPayload = 200;
constexpr std::uint64_t kEntries = 100'000;
const state::MemberIdentity kIdentity{ "bench", 0, core::MemberId(1), {} };

/// A folder on the disk that is removed at the end.
class Folder
{
public:
  Folder()
    : path_(std::filesystem::current_path() /
            ("log-bench-" + std::to_string(::getpid())))
  {
    std::filesystem::remove_all(path_);
  }
  ~Folder() { std::filesystem::remove_all(path_); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  std::string Path() const { return path_.string(); }

private:
  std::filesystem::path path_;
};

/// A group of one member with real files.
class Member
{
public:
  Member()
  {
    storage_ = std::move(
      state::MemberStorage::Open(files_, folder_.Path(), kIdentity, random_)
        .Value());
    state::GroupMembers members;
    members.members_.push_back(
      { core::MemberId(1), {}, {}, state::MemberRole::Voter, {} });
    members.highestId_ = core::MemberId(1);
    const auto start = coordination::RaftBootstrapState(members);
    storage_->Write(start.hardState_, std::nullopt, start.entries_);
    storage_->Sync();
    coordination::RaftConfig config;
    config.self_ = core::MemberId(1);
    node_ = std::make_unique<RaftNode>(config, start, now_, random_);
    now_ += config.timings_.electionMax_;
    Handle(raft::Tick());
  }

  /// Commits the payloads with one write and one sync.
  std::size_t Commit(std::vector<std::string> aPayloads)
  {
    return Handle(
      raft::Propose{ coordination::RaftRequestId(1), std::move(aPayloads) });
  }

private:
  std::size_t Handle(const coordination::RaftEvent& aEvent)
  {
    std::size_t applied = 0;
    for (auto& action : node_->Handle(aEvent, now_)) {
      if (auto* persist = std::get_if<raft::Persist>(&action)) {
        storage_->Write(
          persist->hardState_, persist->truncateFrom_, persist->entries_);
        storage_->Sync();
        applied += Handle(raft::Persisted{ persist->id_ });
      } else if (auto* apply = std::get_if<raft::Apply>(&action)) {
        applied += apply->entries_.size();
      }
    }
    return applied;
  }

  Folder folder_;
  state::PosixFileSystem files_;
  core::Random random_{ 1 };
  core::MonotonicTime now_;
  std::unique_ptr<state::MemberStorage> storage_;
  std::unique_ptr<RaftNode> node_;
};

/// Commits a second in batches of range(0), with a real sync for each batch.
void
MeasureCommit(benchmark::State& aState)
{
  Member member;
  const auto batch = static_cast<std::size_t>(aState.range(0));
  const std::vector<std::string> payloads(batch, std::string(kPayload, 'x'));
  std::int64_t committed = 0;
  for (auto _ : aState) {
    committed += static_cast<std::int64_t>(member.Commit(payloads));
  }
  aState.SetItemsProcessed(committed);
}
BENCHMARK(MeasureCommit)->Arg(1)->Arg(64)->Arg(1000)->UseRealTime();

std::vector<state::LogEntry>
MakeEntries(std::uint64_t aCount)
{
  std::vector<state::LogEntry> entries;
  for (std::uint64_t index = 1; index <= aCount; ++index) {
    entries.push_back({ core::Term(1),
                        core::LogIndex(index),
                        state::EntryKind::Command,
                        std::string(kPayload, 'x') });
  }
  return entries;
}

/// Opens the data folder and builds the node from it.
std::size_t
Restart(state::PosixFileSystem& aFiles, const std::string& aFolder)
{
  core::Random random(1);
  auto opened = state::MemberStorage::Open(aFiles, aFolder, kIdentity, random);
  auto& storage = opened.Value();
  auto stored = storage->TakeStored();
  coordination::RaftStartState start;
  start.hardState_ = stored.hardState_;
  start.entries_ = std::move(stored.entries_);
  if (stored.snapshot_) {
    start.snapshot_ = stored.snapshot_->meta_;
  }
  const RaftNode node({}, std::move(start), core::MonotonicTime(), random);
  return node.LastIndex().Value();
}

/// Restart with 100,000 entries in the log, or (range(0) = 1) all of them
/// covered by a snapshot of as many bytes.
void
MeasureRestart(benchmark::State& aState)
{
  const Folder folder;
  state::PosixFileSystem files;
  core::Random random(1);
  {
    auto opened =
      state::MemberStorage::Open(files, folder.Path(), kIdentity, random);
    auto& storage = opened.Value();
    storage->Write(state::HardState{ core::Term(1), {} },
                   std::nullopt,
                   MakeEntries(kEntries));
    storage->Sync();
    if (aState.range(0) == 1) {
      storage->SaveSnapshot({ core::LogIndex(kEntries), core::Term(1), {} },
                            std::string(kEntries * kPayload, 's'),
                            0);
    }
  }
  for (auto _ : aState) {
    if (Restart(files, folder.Path()) != kEntries) {
      aState.SkipWithError("entries are missing");
      break;
    }
  }
}
BENCHMARK(MeasureRestart)->Arg(0)->Arg(1)->Unit(benchmark::kMillisecond);

/// Size of one heartbeat on the wire, without the frame of the call.
void
MeasureHeartbeat(benchmark::State& aState)
{
  crocusslip::wire::RaftMessage heartbeat;
  heartbeat.version = 1;
  heartbeat.cluster = "haddad-brothers";
  heartbeat.sender = 3;
  heartbeat.receiver = 5;
  heartbeat.kind =
    static_cast<std::int8_t>(coordination::RaftMessageKind::Append);
  heartbeat.term = 1'000;
  heartbeat.index = 100'000'000;
  heartbeat.logTerm = 1'000;
  heartbeat.commit = 100'000'000;
  heartbeat.round = 10'000'000;
  std::uint32_t size = 0;
  for (auto _ : aState) {
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    heartbeat.write(&protocol);
    size = buffer->available_read();
  }
  aState.counters["bytes"] = size;
}
BENCHMARK(MeasureHeartbeat);

} // namespace

BENCHMARK_MAIN();
