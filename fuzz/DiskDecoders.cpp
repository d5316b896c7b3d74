#include "core/Hash.hpp"
#include "entry/RevisionFile.hpp"
#include "fuzz/Decoders.hpp"
#include "state/CommandCodec.hpp"
#include "state/LogRecord.hpp"
#include "state/LogStore.hpp"
#include "state/MemberIdentity.hpp"
#include "state/SnapshotCodec.hpp"
#include "state/SnapshotStore.hpp"
#include "state/StateMachine.hpp"
#include "state/VoteStore.hpp"
#include "tests/support/FaultyFileSystem.hpp"

#include <algorithm>
#include <cstring>

namespace crocusslip::fuzz {

namespace {

using tests::FaultyFileSystem;

const std::string kFolder = "data";

void
PutFile(state::FileSystem& aFiles,
        const std::string& aName,
        std::string_view aContent)
{
  aFiles.MakeFolder(kFolder);
  auto file = aFiles.OpenAppend(kFolder + "/" + aName);
  Require(file && file.Value()->Append(aContent).Ok(), "the file is written");
}

/// Little-endian bytes of a number, as all headers on disk hold them.
template<typename Number>
std::string
Raw(Number aNumber)
{
  std::string bytes(sizeof aNumber, '\0');
  std::memcpy(bytes.data(), &aNumber, sizeof aNumber);
  return bytes;
}

std::string_view
TakePiece(std::string_view& aInput)
{
  const std::size_t wanted = TakeByte(aInput);
  const std::size_t size = std::min(wanted, aInput.size());
  const std::string_view piece = aInput.substr(0, size);
  aInput.remove_prefix(size);
  return piece;
}

/// Random bytes almost never match a checksum, so that most decoders here also
/// get the input as content with the right checksum around it.
bool
TakeSealed(std::string_view& aInput)
{
  return (TakeByte(aInput) & 1U) != 0;
}

std::string
SealedChunk(std::uint32_t aKind, std::string_view aContent)
{
  return Raw(static_cast<std::uint32_t>(aContent.size())) + Raw(aKind) +
         Raw(core::Hash64(aContent, aKind)) + std::string(aContent);
}

void
RestoreState(const std::string& aBytes)
{
  state::StateMachine machine;
  if (machine.Restore(aBytes)) {
    state::StateMachine again;
    Require(again.Restore(machine.Snapshot()).Ok() &&
              again.StateDigest() == machine.StateDigest(),
            "a restored state survives its snapshot");
    machine.Apply(
      core::LogIndex(1),
      core::Term(1),
      state::AdvanceTime{ state::AgreedTime(std::chrono::milliseconds(1)) });
  }
}

} // namespace

void
RunCommand(std::string_view aInput)
{
  const auto command = state::DecodeCommand(aInput);
  if (!command) {
    return;
  }
  const std::string encoded = state::Encode(command.Value());
  const auto again = state::DecodeCommand(encoded);
  Require(again.Ok() && state::Encode(again.Value()) == encoded,
          "an encoded command decodes to itself");
  state::StateMachine machine;
  machine.Apply(core::LogIndex(1), core::Term(1), command.Value());
  machine.Apply(core::LogIndex(2), core::Term(1), command.Value());
  state::StateMachine restored;
  Require(restored.Restore(machine.Snapshot()).Ok() &&
            restored.StateDigest() == machine.StateDigest(),
          "a state survives its snapshot");
}

void
RunAnswer(std::string_view aInput)
{
  const auto answer = state::DecodeAnswer(aInput);
  if (answer) {
    const std::string encoded = state::Encode(answer.Value());
    const auto again = state::DecodeAnswer(encoded);
    Require(again.Ok() && state::Encode(again.Value()) == encoded,
            "an encoded answer decodes to itself");
  }
}

void
RunLogRecord(std::string_view aInput)
{
  if (!TakeSealed(aInput)) {
    const auto record = state::DecodeRecord(aInput);
    Require(!record || record.Value().size_ <= aInput.size(),
            "a record is no longer than its bytes");
    return;
  }
  const auto kind = static_cast<state::EntryKind>(
    TakeByte(aInput) %
    (static_cast<unsigned>(state::EntryKind::Membership) + 1));
  const core::Term term(TakeByte(aInput));
  const state::LogEntry entry{
    term, core::LogIndex(TakeByte(aInput)), kind, std::string(aInput)
  };
  std::string bytes;
  state::EncodeEntry(entry, bytes);
  const auto record = state::DecodeRecord(bytes);
  Require(record.Ok() &&
            std::get<state::LogEntry>(record.Value().content_).payload_ ==
              aInput,
          "an encoded entry decodes to itself");
}

// The input is the last segment of a log: raw, or as entries with right
// checksums that a raw tail follows.
void
RunLogSegment(std::string_view aInput)
{
  FaultyFileSystem files;
  std::string segment;
  if (TakeSealed(aInput)) {
    const unsigned count = TakeByte(aInput) % 8U;
    for (unsigned i = 0; i < count; ++i) {
      const unsigned char shape = TakeByte(aInput);
      const std::uint64_t index = (shape & 0xe0U) == 0xe0U ? shape : i + 1;
      if ((shape & 1U) != 0) {
        state::EncodeSyncMark({ segment.size() + (shape >> 1U) % 4U }, segment);
      } else {
        state::EncodeEntry({ core::Term(1),
                             core::LogIndex(index),
                             state::EntryKind::Noop,
                             std::string(TakePiece(aInput)) },
                           segment);
      }
    }
  }
  segment += aInput;
  PutFile(files, "00000000000000000001.seg", segment);
  auto log = state::LogStore::Open(files, kFolder, {});
  if (!log) {
    return;
  }
  const core::LogIndex last = log.Value()->LastIndex();
  Require(log.Value()->TakeEntries().size() == last.Value(),
          "all entries of an accepted log are read");
  log.Value().reset();
  const auto again = state::LogStore::Open(files, kFolder, {});
  Require(again.Ok() && again.Value()->LastIndex() == last,
          "an accepted log is accepted again");
}

// The input arrives as parts of a snapshot file: raw, or as chunks with right
// checksums.
void
RunSnapshotChunks(std::string_view aInput)
{
  FaultyFileSystem files;
  state::SnapshotStore store(files, kFolder);
  Require(store.Open().Ok(), "an empty folder is accepted");
  std::string file;
  if (TakeSealed(aInput)) {
    const auto version = static_cast<std::uint32_t>(TakeByte(aInput) % 3U);
    file =
      SealedChunk(1,
                  Raw(version) + Raw(std::uint32_t(0)) + Raw(std::uint64_t(5)) +
                    Raw(std::uint64_t(1)) + std::string(TakePiece(aInput)));
    std::uint64_t length = 0;
    while (!aInput.empty()) {
      const std::string_view piece = TakePiece(aInput);
      length += piece.size();
      file += SealedChunk(2, piece);
    }
    file += SealedChunk(3, Raw(length));
  } else {
    file = std::string(aInput);
  }
  constexpr std::size_t kStep = 100;
  const core::LogIndex index(5);
  for (std::size_t at = 0; at < file.size(); at += kStep) {
    const auto taken =
      store.AddPiece({ index, at, file.size(), file.substr(at, kStep) });
    if (taken && taken.Value()) {
      Require(store.Load(index).Ok(), "an accepted snapshot can be loaded");
    }
  }
  store.LoadNewest();
}

void
RunStateSnapshot(std::string_view aInput)
{
  const std::string bytes(
    aInput.substr(std::min<std::size_t>(1, aInput.size())));
  if (!TakeSealed(aInput)) {
    RestoreState(bytes);
    return;
  }
  for (std::uint32_t version = state::kOldestSnapshotVersion;
       version <= state::kSnapshotVersion;
       ++version) {
    RestoreState("CCSP" + Raw(version) + Raw(std::uint64_t(aInput.size())) +
                 Raw(core::Hash64(aInput)) + std::string(aInput));
  }
}

void
RunVoteFile(std::string_view aInput)
{
  FaultyFileSystem files;
  std::string bytes;
  if (TakeSealed(aInput)) {
    bytes = std::string(aInput.substr(0, 16));
    bytes.resize(16, '\0');
    bytes += Raw(core::Hash64(bytes));
  } else {
    bytes = std::string(aInput);
  }
  PutFile(files, "vote", bytes);
  state::VoteStore store(files, kFolder);
  const auto vote = store.Load();
  if (vote) {
    Require(store.Save(vote.Value()).Ok() && store.Load().Ok(),
            "a vote that was read can be written");
  }
}

void
RunIdentityFile(std::string_view aInput)
{
  FaultyFileSystem files;
  PutFile(files, "identity", aInput);
  const auto identity = state::LoadIdentity(files, kFolder);
  if (identity) {
    core::Random random(1);
    const auto claimed =
      state::ClaimFolder(files, kFolder, identity.Value(), random);
    Require(claimed.Ok() && claimed.Value() == identity.Value(),
            "a folder belongs to the member it names");
  }
}

void
RunRevisionFile(std::string_view aInput)
{
  FaultyFileSystem files;
  std::string bytes;
  if (TakeSealed(aInput)) {
    bytes =
      std::string(aInput) + " " + std::to_string(core::Hash64(aInput)) + "\n";
  } else {
    bytes = std::string(aInput);
  }
  PutFile(files, "revision", bytes);
  entry::RevisionFile(files, kFolder).Load();
}

} // namespace crocusslip::fuzz
