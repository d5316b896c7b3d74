#include "coordination/BackendView.hpp"

#include <algorithm>

/// The part of BackendView that concerns servers which name their pace.
namespace crocusslip::coordination {

namespace {

/// Mean age of the hosts' reports in what the control group publishes, when it
/// arrives.
constexpr std::chrono::milliseconds kPublishedLag{ 300 };
/// Prefill time per prompt token of a server whose time is not known.
constexpr std::chrono::nanoseconds kUsualTokenTime{ 50'000 };
constexpr double kMinSlowness = 0.25;
/// Requests, relative to its slots, at a server for which requests wait at
/// other hosts, and the number of these from which that is so: it is full and
/// has a line of its own.
constexpr double kContendedLoad = 4.0 / 3;
constexpr double kContendingRequests = 4;
/// Largest share of a server's places that is kept for more urgent requests of
/// other hosts.
constexpr double kMaxKeptShare = 0.5;

} // namespace

// The times of a step and of a run are those of engines.
bool
BackendView::UsesEstimate(const Server& aServer)
{
  return aServer.row_.memoryTokens_ > 0 && aServer.estimate_.NamesPace();
}

void
BackendView::OnLoadSighting(const core::ServerId& aServer,
                            const routing::LoadSighting& aSighting)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end()) {
    return;
  }
  Server& server = found->second;
  server.estimate_.OnSighting(aSighting, server.usage_.inFlight_);
  if (server.estimate_.NamesPace()) {
    server.usage_.load_ = aSighting;
  }
}

std::optional<routing::LoadEstimate>
BackendView::EstimateOf(const core::ServerId& aServer,
                        core::MonotonicTime aNow) const
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end() || !UsesEstimate(found->second)) {
    return std::nullopt;
  }
  return Estimate(found->second, aNow, 0);
}

routing::LoadEstimate
BackendView::Estimate(const Server& aServer,
                      core::MonotonicTime aNow,
                      std::uint32_t aWaitingElsewhere) const
{
  const double others = aServer.row_.othersInFlight_;
  const auto found = usualLoads_.find(aServer.row_.service_);
  double usual = found == usualLoads_.end() ? others : found->second;
  const double contended = kContendedLoad * aServer.row_.slots_;
  if (aWaitingElsewhere > 0 && usual < contended) {
    // Places that become free are taken by those who wait.
    usual += (contended - usual) *
             std::min(1.0, aWaitingElsewhere / kContendingRequests);
  }
  return aServer.estimate_.At(aNow,
                              { others, controlContact_ - kPublishedLag },
                              usual,
                              aServer.usage_.inFlight_);
}

void
BackendView::UpdateUsualLoads()
{
  struct Sum
  {
    double requests_ = 0;
    double servers_ = 0;
  };
  std::map<ServiceName, Sum> sums;
  for (const auto& [id, server] : servers_) {
    if (UsesEstimate(server) && server.row_.state_ == BackendState::Ready) {
      Sum& sum = sums[server.row_.service_];
      sum.requests_ += server.row_.othersInFlight_;
      sum.servers_ += 1;
    }
  }
  usualLoads_.clear();
  for (const auto& [service, sum] : sums) {
    usualLoads_[service] = sum.requests_ / sum.servers_;
  }
}

routing::ServerCandidate
BackendView::MakeCandidate(const Server& aServer,
                           const BackendRequirements& aRequirements,
                           core::MonotonicTime aNow) const
{
  const BackendRow& row = aServer.row_;
  const double tokenTime = row.tokenTime_.count() > 0
                             ? static_cast<double>(row.tokenTime_.count()) /
                                 std::max(kMinSlowness, row.slowness_)
                             : static_cast<double>(kUsualTokenTime.count());
  const auto promptTime = [&](std::uint64_t aTokens) {
    return core::Duration(
      static_cast<std::int64_t>(tokenTime * static_cast<double>(aTokens)));
  };
  routing::ServerCandidate candidate;
  candidate.load_ = Estimate(aServer, aNow, aRequirements.waitingElsewhere_);
  candidate.usableSlots_ = routing::UsableSlots(
    row.slots_,
    candidate.load_.pace_,
    aRequirements.overdue_ ? core::Duration(0) : aRequirements.longestPause_,
    promptTime(aRequirements.promptTokens_));
  candidate.promptTime_ =
    promptTime(aRequirements.promptTokens_ + row.othersPrefillTokens_ +
               aServer.usage_.prefillTokens_);
  candidate.penalty_ = PenaltyOf(aServer);
  return candidate;
}

bool
BackendView::HasPlace(const Server& aServer,
                      const BackendRequirements& aRequirements,
                      core::MonotonicTime aNow) const
{
  if (aServer.row_.slots_ == 0) {
    return true;
  }
  const routing::ServerCandidate candidate =
    MakeCandidate(aServer, aRequirements, aNow);
  // The less urgent never leave more than a share of the places: what others
  // wait for may be something else.
  const double kept = std::min<double>(aRequirements.moreUrgentElsewhere_,
                                       kMaxKeptShare * candidate.usableSlots_);
  // Half a request of an estimate is not one that is there.
  return candidate.load_.inFlight_ + 0.5 + kept < candidate.usableSlots_;
}

bool
BackendView::HoldersNamePace(const BackendRequirements& aRequirements) const
{
  bool any = false;
  for (const auto& [id, server] : servers_) {
    const BackendRow& row = server.row_;
    if (row.service_ != aRequirements.service_ ||
        row.state_ != BackendState::Ready ||
        !row.models_.contains(aRequirements.model_)) {
      continue;
    }
    if (!UsesEstimate(server)) {
      return false;
    }
    any = true;
  }
  return any;
}

const BackendView::Option&
BackendView::ChooseByEstimate(const std::vector<Option>& aOptions,
                              const BackendRequirements& aRequirements,
                              core::MonotonicTime aNow,
                              core::Random& aRandom,
                              BackendChoice& aChoice) const
{
  std::vector<routing::ServerCandidate> candidates;
  candidates.reserve(aOptions.size());
  for (const Option& option : aOptions) {
    candidates.push_back(MakeCandidate(*option.server_, aRequirements, aNow));
  }
  const std::size_t index = routing::ChooseServer(
    candidates, routing::ExpectedOthers(candidates), aRandom);
  aChoice.estimate_ = candidates[index].load_;
  aChoice.usableSlots_ = candidates[index].usableSlots_;
  aChoice.candidates_ = static_cast<std::uint32_t>(candidates.size());
  return aOptions[index];
}

} // namespace crocusslip::coordination
