#pragma once

#include "core/Clock.hpp"

#include <cstdint>
#include <deque>

namespace crocusslip::coordination {

/// Bound of repeated sends to one service, over all hosts together: in each
/// window at most ratio x requests + extra.
struct RetryBound
{
  double ratio_ = 0.2;
  std::uint32_t extra_ = 0;
  core::Duration window_ = std::chrono::seconds(10);
};

/// One host's share of the bound. Each host counts its own requests, and takes
/// an equal part of the extra sends, so that no host needs to ask another.
class SharedRetryBudget
{
public:
  explicit SharedRetryBudget(RetryBound aBound);

  void SetBound(RetryBound aBound) { bound_ = aBound; }
  /// How many hosts share the extra sends.
  void SetHosts(std::uint32_t aHosts);
  void OnRequest(core::MonotonicTime aNow);
  /// Takes one repeated send if the budget has one.
  bool TryTake(core::MonotonicTime aNow);

private:
  struct Slice
  {
    core::MonotonicTime begin_;
    std::uint32_t requests_ = 0;
    std::uint32_t repeats_ = 0;
  };

  Slice& Current(core::MonotonicTime aNow);

  RetryBound bound_;
  std::uint32_t hosts_;
  std::deque<Slice> slices_;
};

} // namespace crocusslip::coordination
