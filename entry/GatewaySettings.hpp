#pragma once

#include "admission/QuotaBound.hpp"
#include "coordination/RouteTable.hpp"
#include "coordination/SharedRetryBudget.hpp"
#include "core/Error.hpp"
#include "core/Ids.hpp"
#include "core/Units.hpp"
#include "protocol/CallHeaders.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace crocusslip::entry {

/// Parses a published routing table.
using RouteTableParser =
  std::function<core::Result<coordination::RouteTable>(const std::string&)>;

struct GatewaySettings
{
  core::HostId host_;
  core::FailureDomainId failureDomain_;
  /// Address "HOST:PORT" to listen on for callers.
  std::string callerAddress_;
  /// Address "HOST:PORT" for the load balancer's readiness checks; also serves
  /// /metrics.
  std::string readinessAddress_;
  /// Not used by the gateway, which serves metrics at readinessAddress_.
  std::string metricsAddress_;
  std::string readinessPath_ = "/readyz";
  /// Addresses "HOST:PORT" of the control processes contacted first.
  std::vector<std::string> seeds_;
  coordination::RetryBound retries_;
  /// Time from SIGTERM until the platform kills the process.
  std::chrono::milliseconds grace_{ 8000 };
  protocol::CallHeaders headers_;
  RouteTableParser parseRoutes_;
  /// Memory and descriptors that this process may use; 0: no limit.
  core::Bytes memoryLimit_;
  std::uint32_t maxDescriptors_ = 0;
  /// Bandwidth of this host's link in Mbit/s; 0: not known.
  double linkMbps_ = 0;
  admission::QuotaBound quotaBound_;
};

} // namespace crocusslip::entry
