#include "admission/FairShares.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace crocusslip::admission {

namespace {

/// Time for which a host's report counts; hosts report more often.
constexpr std::chrono::seconds kReportLifetime{ 3 };
/// Shares are computed once in this time, whatever the number of hosts.
constexpr std::chrono::milliseconds kComputeInterval{ 50 };
/// Most tenants that are told; those with the greatest overuse.
constexpr std::size_t kMaxTold = 64;
/// A tenant that wants this many times its share is held below the share, by
/// this many standard deviations of the others' requests (the root of their
/// number), but at no less than this part of it. Its waiting requests would
/// fill the rest at all hosts at once, before those of other tenants are known.
constexpr double kGreedyDemand = 2;
constexpr double kDeviations = 2;
constexpr double kLeastPart = 0.5;
/// While a tenant is held, fewer requests are in flight. The shares must not
/// shrink with them at once, or the tenant would be held ever lower.
constexpr std::chrono::milliseconds kTotalMemory{ 500 };
constexpr double kMaxRatio = 1e4;
constexpr std::uint32_t kAtShare = 100;

/// The largest part that a tenant gets when aTotal is divided among tenants
/// with these demands in equal parts, none of them larger than its demand.
double
FairPart(std::vector<double> aDemands, double aTotal)
{
  std::ranges::sort(aDemands);
  double part = 0;
  for (std::size_t i = 0; i < aDemands.size(); ++i) {
    part = aTotal / static_cast<double>(aDemands.size() - i);
    if (aDemands[i] >= part) {
      break;
    }
    aTotal -= aDemands[i];
  }
  return part;
}

} // namespace

std::uint32_t
OveruseStep(std::uint32_t aPercent)
{
  if (aPercent < kAtShare) {
    return 0;
  }
  return aPercent < 2 * kAtShare ? 1 : aPercent < 4 * kAtShare ? 2 : 3;
}

void
FairShares::OnReport(const core::HostId& aHost,
                     std::map<TenantName, ScarceUse> aUses,
                     core::MonotonicTime aNow)
{
  if (aUses.empty()) {
    hosts_.erase(aHost);
    return;
  }
  hosts_[aHost] = { std::move(aUses), aNow };
}

const SharePercents&
FairShares::Percents(core::MonotonicTime aNow)
{
  if (aNow >= computedAt_ + kComputeInterval) {
    Compute(aNow);
    computedAt_ = aNow;
  }
  return percents_;
}

void
FairShares::Compute(core::MonotonicTime aNow)
{
  percents_.clear();
  std::erase_if(hosts_, [&](const auto& aEntry) {
    return aNow - aEntry.second.reportedAt_ > kReportLifetime;
  });
  std::map<TenantName, ScarceUse> tenants;
  for (const auto& [id, host] : hosts_) {
    for (const auto& [name, use] : host.uses_) {
      tenants[name].running_ += use.running_;
      tenants[name].waiting_ += use.waiting_;
    }
  }
  std::vector<double> demands;
  double running = 0;
  for (const auto& [name, use] : tenants) {
    demands.push_back(static_cast<double>(use.running_) + use.waiting_);
    running += use.running_;
  }
  const double kept =
    1 - std::chrono::duration<double>(aNow - computedAt_) / kTotalMemory;
  total_ = std::max(running, std::max(0.0, kept) * total_);
  const double part = FairPart(demands, total_);
  double others = 0;
  for (const double demand : demands) {
    others += demand < part ? demand : 0;
  }
  const double greedyPart =
    std::max(kLeastPart * part, part - kDeviations * std::sqrt(others));
  const bool lessUsed = std::ranges::any_of(
    tenants, [&](const auto& aEntry) { return aEntry.second.running_ < part; });
  if (part <= 0 || !lessUsed) {
    return;
  }
  std::vector<std::pair<std::uint32_t, TenantName>> overused;
  for (const auto& [name, use] : tenants) {
    const double wanted = static_cast<double>(use.running_) + use.waiting_;
    const double ratio = use.running_ / part;
    auto percent =
      static_cast<std::uint32_t>(std::floor(100 * std::min(ratio, kMaxRatio)));
    if (wanted >= kGreedyDemand * part && use.running_ >= greedyPart) {
      percent = std::max(percent, kAtShare);
    }
    if (OveruseStep(percent) > 0) {
      overused.emplace_back(percent, name);
    }
  }
  std::ranges::sort(overused, std::ranges::greater());
  if (overused.size() > kMaxTold) {
    overused.resize(kMaxTold);
  }
  for (const auto& [percent, name] : overused) {
    percents_[name] = percent;
  }
}

} // namespace crocusslip::admission
