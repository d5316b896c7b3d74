#include "routing/ServerEstimate.hpp"

#include "core/Durations.hpp"

#include <algorithm>
#include <cmath>

namespace crocusslip::routing {

namespace {

/// Time after which a named pace says little: it changes many times a second.
constexpr std::chrono::milliseconds kPaceTime{ 200 };
/// Weight of a named pace in the mean.
constexpr double kPaceWeight = 0.1;
/// Variance of the published load, which leaves out small changes.
constexpr double kPublishedVariance = 1;
/// Variance of a sighting: requests on their way are not in it.
constexpr double kSightingVariance = 0.1;

struct Moments
{
  double mean_ = 0;
  double variance_ = 0;
};

/// Requests after aAge when aKnown of them were there before.
Moments
Project(double aKnown, double aUsualLoad, core::Duration aAge)
{
  const double left = std::exp(-core::Seconds(aAge) /
                               core::Seconds(core::Duration(kMeanRunTime)));
  const double arrived = aUsualLoad * (1 - left);
  return { aKnown * left + arrived, aKnown * left * (1 - left) + arrived };
}

core::Duration
AgeOf(core::MonotonicTime aThen, core::MonotonicTime aNow)
{
  return std::max(core::Duration(0), core::Duration(aNow - aThen));
}

} // namespace

void
ServerEstimate::OnSighting(const LoadSighting& aSighting,
                           std::uint32_t aOwnInFlight)
{
  if (sighting_ && aSighting.at_ < sighting_->at_) {
    return;
  }
  sighting_ = aSighting;
  sightedOthers_ =
    std::max(0.0, static_cast<double>(aSighting.InFlight()) - aOwnInFlight);
  if (aSighting.pacePercent_ > 0) {
    const double pace = aSighting.pacePercent_ / 100.0;
    meanPace_ =
      meanPace_ > 0 ? meanPace_ + kPaceWeight * (pace - meanPace_) : pace;
  }
}

void
ServerEstimate::OnPublishedPace(std::uint32_t aPercent)
{
  if (aPercent > 0) {
    meanPace_ = aPercent / 100.0;
  }
}

double
ServerEstimate::PaceAt(core::MonotonicTime aNow) const
{
  if (meanPace_ <= 0) {
    return 1;
  }
  if (!sighting_ || sighting_->pacePercent_ == 0) {
    return meanPace_;
  }
  const double left = std::exp(-core::Seconds(AgeOf(sighting_->at_, aNow)) /
                               core::Seconds(core::Duration(kPaceTime)));
  return meanPace_ + left * (sighting_->pacePercent_ / 100.0 - meanPace_);
}

LoadEstimate
ServerEstimate::At(core::MonotonicTime aNow,
                   const PublishedLoad& aPublished,
                   double aUsualLoad,
                   std::uint32_t aOwnInFlight) const
{
  LoadEstimate estimate;
  estimate.age_ = AgeOf(aPublished.at_, aNow);
  Moments others = Project(aPublished.others_, aUsualLoad, estimate.age_);
  others.variance_ += kPublishedVariance;
  if (sighting_) {
    const core::Duration age = AgeOf(sighting_->at_, aNow);
    const Moments seen = Project(sightedOthers_, aUsualLoad, age);
    const double variance = seen.variance_ + kSightingVariance;
    // The two are weighted by the inverse of their variances.
    const double weight = others.variance_ / (others.variance_ + variance);
    others.mean_ += weight * (seen.mean_ - others.mean_);
    others.variance_ *= 1 - weight;
    estimate.age_ = std::min(estimate.age_, age);
  }
  estimate.inFlight_ = others.mean_ + aOwnInFlight;
  estimate.deviation_ = std::sqrt(others.variance_);
  estimate.pace_ = PaceAt(aNow);
  return estimate;
}

} // namespace crocusslip::routing
