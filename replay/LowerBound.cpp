#include "replay/LowerBound.hpp"

#include "replay/BackendStandIn.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>

namespace crocusslip::replay {

namespace {

constexpr double kSecondsPerHour = 3600;

double
Seconds(core::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

struct Usage
{
  std::optional<core::DeploymentId> base_;
  double share_ = 0;
  double reload_ = 0;
  /// End of the last request, at the speed of the fastest server.
  std::optional<double> busyUntil_;
};

} // namespace

LowerBound
ComputeLowerBound(const protocol::Trace& aTrace)
{
  const protocol::TraceSettings& settings = aTrace.settings_;
  double fastest = 0;
  core::Bytes largest(1);
  for (const protocol::TraceServer& server : settings.servers_) {
    fastest = std::max(fastest, server.speed_);
    largest = std::max(largest, server.memory_);
  }
  std::map<core::DeploymentId, Usage> usages;
  for (const protocol::TraceDeployment& deployment : settings.deployments_) {
    const coordination::CapacityDeployment& capacity = deployment.capacity_;
    if (capacity.minReplicas_ == 0) {
      usages[capacity.id_] = { capacity.base_,
                               static_cast<double>(capacity.memory_.Count()) /
                                 static_cast<double>(largest.Count()),
                               Seconds(capacity.loadTime_.front()) / fastest,
                               std::nullopt };
    }
  }
  // A server that is lost frees its memory without an unload.
  const double unload = aTrace.events_.empty() ? Seconds(kUnloadTime) : 0;
  LowerBound bound;
  const auto use =
    [&](Usage& aUsage, const protocol::TraceRequest& aRequest, double aPrompt) {
      const double arrival = Seconds(aRequest.time_);
      const double end = arrival + Seconds(aRequest.service_) / fastest;
      if (aRequest.time_ >= settings.measureFrom_) {
        const double held = aUsage.reload_ + (aUsage.busyUntil_ ? unload : 0);
        const double load = aUsage.share_ * held;
        const double wait = settings.idleCost_ * (aUsage.reload_ + aPrompt);
        const double gap = aUsage.busyUntil_
                             ? std::max(0.0, arrival - *aUsage.busyUntil_)
                             : 1e12;
        bound.onDemand_ += std::min(aUsage.share_ * gap, load + wait);
        bound.ahead_ += std::min(aUsage.share_ * gap, load);
      }
      aUsage.busyUntil_ = std::max(aUsage.busyUntil_.value_or(end), end);
    };
  for (const protocol::TraceRequest& request : aTrace.requests_) {
    const auto found = usages.find(request.deployment_);
    if (found == usages.end()) {
      continue;
    }
    // The wait of a cold start ends with the first byte.
    const double prompt =
      std::min(request.promptTokens_ / kPromptTokensPerSecond,
               Seconds(request.service_)) /
      fastest;
    use(found->second, request, prompt);
    const auto base =
      found->second.base_ ? usages.find(*found->second.base_) : usages.end();
    if (base != usages.end()) {
      use(base->second, request, 0);
    }
  }
  return bound;
}

double
CombinedCost(double aIdleHours, double aColdSeconds, double aIdleCost)
{
  return aIdleHours * kSecondsPerHour + aIdleCost * aColdSeconds;
}

} // namespace crocusslip::replay
