#include "coordination/ArrivalStatistics.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace crocusslip::coordination {

namespace {

using Milliseconds = std::chrono::milliseconds;

/// Weight of one gap. A bucket holds about 64 gaps before all buckets are
/// halved, so older gaps decay after about as many newer ones.
constexpr std::uint8_t kGapWeight = 4;
constexpr int kByteMax = 255;
/// A weekly observation moves the profile by 1 / kProfileDivisor of the
/// difference.
constexpr int kProfileDivisor = 2;
/// Weight of a new gap in the moving average over all deployments.
constexpr double kPopulationWeight = 0.001;

GapDistribution
InitialPopulation()
{
  // Without data, gaps are assumed to be distributed log-uniformly.
  GapDistribution distribution;
  distribution.fill(1.0 / kGapBuckets);
  return distribution;
}

} // namespace

double
GapBucketStart(std::size_t aBucket)
{
  return aBucket == 0 ? 0.0 : std::exp2(static_cast<double>(aBucket) / 2);
}

double
GapBucketEnd(std::size_t aBucket)
{
  return std::exp2(static_cast<double>(aBucket + 1) / 2);
}

std::size_t
GapBucketOf(double aSeconds)
{
  if (aSeconds < 1.0) {
    return 0;
  }
  const auto bucket = static_cast<std::size_t>(2 * std::log2(aSeconds));
  return std::min(bucket, kGapBuckets - 1);
}

double
Survival(const GapDistribution& aGaps, double aSeconds)
{
  const std::size_t bucket = GapBucketOf(aSeconds);
  double survival = 0;
  for (std::size_t i = bucket + 1; i < kGapBuckets; ++i) {
    survival += aGaps[i];
  }
  const double start = GapBucketStart(bucket);
  const double end = GapBucketEnd(bucket);
  const double left = std::clamp((end - aSeconds) / (end - start), 0.0, 1.0);
  return survival + aGaps[bucket] * left;
}

PopulationGaps::PopulationGaps()
  : distribution_(InitialPopulation())
{
}

void
PopulationGaps::Add(double aSeconds)
{
  for (double& mass : distribution_) {
    mass *= 1.0 - kPopulationWeight;
  }
  distribution_[GapBucketOf(aSeconds)] += kPopulationWeight;
}

std::optional<double>
ArrivalStatistics::AddUse(core::Duration aElapsed)
{
  std::optional<double> gap;
  const std::int64_t now =
    std::chrono::duration_cast<Milliseconds>(aElapsed).count();
  if (uses_ > 0) {
    gap =
      static_cast<double>(std::max<std::int64_t>(now - lastUseMs_, 0)) / 1000.0;
    std::uint8_t& bucket = gaps_[GapBucketOf(*gap)];
    if (bucket > kByteMax - kGapWeight) {
      for (std::uint8_t& weight : gaps_) {
        weight /= 2;
      }
    }
    bucket += kGapWeight;
  }
  lastUseMs_ = std::max(lastUseMs_, now);
  AddToProfile(static_cast<std::uint32_t>(aElapsed / std::chrono::hours(1)));
  uses_ += uses_ < UINT32_MAX ? 1 : 0;
  return gap;
}

void
ArrivalStatistics::AddToProfile(std::uint32_t aHour)
{
  if (uses_ > 0 && aHour == lastHour_) {
    return;
  }
  // Each hour since the last update counts as an observation without use.
  const std::uint32_t passed = uses_ == 0 ? 0 : aHour - lastHour_ - 1;
  constexpr std::uint32_t kWeeksUntilEmpty = 10;
  const std::uint32_t steps =
    std::min<std::uint32_t>(passed, kWeeksUntilEmpty * kWeekHours);
  for (std::uint32_t i = 1; i <= steps; ++i) {
    std::uint8_t& slot = week_[(lastHour_ + i) % kWeekHours];
    slot -= (slot + kProfileDivisor - 1) / kProfileDivisor;
  }
  std::uint8_t& slot = week_[aHour % kWeekHours];
  slot += (kByteMax - slot) / kProfileDivisor;
  lastHour_ = aHour;
}

core::Duration
ArrivalStatistics::LastUse() const
{
  return Milliseconds(lastUseMs_);
}

GapDistribution
ArrivalStatistics::Gaps(const GapDistribution& aPrior,
                        double aPriorWeight) const
{
  double total = aPriorWeight * kGapWeight;
  for (const std::uint8_t weight : gaps_) {
    total += weight;
  }
  GapDistribution gaps;
  for (std::size_t i = 0; i < kGapBuckets; ++i) {
    gaps[i] = (gaps_[i] + aPriorWeight * kGapWeight * aPrior[i]) / total;
  }
  return gaps;
}

double
ArrivalStatistics::RateInHour(std::uint32_t aHour) const
{
  constexpr double kSecondsPerHour = 3600;
  const double probability = week_[aHour % kWeekHours] / 256.0;
  return -std::log(1.0 - probability) / kSecondsPerHour;
}

} // namespace crocusslip::coordination
