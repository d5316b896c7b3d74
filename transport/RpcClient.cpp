#include "transport/RpcClient.hpp"

#include "Control.h"
#include "Fleet.h"
#include "Member.h"
#include "transport/FaultSwitch.hpp"
#include "transport/RpcFrames.hpp"
#include "transport/RpcTls.hpp"

#include <thrift/TOutput.h>
#include <thrift/transport/TSSLSocket.h>
#include <thrift/transport/TSocket.h>

#include <poll.h>

#include <utility>

namespace crocusslip::transport {

namespace {

namespace thrift = apache::thrift;

std::shared_ptr<thrift::transport::TSocket>
MakeSocket(const RpcTarget& aTarget)
{
  std::shared_ptr<thrift::transport::TSocket> socket;
  if (aTarget.tls_.Enabled()) {
    socket = MakeRpcTls(aTarget.tls_, false)
               ->createSocket(aTarget.host_, aTarget.port_);
  } else {
    socket = std::make_shared<thrift::transport::TSocket>(aTarget.host_,
                                                          aTarget.port_);
  }
  socket->setConnTimeout(static_cast<int>(aTarget.connectTimeout_.count()));
  socket->setRecvTimeout(static_cast<int>(aTarget.callTimeout_.count()));
  socket->setSendTimeout(static_cast<int>(aTarget.callTimeout_.count()));
  socket->setNoDelay(true);
  return socket;
}

core::Error
ToError(const RpcTarget& aTarget, core::Errc aCode, const char* aDetail)
{
  return { make_error_code(aCode), aTarget.Text() + ": " + aDetail };
}

} // namespace

template<typename Client>
struct RpcClient<Client>::Connection
{
  explicit Connection(const RpcTarget& aTarget)
    : socket_(MakeSocket(aTarget))
    , transport_(LimitedFrames().getTransport(socket_))
    , client_(MakeRpcProtocols()->getProtocol(transport_))
  {
    transport_->open();
  }

  std::shared_ptr<thrift::transport::TSocket> socket_;
  std::shared_ptr<thrift::transport::TTransport> transport_;
  Client client_;
};

template<typename Client>
RpcClient<Client>::RpcClient(RpcTarget aTarget)
  : target_(std::move(aTarget))
{
  // The library prints every failed connection; calls report it instead.
  thrift::GlobalOutput.setOutputFunction([](const char*) {});
}

template<typename Client>
RpcClient<Client>::~RpcClient() = default;

template<typename Client>
core::Status
RpcClient<Client>::Call(const std::function<void(Client&)>& aCall)
{
  const std::lock_guard lock(mutex_);
  if (SharedFaultSwitch().Drops(target_.Text())) {
    connection_.reset();
    return ToError(target_, core::Errc::Timeout, "dropped by fault switch");
  }
  core::Errc code = core::Errc::ConnectFailed;
  try {
    if (!connection_) {
      connection_ = std::make_unique<Connection>(target_);
    }
    code = core::Errc::ConnectionLost;
    aCall(connection_->client_);
    return core::Success{};
  } catch (const thrift::transport::TTransportException& error) {
    connection_.reset();
    if (error.getType() == thrift::transport::TTransportException::TIMED_OUT) {
      code = core::Errc::Timeout;
    }
    return ToError(target_, code, error.what());
  } catch (const std::exception& error) {
    connection_.reset();
    return ToError(target_, code, error.what());
  }
}

template<typename Client>
bool
RpcClient<Client>::HasInput() const
{
  if (!connection_) {
    return false;
  }
  pollfd socket{};
  socket.fd = connection_->socket_->getSocketFD();
  socket.events = POLLIN;
  return poll(&socket, 1, 0) > 0;
}

template class RpcClient<wire::ControlClient>;
template class RpcClient<wire::FleetClient>;
template class RpcClient<wire::MemberClient>;

} // namespace crocusslip::transport
