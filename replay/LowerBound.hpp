#pragma once

#include "protocol/TraceFile.hpp"

namespace crocusslip::replay {

/// Costs that no policy can go below, computed with the whole trace known and
/// without limits of memory and store. Costs in seconds of idle accelerator
/// time, a caller's wait being weighted by the idle cost.
struct LowerBound
{
  /// For policies that load when a request arrives: in each gap the cheaper of
  /// keeping the replica and loading it again, which costs the idle time of
  /// unload and load and the wait until the first byte. A request for an
  /// adapter uses its base model too.
  double onDemand_ = 0;
  /// For policies that also load ahead: nobody waits, and each gap costs at
  /// least an unload and a load.
  double ahead_ = 0;
};

LowerBound
ComputeLowerBound(const protocol::Trace& aTrace);

/// What a replay cost in the same unit.
double
CombinedCost(double aIdleHours, double aColdSeconds, double aIdleCost);

} // namespace crocusslip::replay
