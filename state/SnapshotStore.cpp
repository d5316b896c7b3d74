#include "state/SnapshotStore.hpp"

#include "core/Hash.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>
#include <utility>

#include <boost/endian/conversion.hpp>

namespace crocusslip::state {

namespace {

constexpr std::string_view kSuffix = ".snap";
constexpr std::string_view kUnfinishedSuffix = ".part";
constexpr std::size_t kNameDigits = 20;
constexpr std::uint32_t kFormatVersion = 1;
constexpr std::size_t kMaxChunk = core::kMebi;

// A chunk is length u32, kind u32, checksum u64 (little endian), content.
constexpr std::size_t kKindOffset = 4;
constexpr std::size_t kChecksumOffset = 8;
constexpr std::size_t kChunkHeaderSize = 16;
// A head is version u32, 4 bytes unused, index u64, term u64, then members.
constexpr std::size_t kHeadIndexOffset = 8;
constexpr std::size_t kHeadTermOffset = 16;
constexpr std::size_t kHeadMembersOffset = 24;

enum class ChunkKind : std::uint32_t
{
  Head = 1,
  Content = 2,
  /// Last chunk; its content is the total length of the content chunks.
  End = 3,
};

struct Chunk
{
  ChunkKind kind_;
  std::string_view content_;
};

unsigned char*
Raw(std::string& aBytes)
{
  return reinterpret_cast<unsigned char*>(aBytes.data());
}

const unsigned char*
Raw(std::string_view aBytes)
{
  return reinterpret_cast<const unsigned char*>(aBytes.data());
}

std::string
EncodeChunk(ChunkKind aKind, std::string_view aContent)
{
  std::string header(kChunkHeaderSize, '\0');
  boost::endian::store_little_u32(Raw(header),
                                  static_cast<std::uint32_t>(aContent.size()));
  boost::endian::store_little_u32(Raw(header) + kKindOffset,
                                  static_cast<std::uint32_t>(aKind));
  boost::endian::store_little_u64(
    Raw(header) + kChecksumOffset,
    core::Hash64(aContent, static_cast<std::uint64_t>(aKind)));
  return header.append(aContent);
}

/// Takes the first chunk off aBytes; nothing when it is damaged.
std::optional<Chunk>
TakeChunk(std::string_view& aBytes)
{
  if (aBytes.size() < kChunkHeaderSize) {
    return std::nullopt;
  }
  const std::size_t length = boost::endian::load_little_u32(Raw(aBytes));
  const std::uint32_t kind =
    boost::endian::load_little_u32(Raw(aBytes) + kKindOffset);
  const std::uint64_t checksum =
    boost::endian::load_little_u64(Raw(aBytes) + kChecksumOffset);
  aBytes.remove_prefix(kChunkHeaderSize);
  if (aBytes.size() < length ||
      core::Hash64(aBytes.substr(0, length), kind) != checksum) {
    return std::nullopt;
  }
  const Chunk chunk{ static_cast<ChunkKind>(kind), aBytes.substr(0, length) };
  aBytes.remove_prefix(length);
  return chunk;
}

std::string
EncodeHead(const SnapshotMeta& aMeta)
{
  std::string head(kHeadMembersOffset, '\0');
  boost::endian::store_little_u32(Raw(head), kFormatVersion);
  boost::endian::store_little_u64(Raw(head) + kHeadIndexOffset,
                                  aMeta.index_.Value());
  boost::endian::store_little_u64(Raw(head) + kHeadTermOffset,
                                  aMeta.term_.Value());
  return head + aMeta.members_.Encode();
}

core::Result<SnapshotMeta>
DecodeHead(std::string_view aHead)
{
  if (aHead.size() < kHeadMembersOffset) {
    return core::Error{ core::Errc::Corrupt, "short snapshot head" };
  }
  if (boost::endian::load_little_u32(Raw(aHead)) > kFormatVersion) {
    return core::Error{ core::Errc::NewerVersion, "snapshot" };
  }
  auto members = GroupMembers::Decode(aHead.substr(kHeadMembersOffset));
  if (!members) {
    return members.Failure();
  }
  return SnapshotMeta{
    core::LogIndex(
      boost::endian::load_little_u64(Raw(aHead) + kHeadIndexOffset)),
    core::Term(boost::endian::load_little_u64(Raw(aHead) + kHeadTermOffset)),
    std::move(members.Value())
  };
}

std::string
EncodeLength(std::uint64_t aLength)
{
  std::string result(sizeof aLength, '\0');
  boost::endian::store_little_u64(Raw(result), aLength);
  return result;
}

std::optional<core::LogIndex>
IndexOfName(std::string_view aName)
{
  if (aName.size() != kNameDigits + kSuffix.size() ||
      !aName.ends_with(kSuffix)) {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  const auto [end, error] =
    std::from_chars(aName.data(), aName.data() + kNameDigits, value);
  if (error != std::errc() || end != aName.data() + kNameDigits) {
    return std::nullopt;
  }
  return core::LogIndex(value);
}

} // namespace

SnapshotStore::SnapshotStore(FileSystem& aFiles, std::string aFolder)
  : files_(aFiles)
  , folder_(std::move(aFolder))
{
}

core::Status
SnapshotStore::Open()
{
  if (auto done = files_.MakeFolder(folder_); !done) {
    return done;
  }
  const auto names = files_.List(folder_);
  if (!names) {
    return names.Failure();
  }
  for (const std::string& name : names.Value()) {
    if (name.ends_with(kUnfinishedSuffix)) {
      if (auto done = files_.Remove(folder_ + "/" + name); !done) {
        return done;
      }
    }
  }
  return core::Success();
}

core::Status
SnapshotStore::Save(const SnapshotMeta& aMeta, std::string_view aContent)
{
  const std::string part =
    Path(aMeta.index_) + ".own" + std::string(kUnfinishedSuffix);
  core::Status written = WritePart(part, aMeta, aContent);
  if (!written) {
    return RemovePart(part, std::move(written));
  }
  if (auto done = files_.Rename(part, Path(aMeta.index_)); !done) {
    return done;
  }
  return files_.SyncFolder(folder_);
}

core::Status
SnapshotStore::RemovePart(const std::string& aPart, core::Status aFailure)
{
  if (auto removed = files_.Remove(aPart); !removed) {
    core::Error error = aFailure.Failure();
    error.detail_ += "; " + removed.Failure().Message();
    return error;
  }
  return aFailure;
}

core::Status
SnapshotStore::WritePart(const std::string& aPart,
                         const SnapshotMeta& aMeta,
                         std::string_view aContent)
{
  auto file = files_.OpenAppend(aPart);
  if (!file) {
    return file.Failure();
  }
  if (auto done = file.Value()->Truncate(0); !done) {
    return done;
  }
  if (auto done =
        file.Value()->Append(EncodeChunk(ChunkKind::Head, EncodeHead(aMeta)));
      !done) {
    return done;
  }
  for (std::size_t at = 0; at < aContent.size(); at += kMaxChunk) {
    const std::string chunk =
      EncodeChunk(ChunkKind::Content, aContent.substr(at, kMaxChunk));
    if (auto done = file.Value()->Append(chunk); !done) {
      return done;
    }
  }
  const std::string end =
    EncodeChunk(ChunkKind::End, EncodeLength(aContent.size()));
  if (auto done = file.Value()->Append(end); !done) {
    return done;
  }
  return file.Value()->Sync();
}

core::Result<std::optional<core::LogIndex>>
SnapshotStore::NewestIndex() const
{
  const auto names = files_.List(folder_);
  if (!names) {
    return names.Failure();
  }
  std::optional<core::LogIndex> newest;
  for (const std::string& name : names.Value()) {
    newest = std::max(newest, IndexOfName(name));
  }
  return newest;
}

core::Result<std::optional<Snapshot>>
SnapshotStore::LoadNewest() const
{
  const auto newest = NewestIndex();
  if (!newest) {
    return newest.Failure();
  }
  if (!newest.Value()) {
    return std::optional<Snapshot>();
  }
  auto snapshot = Load(*newest.Value());
  if (!snapshot) {
    return snapshot.Failure();
  }
  return std::optional<Snapshot>(std::move(snapshot.Value()));
}

core::Result<Snapshot>
SnapshotStore::Load(core::LogIndex aIndex) const
{
  return LoadFile(Path(aIndex));
}

core::Status
SnapshotStore::RemoveOld()
{
  const auto newest = NewestIndex();
  const auto names = files_.List(folder_);
  if (!newest || !names) {
    return newest ? names.Failure() : newest.Failure();
  }
  for (const std::string& name : names.Value()) {
    const auto index = IndexOfName(name);
    if (index && index < newest.Value()) {
      if (auto done = files_.Remove(folder_ + "/" + name); !done) {
        return done;
      }
    }
  }
  return core::Success();
}

core::Result<SnapshotPiece>
SnapshotStore::ReadPiece(core::LogIndex aIndex,
                         std::uint64_t aOffset,
                         std::uint64_t aLength) const
{
  const std::string path = Path(aIndex);
  const auto size = files_.Size(path);
  if (!size) {
    return size.Failure();
  }
  auto bytes = files_.Read(path, aOffset, aLength);
  if (!bytes) {
    return bytes.Failure();
  }
  return SnapshotPiece{
    aIndex, aOffset, size.Value(), std::move(bytes.Value())
  };
}

core::Result<std::optional<SnapshotMeta>>
SnapshotStore::AddPiece(const SnapshotPiece& aPiece)
{
  const std::string part = Path(aPiece.index_) + std::string(kUnfinishedSuffix);
  if (aPiece.offset_ == 0) {
    auto file = files_.OpenAppend(part);
    if (!file) {
      return file.Failure();
    }
    incoming_ = std::move(file.Value());
    incomingIndex_ = aPiece.index_;
    if (auto done = incoming_->Truncate(0); !done) {
      return done.Failure();
    }
  }
  if (!incoming_ || incomingIndex_ != aPiece.index_ ||
      incoming_->Size() != aPiece.offset_) {
    return core::Error{ core::Errc::Conflict, "snapshot part out of order" };
  }
  if (auto done = incoming_->Append(aPiece.bytes_); !done) {
    incoming_.reset();
    return RemovePart(part, std::move(done)).Failure();
  }
  if (incoming_->Size() < aPiece.total_) {
    return std::optional<SnapshotMeta>();
  }
  if (auto done = incoming_->Sync(); !done) {
    return done.Failure();
  }
  incoming_.reset();
  const auto snapshot = LoadFile(part);
  if (!snapshot) {
    return snapshot.Failure();
  }
  if (auto done = Publish(aPiece.index_); !done) {
    return done.Failure();
  }
  return std::optional<SnapshotMeta>(snapshot.Value().meta_);
}

std::string
SnapshotStore::Path(core::LogIndex aIndex) const
{
  std::array<char, kNameDigits + 1> name{};
  std::snprintf(name.data(), name.size(), "%020" PRIu64, aIndex.Value());
  return folder_ + "/" + name.data() + std::string(kSuffix);
}

core::Result<Snapshot>
SnapshotStore::LoadFile(const std::string& aPath) const
{
  const core::Error damaged{ core::Errc::Corrupt, aPath };
  const auto bytes = ReadWhole(files_, aPath);
  if (!bytes) {
    return bytes.Failure();
  }
  std::string_view rest = bytes.Value();
  const auto head = TakeChunk(rest);
  if (!head || head->kind_ != ChunkKind::Head) {
    return damaged;
  }
  auto meta = DecodeHead(head->content_);
  if (!meta) {
    return meta.Failure();
  }
  Snapshot snapshot{ std::move(meta.Value()), {} };
  while (const auto chunk = TakeChunk(rest)) {
    if (chunk->kind_ == ChunkKind::End) {
      const bool whole =
        rest.empty() &&
        chunk->content_ == EncodeLength(snapshot.content_.size());
      return whole ? core::Result<Snapshot>(std::move(snapshot))
                   : core::Result<Snapshot>(damaged);
    }
    snapshot.content_.append(chunk->content_);
  }
  return damaged;
}

core::Status
SnapshotStore::Publish(core::LogIndex aIndex)
{
  const std::string path = Path(aIndex);
  if (auto done = files_.Rename(path + std::string(kUnfinishedSuffix), path);
      !done) {
    return done;
  }
  return files_.SyncFolder(folder_);
}

} // namespace crocusslip::state
