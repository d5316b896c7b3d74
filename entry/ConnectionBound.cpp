#include "entry/ConnectionBound.hpp"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace crocusslip::entry {

namespace {

using LinkPtr = ConnectionBound::LinkPtr;
using Time = std::chrono::steady_clock::time_point;

/// Share of the connections that are closed at once, so that not each new one
/// looks at all of them.
constexpr double kCloseShare = 0.05;
/// Silence after which a request that is being read counts as stalled.
constexpr std::chrono::seconds kStallTime{ 1 };

std::size_t
CloseIdlest(const std::set<LinkPtr>& aLinks, std::size_t aMost)
{
  std::vector<std::pair<Time, LinkPtr>> idle;
  for (const LinkPtr& link : aLinks) {
    if (const auto since = link->IdleSince()) {
      idle.emplace_back(*since, link);
    }
  }
  const std::size_t count = std::min(aMost, idle.size());
  std::ranges::partial_sort(idle,
                            idle.begin() + static_cast<std::ptrdiff_t>(count),
                            {},
                            [](const auto& aEntry) { return aEntry.first; });
  for (std::size_t i = 0; i < count; ++i) {
    idle.at(i).second->EndIdle();
  }
  return count;
}

std::size_t
CloseStalled(const std::set<LinkPtr>& aLinks, std::size_t aMost)
{
  const Time before = std::chrono::steady_clock::now() - kStallTime;
  std::size_t count = 0;
  for (const LinkPtr& link : aLinks) {
    const auto heard = link->ReadingSince();
    if (count < aMost && heard && *heard < before) {
      link->Abort();
      ++count;
    }
  }
  return count;
}

} // namespace

ConnectionBound::Outcome
ConnectionBound::Admit(const std::set<LinkPtr>& aLinks) const
{
  Outcome outcome;
  if (most_ == 0 || aLinks.size() < most_) {
    return outcome;
  }
  const auto batch = std::max<std::size_t>(
    1, static_cast<std::size_t>(kCloseShare * static_cast<double>(most_)));
  // Those that were told to end end a moment later.
  outcome.admitted_ = aLinks.size() < most_ + batch;
  if (!outcome.admitted_) {
    return outcome;
  }
  outcome.closedIdle_ = CloseIdlest(aLinks, batch);
  if (outcome.closedIdle_ == 0) {
    outcome.closedStalled_ = CloseStalled(aLinks, batch);
  }
  outcome.admitted_ = outcome.closedIdle_ + outcome.closedStalled_ > 0;
  return outcome;
}

} // namespace crocusslip::entry
