#include "admission/FleetLines.hpp"

#include "core/Durations.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusslip::admission {

namespace {

/// Time without a report after which a host's requests count no more.
constexpr std::chrono::milliseconds kHostTimeout{ 2500 };
/// Time over which begun requests are averaged.
constexpr std::chrono::seconds kBegunTime{ 3 };
/// Decayed number of begun requests below which a model without a line is
/// forgotten.
constexpr double kMinBegun = 0.01;
/// Waiting requests of all hosts from which hosts are told of a line; fewer
/// begin soon, and most models have them for a moment.
constexpr std::uint32_t kMinTold = 4;

double
Decay(core::Duration aAge)
{
  return std::exp(-core::Seconds(aAge) /
                  core::Seconds(core::Duration(kBegunTime)));
}

} // namespace

void
FleetLines::AddTotals(const Host& aHost)
{
  for (const auto& [model, line] : aHost.lines_) {
    Total& total = totals_[model];
    for (std::size_t rank = 0; rank < line.line_.waiting_.size(); ++rank) {
      total.line_.AddWaiting(static_cast<std::uint32_t>(rank),
                             line.line_.waiting_[rank]);
    }
    total.waiting_ += line.line_.Waiting();
    total.line_.inFlight_ += line.line_.inFlight_;
    total.begun_ *= Decay(aHost.reportedAt_ - total.begunAt_);
    total.begun_ += line.begun_;
    total.begunAt_ = aHost.reportedAt_;
  }
}

void
FleetLines::SubtractTotals(const Host& aHost)
{
  for (const auto& [model, line] : aHost.lines_) {
    const auto found = totals_.find(model);
    if (found == totals_.end()) {
      continue;
    }
    Total& total = found->second;
    for (std::size_t rank = 0; rank < line.line_.waiting_.size(); ++rank) {
      total.line_.waiting_[rank] -= line.line_.waiting_[rank];
    }
    total.waiting_ -= line.line_.Waiting();
    total.line_.inFlight_ -= line.line_.inFlight_;
  }
}

void
FleetLines::OnReport(const core::HostId& aHost,
                     std::map<core::ModelName, HostLine> aLines,
                     core::MonotonicTime aNow)
{
  Host& host = hosts_[aHost];
  SubtractTotals(host);
  host = { aNow, std::move(aLines) };
  AddTotals(host);
}

void
FleetLines::Expire(core::MonotonicTime aNow)
{
  std::erase_if(hosts_, [&](const auto& aEntry) {
    const bool timedOut = aNow - aEntry.second.reportedAt_ > kHostTimeout;
    if (timedOut) {
      SubtractTotals(aEntry.second);
    }
    return timedOut;
  });
  std::erase_if(totals_, [&](const auto& aEntry) {
    const Total& total = aEntry.second;
    return total.waiting_ == 0 && total.line_.inFlight_ == 0 &&
           total.begun_ * Decay(aNow - total.begunAt_) < kMinBegun;
  });
}

std::map<core::ModelName, ModelLine>
FleetLines::LinesFor(const core::HostId& aHost, core::MonotonicTime aNow) const
{
  std::map<core::ModelName, ModelLine> lines;
  const auto host = hosts_.find(aHost);
  for (const auto& [model, total] : totals_) {
    if (total.waiting_ < kMinTold) {
      continue;
    }
    ModelLine& out = lines[model];
    out = total.line_;
    out.begunPerSecond_ = total.begun_ * Decay(aNow - total.begunAt_) /
                          core::Seconds(core::Duration(kBegunTime));
    if (host == hosts_.end()) {
      continue;
    }
    const auto own = host->second.lines_.find(model);
    if (own != host->second.lines_.end()) {
      const auto& waiting = own->second.line_.waiting_;
      for (std::size_t rank = 0; rank < waiting.size(); ++rank) {
        out.waiting_[rank] -= waiting[rank];
      }
    }
  }
  return lines;
}

} // namespace crocusslip::admission
