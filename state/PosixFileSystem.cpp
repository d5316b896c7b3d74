#include "state/PosixFileSystem.hpp"

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <utility>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace crocusslip::state {

namespace {

constexpr mode_t kFileMode = 0640;

core::Error
SystemError(int aError, const std::string& aOperation, const std::string& aPath)
{
  core::Errc code = core::Errc::Unavailable;
  if (aError == ENOSPC || aError == EDQUOT) {
    code = core::Errc::DiskFull;
  } else if (aError == ENOENT) {
    code = core::Errc::NotFound;
  }
  return { code,
           aOperation + " " + aPath + ": " +
             std::generic_category().message(aError) };
}

/// Owns a file descriptor.
class Descriptor
{
public:
  explicit Descriptor(int aValue)
    : value_(aValue)
  {
  }
  ~Descriptor()
  {
    if (value_ >= 0) {
      ::close(value_);
    }
  }
  Descriptor(Descriptor&& aOther) noexcept
    : value_(std::exchange(aOther.value_, -1))
  {
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  Descriptor& operator=(Descriptor&&) = delete;

  int Value() const { return value_; }

private:
  int value_;
};

core::Status
SyncDescriptor(int aDescriptor, const std::string& aPath)
{
  if (::fsync(aDescriptor) != 0) {
    core::Error error = SystemError(errno, "sync", aPath);
    error.code_ = core::Errc::SyncFailed;
    return error;
  }
  return core::Success();
}

class PosixAppendFile final : public AppendFile
{
public:
  PosixAppendFile(Descriptor aDescriptor,
                  std::string aPath,
                  std::uint64_t aSize)
    : descriptor_(std::move(aDescriptor))
    , path_(std::move(aPath))
    , size_(aSize)
  {
  }

  core::Status Append(std::string_view aBytes) override
  {
    while (!aBytes.empty()) {
      const ssize_t written =
        ::write(descriptor_.Value(), aBytes.data(), aBytes.size());
      if (written < 0 && errno == EINTR) {
        continue;
      }
      if (written < 0) {
        return SystemError(errno, "write", path_);
      }
      size_ += static_cast<std::uint64_t>(written);
      aBytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return core::Success();
  }

  core::Status Truncate(std::uint64_t aSize) override
  {
    if (::ftruncate(descriptor_.Value(), static_cast<off_t>(aSize)) != 0) {
      return SystemError(errno, "truncate", path_);
    }
    size_ = aSize;
    return core::Success();
  }

  core::Status Sync() override
  {
    return SyncDescriptor(descriptor_.Value(), path_);
  }

  std::uint64_t Size() const override { return size_; }

private:
  Descriptor descriptor_;
  std::string path_;
  std::uint64_t size_;
};

} // namespace

core::Result<std::unique_ptr<AppendFile>>
PosixFileSystem::OpenAppend(const std::string& aPath)
{
  Descriptor descriptor(::open(
    aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode));
  if (descriptor.Value() < 0) {
    return SystemError(errno, "open", aPath);
  }
  struct stat status = {};
  if (::fstat(descriptor.Value(), &status) != 0) {
    return SystemError(errno, "stat", aPath);
  }
  return std::unique_ptr<AppendFile>(std::make_unique<PosixAppendFile>(
    std::move(descriptor), aPath, static_cast<std::uint64_t>(status.st_size)));
}

core::Result<std::string>
PosixFileSystem::Read(const std::string& aPath,
                      std::uint64_t aOffset,
                      std::uint64_t aLength)
{
  const Descriptor descriptor(::open(aPath.c_str(), O_RDONLY | O_CLOEXEC));
  if (descriptor.Value() < 0) {
    return SystemError(errno, "open", aPath);
  }
  std::string result(aLength, '\0');
  std::size_t length = 0;
  while (length < result.size()) {
    const ssize_t got = ::pread(descriptor.Value(),
                                result.data() + length,
                                result.size() - length,
                                static_cast<off_t>(aOffset + length));
    if (got < 0 && errno == EINTR) {
      continue;
    }
    if (got < 0) {
      return SystemError(errno, "read", aPath);
    }
    if (got == 0) {
      break;
    }
    length += static_cast<std::size_t>(got);
  }
  result.resize(length);
  return result;
}

core::Result<std::uint64_t>
PosixFileSystem::Size(const std::string& aPath)
{
  struct stat status = {};
  if (::stat(aPath.c_str(), &status) != 0) {
    return SystemError(errno, "stat", aPath);
  }
  return static_cast<std::uint64_t>(status.st_size);
}

core::Result<std::vector<std::string>>
PosixFileSystem::List(const std::string& aFolder)
{
  std::error_code error;
  std::vector<std::string> names;
  for (const auto& item : std::filesystem::directory_iterator(aFolder, error)) {
    if (item.is_regular_file()) {
      names.push_back(item.path().filename().string());
    }
  }
  if (error) {
    return SystemError(error.value(), "list", aFolder);
  }
  std::ranges::sort(names);
  return names;
}

core::Status
PosixFileSystem::Rename(const std::string& aFrom, const std::string& aTo)
{
  if (::rename(aFrom.c_str(), aTo.c_str()) != 0) {
    return SystemError(errno, "rename", aFrom);
  }
  return core::Success();
}

core::Status
PosixFileSystem::Remove(const std::string& aPath)
{
  if (::unlink(aPath.c_str()) != 0) {
    return SystemError(errno, "remove", aPath);
  }
  return core::Success();
}

core::Status
PosixFileSystem::MakeFolder(const std::string& aPath)
{
  std::error_code error;
  std::filesystem::create_directories(aPath, error);
  if (error) {
    return SystemError(error.value(), "create folder", aPath);
  }
  return core::Success();
}

core::Status
PosixFileSystem::SyncFolder(const std::string& aPath)
{
  const Descriptor descriptor(
    ::open(aPath.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (descriptor.Value() < 0) {
    return SystemError(errno, "open folder", aPath);
  }
  return SyncDescriptor(descriptor.Value(), aPath);
}

core::Result<core::Bytes>
PosixFileSystem::FreeSpace(const std::string& aFolder)
{
  std::error_code error;
  const auto space = std::filesystem::space(aFolder, error);
  if (error) {
    return SystemError(error.value(), "free space of", aFolder);
  }
  return core::Bytes(space.available);
}

} // namespace crocusslip::state
