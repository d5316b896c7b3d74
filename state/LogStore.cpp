#include "state/LogStore.hpp"

#include "state/LogRecord.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>
#include <utility>

namespace crocusslip::state {

namespace {

constexpr std::string_view kSuffix = ".seg";
constexpr std::size_t kNameDigits = 20;

std::optional<core::LogIndex>
FirstIndexOfName(std::string_view aName)
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

/// Whether an intact mark after aOffset says that this offset was synced.
bool
WasSynced(std::string_view aBytes, std::uint64_t aOffset)
{
  for (std::size_t at = FindRecordHeader(aBytes, aOffset);
       at != std::string_view::npos;
       at = FindRecordHeader(aBytes, at + 1)) {
    // A mark has no payload. Reading payloads too would cost a checksum of all
    // that follows for each header that a stored text happens to contain.
    const auto record = DecodeRecord(aBytes.substr(at, kLogRecordHeaderSize));
    if (!record) {
      continue;
    }
    const auto* mark = std::get_if<SyncMark>(&record.Value().content_);
    if (mark != nullptr && mark->offset_ > aOffset) {
      return true;
    }
  }
  return false;
}

} // namespace

core::LogIndex
LogStore::Segment::Last() const
{
  return core::LogIndex(first_.Value() + offsets_.size() - 1);
}

LogStore::LogStore(FileSystem& aFiles,
                   std::string aFolder,
                   LogStoreLimits aLimits)
  : files_(aFiles)
  , folder_(std::move(aFolder))
  , limits_(aLimits)
{
}

core::Result<std::unique_ptr<LogStore>>
LogStore::Open(FileSystem& aFiles,
               std::string aFolder,
               const SnapshotMeta& aSnapshot,
               LogStoreLimits aLimits)
{
  std::unique_ptr<LogStore> store(
    new LogStore(aFiles, std::move(aFolder), aLimits));
  if (auto done = store->Load(aSnapshot); !done) {
    return done.Failure();
  }
  return store;
}

std::vector<LogEntry>
LogStore::TakeEntries()
{
  return std::exchange(loaded_, {});
}

core::LogIndex
LogStore::LastIndex() const
{
  return segments_.back().Last();
}

core::Status
LogStore::Write(std::optional<core::LogIndex> aTruncateFrom,
                const std::vector<LogEntry>& aEntries)
{
  if (auto usable = CheckUsable(); !usable) {
    return usable;
  }
  // A write that is tried again, or that replaces, starts at its first index.
  if (!aEntries.empty() && aEntries.front().index_ <= LastIndex()) {
    aTruncateFrom = std::min(aTruncateFrom.value_or(aEntries.front().index_),
                             aEntries.front().index_);
  }
  if (aTruncateFrom && *aTruncateFrom <= LastIndex()) {
    if (auto done = Note(Truncate(*aTruncateFrom)); !done) {
      return done;
    }
  }
  if (!aEntries.empty() && aEntries.front().index_ != LastIndex().Next()) {
    return core::Error{ core::Errc::InvalidInput, "entries leave a gap" };
  }
  return Note(AppendEntries(aEntries));
}

core::Status
LogStore::Sync()
{
  if (auto usable = CheckUsable(); !usable) {
    return usable;
  }
  return Note(SyncFile());
}

core::Status
LogStore::CompactThrough(core::LogIndex aIndex)
{
  if (auto usable = CheckUsable(); !usable) {
    return usable;
  }
  while (segments_.size() > 1 && segments_.front().Last() <= aIndex) {
    if (auto done = Note(files_.Remove(Path(segments_.front().first_)));
        !done) {
      return done;
    }
    segments_.erase(segments_.begin());
    // In order, so that a crash leaves no gap.
    if (auto done = Note(files_.SyncFolder(folder_)); !done) {
      return done;
    }
  }
  return core::Success();
}

core::Status
LogStore::Reset(core::LogIndex aIndex)
{
  if (auto usable = CheckUsable(); !usable) {
    return usable;
  }
  // From the end, so that a crash leaves a prefix of the old log.
  while (!segments_.empty()) {
    if (auto done = Note(RemoveLastSegment()); !done) {
      return done;
    }
  }
  return Note(BeginSegment(aIndex.Next()));
}

bool
LogStore::HasRoomFor(core::Bytes aSize) const
{
  const auto free = files_.FreeSpace(folder_);
  return free && free.Value() >= aSize + limits_.reserve_;
}

core::Status
LogStore::Load(const SnapshotMeta& aSnapshot)
{
  if (auto done = files_.MakeFolder(folder_); !done) {
    return done;
  }
  const auto names = files_.List(folder_);
  if (!names) {
    return names.Failure();
  }
  std::vector<core::LogIndex> firsts;
  for (const std::string& name : names.Value()) {
    if (const auto first = FirstIndexOfName(name)) {
      firsts.push_back(*first);
    }
  }
  for (const core::LogIndex first : firsts) {
    if (auto done = LoadSegment(first, first == firsts.back()); !done) {
      return done;
    }
  }
  if (segments_.empty()) {
    return BeginSegment(aSnapshot.index_.Next());
  }
  if (auto done = KeepAfterSnapshot(aSnapshot); !done) {
    return done;
  }
  return file_ ? core::Success() : OpenLastSegment();
}

core::Status
LogStore::LoadSegment(core::LogIndex aFirst, bool aLast)
{
  const std::string path = Path(aFirst);
  if (!segments_.empty() && segments_.back().Last().Next() != aFirst) {
    return core::Error{ core::Errc::Corrupt, path + ": entries are missing" };
  }
  const auto bytes = ReadWhole(files_, path);
  if (!bytes) {
    return bytes.Failure();
  }
  segments_.push_back({ aFirst, {} });
  const std::string_view text = bytes.Value();
  std::uint64_t offset = 0;
  while (offset < text.size()) {
    auto record = DecodeRecord(text.substr(offset));
    if (!record && record.Failure().code_ == core::Errc::TornTail && aLast) {
      return CutTornTail(aFirst, text, offset);
    }
    if (!record) {
      core::Error error = record.Failure();
      if (error.code_ == core::Errc::TornTail) {
        error.code_ = core::Errc::Corrupt;
      }
      error.detail_ =
        path + " at " + std::to_string(offset) + ": " + error.detail_;
      return error;
    }
    if (auto* entry = std::get_if<LogEntry>(&record.Value().content_)) {
      if (entry->index_ != segments_.back().Last().Next()) {
        return core::Error{ core::Errc::Corrupt,
                            path + ": entries are out of order" };
      }
      segments_.back().offsets_.push_back(offset);
      loaded_.push_back(std::move(*entry));
    }
    offset += record.Value().size_;
  }
  return core::Success();
}

core::Status
LogStore::CutTornTail(core::LogIndex aFirst,
                      std::string_view aBytes,
                      std::uint64_t aOffset)
{
  const std::string path = Path(aFirst);
  if (WasSynced(aBytes, aOffset)) {
    return core::Error{ core::Errc::Corrupt,
                        path + " at " + std::to_string(aOffset) +
                          ": a synced record is damaged" };
  }
  auto file = files_.OpenAppend(path);
  if (!file) {
    return file.Failure();
  }
  if (auto done = file.Value()->Truncate(aOffset); !done) {
    return done;
  }
  return file.Value()->Sync();
}

core::Status
LogStore::KeepAfterSnapshot(const SnapshotMeta& aSnapshot)
{
  const core::LogIndex first = FirstIndex();
  if (first > aSnapshot.index_.Next()) {
    return core::Error{ core::Errc::Corrupt,
                        folder_ + ": entries after the snapshot are missing" };
  }
  const std::uint64_t covered = aSnapshot.index_.Value() + 1 - first.Value();
  const bool shorter = loaded_.size() < covered;
  // The log differs from the snapshot if a crash interrupted Reset.
  const bool differs =
    !shorter && covered > 0 && loaded_[covered - 1].term_ != aSnapshot.term_;
  if (shorter || differs) {
    loaded_.clear();
    return Reset(aSnapshot.index_);
  }
  loaded_.erase(loaded_.begin(),
                loaded_.begin() + static_cast<std::ptrdiff_t>(covered));
  return core::Success();
}

core::Status
LogStore::OpenLastSegment()
{
  auto file = files_.OpenAppend(Path(segments_.back().first_));
  if (!file) {
    return file.Failure();
  }
  file_ = std::move(file.Value());
  // What was read may still be unsynced after a crash of the process alone.
  return SyncFile();
}

core::Status
LogStore::BeginSegment(core::LogIndex aFirst)
{
  auto file = files_.OpenAppend(Path(aFirst));
  if (!file) {
    return file.Failure();
  }
  if (auto done = files_.SyncFolder(folder_); !done) {
    return done;
  }
  file_ = std::move(file.Value());
  segments_.push_back({ aFirst, {} });
  return core::Success();
}

core::Status
LogStore::RemoveLastSegment()
{
  file_.reset();
  if (auto done = files_.Remove(Path(segments_.back().first_)); !done) {
    return done;
  }
  segments_.pop_back();
  return files_.SyncFolder(folder_);
}

core::Status
LogStore::Truncate(core::LogIndex aFrom)
{
  while (segments_.size() > 1 && segments_.back().first_ > aFrom) {
    if (auto done = RemoveLastSegment(); !done) {
      return done;
    }
  }
  Segment& segment = segments_.back();
  if (aFrom < segment.first_) {
    return core::Error{ core::Errc::InvalidInput,
                        "truncation before the first entry" };
  }
  if (!file_) {
    if (auto done = OpenLastSegment(); !done) {
      return done;
    }
  }
  const std::size_t kept = aFrom.Value() - segment.first_.Value();
  if (kept >= segment.offsets_.size()) {
    return core::Success();
  }
  if (auto done = file_->Truncate(segment.offsets_[kept]); !done) {
    return done;
  }
  segment.offsets_.resize(kept);
  // Synced before new entries follow, so that no crash mixes old and new ones.
  return file_->Sync();
}

core::Status
LogStore::AppendEntries(const std::vector<LogEntry>& aEntries)
{
  std::string bytes;
  std::vector<std::uint64_t> offsets;
  const std::uint64_t start = file_->Size();
  for (const LogEntry& entry : aEntries) {
    offsets.push_back(start + bytes.size());
    EncodeEntry(entry, bytes);
  }
  if (bytes.empty()) {
    return core::Success();
  }
  if (start >= limits_.segment_.Count() && !segments_.back().offsets_.empty()) {
    // No mark: a full segment must not end in an unsynced record.
    if (auto done = file_->Sync(); !done) {
      return done;
    }
    if (auto done = BeginSegment(LastIndex().Next()); !done) {
      return done;
    }
    return AppendEntries(aEntries);
  }
  if (auto done = file_->Append(bytes); !done) {
    // Removes what a full disk took of the batch.
    if (auto cut = file_->Truncate(start); !cut) {
      return core::Error{ core::Errc::Unavailable, cut.Failure().detail_ };
    }
    return done;
  }
  auto& known = segments_.back().offsets_;
  known.insert(known.end(), offsets.begin(), offsets.end());
  return core::Success();
}

core::Status
LogStore::SyncFile()
{
  // Reset has removed the log and found no room for a new segment.
  if (!file_) {
    return core::Success();
  }
  const std::uint64_t size = file_->Size();
  if (auto done = file_->Sync(); !done) {
    return done;
  }
  std::string mark;
  EncodeSyncMark({ size }, mark);
  if (auto done = file_->Append(mark); !done) {
    // The mark may be missing, but not half of it followed by entries.
    return file_->Truncate(size);
  }
  return core::Success();
}

core::Status
LogStore::CheckUsable() const
{
  if (failed_) {
    return core::Error{ core::Errc::SyncFailed, folder_ + ": failed before" };
  }
  return core::Success();
}

core::Status
LogStore::Note(core::Status aStatus)
{
  if (!aStatus && aStatus.Failure().code_ != core::Errc::DiskFull) {
    failed_ = true;
  }
  return aStatus;
}

std::string
LogStore::Path(core::LogIndex aFirst) const
{
  std::array<char, kNameDigits + 1> name{};
  std::snprintf(name.data(), name.size(), "%020" PRIu64, aFirst.Value());
  return folder_ + "/" + name.data() + std::string(kSuffix);
}

} // namespace crocusslip::state
