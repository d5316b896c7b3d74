#include "Control.h"
#include "entry/Dispatcher.hpp"
#include "protocol/ClaimResult.hpp"
#include "state/Answer.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::entry {

using coordination::ServiceResult;
using core::RefusalReason;

namespace {

/// A claim lasts this much longer than its request's deadline, so that the
/// outcome can still be recorded.
constexpr std::chrono::milliseconds kClaimGrace{ 2000 };
/// How long a duplicate request waits for the answer of the first request with
/// its key, and how often it checks.
constexpr std::chrono::milliseconds kDuplicateWait{ 2000 };
constexpr std::chrono::milliseconds kDuplicatePollInterval{ 20 };
/// Time reserved before the deadline for the refusal to reach the caller.
constexpr std::chrono::milliseconds kRefusalMargin{ 100 };

protocol::Problem
ClaimProblem(const wire::ClaimAnswer& aAnswer)
{
  using state::ClaimResult;
  const auto problem = [](RefusalReason aReason,
                          core::Ran aRan,
                          std::string aDetail) {
    return protocol::Problem{ aReason, aRan, std::move(aDetail), std::nullopt };
  };
  switch (static_cast<ClaimResult>(aAnswer.result)) {
    case ClaimResult::InProgress:
      return problem(RefusalReason::KeyInProgress,
                     core::Ran::Unknown,
                     "a request with this key is in progress");
    case ClaimResult::OutcomeUnknown:
      return problem(RefusalReason::KeyOutcomeUnknown,
                     core::Ran::Unknown,
                     "a request with this key may have run; its outcome is "
                     "not known");
    case ClaimResult::KeyReused:
      return problem(RefusalReason::KeyReused,
                     core::Ran::NotRun,
                     "the key was used for another body");
    case ClaimResult::KeyExpired:
      return problem(RefusalReason::KeyExpired,
                     core::Ran::Unknown,
                     "the key is older than the retention");
    case ClaimResult::TableFull:
      return problem(RefusalReason::ClaimTableFull,
                     core::Ran::NotRun,
                     "no more keys can be recorded");
    case ClaimResult::Granted:
    case ClaimResult::Answered:
      break;
  }
  return problem(RefusalReason::ClaimUnavailable,
                 core::Ran::NotRun,
                 "the key could not be recorded");
}

} // namespace

void
Dispatcher::StartClaim(const RequestPtr& aRequest,
                       core::MonotonicTime aNow,
                       Effects& aEffects)
{
  aRequest->phase_ = RequestPhase::Claiming;
  wire::ClaimRequest claim;
  claim.deployment = aRequest->Deployment().Value();
  claim.caller = aRequest->caller_.Value();
  claim.key = *aRequest->key_;
  claim.bodyDigest = aRequest->fingerprint_.Hex();
  claim.host = settings_.host_.Value();
  claim.request = aRequest->id_.Value();
  claim.deadlineMs =
    std::chrono::ceil<std::chrono::milliseconds>(aRequest->deadline_ - aNow)
      .count() +
    kClaimGrace.count();
  aEffects.emplace_back([this, aRequest, claim] {
    link_.Claim(claim, [this, aRequest](const wire::ClaimAnswer* aAnswer) {
      OnClaim(aRequest, aAnswer);
    });
  });
}

void
Dispatcher::OnClaim(const RequestPtr& aRequest,
                    const wire::ClaimAnswer* aAnswer)
{
  RunLocked([&](core::MonotonicTime aNow, Effects& aEffects) {
    const bool granted =
      aAnswer != nullptr &&
      aAnswer->result == static_cast<std::int8_t>(state::ClaimResult::Granted);
    if (aRequest->phase_ != RequestPhase::Claiming) {
      // The request was refused in the meantime, before anything was sent.
      if (granted || aAnswer == nullptr) {
        RecordOutcome(
          aRequest, state::ClaimOutcome::NotSent, nullptr, aEffects);
      }
      return;
    }
    if (granted) {
      aRequest->claimed_ = true;
      aRequest->mayHaveRun_ = false;
      Route(aRequest, aNow, aEffects);
      return;
    }
    if (aAnswer == nullptr || aAnswer->result < 0) {
      // The claim may still be committed. Release it, so that the caller can
      // retry with the same key.
      RecordOutcome(aRequest, state::ClaimOutcome::NotSent, nullptr, aEffects);
      const bool full = aAnswer != nullptr &&
                        aAnswer->result == static_cast<std::int8_t>(
                                             protocol::ClaimFailure::DiskFull);
      RefuseRequest(aRequest,
                    { full ? RefusalReason::ControlDiskFull
                           : RefusalReason::ClaimUnavailable,
                      core::Ran::NotRun,
                      full ? "the control leader's disk is full"
                           : "the key could not be recorded in time",
                      std::chrono::seconds(1) },
                    aNow,
                    aEffects);
      return;
    }
    if (aAnswer->result ==
          static_cast<std::int8_t>(state::ClaimResult::InProgress) &&
        AwaitOutcome(aRequest, aNow)) {
      return;
    }
    if (aAnswer->result ==
          static_cast<std::int8_t>(state::ClaimResult::Answered) &&
        aAnswer->complete) {
      protocol::HttpResponse response;
      response.status_ = static_cast<std::uint16_t>(aAnswer->status);
      response.headers_.Set("Content-Type", aAnswer->contentType);
      response.headers_.Set("Idempotency-Replayed", "true");
      response.body_ = aAnswer->body;
      metrics_.answered_.Add();
      // Not run here: a replayed answer must not count toward the service time.
      Finish(aRequest, ServiceResult::Failed, aNow, aEffects);
      aEffects.emplace_back(
        [aRequest, response] { aRequest->exchange_->Reply(response); });
      return;
    }
    protocol::Problem problem = ClaimProblem(*aAnswer);
    if (aAnswer->result ==
        static_cast<std::int8_t>(state::ClaimResult::Answered)) {
      problem.reason_ = RefusalReason::KeyOutcomeUnknown;
      problem.ran_ = core::Ran::Unknown;
      problem.detail_ = "the request has run with status " +
                        std::to_string(aAnswer->status) +
                        "; its answer was too large to keep";
    }
    RefuseRequest(aRequest, problem, aNow, aEffects);
  });
}

// The outcome is recorded only after the answer was sent, so a caller that
// repeats its request at once may find its own claim still in progress.
bool
Dispatcher::AwaitOutcome(const RequestPtr& aRequest, core::MonotonicTime aNow)
{
  if (aRequest->duplicateUntil_ == core::MonotonicTime()) {
    aRequest->duplicateUntil_ =
      std::min(aNow + kDuplicateWait, aRequest->deadline_ - kRefusalMargin);
  }
  if (aNow + kDuplicatePollInterval > aRequest->duplicateUntil_) {
    return false;
  }
  // The request in progress may be an earlier try of the same caller.
  aRequest->mayHaveRun_ = true;
  Park(aRequest, aNow + kDuplicatePollInterval);
  return true;
}

void
Dispatcher::RecordOutcome(const RequestPtr& aRequest,
                          state::ClaimOutcome aOutcome,
                          const protocol::HttpResponse* aAnswer,
                          Effects& aEffects)
{
  wire::OutcomeRecord record;
  record.deployment = aRequest->Deployment().Value();
  record.caller = aRequest->caller_.Value();
  record.key = *aRequest->key_;
  record.outcome = static_cast<std::int8_t>(aOutcome);
  record.host = settings_.host_.Value();
  record.request = aRequest->id_.Value();
  if (aAnswer != nullptr) {
    record.status = aAnswer->status_;
    record.contentType =
      aAnswer->headers_.Find("Content-Type").value_or("text/plain");
    record.body = aAnswer->body_;
  }
  aEffects.emplace_back([this, record] { link_.Record(record); });
}

} // namespace crocusslip::entry
