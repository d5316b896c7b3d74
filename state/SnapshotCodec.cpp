#include "state/SnapshotCodec.hpp"

#include <cstring>
#include <exception>
#include <utility>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace crocusslip::state {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = TCompactProtocolT<TMemoryBuffer>;

constexpr std::uint32_t kMagic = 0x50534343; // "CCSP" in little-endian order
constexpr std::uint32_t kInitialBytes = 64 * 1024;

/// Precedes the values. The checksum is over the values.
struct Header
{
  std::uint32_t magic_;
  std::uint32_t version_;
  std::uint64_t size_;
  std::uint64_t checksum_;
};

std::uint8_t*
Mutable(std::string_view aBytes)
{
  // TMemoryBuffer takes a pointer to mutable bytes but only reads them.
  return reinterpret_cast<std::uint8_t*>(const_cast<char*>(aBytes.data()));
}

} // namespace

struct SnapshotWriter::Buffer
{
  std::shared_ptr<TMemoryBuffer> memory_ =
    std::make_shared<TMemoryBuffer>(kInitialBytes);
  Protocol protocol_{ memory_ };

  std::string_view Written() const
  {
    std::uint8_t* bytes = nullptr;
    std::uint32_t size = 0;
    memory_->getBuffer(&bytes, &size);
    return { reinterpret_cast<const char*>(bytes), size };
  }
};

SnapshotWriter::SnapshotWriter()
  : buffer_(std::make_unique<Buffer>())
{
}

SnapshotWriter::~SnapshotWriter() = default;

void
SnapshotWriter::Number(std::uint64_t aValue)
{
  buffer_->protocol_.writeI64(static_cast<std::int64_t>(aValue));
}

void
SnapshotWriter::Text(const std::string& aValue)
{
  buffer_->protocol_.writeBinary(aValue);
}

void
SnapshotWriter::Flag(bool aValue)
{
  buffer_->protocol_.writeByte(aValue ? 1 : 0);
}

void
SnapshotWriter::Digest(const core::Digest& aValue)
{
  // Fixed width: the variable-length form of a hash is longer than the hash.
  std::uint8_t bytes[sizeof(core::Digest)];
  std::memcpy(bytes, &aValue, sizeof bytes);
  buffer_->memory_->write(bytes, sizeof bytes);
}

std::string
SnapshotWriter::Finish() const
{
  const std::string_view values = buffer_->Written();
  const Header header{
    kMagic, kSnapshotVersion, values.size(), core::Hash64(values)
  };
  std::string out(sizeof header + values.size(), '\0');
  std::memcpy(out.data(), &header, sizeof header);
  std::memcpy(out.data() + sizeof header, values.data(), values.size());
  return out;
}

core::Digest
SnapshotWriter::ContentDigest() const
{
  return core::Hash128(buffer_->Written());
}

struct SnapshotReader::Buffer
{
  explicit Buffer(std::string_view aValues)
    : memory_(std::make_shared<TMemoryBuffer>(
        Mutable(aValues),
        static_cast<std::uint32_t>(aValues.size()),
        TMemoryBuffer::OBSERVE))
    , protocol_(memory_,
                static_cast<std::int32_t>(aValues.size()),
                static_cast<std::int32_t>(aValues.size()))
  {
  }

  std::shared_ptr<TMemoryBuffer> memory_;
  Protocol protocol_;
};

SnapshotReader::SnapshotReader(std::string_view aBytes)
{
  std::string_view values;
  Header header{};
  if (aBytes.size() < sizeof header) {
    Fail("snapshot shorter than its header");
  } else {
    std::memcpy(&header, aBytes.data(), sizeof header);
    values = aBytes.substr(sizeof header);
  }
  if (ok_ && header.magic_ != kMagic) {
    Fail("not a snapshot");
  }
  version_ = header.version_;
  if (ok_ && (header.version_ > kSnapshotVersion ||
              header.version_ < kOldestSnapshotVersion)) {
    Fail("snapshot version " + std::to_string(header.version_));
    failure_.code_ = core::Errc::NewerVersion;
  }
  if (ok_ && (header.size_ != values.size() ||
              header.checksum_ != core::Hash64(values))) {
    Fail("snapshot checksum mismatch");
  }
  buffer_ = std::make_unique<Buffer>(ok_ ? values : std::string_view());
}

SnapshotReader::~SnapshotReader() = default;

std::uint64_t
SnapshotReader::Number()
{
  if (!ok_) {
    return 0;
  }
  try {
    std::int64_t value = 0;
    buffer_->protocol_.readI64(value);
    return static_cast<std::uint64_t>(value);
  } catch (const std::exception& error) {
    Fail(error.what());
    return 0;
  }
}

std::string
SnapshotReader::Text()
{
  std::string value;
  if (!ok_) {
    return value;
  }
  try {
    buffer_->protocol_.readBinary(value);
  } catch (const std::exception& error) {
    Fail(error.what());
    value.clear();
  }
  return value;
}

bool
SnapshotReader::Flag()
{
  if (!ok_) {
    return false;
  }
  try {
    std::int8_t value = 0;
    buffer_->protocol_.readByte(value);
    return value != 0;
  } catch (const std::exception& error) {
    Fail(error.what());
    return false;
  }
}

core::Digest
SnapshotReader::Digest()
{
  core::Digest value;
  if (!ok_) {
    return value;
  }
  try {
    std::uint8_t bytes[sizeof value];
    buffer_->memory_->readAll(bytes, sizeof bytes);
    std::memcpy(&value, bytes, sizeof bytes);
  } catch (const std::exception& error) {
    Fail(error.what());
  }
  return value;
}

std::size_t
SnapshotReader::Count()
{
  const std::uint64_t count = Number();
  if (ok_ && count > buffer_->memory_->available_read()) {
    Fail("count above the remaining bytes");
  }
  return ok_ ? count : 0;
}

void
SnapshotReader::Fail(std::string aDetail)
{
  if (ok_) {
    ok_ = false;
    failure_ = { core::Errc::Corrupt, std::move(aDetail) };
  }
}

core::Status
SnapshotReader::Outcome() const
{
  if (!ok_) {
    return failure_;
  }
  if (buffer_->memory_->available_read() != 0) {
    return core::Error{ core::Errc::Corrupt, "bytes after the last value" };
  }
  return core::Success{};
}

} // namespace crocusslip::state
