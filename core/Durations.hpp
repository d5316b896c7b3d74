#pragma once

#include "core/Clock.hpp"

#include <cstdint>

namespace crocusslip::core {

/// Whole milliseconds, for logs and messages.
inline std::int64_t
Milliseconds(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

/// A number of milliseconds from a text, cut to whole ones.
inline std::chrono::milliseconds
FromMilliseconds(double aValue)
{
  return std::chrono::milliseconds(static_cast<std::int64_t>(aValue));
}

inline double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace crocusslip::core
