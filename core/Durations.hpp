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

inline double
Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace crocusslip::core
