#include "transport/RpcServer.hpp"

#include "core/Log.hpp"
#include "transport/FaultSwitch.hpp"
#include "transport/RpcFrames.hpp"
#include "transport/RpcTls.hpp"

#include <thrift/TOutput.h>
#include <thrift/TProcessor.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TSSLServerSocket.h>
#include <thrift/transport/TServerSocket.h>

#include <future>
#include <thread>
#include <utility>

namespace crocusslip::transport {

namespace {

namespace thrift = apache::thrift;

constexpr int kIdleMilliseconds = 60'000;

/// Ends the connection instead of answering while this process is isolated.
class SwitchedProcessor final : public thrift::TProcessor
{
public:
  explicit SwitchedProcessor(std::shared_ptr<thrift::TProcessor> aInner)
    : inner_(std::move(aInner))
  {
  }

  bool process(std::shared_ptr<thrift::protocol::TProtocol> aIn,
               std::shared_ptr<thrift::protocol::TProtocol> aOut,
               void* aContext) override
  {
    if (SharedFaultSwitch().Isolated()) {
      return false;
    }
    return inner_->process(std::move(aIn), std::move(aOut), aContext);
  }

private:
  std::shared_ptr<thrift::TProcessor> inner_;
};

class ReadyHandler final : public thrift::server::TServerEventHandler
{
public:
  void preServe() override { ready_.set_value(); }

  std::promise<void> ready_;
};

std::shared_ptr<thrift::transport::TServerTransport>
MakeSocket(const RpcServerSettings& aSettings)
{
  std::shared_ptr<thrift::transport::TServerSocket> socket;
  if (aSettings.tls_.Enabled()) {
    socket = std::make_shared<thrift::transport::TSSLServerSocket>(
      aSettings.address_, aSettings.port_, MakeRpcTls(aSettings.tls_, true));
  } else {
    socket = std::make_shared<thrift::transport::TServerSocket>(
      aSettings.address_, aSettings.port_);
  }
  socket->setRecvTimeout(kIdleMilliseconds);
  socket->setSendTimeout(kIdleMilliseconds);
  return socket;
}

} // namespace

struct RpcServer::Content
{
  RpcServerSettings settings_;
  std::shared_ptr<thrift::TProcessor> processor_;
  std::unique_ptr<thrift::server::TThreadedServer> server_;
  std::thread thread_;
};

RpcServer::RpcServer(RpcServerSettings aSettings,
                     std::shared_ptr<thrift::TProcessor> aProcessor)
  : content_(std::make_unique<Content>())
{
  content_->settings_ = std::move(aSettings);
  content_->processor_ =
    std::make_shared<SwitchedProcessor>(std::move(aProcessor));
}

RpcServer::~RpcServer()
{
  Stop();
}

core::Status
RpcServer::Start()
{
  // The library prints every lost connection; the callers count them instead.
  thrift::GlobalOutput.setOutputFunction([](const char*) {});
  auto ready = std::make_shared<ReadyHandler>();
  std::future<void> listening = ready->ready_.get_future();
  try {
    content_->server_ = std::make_unique<thrift::server::TThreadedServer>(
      content_->processor_,
      MakeSocket(content_->settings_),
      std::make_shared<LimitedFrames>(),
      MakeRpcProtocols());
    content_->server_->setServerEventHandler(ready);
  } catch (const std::exception& error) {
    return core::Error{ make_error_code(core::Errc::Unavailable),
                        error.what() };
  }
  auto failure = std::make_shared<std::promise<std::string>>();
  auto failed = failure->get_future();
  thrift::server::TThreadedServer* server = content_->server_.get();
  content_->thread_ = std::thread([server, failure] {
    try {
      server->serve();
      failure->set_value("stopped");
    } catch (const std::exception& error) {
      failure->set_value(error.what());
    }
  });
  while (listening.wait_for(std::chrono::milliseconds(10)) !=
         std::future_status::ready) {
    if (failed.wait_for(std::chrono::milliseconds(0)) ==
        std::future_status::ready) {
      content_->thread_.join();
      return core::Error{ make_error_code(core::Errc::Unavailable),
                          "cannot listen on " + content_->settings_.address_ +
                            ":" + std::to_string(content_->settings_.port_) +
                            ": " + failed.get() };
    }
  }
  return core::Success{};
}

void
RpcServer::Stop()
{
  if (content_->thread_.joinable()) {
    content_->server_->stop();
    content_->thread_.join();
  }
}

} // namespace crocusslip::transport
