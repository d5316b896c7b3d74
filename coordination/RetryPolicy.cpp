#include "coordination/RetryPolicy.hpp"

#include "coordination/TimeMath.hpp"

#include <algorithm>
#include <bit>
#include <sstream>

namespace crocusslip::coordination {

namespace {

/// Buckets per doubling of the response time.
constexpr std::uint32_t kSubBuckets = 4;
/// Response times below 2^10 ns are counted in the first bucket.
constexpr std::uint32_t kFirstOctave = 10;
/// All counts are halved at this many samples, so that old ones decay.
constexpr std::uint32_t kDecayThreshold = 4096;
constexpr std::uint32_t kMaxDoublings = 20;

core::RefusalReason
RefusalOf(FailureKind aKind)
{
  switch (aKind) {
    case FailureKind::ConnectFailed:
      return core::RefusalReason::BackendConnectFailed;
    case FailureKind::Overloaded:
      return core::RefusalReason::Overloaded;
    case FailureKind::Timeout:
      return core::RefusalReason::BackendTimeout;
    case FailureKind::ConnectionLost:
    case FailureKind::Leaving:
    case FailureKind::ServerError:
      break;
  }
  return core::RefusalReason::BackendFailed;
}

core::RetryReason
RetryReasonOf(const FailedAttempt& aFailure)
{
  switch (aFailure.kind_) {
    case FailureKind::ConnectFailed:
      return core::RetryReason::ConnectFailed;
    case FailureKind::ConnectionLost:
      return aFailure.mayHaveRun_ ? core::RetryReason::BackendFailed
                                  : core::RetryReason::ConnectionLostBeforeBody;
    case FailureKind::Overloaded:
      return core::RetryReason::BackendOverloaded;
    case FailureKind::Leaving:
      return core::RetryReason::BackendLeaving;
    case FailureKind::ServerError:
    case FailureKind::Timeout:
      break;
  }
  return core::RetryReason::BackendFailed;
}

/// Whether the failure suggests that the server is down.
bool
SuggestsServerLoss(FailureKind aKind)
{
  return aKind == FailureKind::ConnectFailed ||
         aKind == FailureKind::ConnectionLost || aKind == FailureKind::Timeout;
}

} // namespace

std::string
NoRetry::Text() const
{
  std::ostringstream text;
  text << core::Name(reason_) << " (" << core::Name(ran_)
       << "): " << figures_.attempts_ << " attempts, deadline in "
       << Millis(figures_.deadline_ - figures_.now_)
       << " ms, retry budget left " << figures_.deploymentTokens_
       << " of the deployment, " << figures_.processTokens_
       << " of the process";
  return text.str();
}

RetryBudget::RetryBudget(const RetryBudgetSettings& aSettings,
                         core::MonotonicTime aNow)
  : tokensPerRequest_(aSettings.tokensPerRequest_)
  , tokens_(aSettings.minPerSecond_, aSettings.burst_, aNow)
{
}

void
RetryBudget::OnRequest()
{
  tokens_.Add(tokensPerRequest_);
}

bool
RetryBudget::HasToken(core::MonotonicTime aNow)
{
  return tokens_.WaitFor(1.0, aNow) == core::Duration::zero();
}

bool
RetryBudget::TrySpend(core::MonotonicTime aNow)
{
  return tokens_.TryTake(1.0, aNow);
}

double
RetryBudget::Tokens() const
{
  return tokens_.Tokens();
}

void
LatencyHistogram::Add(core::Duration aLatency)
{
  const auto nanos = static_cast<std::uint64_t>(
    std::max<core::Duration::rep>(1, aLatency.count()));
  const auto octave = static_cast<std::uint32_t>(std::bit_width(nanos)) - 1;
  std::size_t bucket = 0;
  if (octave >= kFirstOctave) {
    const std::uint64_t rest = nanos - (1ULL << octave);
    const auto sub = static_cast<std::uint32_t>((rest * kSubBuckets) >> octave);
    bucket = (octave - kFirstOctave) * kSubBuckets + sub;
  }
  ++counts_[std::min(bucket, kBuckets - 1)];
  ++total_;
  if (total_ >= kDecayThreshold) {
    total_ = 0;
    for (std::uint16_t& count : counts_) {
      count /= 2;
      total_ += count;
    }
  }
}

std::uint32_t
LatencyHistogram::Count() const
{
  return total_;
}

core::Duration
LatencyHistogram::Quantile(double aShare) const
{
  const double wanted = aShare * total_;
  double seen = 0.0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    seen += counts_[bucket];
    if (seen >= wanted && seen > 0.0) {
      const auto octave = kFirstOctave + bucket / kSubBuckets;
      const std::uint64_t base = 1ULL << octave;
      const std::uint64_t sub = bucket % kSubBuckets + 1;
      return core::Duration(
        static_cast<core::Duration::rep>(base + base * sub / kSubBuckets));
    }
  }
  return core::Duration::zero();
}

RetryPolicy::RetryPolicy(const RetrySettings& aSettings)
  : settings_(aSettings)
  , process_(settings_.processBudget_, core::MonotonicTime())
{
}

void
RetryPolicy::OnRequest(const core::DeploymentId& aDeployment,
                       core::MonotonicTime aNow)
{
  Deployment& deployment = StateOf(aDeployment, aNow);
  deployment.retries_.OnRequest();
  deployment.hedges_.OnRequest();
  process_.OnRequest();
}

void
RetryPolicy::OnAnswer(const core::DeploymentId& aDeployment,
                      core::Duration aLatency,
                      core::MonotonicTime aNow)
{
  StateOf(aDeployment, aNow).latency_.Add(aLatency);
}

RetryDecision
RetryPolicy::OnFailure(const core::DeploymentId& aDeployment,
                       const FailedAttempt& aFailure,
                       core::MonotonicTime aNow,
                       core::Random& aRandom)
{
  RecordFailure(aFailure, aNow);
  Deployment& deployment = StateOf(aDeployment, aNow);
  NoRetry refusal;
  refusal.ran_ = aFailure.mayHaveRun_ ? core::Ran::Unknown : core::Ran::NotRun;
  refusal.figures_ = { aNow,
                       aFailure.deadline_,
                       aFailure.attempts_,
                       deployment.retries_.Tokens(),
                       process_.Tokens() };
  const auto refuse = [&](core::RefusalReason aReason) {
    refusal.reason_ = aReason;
    return refusal;
  };
  if (aFailure.answerStarted_) {
    refusal.ran_ = core::Ran::Unknown;
    return refuse(core::RefusalReason::StreamBroken);
  }
  const bool mayRepeat = aFailure.idempotent_ || !aFailure.mayHaveRun_;
  if (!mayRepeat || aFailure.attempts_ >= settings_.maxAttempts_) {
    return refuse(RefusalOf(aFailure.kind_));
  }
  if (aFailure.deadline_ <= aNow) {
    return refuse(core::RefusalReason::DeadlinePassed);
  }
  const core::MonotonicTime at = aNow + Backoff(aFailure.attempts_, aRandom);
  if (at >= aFailure.deadline_ - aFailure.expectedService_) {
    return refuse(core::RefusalReason::DeadlineUnreachable);
  }
  if (!process_.HasToken(aNow) || !deployment.retries_.TrySpend(aNow)) {
    return refuse(core::RefusalReason::RetryBudgetExhausted);
  }
  process_.TrySpend(aNow);
  Retry retry{ RetryReasonOf(aFailure), at, {} };
  if (DomainFailed(aFailure.domain_, aNow)) {
    retry.avoidDomain_ = aFailure.domain_;
  }
  return retry;
}

std::optional<core::Duration>
RetryPolicy::HedgeDelay(const core::DeploymentId& aDeployment,
                        bool aIdempotent) const
{
  const auto found = deployments_.find(aDeployment);
  if (!aIdempotent || found == deployments_.end()) {
    return std::nullopt;
  }
  const LatencyHistogram& latency = found->second.latency_;
  if (latency.Count() < settings_.hedgeMinimumAnswers_) {
    return std::nullopt;
  }
  return latency.Quantile(settings_.hedgeQuantile_);
}

bool
RetryPolicy::MayHedge(const core::DeploymentId& aDeployment,
                      bool aIdempotent,
                      core::MonotonicTime aDeadline,
                      core::MonotonicTime aNow)
{
  if (!HedgeDelay(aDeployment, aIdempotent)) {
    return false;
  }
  Deployment& deployment = StateOf(aDeployment, aNow);
  if (aNow + deployment.latency_.Quantile(0.5) > aDeadline) {
    return false;
  }
  return deployment.hedges_.TrySpend(aNow);
}

bool
RetryPolicy::DomainFailed(const core::FailureDomainId& aDomain,
                          core::MonotonicTime aNow) const
{
  const auto found = failures_.find(aDomain);
  if (found == failures_.end()) {
    return false;
  }
  const auto recent = [&](const ServerFailure& aFailure) {
    return aNow - aFailure.at_ < settings_.domainWindow_;
  };
  return std::ranges::count_if(found->second, recent) >=
         settings_.domainFailedServers_;
}

void
RetryPolicy::DropIdle(core::MonotonicTime aNow)
{
  std::erase_if(deployments_, [&](const auto& aItem) {
    return aNow - aItem.second.lastUse_ >= settings_.idleAfter_;
  });
}

std::size_t
RetryPolicy::Deployments() const
{
  return deployments_.size();
}

RetryPolicy::Deployment&
RetryPolicy::StateOf(const core::DeploymentId& aDeployment,
                     core::MonotonicTime aNow)
{
  const auto found = deployments_.find(aDeployment);
  if (found != deployments_.end()) {
    found->second.lastUse_ = aNow;
    return found->second;
  }
  Deployment fresh{ RetryBudget(settings_.deploymentBudget_, aNow),
                    RetryBudget(settings_.hedgeBudget_, aNow),
                    LatencyHistogram(),
                    aNow };
  return deployments_.emplace(aDeployment, fresh).first->second;
}

void
RetryPolicy::RecordFailure(const FailedAttempt& aFailure,
                           core::MonotonicTime aNow)
{
  if (!SuggestsServerLoss(aFailure.kind_)) {
    return;
  }
  // One record per server bounds the list by the size of the domain.
  std::vector<ServerFailure>& failures = failures_[aFailure.domain_];
  std::erase_if(failures, [&](const ServerFailure& aOther) {
    return aOther.server_ == aFailure.server_ ||
           aNow - aOther.at_ >= settings_.domainWindow_;
  });
  failures.push_back({ aFailure.server_, aNow });
}

core::Duration
RetryPolicy::Backoff(std::uint32_t aAttempts, core::Random& aRandom) const
{
  const std::uint32_t doublings = std::min(aAttempts - 1, kMaxDoublings);
  const core::Duration ceiling = std::min<core::Duration>(
    settings_.backoffMax_, settings_.backoffBase_ * (1LL << doublings));
  return core::Duration(static_cast<core::Duration::rep>(
    aRandom.Uniform() * static_cast<double>(ceiling.count())));
}

} // namespace crocusslip::coordination
