#pragma once

#include <chrono>
#include <cstdint>

namespace crocusslip::coordination {

/// When an entry host reports to the leader of the control group.
struct ReportTimes
{
  /// How long the leader may hold the report until there is a change to answer
  /// with.
  std::chrono::milliseconds hold_{ 0 };
  /// Pause between the answer and the next report, which a request that begins
  /// to wait shortens to minPause_.
  std::chrono::milliseconds pause_{ 0 };
  std::chrono::milliseconds minPause_{ 0 };
};

/// The times for a host, so that the leader's work stays about the same however
/// many hosts report. With few hosts, or while requests wait, the leader holds
/// the report and the host learns of changes at once. One of many hosts that
/// has no waiting requests keeps no call open: a request that begins to wait
/// is reported at once, and the leader holds calls only for hosts that need it.
/// aHosts: number of hosts that report, 0 if not known.
ReportTimes
ReportTimesFor(std::uint32_t aHosts, bool aHasWaitingRequests);

} // namespace crocusslip::coordination
