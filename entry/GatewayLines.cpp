#include "core/Durations.hpp"
#include "core/Log.hpp"
#include "entry/GatewayCall.hpp"

#include <algorithm>
#include <utility>

/// Requests that can't begin in time.
namespace crocusslip::entry {

namespace {

/// Begun requests are sent as requests in 1,000 s.
constexpr double kRateUnits = 1000;

} // namespace

void
Gateway::ReportLines(std::map<core::ModelName, wire::ModelUse>& aModels)
{
  std::map<core::ModelName, admission::ModelLine> lines;
  for (const auto& [id, waiting] : queue_.All()) {
    if (view_.HoldersNamePace(waiting.need_)) {
      lines[waiting.need_.model_].AddWaiting(waiting.priority_);
    }
  }
  for (const auto& [model, line] : lines) {
    aModels[model].waitingByRank.assign(line.waiting_.begin(),
                                        line.waiting_.end());
  }
  for (const auto& [model, count] : std::exchange(begun_, {})) {
    aModels[model].begun = static_cast<std::int32_t>(count);
  }
}

void
Gateway::ApplyLines(const wire::SyncReply& aReply)
{
  std::map<core::ModelName, admission::ModelLine> lines;
  for (const wire::ModelLine& line : aReply.lines) {
    admission::ModelLine& out = lines[core::ModelName(line.model)];
    for (std::size_t rank = 0; rank < line.waitingByRank.size(); ++rank) {
      out.AddWaiting(
        static_cast<std::uint32_t>(rank),
        static_cast<std::uint32_t>(std::max(0, line.waitingByRank[rank])));
    }
    out.inFlight_ = static_cast<std::uint32_t>(std::max(0, line.inFlight));
    out.begunPerSecond_ = std::max(0, line.begunMilli) / kRateUnits;
  }
  lines_.OnLines(std::move(lines), clock_.Now());
  queue_.Update([&](coordination::QueuedRequest& aOne) {
    SetWaitingElsewhere(aOne.need_, aOne.priority_);
  });
}

void
Gateway::SetWaitingElsewhere(coordination::BackendRequirements& aNeed,
                             std::uint32_t aRank) const
{
  const core::MonotonicTime now = clock_.Now();
  aNeed.moreUrgentElsewhere_ =
    lines_.MoreUrgentElsewhere(aNeed.model_, aRank, now);
  aNeed.waitingElsewhere_ = lines_.WaitingElsewhere(aNeed.model_, now);
}

void
Gateway::RecordBegun(const core::ModelName& aModel)
{
  if (!aModel.Empty()) {
    ++begun_[aModel];
  }
}

admission::BeginVerdict
GatewayCall::JudgeBegin(core::Duration aBearable) const
{
  if (requirements_.model_.Empty() || streaming_ || sends_ > 0) {
    return {};
  }
  const core::MonotonicTime now = gateway_.clock_.Now();
  const auto ahead =
    std::ranges::count_if(gateway_.queue_.All(), [this](const auto& aEntry) {
      const coordination::QueuedRequest& other = aEntry.second;
      return other.need_.model_ == requirements_.model_ &&
             std::pair(other.priority_, other.waitingSince_) <
               std::pair(rank_, arrivedAt_);
    });
  const auto readyAt = gateway_.ExpectedReadyTime(requirements_.model_);
  std::optional<core::Duration> readyIn;
  if (readyAt) {
    readyIn = *readyAt - now;
  }
  const admission::BeginVerdict verdict =
    gateway_.lines_.Judge(requirements_.model_,
                          rank_,
                          static_cast<std::uint32_t>(ahead),
                          aBearable,
                          readyIn,
                          now);
  if (!verdict.canBegin_ && !gateway_.view_.HoldersNamePace(requirements_)) {
    return {};
  }
  return verdict;
}

void
GatewayCall::LogVerdict(const admission::BeginVerdict& aVerdict) const
{
  core::Log(
    core::LogLevel::Info,
    "request can't begin in time",
    { { "request", id_ },
      { "model", requirements_.model_.Value() },
      { "rank", std::to_string(rank_) },
      { "ahead", std::to_string(static_cast<int>(aVerdict.ahead_)) },
      { "wait_ms", std::to_string(core::Milliseconds(aVerdict.expectedWait_)) },
      { "retry_ms",
        std::to_string(core::Milliseconds(aVerdict.retryAfter_)) } });
}

} // namespace crocusslip::entry
