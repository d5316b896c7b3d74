#pragma once

#include "state/FileSystem.hpp"
#include "state/GroupMembers.hpp"
#include "state/LogEntry.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusslip::state {

struct LogStoreLimits
{
  /// A new segment is begun once one has reached this size.
  core::Bytes segment_{ 16 * core::kMebi };
  /// Proposals are refused while less than this is free on the disk, so that
  /// what has been accepted can still be written.
  core::Bytes reserve_{ 64 * core::kMebi };
};

/// The log on disk: a folder of segments, each named by its first index.
///
/// Each Write and Sync may fail with Errc::DiskFull: nothing is lost then, and
/// the same write may be tried again. Any other failure is final; the process
/// must end, since what the disk holds is no longer known.
class LogStore
{
public:
  /// Opens the log after a snapshot (index 0 for none). Cuts off a torn tail
  /// that was never synced; damage before that is Errc::Corrupt.
  static core::Result<std::unique_ptr<LogStore>> Open(
    FileSystem& aFiles,
    std::string aFolder,
    const SnapshotMeta& aSnapshot,
    LogStoreLimits aLimits = {});

  /// The entries after the snapshot, as found by Open; empty when called again.
  std::vector<LogEntry> TakeEntries();
  core::LogIndex LastIndex() const;
  core::LogIndex FirstIndex() const { return segments_.front().first_; }

  /// Removes entries from aTruncateFrom on, then appends; not yet synced.
  core::Status Write(std::optional<core::LogIndex> aTruncateFrom,
                     const std::vector<LogEntry>& aEntries);
  /// All that was written before is durable after this.
  core::Status Sync();
  /// Removes segments that hold only entries up to aIndex.
  core::Status CompactThrough(core::LogIndex aIndex);
  /// Removes everything; the log continues after a synced snapshot at aIndex.
  core::Status Reset(core::LogIndex aIndex);
  /// Whether a proposal of this size may be accepted.
  bool HasRoomFor(core::Bytes aSize) const;

private:
  struct Segment
  {
    core::LogIndex first_;
    /// Offset of each entry in the file.
    std::vector<std::uint64_t> offsets_;

    core::LogIndex Last() const;
  };

  LogStore(FileSystem& aFiles, std::string aFolder, LogStoreLimits aLimits);

  core::Status Load(const SnapshotMeta& aSnapshot);
  core::Status LoadSegment(core::LogIndex aFirst, bool aLast);
  core::Status CutTornTail(core::LogIndex aFirst,
                           std::string_view aBytes,
                           std::uint64_t aOffset);
  core::Status KeepAfterSnapshot(const SnapshotMeta& aSnapshot);
  core::Status OpenLastSegment();
  core::Status BeginSegment(core::LogIndex aFirst);
  core::Status RemoveLastSegment();
  core::Status Truncate(core::LogIndex aFrom);
  core::Status AppendEntries(const std::vector<LogEntry>& aEntries);
  core::Status SyncFile();
  core::Status CheckUsable() const;
  /// Makes the store unusable unless the failure is a full disk.
  core::Status Note(core::Status aStatus);
  std::string Path(core::LogIndex aFirst) const;

  FileSystem& files_;
  const std::string folder_;
  const LogStoreLimits limits_;
  std::vector<Segment> segments_;
  std::unique_ptr<AppendFile> file_;
  std::vector<LogEntry> loaded_;
  bool failed_ = false;
};

} // namespace crocusslip::state
