#pragma once

#include <chrono>

namespace crocusslip::state {

/// Unix time in milliseconds as agreed through the log; every member reads the
/// same value at the same log index, and it never decreases.
using AgreedDuration = std::chrono::milliseconds;
using AgreedTime =
  std::chrono::time_point<std::chrono::system_clock, AgreedDuration>;

} // namespace crocusslip::state
