#pragma once

#include "core/Error.hpp"
#include "transport/TlsFiles.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace crocusslip::wire {
class ControlClient;
class FleetClient;
class MemberClient;
}

/// Thrift clients with timeouts that connect when first used and again after a
/// failure.
namespace crocusslip::transport {

struct RpcTarget
{
  std::string host_;
  std::uint16_t port_ = 0;
  std::chrono::milliseconds connectTimeout_{ 500 };
  std::chrono::milliseconds callTimeout_{ 2000 };
  TlsFiles tls_;

  std::string Text() const { return host_ + ":" + std::to_string(port_); }
};

/// One connection; calls are made one after the other.
template<typename Client>
class RpcClient
{
public:
  explicit RpcClient(RpcTarget aTarget);
  ~RpcClient();
  RpcClient(const RpcClient&) = delete;
  RpcClient& operator=(const RpcClient&) = delete;

  /// Runs aCall with a connected client. Blocks up to the timeouts.
  core::Status Call(const std::function<void(Client&)>& aCall);
  /// Whether bytes or the end of the connection wait to be read. Only within a
  /// call.
  bool HasInput() const;
  const RpcTarget& Target() const { return target_; }

private:
  struct Connection;

  const RpcTarget target_;
  /// Held during a call; nothing else is taken under it.
  std::mutex mutex_;
  std::unique_ptr<Connection> connection_;
};

using ControlRpc = RpcClient<wire::ControlClient>;
using FleetRpc = RpcClient<wire::FleetClient>;
using MemberRpc = RpcClient<wire::MemberClient>;

} // namespace crocusslip::transport
