#include "core/Clock.hpp"

#include <ctime>

namespace crocusslip::core {

MonotonicTime
SystemClock::Now() const
{
  // CLOCK_MONOTONIC stands still while the machine is suspended, so that a
  // lease measured with it would outlive its end.
  timespec now{};
  if (clock_gettime(CLOCK_BOOTTIME, &now) != 0) {
    return std::chrono::steady_clock::now();
  }
  return MonotonicTime(std::chrono::seconds(now.tv_sec) +
                       std::chrono::nanoseconds(now.tv_nsec));
}

WallTime
SystemClock::WallNow() const
{
  return std::chrono::system_clock::now();
}

MonotonicTime
ManualClock::Now() const
{
  return MonotonicTime(Duration(elapsed_.load()));
}

WallTime
ManualClock::WallNow() const
{
  return WallTime(Duration(elapsed_.load()));
}

void
ManualClock::Advance(Duration aStep)
{
  elapsed_.fetch_add(aStep.count());
}

} // namespace crocusslip::core
