#pragma once

#include "entry/Gateway.hpp"

#include <array>
#include <string>

namespace crocusslip::entry {

/// What the gateway counts at /metrics.
struct Gateway::Counters
{
  explicit Counters(core::MetricsRegistry& aMetrics)
    : requests_(aMetrics.AddCounter("crocusslip_requests_total",
                                    "",
                                    "Requests of callers."))
    , closedIdle_(AddClosed(aMetrics, "idle"))
    , closedStalled_(AddClosed(aMetrics, "stalled"))
    , refusedConnections_(AddClosed(aMetrics, "new"))
    , slowReaders_(aMetrics.AddCounter(
        "crocusslip_slow_readers_total",
        "",
        "Answers cut because their caller did not take them in time."))
  {
    for (std::size_t i = 0; i < kGatewayRefusals; ++i) {
      refusals_.at(i) =
        &aMetrics.AddCounter("crocusslip_refusals_total",
                             std::string("reason=\"") +
                               NameOf(static_cast<GatewayRefusal>(i)) + "\"",
                             "Requests that the gateway answered itself.");
    }
  }

  static core::Counter& AddClosed(core::MetricsRegistry& aMetrics,
                                  const std::string& aWhich)
  {
    return aMetrics.AddCounter(
      "crocusslip_connections_closed_total",
      "which=\"" + aWhich + "\"",
      "Connections of callers closed because there were too many.");
  }

  core::Counter& requests_;
  core::Counter& closedIdle_;
  core::Counter& closedStalled_;
  core::Counter& refusedConnections_;
  core::Counter& slowReaders_;
  std::array<core::Counter*, kGatewayRefusals> refusals_{};
};

} // namespace crocusslip::entry
