#pragma once

#include "core/Clock.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace crocusslip::state {

/// A recurring time span in which a deployment is kept loaded: "Sun
/// 09:00-12:00", "Mon-Fri 04:00-06:00", "daily 04:00-06:00", "day 28-31
/// 08:00-18:00" (days of the month). The end is exclusive and at most 24:00.
struct WarmWindow
{
  /// Bit 0 is Sunday; 0 when the window is given by days of the month.
  std::uint8_t weekdays_ = 0;
  std::uint8_t firstDay_ = 0;
  std::uint8_t lastDay_ = 0;
  std::chrono::minutes begin_{ 0 };
  std::chrono::minutes end_{ 0 };

  bool Contains(core::WallTime aTime, std::chrono::minutes aUtcOffset) const;
  /// Start of the window that is open at or begins next after the time, at
  /// most 62 days ahead.
  std::optional<core::WallTime> NextStart(
    core::WallTime aTime,
    std::chrono::minutes aUtcOffset) const;

  friend bool operator==(const WarmWindow&, const WarmWindow&) = default;
};

std::optional<WarmWindow>
ParseWarmWindow(std::string_view aText);

/// "+03:00", "-03:00", "Z".
std::optional<std::chrono::minutes>
ParseUtcOffset(std::string_view aText);

} // namespace crocusslip::state
