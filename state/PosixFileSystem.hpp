#pragma once

#include "state/FileSystem.hpp"

namespace crocusslip::state {

/// Files of the operating system.
class PosixFileSystem final : public FileSystem
{
public:
  core::Result<std::unique_ptr<AppendFile>> OpenAppend(
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
};

} // namespace crocusslip::state
