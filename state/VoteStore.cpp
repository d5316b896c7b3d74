#include "state/VoteStore.hpp"

#include "core/Hash.hpp"

#include <array>
#include <utility>

#include <boost/endian/conversion.hpp>

namespace crocusslip::state {

namespace {

constexpr const char* kFileName = "vote";
constexpr std::uint32_t kFormatVersion = 1;

// Little endian: version u32, vote u32, term u64, checksum u64.
constexpr std::size_t kVoteOffset = 4;
constexpr std::size_t kTermOffset = 8;
constexpr std::size_t kChecksumOffset = 16;
constexpr std::size_t kSize = 24;

} // namespace

VoteStore::VoteStore(FileSystem& aFiles, std::string aFolder)
  : files_(aFiles)
  , folder_(std::move(aFolder))
{
}

core::Result<HardState>
VoteStore::Load() const
{
  const std::string path = folder_ + "/" + kFileName;
  const auto content = ReadWhole(files_, path);
  if (!content) {
    if (content.Failure().code_ == core::Errc::NotFound) {
      return HardState();
    }
    return content.Failure();
  }
  const std::string_view bytes = content.Value();
  const auto* raw = reinterpret_cast<const unsigned char*>(bytes.data());
  if (bytes.size() != kSize ||
      core::Hash64(bytes.substr(0, kChecksumOffset)) !=
        boost::endian::load_little_u64(raw + kChecksumOffset)) {
    return core::Error{ core::Errc::Corrupt, path };
  }
  if (boost::endian::load_little_u32(raw) > kFormatVersion) {
    return core::Error{ core::Errc::NewerVersion, path };
  }
  HardState result;
  result.vote_ =
    core::MemberId(boost::endian::load_little_u32(raw + kVoteOffset));
  result.term_ = core::Term(boost::endian::load_little_u64(raw + kTermOffset));
  return result;
}

core::Status
VoteStore::Save(const HardState& aState)
{
  std::array<unsigned char, kSize> raw{};
  boost::endian::store_little_u32(raw.data(), kFormatVersion);
  boost::endian::store_little_u32(raw.data() + kVoteOffset,
                                  aState.vote_.Value());
  boost::endian::store_little_u64(raw.data() + kTermOffset,
                                  aState.term_.Value());
  const std::string_view bytes(reinterpret_cast<const char*>(raw.data()),
                               raw.size());
  boost::endian::store_little_u64(
    raw.data() + kChecksumOffset,
    core::Hash64(bytes.substr(0, kChecksumOffset)));
  return ReplaceFile(files_, folder_, kFileName, bytes);
}

} // namespace crocusslip::state
