#include "entry/RevisionFile.hpp"

#include "core/Hash.hpp"

#include <charconv>
#include <utility>

namespace crocusslip::entry {

namespace {

const std::string kFileName = "revision";

std::string
Line(std::uint64_t aRevision)
{
  const std::string number = std::to_string(aRevision);
  return number + " " + std::to_string(core::Hash64(number)) + "\n";
}

} // namespace

RevisionFile::RevisionFile(state::FileSystem& aFiles, std::string aFolder)
  : files_(aFiles)
  , folder_(std::move(aFolder))
{
}

core::Result<core::Revision>
RevisionFile::Load()
{
  const core::Status made = files_.MakeFolder(folder_);
  if (!made.Ok()) {
    return made.Failure();
  }
  const auto content = state::ReadWhole(files_, folder_ + "/" + kFileName);
  if (!content.Ok()) {
    if (content.Failure().code_ == core::Errc::NotFound) {
      return core::Revision();
    }
    return content.Failure();
  }
  std::uint64_t revision = 0;
  const std::string& text = content.Value();
  std::from_chars(text.data(), text.data() + text.size(), revision);
  if (text != Line(revision)) {
    return core::Error{ make_error_code(core::Errc::Corrupt),
                        folder_ + "/" + kFileName };
  }
  return core::Revision(revision);
}

core::Status
RevisionFile::Save(core::Revision aRevision)
{
  return state::ReplaceFile(
    files_, folder_, kFileName, Line(aRevision.Value()));
}

} // namespace crocusslip::entry
