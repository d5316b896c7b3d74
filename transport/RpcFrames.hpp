#pragma once

#include <thrift/protocol/TProtocol.h>
#include <thrift/transport/TTransport.h>

#include <memory>

namespace crocusslip::transport {

/// Largest frame that is read from a peer.
inline constexpr int kRpcFrameLimit = 16 * 1024 * 1024;

/// Most elements of one list; more than the adapters of the two-year size. The
/// library allocates room for a whole list or text before it reads the first
/// byte, so that a length of a few bytes could otherwise claim 2 GiB.
inline constexpr int kRpcListLimit = 128 * 1024;

/// Framed transports that refuse a frame over the limit.
class LimitedFrames final : public apache::thrift::transport::TTransportFactory
{
public:
  std::shared_ptr<apache::thrift::transport::TTransport> getTransport(
    std::shared_ptr<apache::thrift::transport::TTransport> aInner) override;
};

/// Compact protocol with bounded texts and lists.
std::shared_ptr<apache::thrift::protocol::TProtocolFactory>
MakeRpcProtocols();

} // namespace crocusslip::transport
