#pragma once

#include "core/Clock.hpp"
#include "core/Ids.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace crocusslip::coordination {

/// Selects the store limit that a load counts against.
enum class LoadClass : std::uint8_t
{
  Model,
  Adapter,
  /// Read from the server's own memory or disk; doesn't use the store and is
  /// not limited.
  Local,
};

/// Start rate and concurrency limits of the weight store.
struct StoreLimits
{
  double startsPerSecond_ = 8.0;
  std::uint32_t models_ = 4;
  std::uint32_t adapters_ = 32;
};

struct QueuedLoad
{
  core::DeploymentId deployment_;
  core::ServerId server_;
  LoadClass class_ = LoadClass::Model;
  core::MonotonicTime enqueuedAt_;
  std::optional<core::MonotonicTime> earliestDeadline_;
  std::uint32_t waiting_ = 0;
  /// Another replica of the deployment is already loaded or loading.
  bool additional_ = false;
  /// Expected duration when the store runs at full speed.
  core::Duration expected_{};
};

/// Earliest deadline first, adjusted for aging, waiting requests and additional
/// replicas.
struct DeadlineOrder
{
  /// Seconds by which the deadline moves earlier for each second in the queue.
  double agingFactor_ = 2.0;
  /// Deadline, relative to enqueuing, of a load that no request waits for.
  core::Duration warmUpDeadline_ = std::chrono::seconds(60);
  /// Seconds by which the deadline moves earlier for each doubling of the
  /// number of waiting requests.
  double waitingBonusSeconds_ = 0.5;
  /// Time by which the deadline of a load that only adds a replica moves later.
  core::Duration additionalDelay_ = std::chrono::seconds(20);
};

/// Baseline: first come, first served with constant concurrency.
struct ArrivalOrder
{};

using LoadOrder = std::variant<DeadlineOrder, ArrivalOrder>;

/// Schedules loads under the shared limits of the store, and adapts the
/// concurrency of model loads to the store's speed by additive increase and
/// multiplicative decrease (AIMD).
class LoadScheduler
{
public:
  LoadScheduler(StoreLimits aLimits, LoadOrder aOrder);

  /// Enqueues the load, or updates the deadline and the number of waiting
  /// requests if it is already queued.
  void Enqueue(QueuedLoad aLoad);
  /// Updates the demand of all queued loads of a deployment.
  void Update(const core::DeploymentId& aDeployment,
              std::uint32_t aWaiting,
              std::optional<core::MonotonicTime> aEarliestDeadline);
  bool Cancel(const core::DeploymentId& aDeployment,
              const core::ServerId& aServer);
  /// Dequeues the next load that may start now. Call until it returns nothing.
  std::optional<QueuedLoad> NextToStart(core::MonotonicTime aNow);
  /// Returns when the start rate next permits a queued model load, or nothing
  /// if none is queued or another load has to finish first.
  std::optional<core::MonotonicTime> NextStartTime(
    core::MonotonicTime aNow) const;
  /// Records the end of a load. The duration of a successful model load adjusts
  /// the concurrency under DeadlineOrder.
  void OnFinish(const core::DeploymentId& aDeployment,
                const core::ServerId& aServer,
                bool aSucceeded,
                core::MonotonicTime aNow);
  /// Counts against the limits a load that an earlier leader started.
  void AdoptStarted(const QueuedLoad& aLoad, core::MonotonicTime aStartedAt);

  std::size_t Queued() const { return queue_.size(); }
  std::size_t InFlight(LoadClass aClass) const;
  /// Number of concurrent model loads currently allowed, at most the limit of
  /// the store.
  double ModelConcurrency() const { return modelWindow_; }
  /// Exponentially weighted average of observed to expected load time.
  double Slowdown() const { return slowdown_; }
  /// Expected queueing time of a load enqueued now, used by admission control.
  core::Duration ExpectedWait(LoadClass aClass) const;

private:
  struct Started
  {
    QueuedLoad load_;
    core::MonotonicTime at_;
  };
  using Key = std::pair<core::DeploymentId, core::ServerId>;

  /// Seconds to the adjusted deadline; the load with the least starts first.
  double Slack(const QueuedLoad& aLoad, core::MonotonicTime aNow) const;
  bool MayStart(LoadClass aClass) const;
  void RefillTokens(core::MonotonicTime aNow);
  void AdaptWindow(const Started& aStarted, core::MonotonicTime aNow);

  StoreLimits limits_;
  LoadOrder order_;
  std::deque<QueuedLoad> queue_;
  std::map<Key, Started> started_;
  std::size_t modelsInFlight_ = 0;
  std::size_t adaptersInFlight_ = 0;
  double modelWindow_;
  double slowdown_ = 1.0;
  double startTokens_ = 1.0;
  std::optional<core::MonotonicTime> refilledAt_;
  core::MonotonicTime lastDecrease_;
};

} // namespace crocusslip::coordination
