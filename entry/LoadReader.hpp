#pragma once

#include "coordination/BackendView.hpp"
#include "core/Clock.hpp"
#include "core/Metrics.hpp"
#include "fleet_types.h"
#include "transport/HttpLink.hpp"

#include <string>

namespace crocusslip::entry {

/// Takes what servers say of their load in answers into the host's view, and
/// measures how well the view expected it.
class LoadReader
{
public:
  /// aHeader is empty where servers say nothing of their load.
  LoadReader(coordination::BackendView& aView,
             std::string aHeader,
             core::MetricsRegistry& aMetrics);

  void OnAnswerHead(const core::ServerId& aServer,
                    const transport::AnswerHead& aHead,
                    core::MonotonicTime aNow);
  /// A server did not run a request although it has the model.
  void OnTurnedAway() { turnedAway_.Add(); }

  /// The figures that the choice of a server was made from, for logs; empty if
  /// the server names no pace.
  static std::string Describe(const coordination::BackendChoice& aChoice);
  /// Fills in what a server said of its load since the last report.
  static void Report(const coordination::BackendView::Usage& aUsage,
                     core::MonotonicTime aNow,
                     wire::ServerUse& aOut);

private:
  coordination::BackendView& view_;
  const std::string header_;
  core::Counter& sightings_;
  core::Counter& unreadable_;
  core::Counter& turnedAway_;
  /// Moving mean of the absolute error, in requests.
  double meanError_ = 0;
};

} // namespace crocusslip::entry
