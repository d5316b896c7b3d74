#include "coordination/SharedRetryBudget.hpp"

#include <algorithm>

namespace crocusslip::coordination {

namespace {

/// Slices of a window; the oldest leaves as a whole.
constexpr int kSlices = 20;
/// Share of the bound that is used: hosts count in windows of their own.
constexpr double kUsed = 0.7;
/// Hosts assumed before the control group has told.
constexpr std::uint32_t kHostsAtStart = 32;

} // namespace

SharedRetryBudget::SharedRetryBudget(RetryBound aBound)
  : bound_(aBound)
  , hosts_(kHostsAtStart)
{
}

void
SharedRetryBudget::SetHosts(std::uint32_t aHosts)
{
  hosts_ = std::max(1U, aHosts);
}

SharedRetryBudget::Slice&
SharedRetryBudget::Current(core::MonotonicTime aNow)
{
  // One more slice than the window, since a repeat at the end of a slice
  // stands beside those of a whole window after it.
  while (!slices_.empty() && aNow - slices_.front().begin_ >=
                               bound_.window_ + bound_.window_ / kSlices) {
    slices_.pop_front();
  }
  if (slices_.empty() ||
      aNow - slices_.back().begin_ >= bound_.window_ / kSlices) {
    slices_.push_back({ aNow, 0, 0 });
  }
  return slices_.back();
}

void
SharedRetryBudget::OnRequest(core::MonotonicTime aNow)
{
  ++Current(aNow).requests_;
}

bool
SharedRetryBudget::TryTake(core::MonotonicTime aNow)
{
  Slice& current = Current(aNow);
  std::uint64_t requests = 0;
  std::uint64_t repeats = 0;
  for (const Slice& slice : slices_) {
    requests += slice.requests_;
    repeats += slice.repeats_;
  }
  const double allowed =
    kUsed * (bound_.ratio_ * static_cast<double>(requests) +
             static_cast<double>(bound_.extra_) / hosts_);
  if (static_cast<double>(repeats + 1) > allowed) {
    return false;
  }
  ++current.repeats_;
  return true;
}

} // namespace crocusslip::coordination
