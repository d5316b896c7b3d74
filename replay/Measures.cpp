#include "replay/Measures.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace crocusslip::replay {

namespace {

/// Nearest-rank percentile of the values, after aZeros values of 0.
double
Percentile(std::vector<double> aValues, std::uint64_t aZeros, double aShare)
{
  const std::uint64_t count = aValues.size() + aZeros;
  if (count == 0) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto rank = static_cast<std::uint64_t>(
    std::max(1.0, std::ceil(aShare * static_cast<double>(count))));
  return rank <= aZeros ? 0 : aValues.at(rank - aZeros - 1);
}

} // namespace

double
Measures::ColdPercentile(double aShare) const
{
  return Percentile(coldWaits_, 0, aShare);
}

double
Measures::TailOfAll(double aShare) const
{
  return Percentile(coldWaits_, requests_ - coldWaits_.size(), aShare);
}

double
Measures::ColdSeconds() const
{
  return std::accumulate(coldWaits_.begin(), coldWaits_.end(), 0.0);
}

double
Measures::Goodput() const
{
  return requests_ == 0
           ? 1.0
           : static_cast<double>(inTime_) / static_cast<double>(requests_);
}

std::uint64_t
Measures::Refused() const
{
  return std::accumulate(
    refusals_.begin(), refusals_.end(), std::uint64_t{ 0 });
}

std::vector<NamedMeasure>
AllMeasures(const Measures& aMeasures)
{
  const auto number = [](std::uint64_t aCount) {
    return static_cast<double>(aCount);
  };
  std::vector<NamedMeasure> all = {
    { "requests", number(aMeasures.requests_) },
    { "in_time", number(aMeasures.inTime_) },
    { "late", number(aMeasures.late_) },
    { "unknown", number(aMeasures.unknown_) },
    { "lost", number(aMeasures.lost_) },
    { "refused", number(aMeasures.Refused()) },
    { "goodput", aMeasures.Goodput() },
    { "refusal_delay_max_s",
      aMeasures.refusalDelays_.empty()
        ? 0
        : *std::max_element(aMeasures.refusalDelays_.begin(),
                            aMeasures.refusalDelays_.end()) },
    { "cold_requests", number(aMeasures.coldWaits_.size()) },
    { "cold_p50_s", aMeasures.ColdPercentile(0.50) },
    { "cold_p90_s", aMeasures.ColdPercentile(0.90) },
    { "cold_p99_s", aMeasures.ColdPercentile(0.99) },
    { "tail_p99_s", aMeasures.TailOfAll(0.99) },
    { "cold_total_s", aMeasures.ColdSeconds() },
    { "idle_accelerator_hours", aMeasures.idleAcceleratorHours_ },
    { "loads", number(aMeasures.loads_) },
    { "evictions", number(aMeasures.evictions_) },
    { "unloads", number(aMeasures.unloads_) },
    { "servers_lost_to_requests", number(aMeasures.serversLostToRequests_) },
    { "violations", number(aMeasures.violations_.size()) },
  };
  for (std::size_t i = 0; i < core::kRefusalReasons; ++i) {
    const auto reason = static_cast<core::RefusalReason>(i);
    all.push_back({ "refused." + std::string(Name(reason)),
                    number(aMeasures.refusals_.at(i)) });
  }
  for (std::size_t i = 0; i < core::kRetryReasons; ++i) {
    const auto reason = static_cast<core::RetryReason>(i);
    all.push_back({ "retried." + std::string(Name(reason)),
                    number(aMeasures.retries_.at(i)) });
  }
  return all;
}

} // namespace crocusslip::replay
