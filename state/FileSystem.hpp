#pragma once

#include "core/Error.hpp"
#include "core/Units.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace crocusslip::state {

/// A file that is written at its end. What is written is durable only after
/// Sync; a new, renamed or removed file only after its folder is synced too.
class AppendFile
{
public:
  virtual ~AppendFile() = default;
  /// On Errc::DiskFull a part of the bytes may have been written.
  virtual core::Status Append(std::string_view aBytes) = 0;
  virtual core::Status Truncate(std::uint64_t aSize) = 0;
  virtual core::Status Sync() = 0;
  virtual std::uint64_t Size() const = 0;
};

/// The file operations that durable state needs.
class FileSystem
{
public:
  virtual ~FileSystem() = default;
  /// Opens for appending; creates the file if it doesn't exist.
  virtual core::Result<std::unique_ptr<AppendFile>> OpenAppend(
    const std::string& aPath) = 0;
  /// Up to aLength bytes from aOffset on; fewer at the end of the file.
  virtual core::Result<std::string> Read(const std::string& aPath,
                                         std::uint64_t aOffset,
                                         std::uint64_t aLength) = 0;
  /// Errc::NotFound when there is no such file.
  virtual core::Result<std::uint64_t> Size(const std::string& aPath) = 0;
  /// Names of the files in a folder, sorted.
  virtual core::Result<std::vector<std::string>> List(
    const std::string& aFolder) = 0;
  virtual core::Status Rename(const std::string& aFrom,
                              const std::string& aTo) = 0;
  virtual core::Status Remove(const std::string& aPath) = 0;
  virtual core::Status MakeFolder(const std::string& aPath) = 0;
  virtual core::Status SyncFolder(const std::string& aPath) = 0;
  virtual core::Result<core::Bytes> FreeSpace(const std::string& aFolder) = 0;
};

/// The whole content of a file.
core::Result<std::string>
ReadWhole(FileSystem& aFiles, const std::string& aPath);

/// Replaces a file so that after a crash it has either the old or the new
/// content, and the new one once this has returned.
core::Status
ReplaceFile(FileSystem& aFiles,
            const std::string& aFolder,
            const std::string& aName,
            std::string_view aContent);

} // namespace crocusslip::state
