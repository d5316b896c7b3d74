#pragma once

#include "state/FileSystem.hpp"

#include <map>
#include <memory>
#include <string>

namespace crocusslip::cli {

/// A copy of a data folder in memory, so that looking at it changes nothing
/// on disk.
class MemoryFiles final : public state::FileSystem
{
public:
  /// Reads the files of a folder and of its subfolders "log" and "snapshot".
  core::Status Copy(state::FileSystem& aFrom, const std::string& aFolder);
  /// Sum of the sizes of all files.
  std::uint64_t TotalSize() const;
  /// Bytes that were cut off files since.
  std::uint64_t CutBytes() const { return *cut_; }

  core::Result<std::unique_ptr<state::AppendFile>> OpenAppend(
    const std::string& aPath) override;
  core::Result<std::string> Read(const std::string& aPath,
                                 std::uint64_t aOffset,
                                 std::uint64_t aLength) override;
  core::Result<std::uint64_t> Size(const std::string& aPath) override;
  core::Result<std::vector<std::string>> List(
    const std::string& aFolder) override;
  core::Status Rename(const std::string& aFrom,
                      const std::string& aTo) override;
  core::Status Remove(const std::string& aPath) override;
  core::Status MakeFolder(const std::string& aPath) override;
  core::Status SyncFolder(const std::string& aPath) override;
  core::Result<core::Bytes> FreeSpace(const std::string& aFolder) override;

private:
  core::Status CopyFolder(state::FileSystem& aFrom, const std::string& aFolder);

  std::map<std::string, std::shared_ptr<std::string>> files_;
  std::shared_ptr<std::uint64_t> cut_ = std::make_shared<std::uint64_t>(0);
};

} // namespace crocusslip::cli
