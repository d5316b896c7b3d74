#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>

namespace crocusslip::core {

/// Bounds the lines that a process logs in a second, and counts the others, so
/// that a burst of requests does not become a burst of writes.
class LogBudget
{
public:
  using Time = std::chrono::steady_clock::time_point;

  explicit LogBudget(std::uint32_t aLinesPerSecond);

  struct Verdict
  {
    bool write_ = false;
    /// Lines left out since the last one that was written.
    std::uint64_t leftOut_ = 0;
  };
  Verdict Admit(Time aNow);

private:
  const double linesPerSecond_;
  /// Lock order: last; nothing is called under it.
  std::mutex mutex_;
  double lines_;
  Time at_;
  std::uint64_t leftOut_ = 0;
};

} // namespace crocusslip::core
