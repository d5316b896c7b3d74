#pragma once

#include "coordination/ArrivalStatistics.hpp"
#include "core/Clock.hpp"
#include "core/Ids.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace crocusslip::coordination {

/// A weekly window in which a deployment stays loaded; offsets from Monday
/// 00:00.
struct CalendarWindow
{
  core::Duration start_{};
  core::Duration end_{};

  friend bool operator==(const CalendarWindow&,
                         const CalendarWindow&) = default;
};

/// Effective settings of one deployment, resolved through the settings tree.
struct KeepAliveSettings
{
  /// The setting idle_cost: seconds of idle accelerator time that one second of
  /// a caller's wait is worth. A higher value keeps replicas longer; 0 unloads
  /// as early as the minimum allows.
  double idleCost_ = 300.0;
  core::Duration minimum_ = std::chrono::seconds(1);
  core::Duration maximum_ = std::chrono::hours(4);
  std::vector<CalendarWindow> windows_;

  friend bool operator==(const KeepAliveSettings&,
                         const KeepAliveSettings&) = default;
};

/// Cost inputs of a replica: the share of an accelerator that it occupies, and
/// the time that a caller waits for a reload.
struct KeepAliveCost
{
  double acceleratorShare_ = 1.0;
  core::Duration reload_ = std::chrono::seconds(1);
};

/// Keep-alive computed from the distribution of gaps between uses and from the
/// hourly use rates of a week.
struct LearnedKeepAlive
{
  /// Weight of the population's gap distribution, as the prior, in the estimate
  /// for one deployment.
  double priorWeight_ = 4.0;
  bool weekProfile_ = true;
  bool warmUp_ = true;
};

/// Baseline: the same keep-alive for every deployment. Calendar windows still
/// apply, the minimum and maximum don't.
struct FixedKeepAlive
{
  core::Duration duration_ = std::chrono::minutes(10);
};

/// Baseline: unload as soon as a replica is idle. Calendar windows, minimum and
/// maximum don't apply.
struct NoKeepAlive
{};

using KeepAlivePolicy =
  std::variant<LearnedKeepAlive, FixedKeepAlive, NoKeepAlive>;

/// A deployment to load before its expected use.
struct WarmUp
{
  core::DeploymentId deployment_;
  /// Expected uses per second.
  double rate_ = 0;
};

/// Decides how long idle replicas stay loaded and which deployments are loaded
/// before they are used.
class KeepAlive
{
public:
  /// aWeekOrigin is a Monday 00:00 at or before the first use.
  KeepAlive(KeepAlivePolicy aPolicy, core::MonotonicTime aWeekOrigin);

  void SetDeployment(const core::DeploymentId& aDeployment,
                     KeepAliveSettings aSettings,
                     KeepAliveCost aCost);
  void RemoveDeployment(const core::DeploymentId& aDeployment);
  /// Records the arrival of a request, whether or not a replica is loaded.
  void OnUse(const core::DeploymentId& aDeployment, core::MonotonicTime aNow);
  /// Returns when a replica without requests is to be unloaded. A time at or
  /// before aNow means now.
  core::MonotonicTime IdleDeadline(const core::DeploymentId& aDeployment,
                                   core::MonotonicTime aNow) const;
  /// Returns the probability of a use between aNow and aNow + aHorizon.
  double ProbabilityOfUse(const core::DeploymentId& aDeployment,
                          core::MonotonicTime aNow,
                          core::Duration aHorizon) const;
  /// Returns the expected uses per second at aNow, from gaps and week profile.
  double Rate(const core::DeploymentId& aDeployment,
              core::MonotonicTime aNow) const;
  /// Returns deployments that should be loaded now although no request waits.
  /// Call about once per second; a call evaluates all deployments when a new
  /// hour begins, otherwise only those with calendar windows.
  std::vector<WarmUp> DueWarmUps(core::MonotonicTime aNow);

  std::size_t Deployments() const { return entries_.size(); }

private:
  struct Entry
  {
    ArrivalStatistics statistics_;
    KeepAliveCost cost_;
    /// Index into settings_; most deployments share inherited settings.
    std::uint32_t settings_ = 0;
    /// Keep-alive after the last use, recomputed at each use.
    core::Duration duration_{};
  };

  void UpdateDuration(Entry& aEntry) const;
  GapDistribution Gaps(const Entry& aEntry,
                       const LearnedKeepAlive& aPolicy) const;
  /// Returns the end of the hour that contains aNow plus the warm-up lead if
  /// the week profile's rate for that hour justifies staying loaded, otherwise
  /// the origin.
  core::MonotonicTime ProfileDeadline(const Entry& aEntry,
                                      core::MonotonicTime aNow) const;
  const Entry* Find(const core::DeploymentId& aDeployment) const;
  core::Duration SinceOrigin(core::MonotonicTime aNow) const;

  KeepAlivePolicy policy_;
  core::MonotonicTime origin_;
  std::vector<KeepAliveSettings> settings_;
  std::unordered_map<core::DeploymentId, Entry> entries_;
  /// Gaps of all deployments, the prior for each deployment's distribution.
  PopulationGaps population_;
  std::uint32_t scannedHour_ = 0;
};

} // namespace crocusslip::coordination
