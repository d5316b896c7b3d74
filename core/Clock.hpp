#pragma once

#include <atomic>
#include <chrono>

namespace crocusslip::core {

using Duration = std::chrono::nanoseconds;
using MonotonicTime =
  std::chrono::time_point<std::chrono::steady_clock, Duration>;
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Source of time; passed in wherever time is read.
class Clock
{
public:
  virtual ~Clock() = default;
  virtual MonotonicTime Now() const = 0;
  virtual WallTime WallNow() const = 0;
};

/// The machine's clocks.
class SystemClock final : public Clock
{
public:
  MonotonicTime Now() const override;
  WallTime WallNow() const override;
};

/// A clock that moves only when told; for tests and replay.
class ManualClock final : public Clock
{
public:
  MonotonicTime Now() const override;
  WallTime WallNow() const override;
  void Advance(Duration aStep);

private:
  std::atomic<Duration::rep> elapsed_{ 0 };
};

} // namespace crocusslip::core
