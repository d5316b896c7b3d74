#include "coordination/SharedRetryBudget.hpp"

#include <algorithm>

namespace crocusslip::coordination {

namespace {

/// Parts of the sliding window; the oldest is dropped as a whole.
constexpr int kSlicesPerWindow = 20;
/// Share of the bound that is used; the rest is a margin, since the hosts'
/// windows are not aligned.
constexpr double kUsedShare = 0.7;
/// Number of hosts assumed until the control group has reported it.
constexpr std::uint32_t kInitialHosts = 32;

} // namespace

SharedRetryBudget::SharedRetryBudget(RetryBound aBound)
  : bound_(aBound)
  , hosts_(kInitialHosts)
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
  // Slices are kept for the window plus one slice, so that a retry at the end
  // of a slice is counted for a whole window.
  while (!slices_.empty() &&
         aNow - slices_.front().begin_ >=
           bound_.window_ + bound_.window_ / kSlicesPerWindow) {
    slices_.pop_front();
  }
  if (slices_.empty() ||
      aNow - slices_.back().begin_ >= bound_.window_ / kSlicesPerWindow) {
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
  if (!HasRetry(aNow)) {
    return false;
  }
  ++Current(aNow).retries_;
  return true;
}

bool
SharedRetryBudget::HasRetry(core::MonotonicTime aNow)
{
  Current(aNow);
  std::uint64_t requests = 0;
  std::uint64_t retries = 0;
  for (const Slice& slice : slices_) {
    requests += slice.requests_;
    retries += slice.retries_;
  }
  const double allowed =
    kUsedShare * (bound_.ratio_ * static_cast<double>(requests) +
                  static_cast<double>(bound_.extra_) / hosts_);
  return static_cast<double>(retries + 1) <= allowed;
}

} // namespace crocusslip::coordination
