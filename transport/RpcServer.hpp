#pragma once

#include "core/Error.hpp"
#include "transport/TlsFiles.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace apache::thrift {
class TProcessor;
}

/// Thrift server: framed transport, compact protocol, a thread a connection.
namespace crocusslip::transport {

struct RpcServerSettings
{
  std::string address_ = "127.0.0.1";
  std::uint16_t port_ = 0;
  /// Mutual TLS when set.
  TlsFiles tls_;
};

class RpcServer
{
public:
  RpcServer(RpcServerSettings aSettings,
            std::shared_ptr<apache::thrift::TProcessor> aProcessor);
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

  core::Status Start();
  void Stop();

private:
  struct Content;
  std::unique_ptr<Content> content_;
};

} // namespace crocusslip::transport
