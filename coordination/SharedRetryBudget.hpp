#pragma once

#include "core/Clock.hpp"

#include <cstdint>
#include <deque>

namespace crocusslip::coordination {

/// Bound on the retries to the backend servers of one service, over all entry
/// hosts together: at most ratio x requests + extra in each window. RetryBudget
/// is the bound of one host alone.
struct RetryBound
{
  double ratio_ = 0.2;
  std::uint32_t extra_ = 0;
  core::Duration window_ = std::chrono::seconds(10);
};

/// One host's share of the bound. Each host counts its own requests and gets an
/// equal part of the extra retries, so that the hosts need not coordinate.
class SharedRetryBudget
{
public:
  explicit SharedRetryBudget(RetryBound aBound);

  void SetBound(RetryBound aBound) { bound_ = aBound; }
  /// Sets the number of hosts that share the extra retries.
  void SetHosts(std::uint32_t aHosts);
  void OnRequest(core::MonotonicTime aNow);
  /// Takes one retry from the budget; false when it is used up.
  bool TryTake(core::MonotonicTime aNow);
  /// Whether TryTake would take one.
  bool HasRetry(core::MonotonicTime aNow);

private:
  /// Counts of one part of the sliding window.
  struct Slice
  {
    core::MonotonicTime begin_;
    std::uint32_t requests_ = 0;
    std::uint32_t retries_ = 0;
  };

  Slice& Current(core::MonotonicTime aNow);

  RetryBound bound_;
  std::uint32_t hosts_;
  std::deque<Slice> slices_;
};

} // namespace crocusslip::coordination
