#include "admission/QuotaWindow.hpp"

#include <algorithm>

namespace crocusslip::admission {

namespace {

std::int64_t
SlotOf(core::MonotonicTime aTime)
{
  return aTime.time_since_epoch() / QuotaWindow::kSlotTime;
}

} // namespace

QuotaWindow::QuotaWindow(core::Duration aLength)
  : length_(std::clamp<std::int64_t>(aLength / kSlotTime, 1, kMaxSlots - 2) + 1)
{
}

void
QuotaWindow::Advance(core::MonotonicTime aNow)
{
  const std::int64_t slot = SlotOf(aNow);
  if (slot > newest_ + kMaxSlots) {
    slots_ = {};
    units_ = 0;
    newest_ = slot;
    return;
  }
  while (newest_ < slot) {
    ++newest_;
    SlotAt(newest_) = 0;
    if (newest_ >= length_) {
      units_ -= SlotAt(newest_ - length_);
    }
  }
}

void
QuotaWindow::Add(double aUnits, core::MonotonicTime aAt)
{
  const std::int64_t slot = SlotOf(aAt);
  if (Holds(slot)) {
    SlotAt(slot) += aUnits;
    units_ += aUnits;
  }
}

void
QuotaWindow::Withdraw(double aUnits, core::MonotonicTime aAt)
{
  const std::int64_t slot = SlotOf(aAt);
  if (Holds(slot)) {
    const double taken = std::min(SlotAt(slot), aUnits);
    SlotAt(slot) -= taken;
    units_ -= taken;
  }
}

void
QuotaWindow::Scale(double aFactor)
{
  for (double& slot : slots_) {
    slot *= aFactor;
  }
  units_ *= aFactor;
}

double
QuotaWindow::Remaining(core::Duration aTime) const
{
  const std::int64_t gone = std::clamp<std::int64_t>(
    std::max(aTime, core::Duration(0)) / kSlotTime, 0, length_);
  double left = units_;
  for (std::int64_t i = 1; i <= gone; ++i) {
    if (newest_ - length_ + i >= 0) {
      left -= SlotAt(newest_ - length_ + i);
    }
  }
  return std::max(0.0, left);
}

} // namespace crocusslip::admission
