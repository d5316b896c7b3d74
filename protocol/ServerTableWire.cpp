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

std::shared_ptr<TCompactProtocolT<TMemoryBuffer>>
MakeProtocol(const std::shared_ptr<TMemoryBuffer>& aBuffer)
{
  // Texts are bounded by the buffer; the library allocates lists before it
  // reads their elements.
  return std::make_shared<TCompactProtocolT<TMemoryBuffer>>(
    aBuffer, 0, kMaxListElements);
}

} // namespace

EncodedTable
EncodeTable(const wire::ServerTable& aTable)
{
  const auto buffer = std::make_shared<TMemoryBuffer>();
  aTable.write(MakeProtocol(buffer).get());
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
    table.read(MakeProtocol(buffer).get());
  } catch (const TException& error) {
    return core::Error{ make_error_code(core::Errc::InvalidInput),
                        error.what() };
  }
  return table;
}

} // namespace crocusslip::protocol
