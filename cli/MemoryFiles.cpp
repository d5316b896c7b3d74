#include "cli/MemoryFiles.hpp"

#include <limits>
#include <utility>

namespace crocusslip::cli {

namespace {

class MemoryFile final : public state::AppendFile
{
public:
  MemoryFile(std::shared_ptr<std::string> aContent,
             std::shared_ptr<std::uint64_t> aCut)
    : content_(std::move(aContent))
    , cut_(std::move(aCut))
  {
  }

  core::Status Append(std::string_view aBytes) override
  {
    content_->append(aBytes);
    return core::Success();
  }
  core::Status Truncate(std::uint64_t aSize) override
  {
    *cut_ += content_->size() - aSize;
    content_->resize(aSize);
    return core::Success();
  }
  core::Status Sync() override { return core::Success(); }
  std::uint64_t Size() const override { return content_->size(); }

private:
  std::shared_ptr<std::string> content_;
  std::shared_ptr<std::uint64_t> cut_;
};

core::Error
Missing(const std::string& aPath)
{
  return { core::Errc::NotFound, aPath };
}

} // namespace

core::Status
MemoryFiles::Copy(state::FileSystem& aFrom, const std::string& aFolder)
{
  if (core::Status done = CopyFolder(aFrom, aFolder); !done) {
    return done;
  }
  for (const char* const subfolder : { "/log", "/snapshot" }) {
    // A member that has just been created may lack them.
    core::Status done = CopyFolder(aFrom, aFolder + subfolder);
    if (!done && done.Failure().code_ != core::Errc::NotFound) {
      return done;
    }
  }
  return core::Success();
}

core::Status
MemoryFiles::CopyFolder(state::FileSystem& aFrom, const std::string& aFolder)
{
  const auto names = aFrom.List(aFolder);
  if (!names) {
    return names.Failure();
  }
  for (const std::string& name : names.Value()) {
    std::string path = aFolder;
    path.append("/").append(name);
    core::Result<std::string> content = state::ReadWhole(aFrom, path);
    if (!content) {
      return content.Failure();
    }
    files_[path] = std::make_shared<std::string>(std::move(content.Value()));
  }
  return core::Success();
}

std::uint64_t
MemoryFiles::TotalSize() const
{
  std::uint64_t total = 0;
  for (const auto& [path, content] : files_) {
    total += content->size();
  }
  return total;
}

core::Result<std::unique_ptr<state::AppendFile>>
MemoryFiles::OpenAppend(const std::string& aPath)
{
  auto& content = files_[aPath];
  if (!content) {
    content = std::make_shared<std::string>();
  }
  return std::unique_ptr<state::AppendFile>(
    std::make_unique<MemoryFile>(content, cut_));
}

core::Result<std::string>
MemoryFiles::Read(const std::string& aPath,
                  std::uint64_t aOffset,
                  std::uint64_t aLength)
{
  const auto file = files_.find(aPath);
  if (file == files_.end()) {
    return Missing(aPath);
  }
  if (aOffset >= file->second->size()) {
    return std::string();
  }
  return file->second->substr(aOffset, aLength);
}

core::Result<std::uint64_t>
MemoryFiles::Size(const std::string& aPath)
{
  const auto file = files_.find(aPath);
  if (file == files_.end()) {
    return Missing(aPath);
  }
  return static_cast<std::uint64_t>(file->second->size());
}

core::Result<std::vector<std::string>>
MemoryFiles::List(const std::string& aFolder)
{
  std::vector<std::string> names;
  const std::string prefix = aFolder + "/";
  for (auto file = files_.lower_bound(prefix);
       file != files_.end() && file->first.starts_with(prefix);
       ++file) {
    std::string name = file->first.substr(prefix.size());
    if (name.find('/') == std::string::npos) {
      names.push_back(std::move(name));
    }
  }
  return names;
}

core::Status
MemoryFiles::Rename(const std::string& aFrom, const std::string& aTo)
{
  const auto file = files_.find(aFrom);
  if (file == files_.end()) {
    return Missing(aFrom);
  }
  files_[aTo] = std::exchange(file->second, nullptr);
  files_.erase(aFrom);
  return core::Success();
}

core::Status
MemoryFiles::Remove(const std::string& aPath)
{
  files_.erase(aPath);
  return core::Success();
}

core::Status
MemoryFiles::MakeFolder(const std::string&)
{
  return core::Success();
}

core::Status
MemoryFiles::SyncFolder(const std::string&)
{
  return core::Success();
}

core::Result<core::Bytes>
MemoryFiles::FreeSpace(const std::string&)
{
  return core::Bytes(std::numeric_limits<std::uint64_t>::max());
}

} // namespace crocusslip::cli
