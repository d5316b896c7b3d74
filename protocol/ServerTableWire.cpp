#include "protocol/ServerTableWire.hpp"

#include "protocol/Compression.hpp"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstring>
#include <memory>

namespace crocusslip::protocol {

namespace {

using apache::thrift::TException;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

/// Most elements of a list; more than there are servers or models of one.
constexpr std::int32_t kMaxListElements = 128 * 1024;

/// The library allocates texts and lists before it reads them, so that both are
/// bounded.
TCompactProtocolT<TMemoryBuffer>
MakeProtocol(const std::shared_ptr<TMemoryBuffer>& aBuffer)
{
  return { aBuffer,
           static_cast<std::int32_t>(aBuffer->available_read()),
           kMaxListElements };
}

} // namespace

EncodedTable
EncodeTable(const wire::ServerTable& aTable)
{
  const auto buffer = std::make_shared<TMemoryBuffer>();
  auto protocol = MakeProtocol(buffer);
  aTable.write(&protocol);
  const std::string text = buffer->getBufferAsString();
  return { Compress(text), text.size() };
}

core::Result<wire::ServerTable>
DecodeTable(const std::string& aCompressed, std::size_t aBytes)
{
  core::Result<std::string> text = Decompress(aCompressed, aBytes);
  if (!text.Ok()) {
    return text.Failure();
  }
  const auto buffer = std::make_shared<TMemoryBuffer>();
  buffer->resetBuffer(reinterpret_cast<std::uint8_t*>(text.Value().data()),
                      static_cast<std::uint32_t>(text.Value().size()));
  wire::ServerTable table;
  try {
    auto protocol = MakeProtocol(buffer);
    table.read(&protocol);
  } catch (const TException& error) {
    return core::Error{ make_error_code(core::Errc::InvalidInput),
                        error.what() };
  }
  return table;
}

} // namespace crocusslip::protocol
