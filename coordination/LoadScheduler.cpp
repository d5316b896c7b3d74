#include "coordination/LoadScheduler.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace crocusslip::coordination {

namespace {

/// Capacity of the token bucket that limits the start rate.
constexpr double kStartBurst = 1.0;
/// Ratio of observed to expected load time above which the store counts as
/// slow.
constexpr double kSlowRatio = 1.5;
constexpr double kDecreaseFactor = 0.5;
constexpr double kMinimumWindow = 1.0;
constexpr double kSlowdownWeight = 0.3;

double
Seconds(core::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

core::Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<core::Duration>(
    std::chrono::duration<double>(aSeconds));
}

bool
IsSameLoad(const QueuedLoad& aLeft, const QueuedLoad& aRight)
{
  return aLeft.deployment_ == aRight.deployment_ &&
         aLeft.server_ == aRight.server_;
}

struct SlackOf
{
  const QueuedLoad& load_;
  core::MonotonicTime now_;

  double operator()(const ArrivalOrder&) const
  {
    return Seconds(load_.enqueuedAt_ - now_);
  }

  double operator()(const DeadlineOrder& aOrder) const
  {
    const core::MonotonicTime deadline =
      load_.waiting_ > 0 && load_.earliestDeadline_
        ? *load_.earliestDeadline_
        : load_.enqueuedAt_ + aOrder.warmUpDeadline_;
    const double queued = Seconds(now_ - load_.enqueuedAt_);
    const core::Duration delay =
      load_.additional_ ? aOrder.additionalDelay_ : core::Duration{};
    return Seconds(deadline + delay - now_) - aOrder.agingFactor_ * queued -
           aOrder.waitingBonusSeconds_ * std::log2(1.0 + load_.waiting_);
  }
};

} // namespace

LoadScheduler::LoadScheduler(StoreLimits aLimits, LoadOrder aOrder)
  : limits_(aLimits)
  , order_(aOrder)
  , modelWindow_(aLimits.models_)
  , startTokens_(kStartBurst)
{
}

void
LoadScheduler::Enqueue(QueuedLoad aLoad)
{
  const auto queued =
    std::find_if(queue_.begin(), queue_.end(), [&](const QueuedLoad& aOther) {
      return IsSameLoad(aOther, aLoad);
    });
  if (queued == queue_.end()) {
    queue_.push_back(std::move(aLoad));
    return;
  }
  queued->earliestDeadline_ = aLoad.earliestDeadline_;
  queued->waiting_ = aLoad.waiting_;
}

void
LoadScheduler::Update(const core::DeploymentId& aDeployment,
                      std::uint32_t aWaiting,
                      std::optional<core::MonotonicTime> aEarliestDeadline)
{
  for (QueuedLoad& load : queue_) {
    if (load.deployment_ == aDeployment) {
      load.waiting_ = aWaiting;
      load.earliestDeadline_ = aEarliestDeadline;
    }
  }
}

bool
LoadScheduler::Cancel(const core::DeploymentId& aDeployment,
                      const core::ServerId& aServer)
{
  return std::erase_if(queue_, [&](const QueuedLoad& aLoad) {
           return aLoad.deployment_ == aDeployment && aLoad.server_ == aServer;
         }) > 0;
}

double
LoadScheduler::Slack(const QueuedLoad& aLoad, core::MonotonicTime aNow) const
{
  return std::visit(SlackOf{ aLoad, aNow }, order_);
}

bool
LoadScheduler::MayStart(LoadClass aClass) const
{
  switch (aClass) {
    case LoadClass::Local:
      return true;
    case LoadClass::Adapter:
      return adaptersInFlight_ < limits_.adapters_;
    case LoadClass::Model:
      return startTokens_ >= 1.0 &&
             static_cast<double>(modelsInFlight_ + 1) <= modelWindow_;
  }
  return false;
}

void
LoadScheduler::RefillTokens(core::MonotonicTime aNow)
{
  if (refilledAt_) {
    const double earned =
      Seconds(aNow - *refilledAt_) * limits_.startsPerSecond_;
    startTokens_ = std::min(kStartBurst, startTokens_ + earned);
  }
  refilledAt_ = aNow;
}

std::optional<QueuedLoad>
LoadScheduler::NextToStart(core::MonotonicTime aNow)
{
  RefillTokens(aNow);
  auto best = queue_.end();
  double leastSlack = 0;
  for (auto load = queue_.begin(); load != queue_.end(); ++load) {
    if (!MayStart(load->class_)) {
      continue;
    }
    const double slack = Slack(*load, aNow);
    if (best == queue_.end() || slack < leastSlack) {
      best = load;
      leastSlack = slack;
    }
  }
  if (best == queue_.end()) {
    return std::nullopt;
  }
  QueuedLoad load = std::move(*best);
  queue_.erase(best);
  if (load.class_ == LoadClass::Model) {
    startTokens_ -= 1.0;
  }
  AdoptStarted(load, aNow);
  return load;
}

std::optional<core::MonotonicTime>
LoadScheduler::NextStartTime(core::MonotonicTime aNow) const
{
  const bool modelQueued =
    std::any_of(queue_.begin(), queue_.end(), [](const QueuedLoad& aLoad) {
      return aLoad.class_ == LoadClass::Model;
    });
  if (!modelQueued || !refilledAt_ ||
      static_cast<double>(modelsInFlight_ + 1) > modelWindow_) {
    return std::nullopt;
  }
  const double missing = std::max(0.0, 1.0 - startTokens_);
  // The extra microsecond prevents rounding from yielding a time just before
  // the token is available.
  const core::MonotonicTime due =
    *refilledAt_ + FromSeconds(missing / limits_.startsPerSecond_) +
    std::chrono::microseconds(1);
  return std::max(due, aNow);
}

void
LoadScheduler::AdoptStarted(const QueuedLoad& aLoad,
                            core::MonotonicTime aStartedAt)
{
  const bool added = started_
                       .try_emplace(Key{ aLoad.deployment_, aLoad.server_ },
                                    Started{ aLoad, aStartedAt })
                       .second;
  if (!added) {
    return;
  }
  modelsInFlight_ += aLoad.class_ == LoadClass::Model ? 1 : 0;
  adaptersInFlight_ += aLoad.class_ == LoadClass::Adapter ? 1 : 0;
}

void
LoadScheduler::OnFinish(const core::DeploymentId& aDeployment,
                        const core::ServerId& aServer,
                        bool aSucceeded,
                        core::MonotonicTime aNow)
{
  const auto found = started_.find(Key{ aDeployment, aServer });
  if (found == started_.end()) {
    return;
  }
  const Started started = found->second;
  started_.erase(found);
  modelsInFlight_ -= started.load_.class_ == LoadClass::Model ? 1 : 0;
  adaptersInFlight_ -= started.load_.class_ == LoadClass::Adapter ? 1 : 0;
  if (aSucceeded && started.load_.class_ == LoadClass::Model &&
      std::holds_alternative<DeadlineOrder>(order_)) {
    AdaptWindow(started, aNow);
  }
}

void
LoadScheduler::AdaptWindow(const Started& aStarted, core::MonotonicTime aNow)
{
  const double expected = Seconds(aStarted.load_.expected_);
  if (expected <= 0) {
    return;
  }
  const double ratio = Seconds(aNow - aStarted.at_) / expected;
  slowdown_ += kSlowdownWeight * (ratio - slowdown_);
  if (ratio <= kSlowRatio) {
    modelWindow_ =
      std::min<double>(limits_.models_, modelWindow_ + 1.0 / modelWindow_);
    return;
  }
  // Loads that started before the last decrease don't reflect its effect.
  if (aStarted.at_ < lastDecrease_) {
    return;
  }
  modelWindow_ = std::max(kMinimumWindow, modelWindow_ * kDecreaseFactor);
  lastDecrease_ = aNow;
}

std::size_t
LoadScheduler::InFlight(LoadClass aClass) const
{
  switch (aClass) {
    case LoadClass::Model:
      return modelsInFlight_;
    case LoadClass::Adapter:
      return adaptersInFlight_;
    case LoadClass::Local:
      break;
  }
  return started_.size() - modelsInFlight_ - adaptersInFlight_;
}

core::Duration
LoadScheduler::ExpectedWait(LoadClass aClass) const
{
  if (aClass != LoadClass::Model) {
    return {};
  }
  core::Duration work{};
  std::size_t models = 0;
  for (const QueuedLoad& load : queue_) {
    if (load.class_ == LoadClass::Model) {
      work += load.expected_;
      ++models;
    }
  }
  const double byConcurrency = Seconds(work) * slowdown_ / modelWindow_;
  const double byRate = static_cast<double>(models) / limits_.startsPerSecond_;
  return FromSeconds(std::max(byConcurrency, byRate));
}

} // namespace crocusslip::coordination
