#pragma once

#include "core/Error.hpp"
#include "core/Hash.hpp"
#include "state/CommandCodec.hpp"

#include "gen/commands_types.h"

#include <chrono>
#include <cstdint>
#include <exception>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

/// Shared by the codecs of commands and answers: conversion of their parts, and
/// a versioned record as bytes.
namespace crocusslip::state::record {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = TCompactProtocolT<TMemoryBuffer>;

// Bounds what a length field of a hostile record can make the decoder
// allocate.
inline constexpr std::int32_t kMaxListElements = 8192;

/// Thrown when a decoded record is well formed but not a valid command.
class InvalidRecord : public std::exception
{
public:
  explicit InvalidRecord(const char* aDetail)
    : detail_(aDetail)
  {
  }
  const char* what() const noexcept override { return detail_; }

private:
  const char* detail_;
};

inline std::int64_t
Signed(std::uint64_t aValue)
{
  return static_cast<std::int64_t>(aValue);
}

inline std::vector<std::int64_t>
ToSigned(const std::vector<std::uint64_t>& aValues)
{
  return { aValues.begin(), aValues.end() };
}

inline std::vector<std::uint64_t>
FromSigned(const std::vector<std::int64_t>& aValues)
{
  return { aValues.begin(), aValues.end() };
}

template<typename T>
T
Numbered(std::int64_t aValue)
{
  return T(static_cast<typename T::RepType>(aValue));
}

template<typename T>
std::int8_t
FromEnum(T aValue)
{
  return static_cast<std::int8_t>(aValue);
}

template<typename T>
T
ToEnum(std::int8_t aValue, T aLast)
{
  if (aValue < 0 || aValue > static_cast<std::int8_t>(aLast)) {
    throw InvalidRecord("enumeration value out of range");
  }
  return static_cast<T>(aValue);
}

inline std::chrono::milliseconds
ToDuration(std::int64_t aMilliseconds)
{
  // Keeps sums with any valid agreed time within range.
  constexpr std::int64_t kLongest =
    std::numeric_limits<std::int64_t>::max() / 4;
  if (aMilliseconds < 0 || aMilliseconds > kLongest) {
    throw InvalidRecord("duration out of range");
  }
  return std::chrono::milliseconds(aMilliseconds);
}

inline AgreedTime
ToTime(std::int64_t aMilliseconds)
{
  return AgreedTime(ToDuration(aMilliseconds));
}

inline std::int64_t
FromTime(AgreedTime aTime)
{
  return aTime.time_since_epoch().count();
}

inline std::uint32_t
ToCount(std::int32_t aValue)
{
  if (aValue < 0) {
    throw InvalidRecord("negative count");
  }
  return static_cast<std::uint32_t>(aValue);
}

inline wire::Digest
ToWire(const core::Digest& aDigest)
{
  wire::Digest out;
  out.high = Signed(aDigest.high_);
  out.low = Signed(aDigest.low_);
  return out;
}

inline core::Digest
FromWire(const wire::Digest& aDigest)
{
  return { static_cast<std::uint64_t>(aDigest.high),
           static_cast<std::uint64_t>(aDigest.low) };
}

inline wire::StoredAnswer
ToWire(const StoredAnswer& aAnswer)
{
  wire::StoredAnswer out;
  out.status = aAnswer.status_;
  out.contentType = aAnswer.contentType_;
  out.body = aAnswer.body_;
  out.complete = aAnswer.complete_;
  return out;
}

inline StoredAnswer
FromWire(wire::StoredAnswer& aAnswer)
{
  return { aAnswer.status,
           std::move(aAnswer.contentType),
           std::move(aAnswer.body),
           aAnswer.complete };
}

template<typename Record>
std::string
Serialize(Record& aRecord)
{
  aRecord.version = kCommandVersion;
  const auto buffer = std::make_shared<TMemoryBuffer>();
  Protocol protocol(buffer);
  aRecord.write(&protocol);
  return buffer->getBufferAsString();
}

template<typename Record>
void
Deserialize(std::string_view aBytes, Record& aRecord)
{
  // TMemoryBuffer takes a pointer to mutable bytes but only reads them.
  auto* bytes =
    reinterpret_cast<std::uint8_t*>(const_cast<char*>(aBytes.data()));
  const auto buffer = std::make_shared<TMemoryBuffer>(
    bytes, static_cast<std::uint32_t>(aBytes.size()), TMemoryBuffer::OBSERVE);
  const auto longest = static_cast<std::int32_t>(aBytes.size());
  Protocol protocol(buffer, longest, kMaxListElements);
  aRecord.read(&protocol);
  if (buffer->available_read() != 0) {
    throw InvalidRecord("bytes after the record");
  }
}

inline core::Error
Invalid(const char* aDetail)
{
  return { core::Errc::InvalidInput, aDetail };
}

template<typename Variant, typename Record, typename Extract>
core::Result<Variant>
Decode(std::string_view aBytes, Extract aExtract)
{
  if (aBytes.empty()) {
    return Invalid("empty record");
  }
  if (aBytes.size() > kMaxCommandBytes) {
    return core::Error{ core::Errc::TooLarge, "record too large" };
  }
  try {
    Record record;
    Deserialize(aBytes, record);
    if (record.version > kCommandVersion) {
      return core::Error{ core::Errc::NewerVersion,
                          "record version " + std::to_string(record.version) };
    }
    std::vector<Variant> found = aExtract(record);
    if (record.version < 1 || found.size() != 1) {
      return Invalid("record without exactly one content");
    }
    return std::move(found.front());
  } catch (const std::exception& error) {
    return Invalid(error.what());
  }
}

} // namespace crocusslip::state::record
