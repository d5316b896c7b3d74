#pragma once

#include "coordination/TokenBucket.hpp"
#include "core/Clock.hpp"
#include "core/Ids.hpp"
#include "core/Random.hpp"
#include "core/Reasons.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace crocusslip::coordination {

struct RetryBudgetSettings
{
  /// Retry tokens earned by each request.
  double tokensPerRequest_ = 0.1;
  /// Retry tokens earned per second regardless of traffic.
  double minPerSecond_ = 1.0;
  /// Maximum number of unused tokens.
  double burst_ = 20.0;
};

struct RetrySettings
{
  /// A retry needs a token of its deployment's budget and one of the process
  /// budget; hedges have a budget of their own. The values are tokens per
  /// request, tokens per second and burst.
  RetryBudgetSettings deploymentBudget_;
  RetryBudgetSettings processBudget_{ 0.1, 5.0, 200.0 };
  RetryBudgetSettings hedgeBudget_{ 0.02, 0.2, 5.0 };
  /// Including the first attempt.
  std::uint32_t maxAttempts_ = 3;
  core::Duration backoffBase_ = std::chrono::milliseconds(10);
  core::Duration backoffMax_ = std::chrono::seconds(1);
  /// Quantile of the response time after which a hedge is sent.
  double hedgeQuantile_ = 0.95;
  /// Answers needed before hedges are sent.
  std::uint32_t hedgeMinimumAnswers_ = 50;
  /// A failure domain counts as failed once this many of its servers have
  /// failed within the window.
  std::uint32_t domainFailedServers_ = 3;
  core::Duration domainWindow_ = std::chrono::seconds(5);
  /// The retry state of a deployment is dropped after this time without use.
  core::Duration idleAfter_ = std::chrono::minutes(5);
};

enum class FailureKind : std::uint8_t
{
  ConnectFailed,
  /// The connection broke before the answer was complete.
  ConnectionLost,
  /// The server refused because of overload.
  Overloaded,
  /// The server refused because it is about to be removed and takes no new
  /// requests.
  Leaving,
  /// The answer reports an error of the server.
  ServerError,
  Timeout,
};

/// How one attempt failed.
struct FailedAttempt
{
  FailureKind kind_ = FailureKind::ConnectFailed;
  core::ServerId server_;
  core::FailureDomainId domain_;
  /// Whether the request may have run in any attempt: bytes may have been sent,
  /// and the server did not confirm that it was not run.
  bool mayHaveRun_ = false;
  bool idempotent_ = false;
  /// Whether a byte of the answer was already sent to the caller.
  bool answerStarted_ = false;
  /// Attempts so far.
  std::uint32_t attempts_ = 1;
  core::MonotonicTime deadline_;
  /// Expected service time of the next attempt.
  core::Duration expectedService_{};
};

/// Inputs of a retry decision, for display to operators.
struct RetryFigures
{
  core::MonotonicTime now_;
  core::MonotonicTime deadline_;
  std::uint32_t attempts_ = 0;
  double deploymentTokens_ = 0.0;
  double processTokens_ = 0.0;
};

struct Retry
{
  core::RetryReason reason_ = core::RetryReason::BackendFailed;
  core::MonotonicTime at_;
  /// Failure domain to avoid; empty when only the server failed.
  core::FailureDomainId avoidDomain_;
};

struct NoRetry
{
  core::RefusalReason reason_ = core::RefusalReason::BackendFailed;
  core::Ran ran_ = core::Ran::Unknown;
  RetryFigures figures_;

  std::string Text() const;
};

using RetryDecision = std::variant<Retry, NoRetry>;

/// Budget of tokens that requests earn and retries spend.
class RetryBudget
{
public:
  RetryBudget(const RetryBudgetSettings& aSettings, core::MonotonicTime aNow);

  void OnRequest();
  bool HasToken(core::MonotonicTime aNow);
  bool TrySpend(core::MonotonicTime aNow);
  double Tokens() const;

private:
  double tokensPerRequest_;
  TokenBucket tokens_;
};

/// Histogram of response times in logarithmic buckets, with decay of old
/// samples.
class LatencyHistogram
{
public:
  void Add(core::Duration aLatency);
  std::uint32_t Count() const;
  /// Upper bound of the bucket that holds the quantile.
  core::Duration Quantile(double aShare) const;

private:
  static constexpr std::size_t kBuckets = 128;
  std::array<std::uint16_t, kBuckets> counts_{};
  std::uint32_t total_ = 0;
};

/// Decides whether a failed attempt is retried and whether a slow one is
/// hedged. Both spend budgets that are proportional to the traffic, so that a
/// failure of many servers raises the load on the others by no more than that
/// share.
class RetryPolicy
{
public:
  explicit RetryPolicy(const RetrySettings& aSettings);

  /// Counts a new request; not to be called for retries.
  void OnRequest(const core::DeploymentId& aDeployment,
                 core::MonotonicTime aNow);
  void OnAnswer(const core::DeploymentId& aDeployment,
                core::Duration aLatency,
                core::MonotonicTime aNow);
  RetryDecision OnFailure(const core::DeploymentId& aDeployment,
                          const FailedAttempt& aFailure,
                          core::MonotonicTime aNow,
                          core::Random& aRandom);
  /// Delay after the start of a request at which to hedge; empty when the
  /// request must not be hedged.
  std::optional<core::Duration> HedgeDelay(
    const core::DeploymentId& aDeployment,
    bool aIdempotent) const;
  /// Called after the hedge delay: spends hedge budget and returns true when a
  /// hedge may be sent.
  bool MayHedge(const core::DeploymentId& aDeployment,
                bool aIdempotent,
                core::MonotonicTime aDeadline,
                core::MonotonicTime aNow);
  bool DomainFailed(const core::FailureDomainId& aDomain,
                    core::MonotonicTime aNow) const;
  void DropIdle(core::MonotonicTime aNow);
  std::size_t Deployments() const;

private:
  struct Deployment
  {
    RetryBudget retries_;
    RetryBudget hedges_;
    LatencyHistogram latency_;
    core::MonotonicTime lastUse_;
  };
  struct ServerFailure
  {
    core::ServerId server_;
    core::MonotonicTime at_;
  };

  Deployment& StateOf(const core::DeploymentId& aDeployment,
                      core::MonotonicTime aNow);
  void RecordFailure(const FailedAttempt& aFailure, core::MonotonicTime aNow);
  core::Duration Backoff(std::uint32_t aAttempts, core::Random& aRandom) const;

  RetrySettings settings_;
  RetryBudget process_;
  std::unordered_map<core::DeploymentId, Deployment> deployments_;
  std::unordered_map<core::FailureDomainId, std::vector<ServerFailure>>
    failures_;
};

} // namespace crocusslip::coordination
