#include "routing/ServerChoice.hpp"

#include "core/Durations.hpp"

#include <algorithm>

namespace crocusslip::routing {

namespace {

/// Tokens in one event of a stream.
constexpr double kTokensPerEvent = 5;
/// Time of a batch step of one run, and what each further run adds.
constexpr std::chrono::microseconds kStepTime{ 8000 };
constexpr std::chrono::microseconds kStepTimePerRun{ 250 };
/// Standard deviations of the load by which a server counts as fuller.
constexpr double kDoubtWeight = 0.5;
/// Bound of the work for one choice.
constexpr double kMaxExpectedOthers = 64;

double
EventSeconds(double aRuns)
{
  return kTokensPerEvent * (core::Seconds(core::Duration(kStepTime)) +
                            aRuns * core::Seconds(kStepTimePerRun));
}

} // namespace

double
UsableSlots(std::uint32_t aSlots,
            double aPace,
            core::Duration aLongestPause,
            core::Duration aPromptTime)
{
  if (aLongestPause <= core::Duration(0) || aPace <= 0) {
    return std::max(1U, aSlots);
  }
  const double left = core::Seconds(aLongestPause) / aPace -
                      core::Seconds(aPromptTime) - EventSeconds(0);
  const double runs = left / (EventSeconds(1) - EventSeconds(0));
  return std::clamp<double>(runs, 1, std::max(1U, aSlots));
}

double
CostOf(const ServerCandidate& aCandidate, double aMore)
{
  const LoadEstimate& load = aCandidate.load_;
  const double runs = load.inFlight_ + kDoubtWeight * load.deviation_ + aMore;
  const double places = aCandidate.usableSlots_ + 1;
  const double crowding = runs < aCandidate.usableSlots_
                            ? places / (places - runs)
                            : places * (places + runs) / (2 * places - 1);
  return aCandidate.penalty_ * load.pace_ *
         (core::Seconds(aCandidate.promptTime_) + EventSeconds(runs)) *
         crowding;
}

double
ExpectedOthers(const std::vector<ServerCandidate>& aCandidates)
{
  // Requests arrive as fast as those in flight end.
  double inFlight = 0;
  core::Duration age{ 0 };
  for (const ServerCandidate& candidate : aCandidates) {
    inFlight += candidate.load_.inFlight_;
    age += candidate.load_.age_;
  }
  const double meanAge =
    core::Seconds(age) / std::max<double>(1, std::ssize(aCandidates));
  return inFlight * meanAge / core::Seconds(core::Duration(kMeanRunTime));
}

std::size_t
ChooseServer(const std::vector<ServerCandidate>& aCandidates,
             double aExpectedOthers,
             core::Random& aRandom)
{
  const std::size_t count = aCandidates.size();
  std::vector<double> shares(count);
  std::vector<double> costs(count);
  for (std::size_t i = 0; i < count; ++i) {
    costs[i] = CostOf(aCandidates[i], 0);
  }
  const double all =
    1 + std::clamp<double>(aExpectedOthers, 0, kMaxExpectedOthers);
  // Among equal costs the first one counts, so that the start is drawn.
  const std::size_t start = aRandom.Below(count);
  for (double left = all; left > 0; left -= 1) {
    std::size_t best = start;
    for (std::size_t i = 1; i < count; ++i) {
      const std::size_t index = (start + i) % count;
      if (costs[index] < costs[best]) {
        best = index;
      }
    }
    shares[best] += std::min(1.0, left);
    costs[best] = CostOf(aCandidates[best], shares[best]);
  }
  double drawn = aRandom.Uniform() * all;
  for (std::size_t i = 0; i + 1 < count; ++i) {
    drawn -= shares[i];
    if (drawn < 0) {
      return i;
    }
  }
  // Rounding may leave a rest for a server without a share.
  return shares.back() > 0
           ? count - 1
           : static_cast<std::size_t>(std::ranges::max_element(shares) -
                                      shares.begin());
}

} // namespace crocusslip::routing
