#include "transport/RpcFrames.hpp"

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <utility>

namespace crocusslip::transport {

namespace thrift = apache::thrift;

namespace {

/// The library computes with its read buffer before the first frame and after
/// an empty one, when it is null, which is undefined behaviour.
class Frames final : public thrift::transport::TFramedTransport
{
public:
  Frames(std::shared_ptr<thrift::transport::TTransport> aInner,
         std::shared_ptr<thrift::TConfiguration> aLimits)
    : thrift::transport::TFramedTransport(std::move(aInner), std::move(aLimits))
  {
    ReplaceNull();
  }

protected:
  bool readFrame() override
  {
    const bool read = thrift::transport::TFramedTransport::readFrame();
    ReplaceNull();
    return read;
  }

private:
  void ReplaceNull()
  {
    if (rBase_ == nullptr) {
      setReadBuffer(&empty_, 0);
    }
  }

  std::uint8_t empty_ = 0;
};

} // namespace

std::shared_ptr<thrift::transport::TTransport>
LimitedFrames::getTransport(
  std::shared_ptr<thrift::transport::TTransport> aInner)
{
  return std::make_shared<Frames>(
    std::move(aInner),
    std::make_shared<thrift::TConfiguration>(kRpcFrameLimit, kRpcFrameLimit));
}

std::shared_ptr<thrift::protocol::TProtocolFactory>
MakeRpcProtocols()
{
  return std::make_shared<thrift::protocol::TCompactProtocolFactory>(
    kRpcFrameLimit, kRpcListLimit);
}

} // namespace crocusslip::transport
