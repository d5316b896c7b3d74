#pragma once

#include "core/Error.hpp"
#include "state/LogEntry.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace crocusslip::state {

/// Version of the record format; a higher one is refused.
inline constexpr std::uint8_t kLogFormatVersion = 1;
inline constexpr std::size_t kLogRecordHeaderSize = 32;

/// Written after a sync: everything before this offset of the file is synced.
/// It becomes durable with the next sync.
struct SyncMark
{
  std::uint64_t offset_ = 0;
};

/// A record of a log file and the bytes it takes there.
struct LogRecord
{
  std::variant<LogEntry, SyncMark> content_;
  std::size_t size_ = 0;
};

void
EncodeEntry(const LogEntry& aEntry, std::string& aOut);
void
EncodeSyncMark(SyncMark aMark, std::string& aOut);

/// Where the next record may begin, from aFrom on; npos when nowhere.
std::size_t
FindRecordHeader(std::string_view aBytes, std::size_t aFrom);

/// The record at the start of aBytes. Errc::TornTail when the bytes are too
/// few or don't match their checksum, Errc::NewerVersion when intact but newer.
core::Result<LogRecord>
DecodeRecord(std::string_view aBytes);

} // namespace crocusslip::state
