#include "coordination/FleetTable.hpp"

#include "core/Durations.hpp"

#include <algorithm>
#include <cmath>

/// What servers say of their own load.
namespace crocusslip::coordination {

namespace {

/// Time over which the pace is averaged.
constexpr std::chrono::milliseconds kPaceTime{ 1000 };
/// Smallest change of the mean pace, in percent, that is published to hosts.
constexpr double kMinPaceChange = 10;

} // namespace

void
FleetTable::OnLoadSighting(const core::ServerId& aServer,
                           const routing::LoadSighting& aSighting)
{
  const auto found = rows_.find(aServer);
  if (found == rows_.end() || aSighting.at_ <= found->second.loadSeenAt_) {
    return;
  }
  Row& row = found->second;
  const double age = core::Seconds(aSighting.at_ - row.loadSeenAt_);
  if (aSighting.pacePercent_ == 0 && row.meanPace_ <= 0) {
    return;
  }
  row.loadSeenAt_ = aSighting.at_;
  // Published with the next change: it alone is no reason to send the row.
  row.row_.queued_ = aSighting.queued_;
  if (aSighting.pacePercent_ == 0) {
    return;
  }
  const double pace = aSighting.pacePercent_;
  const double kept =
    row.meanPace_ > 0
      ? std::exp(-age / core::Seconds(core::Duration(kPaceTime)))
      : 0;
  row.meanPace_ = pace + kept * (row.meanPace_ - pace);
  const double published = row.row_.pacePercent_;
  if (published == 0 || std::abs(row.meanPace_ - published) > kMinPaceChange) {
    row.row_.pacePercent_ =
      static_cast<std::uint32_t>(std::max(1.0, row.meanPace_));
    MarkChanged(row);
  }
}

} // namespace crocusslip::coordination
