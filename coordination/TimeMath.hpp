#pragma once

#include "core/Clock.hpp"

namespace crocusslip::coordination {

/// Adds a duration and returns max instead of overflowing; max means "never".
inline core::MonotonicTime
SaturatingAdd(core::MonotonicTime aTime, core::Duration aBy)
{
  const bool overflows =
    aBy > core::Duration(0) && aTime > core::MonotonicTime::max() - aBy;
  return overflows ? core::MonotonicTime::max() : aTime + aBy;
}

inline core::Duration
FromNanos(double aCount)
{
  return core::Duration(static_cast<core::Duration::rep>(aCount));
}

inline double
ToNanos(core::Duration aDuration)
{
  return static_cast<double>(aDuration.count());
}

inline double
Millis(core::Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

} // namespace crocusslip::coordination
