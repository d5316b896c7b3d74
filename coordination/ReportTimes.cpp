#include "coordination/ReportTimes.hpp"

#include <algorithm>

namespace crocusslip::coordination {

namespace {

/// Interval of reports with few hosts. With more it is a multiple, one for each
/// kHostsPerInterval hosts, up to kMaxIntervals.
constexpr std::chrono::milliseconds kInterval{ 100 };
constexpr std::uint32_t kHostsPerInterval = 16;
constexpr std::uint32_t kMaxIntervals = 6;
constexpr std::chrono::milliseconds kPause{ 20 };

} // namespace

ReportTimes
ReportTimesFor(std::uint32_t aHosts, bool aHasWaitingRequests)
{
  const std::uint32_t intervals =
    std::clamp(aHosts / kHostsPerInterval, 1U, kMaxIntervals);
  if (intervals == 1) {
    return { kInterval, kPause, std::chrono::milliseconds(0) };
  }
  if (aHasWaitingRequests) {
    return { kInterval * intervals / 2, kPause * intervals, kPause };
  }
  return { std::chrono::milliseconds(0),
           kInterval * intervals,
           kPause * intervals / 2 };
}

} // namespace crocusslip::coordination
