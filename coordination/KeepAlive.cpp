#include "coordination/KeepAlive.hpp"

#include "coordination/ArrivalStatistics.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace crocusslip::coordination {

namespace {

constexpr auto kHour = std::chrono::hours(1);
constexpr auto kWeek = std::chrono::hours(kWeekHours);
/// Warm-ups start this long before their hour or window.
constexpr auto kWarmUpLead = std::chrono::seconds(20);
/// A window's warm-up is reported repeatedly for this long after it begins.
constexpr auto kWarmUpRepeat = std::chrono::seconds(5);

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

std::uint32_t
HourOf(core::Duration aElapsed)
{
  return static_cast<std::uint32_t>(aElapsed / kHour);
}

/// Returns the end of the calendar window that contains aElapsed, if any; the
/// latest end if several do.
std::optional<core::Duration>
WindowEnd(const KeepAliveSettings& aSettings, core::Duration aElapsed)
{
  const core::Duration inWeek = aElapsed % core::Duration(kWeek);
  std::optional<core::Duration> end;
  for (const CalendarWindow& window : aSettings.windows_) {
    if (inWeek >= window.start_ && inWeek < window.end_) {
      const core::Duration candidate = aElapsed - inWeek + window.end_;
      end = std::max(end.value_or(candidate), candidate);
    }
  }
  return end;
}

/// Integrates the hourly rates of the week profile from aFrom over aHorizon, at
/// most one week.
double
ExpectedUses(const ArrivalStatistics& aStatistics,
             core::Duration aFrom,
             core::Duration aHorizon)
{
  const core::Duration end = aFrom + std::min<core::Duration>(aHorizon, kWeek);
  double uses = 0;
  core::Duration time = aFrom;
  while (time < end) {
    const std::uint32_t hour = HourOf(time);
    const core::Duration next = std::min<core::Duration>(
      end, kHour * static_cast<std::int64_t>(hour + 1));
    uses += aStatistics.RateInHour(hour) * Seconds(next - time);
    time = next;
  }
  return uses;
}

/// Use rate above which the saved reload waits outweigh the idle accelerator
/// time.
double
BreakEvenRate(const KeepAliveSettings& aSettings, const KeepAliveCost& aCost)
{
  const double saved = Seconds(aCost.reload_) * aSettings.idleCost_;
  return saved <= 0 ? 1e9 : aCost.acceleratorShare_ / saved;
}

/// Keep-alive that minimizes the expected idle accelerator time plus the
/// weighted expected wait for reloads.
core::Duration
OptimalDuration(const GapDistribution& aGaps,
                const KeepAliveSettings& aSettings,
                const KeepAliveCost& aCost)
{
  const double reload = Seconds(aCost.reload_);
  const double missCost =
    reload * (aSettings.idleCost_ + aCost.acceleratorShare_);
  double survival = 1.0;
  double idle = 0.0;
  double bestCost = missCost;
  double best = 0.0;
  for (std::size_t i = 0; i < kGapBuckets; ++i) {
    const double mass = aGaps[i];
    const double width = GapBucketEnd(i) - GapBucketStart(i);
    idle += aCost.acceleratorShare_ * width * (survival - mass / 2);
    survival = std::max(0.0, survival - mass);
    const double cost = idle + survival * missCost;
    if (cost < bestCost) {
      bestCost = cost;
      best = GapBucketEnd(i);
    }
  }
  return std::clamp(FromSeconds(best), aSettings.minimum_, aSettings.maximum_);
}

} // namespace

KeepAlive::KeepAlive(KeepAlivePolicy aPolicy, core::MonotonicTime aWeekOrigin)
  : policy_(aPolicy)
  , origin_(aWeekOrigin)
{
}

void
KeepAlive::SetDeployment(const core::DeploymentId& aDeployment,
                         KeepAliveSettings aSettings,
                         KeepAliveCost aCost)
{
  auto known = std::find(settings_.begin(), settings_.end(), aSettings);
  if (known == settings_.end()) {
    settings_.push_back(std::move(aSettings));
    known = std::prev(settings_.end());
  }
  Entry& entry = entries_[aDeployment];
  entry.settings_ = static_cast<std::uint32_t>(known - settings_.begin());
  entry.cost_ = aCost;
  UpdateDuration(entry);
}

void
KeepAlive::RemoveDeployment(const core::DeploymentId& aDeployment)
{
  entries_.erase(aDeployment);
}

void
KeepAlive::OnUse(const core::DeploymentId& aDeployment,
                 core::MonotonicTime aNow)
{
  const auto found = entries_.find(aDeployment);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  const std::optional<double> gap = entry.statistics_.AddUse(SinceOrigin(aNow));
  if (gap) {
    population_.Add(*gap);
  }
  UpdateDuration(entry);
}

void
KeepAlive::UpdateDuration(Entry& aEntry) const
{
  if (const auto* learned = std::get_if<LearnedKeepAlive>(&policy_)) {
    aEntry.duration_ = OptimalDuration(
      Gaps(aEntry, *learned), settings_[aEntry.settings_], aEntry.cost_);
  }
}

GapDistribution
KeepAlive::Gaps(const Entry& aEntry, const LearnedKeepAlive& aPolicy) const
{
  return aEntry.statistics_.Gaps(population_.Distribution(),
                                 aPolicy.priorWeight_);
}

core::MonotonicTime
KeepAlive::IdleDeadline(const core::DeploymentId& aDeployment,
                        core::MonotonicTime aNow) const
{
  const Entry* entry = Find(aDeployment);
  if (entry == nullptr) {
    return aNow;
  }
  const KeepAliveSettings& settings = settings_[entry->settings_];
  const core::MonotonicTime lastUse = entry->statistics_.Used()
                                        ? origin_ + entry->statistics_.LastUse()
                                        : origin_;
  core::MonotonicTime deadline = lastUse;
  if (const auto* fixed = std::get_if<FixedKeepAlive>(&policy_)) {
    deadline = lastUse + fixed->duration_;
  }
  if (std::holds_alternative<LearnedKeepAlive>(policy_)) {
    deadline =
      std::max(lastUse + entry->duration_, ProfileDeadline(*entry, aNow));
    deadline = std::min(deadline, std::max(lastUse, aNow) + settings.maximum_);
  }
  const std::optional<core::Duration> window =
    WindowEnd(settings, SinceOrigin(aNow));
  if (window && !std::holds_alternative<NoKeepAlive>(policy_)) {
    deadline = std::max(deadline, origin_ + *window);
  }
  return deadline;
}

core::MonotonicTime
KeepAlive::ProfileDeadline(const Entry& aEntry, core::MonotonicTime aNow) const
{
  const auto& learned = std::get<LearnedKeepAlive>(policy_);
  if (!learned.weekProfile_ || !aEntry.statistics_.Used()) {
    return origin_;
  }
  const KeepAliveSettings& settings = settings_[aEntry.settings_];
  const double breakEven = BreakEvenRate(settings, aEntry.cost_);
  // Includes the warm-up lead, so that a replica warmed up for the next hour is
  // not unloaded before that hour begins.
  const core::Duration elapsed = SinceOrigin(aNow) + kWarmUpLead;
  const std::uint32_t hour = HourOf(elapsed);
  if (aEntry.statistics_.RateInHour(hour) < breakEven) {
    return origin_;
  }
  return origin_ + kHour * static_cast<std::int64_t>(hour + 1);
}

double
KeepAlive::ProbabilityOfUse(const core::DeploymentId& aDeployment,
                            core::MonotonicTime aNow,
                            core::Duration aHorizon) const
{
  const Entry* entry = Find(aDeployment);
  if (entry == nullptr || !entry->statistics_.Used()) {
    return 0.0;
  }
  const core::Duration elapsed = SinceOrigin(aNow);
  const double idle = Seconds(elapsed - entry->statistics_.LastUse());
  const auto* learned = std::get_if<LearnedKeepAlive>(&policy_);
  const GapDistribution gaps =
    Gaps(*entry, learned == nullptr ? LearnedKeepAlive{} : *learned);
  const double survivalNow = Survival(gaps, idle);
  const double survivalAtHorizon = Survival(gaps, idle + Seconds(aHorizon));
  const double byGap =
    survivalNow <= 0 ? 0.0 : 1.0 - survivalAtHorizon / survivalNow;
  const double byProfile =
    1.0 - std::exp(-ExpectedUses(entry->statistics_, elapsed, aHorizon));
  return std::clamp(std::max(byGap, byProfile), 0.0, 1.0);
}

double
KeepAlive::Rate(const core::DeploymentId& aDeployment,
                core::MonotonicTime aNow) const
{
  constexpr double kHorizonSeconds = 60;
  const double probability =
    ProbabilityOfUse(aDeployment, aNow, FromSeconds(kHorizonSeconds));
  return -std::log(1.0 - std::min(probability, 0.999)) / kHorizonSeconds;
}

std::vector<WarmUp>
KeepAlive::DueWarmUps(core::MonotonicTime aNow)
{
  std::vector<WarmUp> due;
  const auto* learned = std::get_if<LearnedKeepAlive>(&policy_);
  if (learned == nullptr || !learned->warmUp_) {
    return due;
  }
  const core::Duration elapsed = SinceOrigin(aNow) + kWarmUpLead;
  const std::uint32_t hour = HourOf(elapsed);
  const bool newHour = hour != scannedHour_;
  scannedHour_ = hour;
  for (const auto& [id, entry] : entries_) {
    const KeepAliveSettings& settings = settings_[entry.settings_];
    if (!newHour && settings.windows_.empty()) {
      continue;
    }
    const double rate = entry.statistics_.RateInHour(hour);
    const bool byProfile = newHour && learned->weekProfile_ &&
                           rate >= BreakEvenRate(settings, entry.cost_);
    const bool byWindow =
      WindowEnd(settings, elapsed) &&
      (newHour || !WindowEnd(settings, elapsed - kWarmUpRepeat));
    if (byProfile || byWindow) {
      due.push_back({ id, rate });
    }
  }
  std::sort(
    due.begin(), due.end(), [](const WarmUp& aLeft, const WarmUp& aRight) {
      return aLeft.rate_ != aRight.rate_
               ? aLeft.rate_ > aRight.rate_
               : aLeft.deployment_ < aRight.deployment_;
    });
  return due;
}

const KeepAlive::Entry*
KeepAlive::Find(const core::DeploymentId& aDeployment) const
{
  const auto found = entries_.find(aDeployment);
  return found == entries_.end() ? nullptr : &found->second;
}

core::Duration
KeepAlive::SinceOrigin(core::MonotonicTime aNow) const
{
  return std::max(aNow - origin_, core::Duration::zero());
}

} // namespace crocusslip::coordination
