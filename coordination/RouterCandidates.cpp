#include "coordination/Router.hpp"

#include <algorithm>

/// Eligibility of candidates, and the server pairs of unproven requests. The
/// rest of Router is in Router.cpp.
namespace crocusslip::coordination {

namespace {

std::uint64_t
RendezvousWeight(std::uint64_t aServerHash, std::uint64_t aKey)
{
  std::uint64_t value = aServerHash ^ aKey;
  value ^= value >> 32U;
  value *= 0xd6e8feb86659fd93U;
  value ^= value >> 32U;
  value *= 0xd6e8feb86659fd93U;
  return value ^ (value >> 32U);
}

} // namespace

void
Router::Refresh(Deployment& aDeployment, core::MonotonicTime aNow) const
{
  if (aDeployment.epoch_ == servers_.Epoch() && aNow < aDeployment.refreshAt_) {
    return;
  }
  aDeployment.epoch_ = servers_.Epoch();
  aDeployment.refreshAt_ = core::MonotonicTime::max();
  for (Candidate& candidate : aDeployment.candidates_) {
    RefreshCandidate(candidate);
  }
  MarkPairable(
    aDeployment, settings_.quarantineDelay_, &Candidate::pairable_, aNow);
  MarkPairable(
    aDeployment, settings_.isolatedDelay_, &Candidate::isolatedPairable_, aNow);
  SortEligible(aDeployment, aNow);
}

void
Router::RefreshCandidate(Candidate& aCandidate) const
{
  const RoutedServer* server = servers_.Get(aCandidate.server_);
  if (server == nullptr) {
    // Removed servers keep their failure time, if any.
    return;
  }
  aCandidate.failedAt_ = server->state_ == ServerState::Failed
                           ? server->failedAt_
                           : core::MonotonicTime::max();
}

void
Router::SortEligible(Deployment& aDeployment, core::MonotonicTime aNow) const
{
  const auto ejectedUntil = [&](const Candidate& aCandidate) {
    return servers_.Get(aCandidate.server_)->ejectedUntil_;
  };
  const auto begin = aDeployment.candidates_.begin();
  const auto selectable = std::partition(
    begin, aDeployment.candidates_.end(), [&](const Candidate& aCandidate) {
      return Selectable(aCandidate);
    });
  const auto ejected =
    std::partition(begin, selectable, [&](const Candidate& aCandidate) {
      return ejectedUntil(aCandidate) <= aNow;
    });
  std::ranges::sort(ejected, selectable, {}, ejectedUntil);
  if (ejected != selectable) {
    aDeployment.refreshAt_ =
      std::min(aDeployment.refreshAt_, ejectedUntil(*ejected));
  }
  // Ejected servers beyond the maximum share are readmitted, those whose
  // ejection ends first before the others.
  const auto allowed = static_cast<std::ptrdiff_t>(
    settings_.maxEjectedShare_ * static_cast<double>(selectable - begin));
  const auto excluded = std::min(allowed, selectable - ejected);
  aDeployment.eligibleCount_ =
    static_cast<std::size_t>(selectable - begin - excluded);
}

bool
Router::FailedWithin(const Candidate& aCandidate,
                     core::Duration aDelay,
                     core::MonotonicTime aNow)
{
  return aCandidate.failedAt_ != core::MonotonicTime::max() &&
         aNow < aCandidate.failedAt_ + aDelay;
}

void
Router::MarkPairable(Deployment& aDeployment,
                     core::Duration aDelay,
                     bool Candidate::*aPairable,
                     core::MonotonicTime aNow) const
{
  constexpr std::size_t kPairSize = 2;
  core::MonotonicTime firstFailure = core::MonotonicTime::max();
  for (const Candidate& candidate : aDeployment.candidates_) {
    if (FailedWithin(candidate, aDelay, aNow)) {
      firstFailure = std::min(firstFailure, candidate.failedAt_);
      aDeployment.refreshAt_ =
        std::min(aDeployment.refreshAt_, candidate.failedAt_ + aDelay);
    }
  }
  std::size_t members = 0;
  std::vector<Candidate*> joined;
  for (Candidate& candidate : aDeployment.candidates_) {
    const bool present =
      Selectable(candidate) || FailedWithin(candidate, aDelay, aNow);
    candidate.*aPairable = present && candidate.joinedAt_ <= firstFailure;
    members += candidate.*aPairable ? 1 : 0;
    if (present && !(candidate.*aPairable)) {
      joined.push_back(&candidate);
    }
  }
  // A replica that joined after a failure is only added if the pair would be
  // incomplete: it could displace one of the two servers that a crashing
  // request has already reached.
  std::ranges::stable_sort(joined, {}, &Candidate::joinedAt_);
  for (Candidate* candidate : joined) {
    if (members >= kPairSize) {
      break;
    }
    candidate->*aPairable = true;
    ++members;
  }
}

Router::Pair
Router::PairFor(const Query& aQuery) const
{
  if (!aQuery.request_.isolated_) {
    return PairAmong(aQuery, &Candidate::pairable_);
  }
  const Pair pair = PairAmong(aQuery, &Candidate::isolatedPairable_);
  const core::Duration delay = settings_.quarantineDelay_;
  const auto lost = [&](const Candidate* aCandidate) {
    return aCandidate == nullptr ||
           (aCandidate->failedAt_ != core::MonotonicTime::max() &&
            aQuery.now_ >= aCandidate->failedAt_ + delay);
  };
  // Once quarantineDelay_ has passed after both servers failed, every entry
  // host has quarantined the request if it crashed them. A request that still
  // arrives did not crash them and may use another pair.
  return lost(pair.first_) && lost(pair.second_)
           ? PairAmong(aQuery, &Candidate::pairable_)
           : pair;
}

Router::Pair
Router::PairAmong(const Query& aQuery, bool Candidate::*aPairable)
{
  const RouteRequest& request = aQuery.request_;
  const std::uint64_t bodyKey = request.fingerprint_;
  const std::uint64_t prefixKey =
    request.prefixBlocks_.empty() ? ~bodyKey : request.prefixBlocks_.front();
  Pair pair;
  const Candidate* bodySecond = nullptr;
  std::uint64_t bodyBest = 0;
  std::uint64_t bodySecondBest = 0;
  std::uint64_t prefixBest = 0;
  for (const Candidate& candidate : aQuery.deployment_.candidates_) {
    if (!(candidate.*aPairable)) {
      continue;
    }
    const std::uint64_t body = RendezvousWeight(candidate.hash_, bodyKey);
    const std::uint64_t prefix = RendezvousWeight(candidate.hash_, prefixKey);
    if (pair.first_ == nullptr || body > bodyBest) {
      bodySecond = pair.first_;
      bodySecondBest = bodyBest;
      pair.first_ = &candidate;
      bodyBest = body;
    } else if (bodySecond == nullptr || body > bodySecondBest) {
      bodySecond = &candidate;
      bodySecondBest = body;
    }
    if (pair.second_ == nullptr || prefix > prefixBest) {
      pair.second_ = &candidate;
      prefixBest = prefix;
    }
  }
  if (pair.second_ == pair.first_) {
    pair.second_ = bodySecond;
  }
  return pair;
}

} // namespace crocusslip::coordination
