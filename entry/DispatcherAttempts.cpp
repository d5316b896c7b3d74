#include "Control.h"
#include "core/Log.hpp"
#include "entry/Attempt.hpp"
#include "entry/Dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::entry {

using coordination::FailureKind;
using coordination::RequestOutcome;
using coordination::ServiceResult;

namespace {

constexpr std::chrono::milliseconds kReadTimeout{ 60'000 };
/// Retry delay when the chosen server is not in this host's settings yet.
constexpr std::chrono::milliseconds kUnknownServerRetryDelay{ 40 };

} // namespace

void
Dispatcher::StartAttempt(const RequestPtr& aRequest,
                         const coordination::RouteChoice& aChoice,
                         core::MonotonicTime aNow,
                         Effects& aEffects)
{
  const auto server = servers_.find(aChoice.server_);
  if (server == servers_.end()) {
    Park(aRequest, aNow + kUnknownServerRetryDelay);
    return;
  }
  const std::uint32_t attempt =
    RegisterAttempt(aRequest, aChoice.handle_, server->second.settings_, aNow);
  SendAttempt(aRequest,
              attempt,
              ForwardedRequest(*aRequest, attempt, aNow),
              std::make_shared<Attempt>(*this, aRequest, attempt),
              aEffects);
}

std::uint32_t
Dispatcher::RegisterAttempt(const RequestPtr& aRequest,
                            coordination::ServerHandle aHandle,
                            const state::ServerSettings& aServer,
                            core::MonotonicTime aNow)
{
  aRequest->phase_ = RequestPhase::Running;
  aRequest->server_ = aHandle;
  aRequest->serverId_ = aServer.id_;
  aRequest->serverDomain_ = aServer.failureDomain_;
  aRequest->attemptStart_ = aNow;
  ++aRequest->attempts_;
  router_.OnStart(
    aRequest->Deployment(), aRequest->MakeRouteRequest(), aHandle, aNow);
  return ++aRequest->currentAttempt_;
}

void
Dispatcher::SendAttempt(const RequestPtr& aRequest,
                        std::uint32_t aAttempt,
                        protocol::HttpRequest aForwarded,
                        std::shared_ptr<transport::HttpSink> aSink,
                        Effects& aEffects)
{
  transport::HttpTarget target;
  target.base_ =
    "http://" + servers_.at(aRequest->serverId_).settings_.address_;
  target.timeout_ = kReadTimeout;
  target.freshConnection_ = !aRequest->idempotent_;
  aEffects.emplace_back([this,
                         aRequest,
                         attempt = aAttempt,
                         target,
                         sink = std::move(aSink),
                         forwarded = std::move(aForwarded)] {
    auto call = client_.Start(target, forwarded, sink);
    const std::lock_guard lock(mutex_);
    if (aRequest->currentAttempt_.load() == attempt &&
        aRequest->phase_ == RequestPhase::Running) {
      aRequest->call_ = std::move(call);
      return;
    }
    // The attempt ended before call_ was set, so nobody else cancels the call.
    call->Cancel();
  });
}

void
Dispatcher::EndAttempt(const RequestPtr& aRequest,
                       RequestOutcome aOutcome,
                       core::MonotonicTime aNow)
{
  ++aRequest->currentAttempt_;
  aRequest->call_.reset();
  router_.OnFinish(aRequest->Deployment(),
                   aRequest->MakeRouteRequest(),
                   aRequest->server_,
                   aOutcome,
                   aNow - aRequest->attemptStart_,
                   aNow);
  const auto server = servers_.find(aRequest->serverId_);
  if (server == servers_.end()) {
    return;
  }
  if (aOutcome == RequestOutcome::Answered) {
    ++server->second.successes_;
  } else if (aOutcome == RequestOutcome::Failed) {
    ++server->second.failures_;
  }
}

void
Dispatcher::Finish(const RequestPtr& aRequest,
                   ServiceResult aResult,
                   core::MonotonicTime aNow,
                   Effects& aEffects)
{
  const bool started = aRequest->phase_ != RequestPhase::Waiting;
  aRequest->phase_ = RequestPhase::Finished;
  ++aRequest->currentAttempt_;
  parked_.erase(aRequest->ticket_);
  deadlines_.erase({ aRequest->deadline_, aRequest->ticket_ });
  requests_.erase(aRequest->ticket_);
  const auto deployment = deployments_.find(aRequest->Deployment());
  if (deployment == deployments_.end()) {
    return;
  }
  deployment->second.lastUse_ = aNow;
  if (started) {
    deployment->second.queue_.OnFinish(aRequest->ticket_, aResult, aNow);
  } else {
    deployment->second.queue_.Remove(aRequest->ticket_);
  }
  DispatchQueued(deployment->second, aNow, aEffects);
}

void
Dispatcher::LogRefusal(const Request& aRequest,
                       const protocol::Problem& aProblem) const
{
  if (!core::LogEnabled(core::LogLevel::Info)) {
    return;
  }
  core::Log(core::LogLevel::Info,
            "request refused",
            { { "request", aRequest.id_.Value() },
              { "deployment", aRequest.Deployment().Value() },
              { "caller", aRequest.caller_.Value() },
              { "reason", std::string(Name(aProblem.reason_)) },
              { "ran", std::string(Name(aProblem.ran_)) },
              { "attempts", std::to_string(aRequest.attempts_) },
              { "server", aRequest.serverId_.Value() },
              { "detail", aProblem.detail_ } });
}

void
Dispatcher::RefuseRequest(const RequestPtr& aRequest,
                          const protocol::Problem& aProblem,
                          core::MonotonicTime aNow,
                          Effects& aEffects)
{
  protocol::Problem problem = aProblem;
  if (aRequest->mayHaveRun_) {
    problem.ran_ = core::Ran::Unknown;
  }
  metrics_.CountRefusal(problem.reason_, problem.ran_);
  LogRefusal(*aRequest, problem);
  if (aRequest->phase_ == RequestPhase::Running) {
    const auto call = aRequest->call_;
    EndAttempt(aRequest, RequestOutcome::Cancelled, aNow);
    if (call) {
      aEffects.emplace_back([call] { call->Cancel(); });
    }
  }
  if (aRequest->claimed_) {
    RecordOutcome(aRequest,
                  problem.ran_ == core::Ran::NotRun
                    ? state::ClaimOutcome::NotSent
                    : state::ClaimOutcome::Unknown,
                  nullptr,
                  aEffects);
  }
  Finish(aRequest, ServiceResult::Failed, aNow, aEffects);
  aEffects.emplace_back([aRequest, problem] {
    aRequest->exchange_->Reply(protocol::ToResponse(problem));
  });
}

void
Dispatcher::Cancel(const RequestPtr& aRequest)
{
  RunLocked([&](core::MonotonicTime aNow, Effects& aEffects) {
    if (aRequest->phase_ == RequestPhase::Finished) {
      return;
    }
    metrics_.cancelled_.Add();
    if (aRequest->phase_ == RequestPhase::Running) {
      // A non-idempotent call is left running, so that its outcome is recorded
      // for the caller's retry.
      if (aRequest->claimed_) {
        return;
      }
      const auto call = aRequest->call_;
      EndAttempt(aRequest, RequestOutcome::Cancelled, aNow);
      if (call) {
        aEffects.emplace_back([call] { call->Cancel(); });
      }
    } else if (aRequest->claimed_) {
      RecordOutcome(aRequest,
                    aRequest->mayHaveRun_ ? state::ClaimOutcome::Unknown
                                          : state::ClaimOutcome::NotSent,
                    nullptr,
                    aEffects);
    }
    Finish(aRequest, ServiceResult::Failed, aNow, aEffects);
  });
}

void
Dispatcher::OnFirstByte(const RequestPtr& aRequest)
{
  const double waited =
    std::chrono::duration<double>(clock_.Now() - aRequest->arrived_).count();
  metrics_.firstByteTime_.Observe(waited);
  if (aRequest->cold_) {
    metrics_.coldStart_.Observe(waited);
  }
}

void
Dispatcher::OnStreamStarted(const RequestPtr& aRequest, std::uint32_t aAttempt)
{
  OnFirstByte(aRequest);
  RunLocked([&](core::MonotonicTime aNow, Effects& aEffects) {
    if (aRequest->currentAttempt_.load() != aAttempt ||
        aRequest->phase_ != RequestPhase::Running) {
      return;
    }
    router_.OnAnswerStarted(aRequest->Deployment(), aRequest->server_);
    const auto deployment = deployments_.find(aRequest->Deployment());
    if (deployment != deployments_.end()) {
      DispatchQueued(deployment->second, aNow, aEffects);
    }
  });
}

void
Dispatcher::OnAnswered(const RequestPtr& aRequest,
                       std::uint32_t aAttempt,
                       protocol::HttpResponse aAnswer)
{
  RunLocked([&](core::MonotonicTime aNow, Effects& aEffects) {
    if (aRequest->currentAttempt_.load() != aAttempt ||
        aRequest->phase_ != RequestPhase::Running) {
      metrics_.lateAnswers_.Add();
      return;
    }
    metrics_.answered_.Add();
    crashes_.OnCompleted(aRequest->fingerprint_, aNow);
    retries_.OnAnswer(
      aRequest->Deployment(), aNow - aRequest->attemptStart_, aNow);
    EndAttempt(aRequest, RequestOutcome::Answered, aNow);
    if (aRequest->claimed_) {
      RecordOutcome(
        aRequest, state::ClaimOutcome::Answered, &aAnswer, aEffects);
    }
    Finish(aRequest, ServiceResult::Answered, aNow, aEffects);
    aEffects.emplace_back([aRequest, answer = std::move(aAnswer)] {
      aRequest->exchange_->Reply(answer);
    });
  });
}

void
Dispatcher::OnStreamEnded(const RequestPtr& aRequest, std::uint32_t aAttempt)
{
  RunLocked([&](core::MonotonicTime aNow, Effects& aEffects) {
    if (aRequest->currentAttempt_.load() != aAttempt ||
        aRequest->phase_ != RequestPhase::Running) {
      return;
    }
    metrics_.answered_.Add();
    crashes_.OnCompleted(aRequest->fingerprint_, aNow);
    EndAttempt(aRequest, RequestOutcome::Answered, aNow);
    Finish(aRequest, ServiceResult::Answered, aNow, aEffects);
  });
}

void
Dispatcher::OnAttemptFailed(const RequestPtr& aRequest,
                            std::uint32_t aAttempt,
                            FailureKind aKind,
                            bool aMayHaveRun,
                            std::string aDetail)
{
  RunLocked([&](core::MonotonicTime aNow, Effects& aEffects) {
    if (aRequest->currentAttempt_.load() != aAttempt ||
        aRequest->phase_ != RequestPhase::Running) {
      metrics_.lateAnswers_.Add();
      return;
    }
    aRequest->mayHaveRun_ = aRequest->mayHaveRun_ || aMayHaveRun;
    const bool overloaded =
      aKind == FailureKind::Overloaded || aKind == FailureKind::Leaving;
    EndAttempt(aRequest,
               overloaded ? RequestOutcome::Cancelled : RequestOutcome::Failed,
               aNow);
    aRequest->tried_.push_back(aRequest->server_);
    const auto server = servers_.find(aRequest->serverId_);
    if (server != servers_.end()) {
      server->second.leavingAnswers_ += aKind == FailureKind::Leaving ? 1 : 0;
      server->second.connectFailures_ +=
        aKind == FailureKind::ConnectFailed ? 1 : 0;
    }
    core::Log(core::LogLevel::Debug,
              "attempt failed",
              { { "request", aRequest->id_.Value() },
                { "attempt", std::to_string(aRequest->attempts_) },
                { "server", aRequest->serverId_.Value() },
                { "detail", aDetail } });
    if (aKind == FailureKind::ConnectionLost) {
      Park(aRequest, core::MonotonicTime::max());
      AddLostRequest(aRequest, aEffects);
      return;
    }
    DecideRetry(aRequest, aKind, aNow, aEffects);
  });
}

} // namespace crocusslip::entry
