#pragma once

#include <algorithm>
#include <cmath>

namespace crocusslip::coordination {

/// Cost of a caller's wait for a load, in seconds. With an exponent of 1 every
/// second costs the same. With a greater one a long wait costs more than
/// several short ones of the same total, since the goal is a low tail latency.
struct WaitCost
{
  double exponent_ = 2.0;
  /// A wait of this length costs its own duration. Users expect the first token
  /// within 0.32 s.
  double referenceSeconds_ = 0.32;
  /// Above this multiple of the reference the cost grows linearly, so that
  /// loads of many seconds do not outweigh everything else.
  double maxRatio_ = 4.0;

  double Of(double aSeconds) const
  {
    if (aSeconds <= 0) {
      return 0;
    }
    const double ratio = std::min(aSeconds / referenceSeconds_, maxRatio_);
    return aSeconds * std::pow(ratio, exponent_ - 1);
  }
};

} // namespace crocusslip::coordination
