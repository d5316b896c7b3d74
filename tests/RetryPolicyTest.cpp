#define BOOST_TEST_MODULE RetryPolicy
#include <boost/test/unit_test.hpp>

#include "coordination/RetryPolicy.hpp"
#include "coordination/StreamResume.hpp"

using namespace crocusslip;
using namespace crocusslip::coordination;
using namespace std::chrono_literals;

namespace {

constexpr core::MonotonicTime kStart{ 1h };
const core::DeploymentId kDeployment("plans");

FailedAttempt
Failure(FailureKind aKind, bool aMayHaveRun, bool aIdempotent)
{
  FailedAttempt failure;
  failure.kind_ = aKind;
  failure.server_ = core::ServerId("a1");
  failure.domain_ = core::FailureDomainId("a");
  failure.mayHaveRun_ = aMayHaveRun;
  failure.idempotent_ = aIdempotent;
  failure.deadline_ = kStart + 10s;
  failure.expectedService_ = 100ms;
  return failure;
}

struct Fixture
{
  RetryPolicy policy_{ RetrySettings{} };
  core::Random random_{ 3 };

  RetryDecision Decide(const FailedAttempt& aFailure,
                       core::MonotonicTime aNow = kStart)
  {
    return policy_.OnFailure(kDeployment, aFailure, aNow, random_);
  }
  NoRetry Refused(const FailedAttempt& aFailure)
  {
    return std::get<NoRetry>(Decide(aFailure));
  }
};

BrokenStream
Stream()
{
  BrokenStream stream;
  stream.generation_ = { kDeployment, "revision-1", "generation-1" };
  stream.server_ = core::ServerId("a1");
  stream.tokens_ = 40;
  stream.deterministic_ = true;
  stream.deadline_ = kStart + 10s;
  return stream;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(A_retry_policy, Fixture)

BOOST_AUTO_TEST_SUITE(for_a_request_that_may_run_only_once)

// Guards against running a non-idempotent request, such as a deposit, twice.
BOOST_AUTO_TEST_CASE(never_retries_it_once_a_byte_may_have_been_sent)
{
  for (const FailureKind kind : { FailureKind::ConnectFailed,
                                  FailureKind::ConnectionLost,
                                  FailureKind::Overloaded,
                                  FailureKind::Leaving,
                                  FailureKind::ServerError,
                                  FailureKind::Timeout }) {
    const NoRetry refused = Refused(Failure(kind, true, false));
    BOOST_TEST((refused.ran_ == core::Ran::Unknown));
    BOOST_TEST((refused.reason_ != core::RefusalReason::RetryBudgetExhausted));
  }
}

// Guards against refusing a request, such as a booking, although nothing was
// sent.
BOOST_AUTO_TEST_CASE(retries_it_while_nothing_was_sent)
{
  const auto retry =
    std::get<Retry>(Decide(Failure(FailureKind::ConnectionLost, false, false)));
  BOOST_TEST((retry.reason_ == core::RetryReason::ConnectionLostBeforeBody));
  FailedAttempt last = Failure(FailureKind::ConnectFailed, false, false);
  last.attempts_ = 3;
  const NoRetry refused = Refused(last);
  BOOST_TEST((refused.ran_ == core::Ran::NotRun));
  BOOST_TEST((refused.reason_ == core::RefusalReason::BackendConnectFailed));
}

// Guards against a second attempt of a non-idempotent request while the first
// runs.
BOOST_AUTO_TEST_CASE(never_hedges_it)
{
  for (int i = 0; i < 1000; ++i) {
    policy_.OnAnswer(kDeployment, 100ms, kStart);
  }
  BOOST_TEST(!policy_.HedgeDelay(kDeployment, false).has_value());
  BOOST_TEST(!policy_.MayHedge(kDeployment, false, kStart + 1h, kStart));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a retry whose answer would arrive after the deadline.
BOOST_AUTO_TEST_CASE(respects_the_deadline)
{
  FailedAttempt failure = Failure(FailureKind::ServerError, true, true);
  failure.deadline_ = kStart + 99ms;
  BOOST_TEST(
    (Refused(failure).reason_ == core::RefusalReason::DeadlineUnreachable));
  failure.deadline_ = kStart;
  BOOST_TEST((Refused(failure).reason_ == core::RefusalReason::DeadlinePassed));
}

// Guards against an answer that is joined from two attempts.
BOOST_AUTO_TEST_CASE(never_retries_after_the_answer_has_started)
{
  FailedAttempt failure = Failure(FailureKind::ConnectionLost, true, true);
  failure.answerStarted_ = true;
  BOOST_TEST((Refused(failure).reason_ == core::RefusalReason::StreamBroken));
}

// Guards against synchronized retries, which arrive in a burst again.
BOOST_AUTO_TEST_CASE(spreads_retries_over_an_exponential_backoff)
{
  const RetrySettings settings;
  core::Duration longest{};
  core::Duration shortest = 1h;
  for (int i = 0; i < 20; ++i) {
    FailedAttempt failure = Failure(FailureKind::ServerError, true, true);
    failure.attempts_ = 2;
    const auto retry = std::get<Retry>(Decide(failure));
    BOOST_TEST((retry.at_ - kStart <= 2 * settings.backoffBase_));
    longest = std::max(longest, retry.at_ - kStart);
    shortest = std::min(shortest, retry.at_ - kStart);
  }
  BOOST_TEST((longest > settings.backoffBase_));
  BOOST_TEST((shortest < settings.backoffBase_));
}

BOOST_AUTO_TEST_SUITE(when_a_failure_domain_fails)

// Guards against a retry storm: every request fails and is retried, which
// multiplies the load on the remaining servers.
BOOST_AUTO_TEST_CASE(limits_the_retries_to_the_budget)
{
  const RetrySettings settings;
  constexpr int kSeconds = 60;
  constexpr int kPerSecond = 1000;
  double retries = 0;
  for (int i = 0; i < kSeconds * kPerSecond; ++i) {
    const core::MonotonicTime now = kStart + i * (1s / kPerSecond);
    policy_.OnRequest(kDeployment, now);
    FailedAttempt failure = Failure(FailureKind::ConnectFailed, false, true);
    failure.deadline_ = now + 10s;
    // Each retry fails as well.
    while (std::holds_alternative<Retry>(Decide(failure, now))) {
      retries += 1;
      ++failure.attempts_;
    }
  }
  const RetryBudgetSettings& budget = settings.deploymentBudget_;
  BOOST_TEST(retries <= budget.burst_ + budget.minPerSecond_ * kSeconds +
                          budget.tokensPerRequest_ * kSeconds * kPerSecond);
}

// Guards against many deployments whose budgets add up to a retry storm.
BOOST_AUTO_TEST_CASE(limits_all_deployments_together_to_the_process_budget)
{
  const RetrySettings settings;
  double retries = 0;
  for (int i = 0; i < 1000; ++i) {
    const core::DeploymentId deployment("d" + std::to_string(i));
    for (int attempt = 0; attempt < 5; ++attempt) {
      const auto decision =
        policy_.OnFailure(deployment,
                          Failure(FailureKind::ConnectFailed, false, true),
                          kStart,
                          random_);
      retries += std::holds_alternative<Retry>(decision) ? 1 : 0;
    }
  }
  BOOST_TEST(retries <= settings.processBudget_.burst_);
  const auto last =
    std::get<NoRetry>(Decide(Failure(FailureKind::ConnectFailed, false, true)));
  BOOST_TEST((last.reason_ == core::RefusalReason::RetryBudgetExhausted));
  BOOST_TEST((last.ran_ == core::Ran::NotRun));
}

// Guards against retries that go to another failed server of the domain.
BOOST_AUTO_TEST_CASE(avoids_the_domain_in_later_retries)
{
  FailedAttempt failure = Failure(FailureKind::ConnectFailed, false, true);
  BOOST_TEST(std::get<Retry>(Decide(failure)).avoidDomain_.Empty());
  BOOST_TEST(std::get<Retry>(Decide(failure)).avoidDomain_.Empty());
  failure.server_ = core::ServerId("a2");
  BOOST_TEST(std::get<Retry>(Decide(failure)).avoidDomain_.Empty());
  failure.server_ = core::ServerId("a3");
  BOOST_TEST(
    (std::get<Retry>(Decide(failure)).avoidDomain_ == failure.domain_));
  BOOST_TEST(!policy_.DomainFailed(failure.domain_, kStart + 1min));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against hedges that are sent too early, too late or too often.
BOOST_AUTO_TEST_CASE(hedges_after_the_measured_percentile_within_its_budget)
{
  const RetrySettings settings;
  BOOST_TEST(!policy_.HedgeDelay(kDeployment, true).has_value());
  for (int i = 1; i <= 1000; ++i) {
    policy_.OnRequest(kDeployment, kStart);
    policy_.OnAnswer(kDeployment, i * 1ms, kStart);
  }
  const auto delay = policy_.HedgeDelay(kDeployment, true);
  BOOST_REQUIRE(delay.has_value());
  // There are four buckets per doubling of the response time.
  BOOST_TEST((*delay >= 950ms));
  BOOST_TEST((*delay <= 1190ms));
  int hedges = 0;
  while (policy_.MayHedge(kDeployment, true, kStart + 1h, kStart)) {
    ++hedges;
  }
  BOOST_TEST(hedges <= settings.hedgeBudget_.burst_);
}

BOOST_AUTO_TEST_SUITE(for_a_broken_stream)

// Guards against tokens that are lost or sent twice.
BOOST_AUTO_TEST_CASE(resumes_after_the_last_token_sent)
{
  BrokenStream stream = Stream();
  stream.engineReachable_ = true;
  stream.resumeId_ = "r1";
  const auto resume =
    std::get<ResumeAtEngine>(DecideResume(stream, std::nullopt, {}, kStart));
  BOOST_TEST(resume.fromToken_ == 40);
  stream.engineReachable_ = false;
  stream.kvExport_ = "kv";
  stream.kvTokens_ = 32;
  const ResumeTarget target{ core::ServerId("b1"), "revision-1" };
  const auto moved =
    std::get<ResumeFromExport>(DecideResume(stream, target, {}, kStart));
  BOOST_TEST(moved.fromToken_ == 32);
  BOOST_TEST(moved.skipTokens_ == 8);
}

// Guards against an answer that is joined from two generations.
BOOST_AUTO_TEST_CASE(ends_it_when_the_remaining_tokens_could_differ)
{
  const ResumeTarget target{ core::ServerId("b1"), "revision-1" };
  BrokenStream random = Stream();
  random.kvExport_ = "kv";
  random.deterministic_ = false;
  BrokenStream revised = Stream();
  revised.kvExport_ = "kv";
  revised.generation_.modelRevision_ = "revision-2";
  BrokenStream plain = Stream();
  BrokenStream ahead = Stream();
  ahead.kvExport_ = "kv";
  ahead.kvTokens_ = 41;
  for (const BrokenStream& stream : { random, revised, plain, ahead }) {
    const auto end =
      std::get<EndStream>(DecideResume(stream, target, {}, kStart));
    BOOST_TEST((end.reason_ == core::RefusalReason::StreamBroken));
    BOOST_TEST((end.ran_ == core::Ran::Unknown));
  }
  const Generation expected = Stream().generation_;
  Generation other = expected;
  other.generationId_ = "generation-2";
  BOOST_TEST(MatchesResumePoint(expected, 40, expected, 40));
  BOOST_TEST(!MatchesResumePoint(expected, 40, other, 40));
  BOOST_TEST(!MatchesResumePoint(expected, 40, expected, 39));
}

// Guards against a stream that is resumed forever.
BOOST_AUTO_TEST_CASE(
  ends_it_after_the_maximum_number_of_resumes_or_its_deadline)
{
  BrokenStream stream = Stream();
  stream.engineReachable_ = true;
  stream.resumeId_ = "r1";
  stream.resumes_ = 2;
  BOOST_TEST(std::holds_alternative<EndStream>(
    DecideResume(stream, std::nullopt, {}, kStart)));
  stream.resumes_ = 0;
  const auto end = std::get<EndStream>(
    DecideResume(stream, std::nullopt, {}, stream.deadline_));
  BOOST_TEST((end.reason_ == core::RefusalReason::DeadlinePassed));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
