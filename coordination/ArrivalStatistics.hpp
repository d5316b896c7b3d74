#pragma once

#include "core/Clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace crocusslip::coordination {

inline constexpr std::size_t kGapBuckets = 40;
inline constexpr std::size_t kWeekHours = 168;

/// Histogram of the idle gaps between uses: the probability of each bucket; the
/// sum is 1.
using GapDistribution = std::array<double, kGapBuckets>;

/// Bounds of a bucket in seconds: two buckets for each doubling from 1 s to
/// 12 days; the first also holds shorter gaps.
double
GapBucketStart(std::size_t aBucket);
double
GapBucketEnd(std::size_t aBucket);
std::size_t
GapBucketOf(double aSeconds);

/// Survival function: the probability of a gap longer than aSeconds.
double
Survival(const GapDistribution& aGaps, double aSeconds);

/// Moving average of the gap distribution over all deployments.
class PopulationGaps
{
public:
  PopulationGaps();
  void Add(double aSeconds);
  const GapDistribution& Distribution() const { return distribution_; }

private:
  GapDistribution distribution_;
};

/// Arrival statistics of one deployment in bounded memory (sizeof is 224).
class ArrivalStatistics
{
public:
  /// Records a use, that is, the arrival of a request; aElapsed counts from the
  /// origin, a Monday 00:00. Returns the gap since the previous use in seconds.
  std::optional<double> AddUse(core::Duration aElapsed);
  bool Used() const { return uses_ > 0; }
  core::Duration LastUse() const;
  /// Gap distribution of the deployment, smoothed with a prior that weighs as
  /// much as aPriorWeight gaps.
  GapDistribution Gaps(const GapDistribution& aPrior,
                       double aPriorWeight) const;
  /// Expected uses per second in this hour, from the weekly profile. aHour
  /// counts from the origin.
  double RateInHour(std::uint32_t aHour) const;

private:
  void AddToProfile(std::uint32_t aHour);

  /// Weights of the gap buckets; all are halved when one would exceed 255.
  std::array<std::uint8_t, kGapBuckets> gaps_{};
  /// Probability of use in each hour of the week, in 255ths.
  std::array<std::uint8_t, kWeekHours> week_{};
  std::uint32_t lastHour_ = 0;
  std::uint32_t uses_ = 0;
  std::int64_t lastUseMs_ = 0;
};

} // namespace crocusslip::coordination
