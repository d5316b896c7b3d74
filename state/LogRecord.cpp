#include "state/LogRecord.hpp"

#include "core/Hash.hpp"

#include <array>

#include <boost/endian/conversion.hpp>

namespace crocusslip::state {

namespace {

// Header, little endian: length u32, type u8, version u8, 2 bytes of magic,
// term u64, index u64, checksum u64 over the header before it and the payload.
constexpr std::size_t kTypeOffset = 4;
constexpr std::size_t kVersionOffset = 5;
constexpr std::size_t kMagicOffset = 6;
constexpr std::size_t kTermOffset = 8;
constexpr std::size_t kIndexOffset = 16;
constexpr std::size_t kChecksumOffset = 24;
constexpr std::uint16_t kMagic = 0xC5A7;
constexpr std::uint8_t kSyncMarkType = 255;

using Header = std::array<unsigned char, kLogRecordHeaderSize>;

std::uint64_t
Checksum(std::string_view aHeader, std::string_view aPayload)
{
  const std::uint64_t head = core::Hash64(aHeader.substr(0, kChecksumOffset));
  return core::Hash64(aPayload, head);
}

void
EncodeRecord(std::uint8_t aType,
             std::uint64_t aTerm,
             std::uint64_t aIndex,
             std::string_view aPayload,
             std::string& aOut)
{
  Header header{};
  boost::endian::store_little_u32(header.data(),
                                  static_cast<std::uint32_t>(aPayload.size()));
  header[kTypeOffset] = aType;
  header[kVersionOffset] = kLogFormatVersion;
  boost::endian::store_little_u16(header.data() + kMagicOffset, kMagic);
  boost::endian::store_little_u64(header.data() + kTermOffset, aTerm);
  boost::endian::store_little_u64(header.data() + kIndexOffset, aIndex);
  const std::string_view text(reinterpret_cast<const char*>(header.data()),
                              header.size());
  boost::endian::store_little_u64(header.data() + kChecksumOffset,
                                  Checksum(text, aPayload));
  aOut.append(text);
  aOut.append(aPayload);
}

core::Error
Torn(const char* aDetail)
{
  return { core::Errc::TornTail, aDetail };
}

} // namespace

void
EncodeEntry(const LogEntry& aEntry, std::string& aOut)
{
  EncodeRecord(static_cast<std::uint8_t>(aEntry.kind_),
               aEntry.term_.Value(),
               aEntry.index_.Value(),
               aEntry.payload_,
               aOut);
}

void
EncodeSyncMark(SyncMark aMark, std::string& aOut)
{
  EncodeRecord(kSyncMarkType, 0, aMark.offset_, {}, aOut);
}

std::size_t
FindRecordHeader(std::string_view aBytes, std::size_t aFrom)
{
  constexpr std::array<char, 2> kMark = { static_cast<char>(kMagic & 0xffU),
                                          static_cast<char>(kMagic >> 8U) };
  const std::size_t mark =
    aBytes.find({ kMark.data(), kMark.size() }, aFrom + kMagicOffset);
  return mark == std::string_view::npos ? mark : mark - kMagicOffset;
}

core::Result<LogRecord>
DecodeRecord(std::string_view aBytes)
{
  if (aBytes.size() < kLogRecordHeaderSize) {
    return Torn("short record header");
  }
  const auto* header = reinterpret_cast<const unsigned char*>(aBytes.data());
  if (boost::endian::load_little_u16(header + kMagicOffset) != kMagic) {
    return Torn("no record header");
  }
  const std::size_t length = boost::endian::load_little_u32(header);
  if (aBytes.size() - kLogRecordHeaderSize < length) {
    return Torn("short record");
  }
  const std::string_view payload = aBytes.substr(kLogRecordHeaderSize, length);
  if (Checksum(aBytes, payload) !=
      boost::endian::load_little_u64(header + kChecksumOffset)) {
    return Torn("wrong checksum");
  }
  if (header[kVersionOffset] > kLogFormatVersion) {
    return core::Error{ core::Errc::NewerVersion, "log record" };
  }
  LogRecord record;
  record.size_ = kLogRecordHeaderSize + length;
  const std::uint64_t index =
    boost::endian::load_little_u64(header + kIndexOffset);
  const std::uint8_t type = header[kTypeOffset];
  if (type == kSyncMarkType) {
    record.content_ = SyncMark{ index };
    return record;
  }
  if (type > static_cast<std::uint8_t>(EntryKind::Membership)) {
    return core::Error{ core::Errc::NewerVersion, "type of log record" };
  }
  const core::Term term(boost::endian::load_little_u64(header + kTermOffset));
  record.content_ = LogEntry{ term,
                              core::LogIndex(index),
                              static_cast<EntryKind>(type),
                              std::string(payload) };
  return record;
}

} // namespace crocusslip::state
