#include "coordination/Router.hpp"

#include "core/Hash.hpp"

#include <algorithm>

namespace crocusslip::coordination {

namespace {

/// Weight of one answer in a deployment's moving mean of the service time.
constexpr double kServiceTimeWeight = 0.1;
/// Upper bound on the candidates of one deployment, regardless of settings.
constexpr std::size_t kMaxCandidates = 1024;

std::uint64_t
Mix(std::uint64_t aValue)
{
  aValue ^= aValue >> 30U;
  aValue *= 0xbf58476d1ce4e5b9U;
  aValue ^= aValue >> 27U;
  aValue *= 0x94d049bb133111ebU;
  return aValue ^ (aValue >> 31U);
}

} // namespace

Router::Router(RouterSettings aSettings)
  : settings_(std::move(aSettings))
  , servers_(settings_)
  , cache_(settings_.prefixCacheEntries_)
{
}

ServerHandle
Router::SetServer(const ServerInfo& aInfo)
{
  return servers_.Set(aInfo);
}

void
Router::SetServerState(ServerHandle aServer,
                       ServerState aState,
                       core::MonotonicTime aNow)
{
  servers_.SetState(aServer, aState, aNow);
  if (aState == ServerState::Failed) {
    cache_.Forget(aServer.index_);
  }
}

void
Router::RemoveServer(ServerHandle aServer)
{
  if (servers_.Get(aServer) == nullptr) {
    return;
  }
  servers_.Remove(aServer);
  cache_.Forget(aServer.index_);
}

std::optional<ServerHandle>
Router::FindServer(const core::ServerId& aId) const
{
  return servers_.Find(aId);
}

void
Router::SetReplicas(const core::DeploymentId& aDeployment,
                    std::span<const ServerHandle> aServers,
                    core::MonotonicTime aNow)
{
  const auto [found, added] = deployments_.try_emplace(aDeployment);
  Deployment& deployment = found->second;
  if (added) {
    // Routers with different keys start the round robin at different servers.
    deployment.nextRoundRobin_ = static_cast<std::uint32_t>(
      core::Hash64(aDeployment.Value(), settings_.subsetKey_));
  }
  deployment.lastUse_ = std::max(deployment.lastUse_, aNow);
  deployment.epoch_ = 0;
  deployment.eligibleCount_ = 0;
  for (Candidate& candidate : deployment.candidates_) {
    RefreshCandidate(candidate);
    candidate.listed_ = false;
  }
  for (const ServerHandle handle : Subset(aDeployment, aServers)) {
    Candidate* known = FindCandidate(deployment, handle);
    if (known != nullptr) {
      known->listed_ = true;
      continue;
    }
    Candidate candidate;
    candidate.server_ = handle;
    candidate.joinedAt_ = aNow;
    candidate.hash_ = servers_.Get(handle)->hash_;
    candidate.slowStartLimit_ = settings_.slowStartInitial_;
    deployment.candidates_.push_back(candidate);
  }
  std::erase_if(deployment.candidates_, [&](const Candidate& aCandidate) {
    return !aCandidate.listed_ &&
           !FailedWithin(aCandidate, settings_.isolatedDelay_, aNow);
  });
}

bool
Router::Tracks(const core::DeploymentId& aDeployment) const
{
  return deployments_.contains(aDeployment);
}

RouteResult
Router::Choose(const core::DeploymentId& aDeployment,
               const RouteRequest& aRequest,
               core::MonotonicTime aNow,
               core::Random& aRandom)
{
  const auto found = deployments_.find(aDeployment);
  if (found == deployments_.end()) {
    return NoRoute{};
  }
  Deployment& deployment = found->second;
  deployment.lastUse_ = aNow;
  Refresh(deployment, aNow);
  if (deployment.candidates_.empty()) {
    return NoRoute{};
  }
  RouteResult result = ChooseForQuery({ deployment, aRequest, aNow, aRandom });
  const NoRoute* none = std::get_if<NoRoute>(&result);
  if (none == nullptr || none->reason_ != NoRouteReason::NoneEligible ||
      aRequest.avoidDomain_.Empty()) {
    return result;
  }
  // A server in the avoided failure domain is better than none.
  RouteRequest anyDomain = aRequest;
  anyDomain.avoidDomain_ = core::FailureDomainId();
  return ChooseForQuery({ deployment, anyDomain, aNow, aRandom });
}

void
Router::OnStart(const core::DeploymentId& aDeployment,
                const RouteRequest& aRequest,
                ServerHandle aServer,
                core::MonotonicTime aNow)
{
  servers_.OnStart(aServer, aRequest.isolated_);
  const auto found = deployments_.find(aDeployment);
  if (found == deployments_.end()) {
    return;
  }
  found->second.lastUse_ = aNow;
  Candidate* candidate = FindCandidate(found->second, aServer);
  if (candidate != nullptr) {
    ++candidate->ownInFlight_;
  }
  if (servers_.Get(aServer) != nullptr && !aRequest.prefixBlocks_.empty()) {
    cache_.OnRouted(aServer.index_, aRequest.prefixBlocks_);
  }
}

void
Router::OnAnswerStarted(const core::DeploymentId& aDeployment,
                        ServerHandle aServer)
{
  const auto found = deployments_.find(aDeployment);
  const RoutedServer* server = servers_.Get(aServer);
  if (found == deployments_.end() || server == nullptr) {
    return;
  }
  Candidate* candidate = FindCandidate(found->second, aServer);
  if (candidate != nullptr) {
    ++candidate->answersStarted_;
    RaiseSlowStartLimit(*candidate, *server);
  }
}

void
Router::RaiseSlowStartLimit(Candidate& aCandidate, const RoutedServer& aServer)
{
  if (aCandidate.slowStartLimit_ == 0) {
    return;
  }
  ++aCandidate.slowStartLimit_;
  const bool slowStartDone = aCandidate.slowStartLimit_ >= aServer.slots_;
  aCandidate.slowStartLimit_ = slowStartDone ? 0 : aCandidate.slowStartLimit_;
}

void
Router::OnFinish(const core::DeploymentId& aDeployment,
                 const RouteRequest& aRequest,
                 ServerHandle aServer,
                 RequestOutcome aOutcome,
                 core::Duration aTook,
                 core::MonotonicTime aNow)
{
  RoutedServer* server = servers_.Get(aServer);
  const double load = server == nullptr
                        ? 0.0
                        : std::max(0.0, server->ownInFlight_ - 1.0) +
                            servers_.OtherLoad(*server, aNow);
  servers_.OnFinish(aServer, aRequest.isolated_, aOutcome, aNow);
  const auto found = deployments_.find(aDeployment);
  if (found == deployments_.end()) {
    return;
  }
  Deployment& deployment = found->second;
  deployment.lastUse_ = aNow;
  Candidate* candidate = FindCandidate(deployment, aServer);
  if (candidate != nullptr) {
    candidate->ownInFlight_ -= std::min(candidate->ownInFlight_, 1U);
    if (aRequest.answerStarted_) {
      candidate->answersStarted_ -= std::min(candidate->answersStarted_, 1U);
    }
  }
  if (server == nullptr || aOutcome != RequestOutcome::Answered) {
    return;
  }
  if (candidate != nullptr && !aRequest.answerStarted_) {
    RaiseSlowStartLimit(*candidate, *server);
  }
  const double unloadedTime = static_cast<double>(aTook.count()) /
                              (aRequest.work_ * (1.0 + load / server->slots_));
  const double average =
    unloadedTime / servers_.ServiceTimeFactor(*server, aNow);
  const double before = deployment.serviceNanos_;
  deployment.serviceNanos_ =
    before == 0.0 ? average : before + kServiceTimeWeight * (average - before);
  servers_.LearnServiceTime(
    *server, unloadedTime, deployment.serviceNanos_, aNow);
}

void
Router::OnReport(ServerHandle aServer,
                 const LoadReport& aReport,
                 core::MonotonicTime aNow)
{
  servers_.OnReport(aServer, aReport, aNow);
}

CacheEventResult
Router::OnCacheEvent(ServerHandle aServer, const CacheEvent& aEvent)
{
  return servers_.Get(aServer) == nullptr
           ? CacheEventResult::Late
           : cache_.OnEvent(aServer.index_, aEvent);
}

RouteCapacity
Router::CapacityOf(const core::DeploymentId& aDeployment,
                   core::MonotonicTime aNow)
{
  RouteCapacity capacity;
  const auto found = deployments_.find(aDeployment);
  if (found == deployments_.end()) {
    return capacity;
  }
  Refresh(found->second, aNow);
  for (const Candidate& candidate : found->second.Eligible()) {
    const RoutedServer& server = *servers_.Get(candidate.server_);
    std::uint32_t limit = servers_.OwnLimit(server, aNow);
    std::uint32_t free = limit - std::min(limit, server.ownInFlight_);
    capacity.slotsWhenWarm_ += limit;
    if (candidate.slowStartLimit_ > 0) {
      limit =
        std::min(limit, candidate.answersStarted_ + candidate.slowStartLimit_);
      free = std::min(free, limit - std::min(limit, candidate.ownInFlight_));
    }
    capacity.slots_ += limit;
    capacity.free_ += free;
  }
  return capacity;
}

void
Router::DropIdle(core::MonotonicTime aNow)
{
  std::erase_if(deployments_, [&](const auto& aItem) {
    const Deployment& deployment = aItem.second;
    const auto inFlight = [](const Candidate& aCandidate) {
      return aCandidate.ownInFlight_ > 0;
    };
    return aNow - deployment.lastUse_ >= settings_.idleAfter_ &&
           std::ranges::none_of(deployment.candidates_, inFlight);
  });
}

std::size_t
Router::Deployments() const
{
  return deployments_.size();
}

std::size_t
Router::MemoryBytes() const
{
  std::size_t bytes = servers_.MemoryBytes() + cache_.MemoryBytes() +
                      deployments_.bucket_count() * sizeof(void*);
  for (const auto& item : deployments_) {
    bytes += sizeof(item) + 2 * sizeof(void*) + item.first.Value().capacity() +
             item.second.candidates_.capacity() * sizeof(Candidate);
  }
  return bytes;
}

std::vector<ServerHandle>
Router::Subset(const core::DeploymentId& aDeployment,
               std::span<const ServerHandle> aServers) const
{
  std::vector<ServerHandle> known;
  known.reserve(aServers.size());
  for (const ServerHandle handle : aServers) {
    if (servers_.Get(handle) != nullptr) {
      known.push_back(handle);
    }
  }
  const std::size_t limit =
    std::min<std::size_t>(settings_.maxCandidates_, kMaxCandidates);
  if (known.size() <= limit) {
    return known;
  }
  const std::uint64_t key =
    core::Hash64(aDeployment.Value(), settings_.subsetKey_);
  const auto rank = [&](ServerHandle aHandle) {
    return Mix(servers_.Get(aHandle)->hash_ ^ key);
  };
  std::ranges::nth_element(
    known, known.begin() + static_cast<std::ptrdiff_t>(limit), {}, rank);
  known.resize(limit);
  return known;
}

Router::Candidate*
Router::FindCandidate(Deployment& aDeployment, ServerHandle aServer)
{
  const auto found =
    std::ranges::find(aDeployment.candidates_, aServer, &Candidate::server_);
  return found == aDeployment.candidates_.end() ? nullptr : &*found;
}

} // namespace crocusslip::coordination
