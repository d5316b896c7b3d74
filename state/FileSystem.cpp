#include "state/FileSystem.hpp"

namespace crocusslip::state {

core::Result<std::string>
ReadWhole(FileSystem& aFiles, const std::string& aPath)
{
  const auto size = aFiles.Size(aPath);
  if (!size) {
    return size.Failure();
  }
  return aFiles.Read(aPath, 0, size.Value());
}

core::Status
ReplaceFile(FileSystem& aFiles,
            const std::string& aFolder,
            const std::string& aName,
            std::string_view aContent)
{
  const std::string path = aFolder + "/" + aName;
  const std::string temporary = path + ".tmp";
  auto file = aFiles.OpenAppend(temporary);
  if (!file) {
    return file.Failure();
  }
  // A leftover of an interrupted replacement may be there.
  if (auto done = file.Value()->Truncate(0); !done) {
    return done;
  }
  if (auto done = file.Value()->Append(aContent); !done) {
    return done;
  }
  if (auto done = file.Value()->Sync(); !done) {
    return done;
  }
  if (auto done = aFiles.Rename(temporary, path); !done) {
    return done;
  }
  return aFiles.SyncFolder(aFolder);
}

} // namespace crocusslip::state
