#include "admission/LineTable.hpp"

#include "core/Durations.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace crocusslip::admission {

namespace {

/// Age from which a line is not used any more, as without a leader.
constexpr std::chrono::seconds kMaxLineAge{ 2 };
constexpr double kRunWeight = 0.05;
/// A request is refused only if it is expected to begin later than this
/// multiple of what its caller bears: the time of a run is known only in the
/// mean, and one that can begin is kept.
constexpr double kRefusalMargin = 1.25;
/// Share of what callers bear within which a request that comes back is
/// expected to begin.
constexpr double kReturnShare = 0.5;
constexpr std::chrono::milliseconds kMinRetryAfter{ 100 };
constexpr std::chrono::seconds kMaxRetryAfter{ 30 };
/// Rate at which requests begin, relative to now, once a server more has the
/// model.
constexpr double kRateWithOneMore = 2;

core::Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<core::Duration>(
    std::chrono::duration<double>(aSeconds));
}

double
WaitSeconds(double aAhead, double aRate, std::optional<core::Duration> aReadyIn)
{
  const double wait = aAhead / aRate;
  if (!aReadyIn) {
    return wait;
  }
  const double ready = std::max(0.0, core::Seconds(*aReadyIn));
  return wait <= ready ? wait : ready + (wait - ready) / kRateWithOneMore;
}

} // namespace

std::uint32_t
ModelLine::Waiting() const
{
  return std::accumulate(waiting_.begin(), waiting_.end(), 0U);
}

void
ModelLine::AddWaiting(std::uint32_t aRank, std::uint32_t aCount)
{
  const std::size_t rank = std::min<std::size_t>(aRank, kLineRanks - 1);
  waiting_.resize(std::max(waiting_.size(), rank + 1));
  waiting_[rank] += aCount;
}

void
LineTable::OnLines(std::map<core::ModelName, ModelLine> aLines,
                   core::MonotonicTime aNow)
{
  lines_ = std::move(aLines);
  toldAt_ = aNow;
}

void
LineTable::OnRun(core::Duration aTime)
{
  meanRun_ += std::chrono::duration_cast<core::Duration>(
    kRunWeight * std::chrono::duration<double, std::nano>(aTime - meanRun_));
}

const ModelLine*
LineTable::Find(const core::ModelName& aModel, core::MonotonicTime aNow) const
{
  const auto line = lines_.find(aModel);
  return line == lines_.end() || aNow - toldAt_ > kMaxLineAge ? nullptr
                                                              : &line->second;
}

std::uint32_t
LineTable::MoreUrgentElsewhere(const core::ModelName& aModel,
                               std::uint32_t aRank,
                               core::MonotonicTime aNow) const
{
  const ModelLine* line = Find(aModel, aNow);
  if (line == nullptr) {
    return 0;
  }
  const auto end =
    std::min<std::size_t>({ aRank, line->waiting_.size(), kLineRanks - 1 });
  return std::accumulate(line->waiting_.begin(),
                         line->waiting_.begin() +
                           static_cast<std::ptrdiff_t>(end),
                         0U);
}

std::uint32_t
LineTable::WaitingElsewhere(const core::ModelName& aModel,
                            core::MonotonicTime aNow) const
{
  const ModelLine* line = Find(aModel, aNow);
  return line == nullptr ? 0 : line->Waiting();
}

BeginVerdict
LineTable::Judge(const core::ModelName& aModel,
                 std::uint32_t aRank,
                 std::uint32_t aOwnAhead,
                 core::Duration aBearable,
                 std::optional<core::Duration> aReadyIn,
                 core::MonotonicTime aNow) const
{
  BeginVerdict verdict;
  const ModelLine* line = Find(aModel, aNow);
  if (line == nullptr) {
    return verdict;
  }
  // Those of its own rank that wait elsewhere came before it.
  const std::size_t rank = std::min<std::size_t>(aRank, kLineRanks - 1);
  const std::uint32_t same =
    rank < line->waiting_.size() ? line->waiting_[rank] : 0;
  verdict.ahead_ = MoreUrgentElsewhere(aModel, aRank, aNow) + same + aOwnAhead;
  // Runs end at the rate at which they begin; a line that has just formed shows
  // it in the runs rather than in the starts.
  const double rate =
    std::max(line->begunPerSecond_, line->inFlight_ / core::Seconds(meanRun_));
  if (rate <= 0) {
    return verdict;
  }
  const double wait = WaitSeconds(verdict.ahead_, rate, aReadyIn);
  const double bearable = std::max(0.0, core::Seconds(aBearable));
  verdict.expectedWait_ = FromSeconds(wait);
  verdict.canBegin_ = wait <= kRefusalMargin * bearable;
  if (!verdict.canBegin_) {
    verdict.retryAfter_ =
      std::clamp<core::Duration>(FromSeconds(wait - kReturnShare * bearable),
                                 kMinRetryAfter,
                                 kMaxRetryAfter);
  }
  return verdict;
}

} // namespace crocusslip::admission
