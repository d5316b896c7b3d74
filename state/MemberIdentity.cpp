#include "state/MemberIdentity.hpp"

#include "state/JsonNumber.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>

#include <nlohmann/json.hpp>

namespace crocusslip::state {

namespace {

constexpr const char* kFileName = "identity";
/// Version of the whole data folder; a higher one is refused.
constexpr std::uint32_t kFolderVersion = 1;

std::string
DrawDiskIdentity(core::Random& aRandom)
{
  std::array<char, 33> text{};
  const std::uint64_t high = aRandom.Next();
  const std::uint64_t low = aRandom.Next();
  std::snprintf(
    text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, high, low);
  return text.data();
}

core::Result<MemberIdentity>
Parse(const std::string& aText, const std::string& aPath)
{
  try {
    const auto root = nlohmann::json::parse(aText);
    if (UnsignedIn<std::uint32_t>(root.at("version")) > kFolderVersion) {
      return core::Error{ core::Errc::NewerVersion, aPath };
    }
    MemberIdentity result;
    result.cluster_ = root.at("cluster").get<std::string>();
    result.group_ = UnsignedIn<std::uint32_t>(root.at("group"));
    result.member_ =
      core::MemberId(UnsignedIn<std::uint32_t>(root.at("member")));
    result.diskIdentity_ = root.at("disk").get<std::string>();
    return result;
  } catch (const nlohmann::json::exception& error) {
    return core::Error{ core::Errc::Corrupt, aPath + ": " + error.what() };
  }
}

core::Status
Save(FileSystem& aFiles,
     const std::string& aFolder,
     const MemberIdentity& aIdentity)
{
  const nlohmann::json root{ { "version", kFolderVersion },
                             { "cluster", aIdentity.cluster_ },
                             { "group", aIdentity.group_ },
                             { "member", aIdentity.member_.Value() },
                             { "disk", aIdentity.diskIdentity_ } };
  return ReplaceFile(aFiles, aFolder, kFileName, root.dump() + "\n");
}

} // namespace

core::Result<MemberIdentity>
LoadIdentity(FileSystem& aFiles, const std::string& aFolder)
{
  const std::string path = aFolder + "/" + kFileName;
  const auto text = ReadWhole(aFiles, path);
  if (!text) {
    return text.Failure();
  }
  return Parse(text.Value(), path);
}

core::Result<MemberIdentity>
ClaimFolder(FileSystem& aFiles,
            const std::string& aFolder,
            const MemberIdentity& aExpected,
            core::Random& aRandom)
{
  if (auto done = aFiles.MakeFolder(aFolder); !done) {
    return done.Failure();
  }
  auto found = LoadIdentity(aFiles, aFolder);
  if (!found && found.Failure().code_ != core::Errc::NotFound) {
    return found;
  }
  MemberIdentity identity = aExpected;
  if (found) {
    identity.diskIdentity_ = found.Value().diskIdentity_;
    if (identity != found.Value()) {
      return core::Error{ core::Errc::WrongIdentity,
                          aFolder + " belongs to member " +
                            std::to_string(found.Value().member_.Value()) +
                            " of cluster " + found.Value().cluster_ };
    }
    return identity;
  }
  identity.diskIdentity_ = DrawDiskIdentity(aRandom);
  if (auto done = Save(aFiles, aFolder, identity); !done) {
    return done.Failure();
  }
  return identity;
}

} // namespace crocusslip::state
