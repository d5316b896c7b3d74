#include "tests/support/FaultyFileSystem.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::tests {

namespace {

constexpr double kGarbledTail = 0.3;

core::Error
Missing(const std::string& aPath)
{
  return { core::Errc::NotFound, aPath };
}

} // namespace

/// An open file; writes go to the content that its name had when opened.
class FaultyFile final : public state::AppendFile
{
public:
  FaultyFile(FaultyFileSystem& aFiles,
             std::shared_ptr<FaultyFileSystem::Content> aContent)
    : files_(aFiles)
    , content_(std::move(aContent))
  {
  }

  core::Status Append(std::string_view aBytes) override
  {
    const std::uint64_t fits =
      std::min<std::uint64_t>(aBytes.size(), files_.free_);
    content_->bytes_.append(aBytes.substr(0, fits));
    files_.free_ -= fits;
    if (fits < aBytes.size()) {
      return core::Error{ core::Errc::DiskFull, "fake disk" };
    }
    return core::Success();
  }

  core::Status Truncate(std::uint64_t aSize) override
  {
    if (aSize < content_->synced_.size()) {
      content_->rewritten_ = true;
    }
    files_.free_ += content_->bytes_.size() - aSize;
    content_->bytes_.resize(aSize);
    return core::Success();
  }

  core::Status Sync() override
  {
    if (files_.failSyncs_) {
      return core::Error{ core::Errc::SyncFailed, "fake disk" };
    }
    if (content_->rewritten_) {
      content_->synced_.clear();
      content_->rewritten_ = false;
    }
    content_->synced_.append(content_->bytes_, content_->synced_.size());
    return core::Success();
  }

  std::uint64_t Size() const override { return content_->bytes_.size(); }

private:
  FaultyFileSystem& files_;
  std::shared_ptr<FaultyFileSystem::Content> content_;
};

core::Result<std::unique_ptr<state::AppendFile>>
FaultyFileSystem::OpenAppend(const std::string& aPath)
{
  if (!names_.contains(aPath)) {
    if (!canCreate_) {
      return core::Error{ core::Errc::DiskFull, "fake disk" };
    }
    Change({ { aPath, std::make_shared<Content>() } });
  }
  return std::unique_ptr<state::AppendFile>(
    std::make_unique<FaultyFile>(*this, names_.at(aPath)));
}

core::Result<std::string>
FaultyFileSystem::Read(const std::string& aPath,
                       std::uint64_t aOffset,
                       std::uint64_t aLength)
{
  const auto found = names_.find(aPath);
  if (found == names_.end()) {
    return Missing(aPath);
  }
  const std::string& bytes = found->second->bytes_;
  return bytes.substr(std::min<std::uint64_t>(aOffset, bytes.size()), aLength);
}

core::Result<std::uint64_t>
FaultyFileSystem::Size(const std::string& aPath)
{
  const auto found = names_.find(aPath);
  if (found == names_.end()) {
    return Missing(aPath);
  }
  return static_cast<std::uint64_t>(found->second->bytes_.size());
}

core::Result<std::vector<std::string>>
FaultyFileSystem::List(const std::string& aFolder)
{
  const std::string prefix = aFolder + "/";
  std::vector<std::string> result;
  for (const auto& [path, content] : names_) {
    if (path.starts_with(prefix) &&
        path.find('/', prefix.size()) == std::string::npos) {
      result.push_back(path.substr(prefix.size()));
    }
  }
  return result;
}

core::Status
FaultyFileSystem::Rename(const std::string& aFrom, const std::string& aTo)
{
  const auto found = names_.find(aFrom);
  if (found == names_.end()) {
    return Missing(aFrom);
  }
  Change({ { aTo, found->second }, { aFrom, nullptr } });
  return core::Success();
}

core::Status
FaultyFileSystem::Remove(const std::string& aPath)
{
  const auto found = names_.find(aPath);
  if (found == names_.end()) {
    return Missing(aPath);
  }
  free_ += found->second->bytes_.size();
  Change({ { aPath, nullptr } });
  return core::Success();
}

core::Status
FaultyFileSystem::MakeFolder(const std::string&)
{
  return core::Success();
}

core::Status
FaultyFileSystem::SyncFolder(const std::string& aPath)
{
  if (failSyncs_) {
    return core::Error{ core::Errc::SyncFailed, "fake disk" };
  }
  const std::string prefix = aPath + "/";
  std::erase_if(unsyncedChanges_, [&](const NameChanges& aChanges) {
    if (!aChanges.front().path_.starts_with(prefix)) {
      return false;
    }
    ApplyTo(syncedNames_, aChanges);
    return true;
  });
  return core::Success();
}

core::Result<core::Bytes>
FaultyFileSystem::FreeSpace(const std::string&)
{
  return core::Bytes(free_);
}

void
FaultyFileSystem::Crash(core::Random& aRandom)
{
  const std::size_t surviving = aRandom.Below(unsyncedChanges_.size() + 1);
  for (std::size_t i = 0; i < surviving; ++i) {
    ApplyTo(syncedNames_, unsyncedChanges_[i]);
  }
  unsyncedChanges_.clear();
  names_ = syncedNames_;
  for (auto& [path, content] : names_) {
    // A copy, so that a file still open in the dead process changes nothing.
    content = std::make_shared<Content>(*content);
    LoseUnsynced(*content, aRandom);
  }
  syncedNames_ = names_;
}

void
FaultyFileSystem::FlipBit(const std::string& aPath, std::uint64_t aOffset)
{
  names_.at(aPath)->bytes_.at(aOffset) ^= 1;
}

void
FaultyFileSystem::ApplyTo(Names& aNames, const NameChanges& aChanges)
{
  for (const NameChange& change : aChanges) {
    if (change.content_) {
      aNames[change.path_] = change.content_;
    } else {
      aNames.erase(change.path_);
    }
  }
}

void
FaultyFileSystem::Change(NameChanges aChanges)
{
  ApplyTo(names_, aChanges);
  unsyncedChanges_.push_back(std::move(aChanges));
}

void
FaultyFileSystem::LoseUnsynced(Content& aContent, core::Random& aRandom) const
{
  if (aContent.rewritten_) {
    aContent.bytes_ = aContent.synced_;
    aContent.rewritten_ = false;
    return;
  }
  const std::size_t synced = aContent.synced_.size();
  const std::size_t unsynced = aContent.bytes_.size() - synced;
  aContent.bytes_.resize(synced + aRandom.Below(unsynced + 1));
  if (aContent.bytes_.size() > synced && aRandom.Chance(kGarbledTail)) {
    const std::size_t at =
      synced + aRandom.Below(aContent.bytes_.size() - synced);
    aContent.bytes_[at] ^= 1;
  }
  aContent.synced_ = aContent.bytes_;
}

} // namespace crocusslip::tests
