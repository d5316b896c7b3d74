#include "coordination/Router.hpp"

#include "coordination/TimeMath.hpp"

#include <algorithm>
#include <cmath>

/// Selection of a server. The rest of Router is in Router.cpp.
namespace crocusslip::coordination {

namespace {

/// Random tries per sample before all eligible candidates are scanned.
constexpr std::uint32_t kTriesPerSample = 3;
/// Maximum share of the service time that cached prefix blocks can save.
constexpr double kMaxCacheShare = 0.9;
/// Delay before a busy deployment is retried although no own request finished;
/// requests of other routers may have.
constexpr core::Duration kBusyRetry = std::chrono::milliseconds(10);

} // namespace

/// Chooses among all eligible candidates by the configured policy.
struct Router::PolicyVisitor
{
  const Router& router_;
  const Query& query_;

  Scored operator()(const ExpectedFinishPolicy&) const
  {
    Scored best = router_.BestSample(query_);
    if (!query_.request_.prefixBlocks_.empty()) {
      router_.AddCacheHolders(query_, best);
    }
    return best;
  }

  Scored operator()(const RoundRobinPolicy&) const
  {
    const std::span<const Candidate> eligible = query_.deployment_.Eligible();
    for (std::size_t i = 0; i < eligible.size(); ++i) {
      const std::uint32_t next = query_.deployment_.nextRoundRobin_++;
      const Candidate& candidate = eligible[next % eligible.size()];
      if (router_.Usable(query_, candidate)) {
        return router_.Score(query_, candidate);
      }
    }
    return {};
  }

  Scored operator()(const LeastReportedLoadPolicy&) const
  {
    const Candidate* least = nullptr;
    double leastLoad = 0.0;
    for (const Candidate& candidate : query_.deployment_.Eligible()) {
      const double load =
        router_.servers_.Get(candidate.server_)->reportedLoad_;
      if ((least == nullptr || load < leastLoad) &&
          router_.Usable(query_, candidate)) {
        least = &candidate;
        leastLoad = load;
      }
    }
    return least == nullptr ? Scored{} : router_.Score(query_, *least);
  }

  Scored operator()(const RandomTwoChoicesPolicy&) const
  {
    const Candidate* first = router_.Sample(query_);
    const Candidate* second = router_.Sample(query_);
    if (first == nullptr) {
      return {};
    }
    const auto inFlight = [&](const Candidate& aCandidate) {
      return router_.servers_.Get(aCandidate.server_)->ownInFlight_;
    };
    const bool secondLess = inFlight(*second) < inFlight(*first);
    return router_.Score(query_, secondLess ? *second : *first);
  }
};

RouteResult
Router::ChooseForQuery(const Query& aQuery)
{
  const RouteRequest& request = aQuery.request_;
  const bool unproven = request.fingerprint_ != 0 && !request.proven_;
  return unproven || request.isolated_ ? ChooseFromPair(aQuery)
                                       : ChooseFromAll(aQuery);
}

RouteResult
Router::ChooseFromAll(const Query& aQuery) const
{
  const Scored best =
    std::visit(PolicyVisitor{ *this, aQuery }, settings_.policy_);
  if (best.candidate_ != nullptr) {
    return ToResult(best);
  }
  const auto notAvoided = [&](const Candidate& aCandidate) {
    return !Avoided(aQuery.request_, aCandidate);
  };
  if (std::ranges::any_of(aQuery.deployment_.Eligible(), notAvoided)) {
    return NoRoute{ NoRouteReason::AllBusy, aQuery.now_ + kBusyRetry };
  }
  return NoRoute{ NoRouteReason::NoneEligible, aQuery.deployment_.refreshAt_ };
}

RouteResult
Router::ChooseFromPair(const Query& aQuery)
{
  const Pair pair = PairFor(aQuery);
  Scored best;
  bool awaitsIsolation = false;
  const auto consider = [&](const Candidate* aCandidate, bool aWantEjected) {
    if (aCandidate == nullptr || !Selectable(*aCandidate) ||
        Avoided(aQuery.request_, *aCandidate)) {
      return;
    }
    const RoutedServer& server = *servers_.Get(aCandidate->server_);
    if (servers_.Ejected(server, aQuery.now_) != aWantEjected) {
      return;
    }
    if (aQuery.request_.isolated_ && server.ownInFlight_ > 0) {
      awaitsIsolation = true;
    } else if (HasFreeSlot(*aCandidate,
                           aQuery.request_,
                           settings_.unprovenOvercommit_,
                           aQuery.now_)) {
      ReplaceIfBetter(aQuery, *aCandidate, best);
    }
  };
  consider(pair.first_, false);
  consider(pair.second_, false);
  if (best.candidate_ == nullptr && !awaitsIsolation) {
    // Use an ejected server of the pair rather than a third server.
    consider(pair.first_, true);
    consider(pair.second_, true);
  }
  if (best.candidate_ != nullptr) {
    return ToResult(best);
  }
  return PairUnavailable(aQuery, pair, awaitsIsolation);
}

NoRoute
Router::PairUnavailable(const Query& aQuery,
                        const Pair& aPair,
                        bool aAwaitsIsolation)
{
  if (aAwaitsIsolation) {
    for (const Candidate* candidate : { aPair.first_, aPair.second_ }) {
      if (candidate != nullptr && Selectable(*candidate) &&
          !Avoided(aQuery.request_, *candidate)) {
        servers_.Reserve(candidate->server_,
                         aQuery.now_ + settings_.isolationReserve_);
      }
    }
    return { NoRouteReason::AwaitingIsolation, aQuery.now_ + kBusyRetry };
  }
  bool busy = false;
  core::MonotonicTime retryAt = core::MonotonicTime::max();
  for (const Candidate* candidate : { aPair.first_, aPair.second_ }) {
    if (candidate == nullptr) {
      continue;
    }
    if (candidate->failedAt_ != core::MonotonicTime::max()) {
      retryAt =
        std::min(retryAt, candidate->failedAt_ + settings_.quarantineDelay_);
    }
    busy =
      busy || (Selectable(*candidate) && !Avoided(aQuery.request_, *candidate));
  }
  if (busy) {
    return { NoRouteReason::AllBusy, aQuery.now_ + kBusyRetry };
  }
  if (retryAt != core::MonotonicTime::max()) {
    return { NoRouteReason::AwaitingQuarantine,
             std::max(retryAt, aQuery.now_ + kBusyRetry) };
  }
  return { NoRouteReason::NoneEligible, aQuery.deployment_.refreshAt_ };
}

const Router::Candidate*
Router::Sample(const Query& aQuery) const
{
  const std::span<const Candidate> eligible = aQuery.deployment_.Eligible();
  if (eligible.empty()) {
    return nullptr;
  }
  for (std::uint32_t i = 0; i < kTriesPerSample; ++i) {
    const std::uint64_t pick = aQuery.random_.Below(eligible.size());
    const Candidate& candidate = eligible[pick];
    if (Usable(aQuery, candidate)) {
      return &candidate;
    }
  }
  return AnyUsable(aQuery);
}

const Router::Candidate*
Router::AnyUsable(const Query& aQuery) const
{
  const std::span<const Candidate> eligible = aQuery.deployment_.Eligible();
  const std::uint64_t from = aQuery.random_.Below(eligible.size());
  for (std::size_t i = 0; i < eligible.size(); ++i) {
    const Candidate& candidate = eligible[(from + i) % eligible.size()];
    if (Usable(aQuery, candidate)) {
      return &candidate;
    }
  }
  return nullptr;
}

Router::Scored
Router::BestSample(const Query& aQuery) const
{
  Scored best;
  const std::span<const Candidate> eligible = aQuery.deployment_.Eligible();
  if (eligible.size() <= settings_.samples_) {
    for (const Candidate& candidate : eligible) {
      if (Usable(aQuery, candidate)) {
        ReplaceIfBetter(aQuery, candidate, best);
      }
    }
    return best;
  }
  for (std::uint32_t i = 0; i < settings_.samples_; ++i) {
    const Candidate* candidate = Sample(aQuery);
    if (candidate == nullptr) {
      return best;
    }
    ReplaceIfBetter(aQuery, *candidate, best);
  }
  return best;
}

void
Router::AddCacheHolders(const Query& aQuery, Scored& aBest) const
{
  PrefixCacheView::Holders holders;
  const std::size_t count =
    cache_.FindHolders(aQuery.request_.prefixBlocks_, holders);
  for (std::size_t i = 0; i < count; ++i) {
    for (const Candidate& candidate : aQuery.deployment_.Eligible()) {
      if (candidate.server_.index_ == holders[i].server_ &&
          Usable(aQuery, candidate)) {
        ReplaceIfBetter(aQuery, candidate, aBest);
      }
    }
  }
}

bool
Router::Selectable(const Candidate& aCandidate) const
{
  const RoutedServer* server = servers_.Get(aCandidate.server_);
  return aCandidate.listed_ && server != nullptr &&
         server->state_ == ServerState::Live;
}

bool
Router::HasFreeSlot(const Candidate& aCandidate,
                    const RouteRequest& aRequest,
                    std::uint32_t aOvercommit,
                    core::MonotonicTime aNow) const
{
  const RoutedServer& server = *servers_.Get(aCandidate.server_);
  if (server.isolatedInFlight_ > 0) {
    return false;
  }
  if (!aRequest.isolated_ && aNow < server.reservedUntil_) {
    return false;
  }
  if (aCandidate.slowStartLimit_ > 0 &&
      aCandidate.ownInFlight_ >=
        aCandidate.answersStarted_ + aCandidate.slowStartLimit_) {
    return false;
  }
  const std::uint32_t factor = server.recoveryLimit_ > 0 ? 1 : aOvercommit;
  return server.ownInFlight_ < factor * servers_.OwnLimit(server, aNow);
}

bool
Router::Usable(const Query& aQuery, const Candidate& aCandidate) const
{
  return HasFreeSlot(aCandidate, aQuery.request_, 1, aQuery.now_) &&
         !Avoided(aQuery.request_, aCandidate);
}

bool
Router::Avoided(const RouteRequest& aRequest, const Candidate& aCandidate) const
{
  const auto& avoid = aRequest.avoid_;
  if (std::ranges::find(avoid, aCandidate.server_) != avoid.end()) {
    return true;
  }
  return !aRequest.avoidDomain_.Empty() &&
         servers_.Get(aCandidate.server_)->domain_ == aRequest.avoidDomain_;
}

Router::Scored
Router::Score(const Query& aQuery, const Candidate& aCandidate) const
{
  const RoutedServer& server = *servers_.Get(aCandidate.server_);
  RouteFigures figures;
  figures.ownInFlight_ = server.ownInFlight_;
  figures.otherLoad_ = servers_.OtherLoad(server, aQuery.now_);
  const double service = ServiceNanos(aQuery.deployment_) *
                         servers_.ServiceTimeFactor(server, aQuery.now_) *
                         aQuery.request_.work_;
  double saved = 0.0;
  if (!aQuery.request_.prefixBlocks_.empty()) {
    const std::uint32_t matched = cache_.MatchedBlocks(
      aCandidate.server_.index_, aQuery.request_.prefixBlocks_);
    const auto perBlock =
      static_cast<double>(aQuery.request_.savedPerBlock_.count());
    saved = std::min(matched * perBlock, service * kMaxCacheShare);
  }
  figures.serviceTime_ = FromNanos(service);
  figures.roundTrip_ = server.roundTrip_;
  figures.cacheBenefit_ = FromNanos(saved);
  Scored scored{ &aCandidate, figures, 0.0, 0.0, server.slots_ };
  scored.sharedCost_ = service * (1.0 + figures.otherLoad_ / server.slots_) +
                       ToNanos(server.roundTrip_);
  scored.ownCost_ = service * server.ownInFlight_ / server.slots_ - saved;
  scored.figures_.expectedFinish_ =
    FromNanos(scored.sharedCost_ + scored.ownCost_);
  return scored;
}

bool
Router::Better(const Scored& aLeft, const Scored& aRight, core::Random& aRandom)
{
  const double difference = std::abs(aLeft.sharedCost_ - aRight.sharedCost_) /
                            (aLeft.sharedCost_ + aRight.sharedCost_);
  const double otherLoadShare =
    (aLeft.figures_.otherLoad_ + aRight.figures_.otherLoad_) /
    (aLeft.slots_ + aRight.slots_);
  // The better of two samples gets at most twice the mean traffic, which cannot
  // overload it while less than half of the slots are in use.
  const double randomization = std::min(1.0, 2.0 * otherLoadShare);
  const bool shared = !aRandom.Chance(randomization * (1.0 - difference));
  const double left = aLeft.ownCost_ + (shared ? aLeft.sharedCost_ : 0.0);
  const double right = aRight.ownCost_ + (shared ? aRight.sharedCost_ : 0.0);
  return left == right ? aRandom.Chance(0.5) : left < right;
}

void
Router::ReplaceIfBetter(const Query& aQuery,
                        const Candidate& aCandidate,
                        Scored& aBest) const
{
  const Scored scored = Score(aQuery, aCandidate);
  if (aBest.candidate_ == nullptr || Better(scored, aBest, aQuery.random_)) {
    aBest = scored;
  }
}

RouteResult
Router::ToResult(const Scored& aScored) const
{
  const ServerHandle handle = aScored.candidate_->server_;
  return RouteChoice{ handle, servers_.Get(handle)->id_, aScored.figures_ };
}

double
Router::ServiceNanos(const Deployment& aDeployment) const
{
  return aDeployment.serviceNanos_ > 0.0
           ? aDeployment.serviceNanos_
           : static_cast<double>(settings_.initialServiceTime_.count());
}

} // namespace crocusslip::coordination
