#include "coordination/RateGrants.hpp"

#include "core/Durations.hpp"

#include <algorithm>
#include <cmath>

namespace crocusslip::coordination {

namespace {

/// Lowest rate granted, per second: without requests a server can't say that
/// its limit has changed.
constexpr double kMinRate = 0.25;
/// Grants for this time can be given at once, and one more.
constexpr std::chrono::seconds kBurstTime{ 1 };

} // namespace

void
RateGrants::OnSighting(const core::ServerId& aServer,
                       const RateSighting& aSighting)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end()) {
    servers_[aServer] = { aSighting, 1, aSighting.at_ };
    return;
  }
  if (aSighting.at_ >= found->second.sighting_.at_) {
    found->second.sighting_ = aSighting;
  }
}

std::optional<double>
RateGrants::LimitOf(const core::ServerId& aServer) const
{
  const auto found = servers_.find(aServer);
  return found == servers_.end() ? std::nullopt
                                 : found->second.sighting_.perSecond_;
}

std::uint32_t
RateGrants::Grant(const core::ServerId& aServer,
                  std::uint32_t aWanted,
                  core::MonotonicTime aNow)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end() || !found->second.sighting_.perSecond_) {
    return 0;
  }
  Server& server = found->second;
  const double rate = std::max(kMinRate, *server.sighting_.perSecond_);
  const core::Duration elapsed =
    std::max(core::Duration(0), aNow - server.refilledAt_);
  server.available_ =
    std::min(server.available_ + core::Seconds(elapsed) * rate,
             1 + core::Seconds(kBurstTime) * rate);
  server.refilledAt_ = aNow;
  const double granted =
    std::min<double>(aWanted, std::floor(server.available_));
  server.available_ -= granted;
  return static_cast<std::uint32_t>(granted);
}

void
RateGrants::Remove(const core::ServerId& aServer)
{
  servers_.erase(aServer);
}

std::size_t
RateGrants::Size() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(servers_, [](const auto& aEntry) {
      return aEntry.second.sighting_.perSecond_.has_value();
    }));
}

} // namespace crocusslip::coordination
