#pragma once

#include "core/Clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace crocusslip::admission {

/// Units spent in a sliding window of time, in slots of a fixed length. Units
/// leave it up to one slot late, never early.
class QuotaWindow
{
public:
  explicit QuotaWindow(core::Duration aLength = std::chrono::seconds(8));

  /// Drops what has left the window; aNow does not decrease.
  void Advance(core::MonotonicTime aNow);
  /// Ignores times that have left the window.
  void Add(double aUnits, core::MonotonicTime aAt);
  /// Takes back units that were added at that time.
  void Withdraw(double aUnits, core::MonotonicTime aAt);
  void Scale(double aFactor);
  double Units() const { return units_; }
  /// Units that will still be in the window after aTime.
  double Remaining(core::Duration aTime) const;

  static constexpr std::chrono::milliseconds kSlotTime{ 125 };

private:
  static constexpr std::int64_t kMaxSlots = 256;

  double& SlotAt(std::int64_t aSlot)
  {
    return slots_.at(static_cast<std::size_t>(aSlot % kMaxSlots));
  }
  double SlotAt(std::int64_t aSlot) const
  {
    return slots_.at(static_cast<std::size_t>(aSlot % kMaxSlots));
  }
  bool Holds(std::int64_t aSlot) const
  {
    return aSlot >= 0 && aSlot > newest_ - length_ && aSlot <= newest_;
  }

  /// In slots, with the one that the window begins within.
  std::int64_t length_;
  std::array<double, kMaxSlots> slots_{};
  std::int64_t newest_ = 0;
  double units_ = 0;
};

} // namespace crocusslip::admission
