#pragma once

#include "coordination/RouteTable.hpp"
#include "coordination/SharedRetryBudget.hpp"
#include "core/Error.hpp"
#include "core/Ids.hpp"
#include "protocol/CallHeaders.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace crocusslip::entry {

/// Parses a published routing table.
using ReadRoutes =
  std::function<core::Result<coordination::RouteTable>(const std::string&)>;

struct GatewaySettings
{
  core::HostId host_;
  core::FailureDomainId failureDomain_;
  /// Addresses "HOST:PORT" to listen on for callers, for the load balancer's
  /// readiness checks, and for metrics (empty: none).
  std::string callerAddress_;
  std::string readinessAddress_;
  std::string metrics_;
  std::string readinessPath_ = "/readyz";
  /// Addresses "HOST:PORT" of the control processes contacted first.
  std::vector<std::string> seeds_;
  coordination::RetryBound retries_;
  /// Time from SIGTERM until the platform kills the process.
  std::chrono::milliseconds grace_{ 8000 };
  protocol::CallHeaders headers_;
  ReadRoutes readRoutes_;
};

} // namespace crocusslip::entry
