#pragma once

#include "state/FileSystem.hpp"
#include "state/GroupMembers.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace crocusslip::state {

/// A snapshot with the state machine's content.
struct Snapshot
{
  SnapshotMeta meta_;
  std::string content_;
};

/// A part of a snapshot file on its way to another member.
struct SnapshotPiece
{
  core::LogIndex index_;
  std::uint64_t offset_ = 0;
  std::uint64_t total_ = 0;
  std::string bytes_;
};

/// Snapshots of the state machine in one folder. A file is a header and chunks
/// with a checksum each, and appears under its name only when complete and
/// synced.
class SnapshotStore
{
public:
  SnapshotStore(FileSystem& aFiles, std::string aFolder);

  /// Creates the folder and removes what a crash left unfinished.
  core::Status Open();
  /// Durable once this has returned. May run on a thread of its own while
  /// another one uses the store, but not twice at once.
  core::Status Save(const SnapshotMeta& aMeta, std::string_view aContent);
  /// Nothing when there is no snapshot; Errc::Corrupt when one is damaged.
  core::Result<std::optional<Snapshot>> LoadNewest() const;
  core::Result<Snapshot> Load(core::LogIndex aIndex) const;
  /// Index of the newest complete snapshot.
  core::Result<std::optional<core::LogIndex>> NewestIndex() const;
  /// Removes all but the newest snapshot.
  core::Status RemoveOld();

  /// A part of a snapshot's file, to be sent to another member.
  core::Result<SnapshotPiece> ReadPiece(core::LogIndex aIndex,
                                        std::uint64_t aOffset,
                                        std::uint64_t aLength) const;
  /// Takes the next part; offset 0 begins anew. Errc::Conflict when a part is
  /// missing. Once the last part has come, the whole is verified, made durable
  /// and its meta returned.
  core::Result<std::optional<SnapshotMeta>> AddPiece(
    const SnapshotPiece& aPiece);

private:
  std::string Path(core::LogIndex aIndex) const;
  core::Status WritePart(const std::string& aPart,
                         const SnapshotMeta& aMeta,
                         std::string_view aContent);
  /// Frees what the part takes; returns the failure that left it unfinished.
  core::Status RemovePart(const std::string& aPart, core::Status aFailure);
  core::Result<Snapshot> LoadFile(const std::string& aPath) const;
  core::Status Publish(core::LogIndex aIndex);

  FileSystem& files_;
  const std::string folder_;
  /// The file being received, if any.
  std::unique_ptr<AppendFile> incoming_;
  core::LogIndex incomingIndex_;
};

} // namespace crocusslip::state
