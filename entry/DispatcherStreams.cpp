#include "Control.h"
#include "core/Log.hpp"
#include "entry/Attempt.hpp"
#include "entry/Dispatcher.hpp"

#include <utility>

namespace crocusslip::entry {

using coordination::RequestOutcome;
using coordination::ServiceResult;
using core::RefusalReason;

namespace {

constexpr std::chrono::milliseconds kExportTimeout{ 2000 };

/// The result to count for a failed continuation; nullopt when the stream broke
/// for another reason.
std::optional<StreamResult>
ResultOf(StreamBreak aBreak)
{
  switch (aBreak) {
    case StreamBreak::ResumeRefused:
      return StreamResult::Refused;
    case StreamBreak::Mismatch:
      return StreamResult::Mismatch;
    case StreamBreak::EndedEarly:
    case StreamBreak::ConnectionLost:
    case StreamBreak::CallerTooSlow:
      break;
  }
  return std::nullopt;
}

} // namespace

std::optional<protocol::StreamOffer>
Dispatcher::ReadStreamHead(const protocol::HttpResponse& aHead) const
{
  return std::visit(
    [&](const auto& aDialect) { return aDialect.ReadStreamHead(aHead); },
    dialect_);
}

void
Dispatcher::OnStreamBroken(const RequestPtr& aRequest,
                           std::uint32_t aAttempt,
                           const std::shared_ptr<RelayedStream>& aStream,
                           StreamBreak aBreak)
{
  RunLocked([&](core::MonotonicTime aNow, Effects& aEffects) {
    if (aRequest->currentAttempt_.load() != aAttempt ||
        aRequest->phase_ != RequestPhase::Running) {
      return;
    }
    const auto call = aRequest->call_;
    const bool callerTooSlow = aBreak == StreamBreak::CallerTooSlow;
    EndAttempt(aRequest,
               callerTooSlow ? RequestOutcome::Cancelled
                             : RequestOutcome::Failed,
               aNow);
    if (call) {
      aEffects.emplace_back([call] { call->Cancel(); });
    }
    aRequest->stream_ = aStream;
    aRequest->phase_ = RequestPhase::StreamBroken;
    if (const auto result = ResultOf(aBreak)) {
      metrics_.CountStream(*result);
      // Resuming again at this engine would have the same result.
      aStream->DropResumeId();
    }
    if (aBreak == StreamBreak::Mismatch) {
      aStream->DropExport();
    }
    if (callerTooSlow) {
      EndBrokenStream(aRequest,
                      { .detail_ = "the caller reads the stream too slowly" },
                      aNow,
                      aEffects);
      return;
    }
    if (aBreak != StreamBreak::ConnectionLost) {
      ContinueOrEndStream(aRequest, true, {}, aNow, aEffects);
      return;
    }
    // How to continue depends on whether the server failed, so probe it first.
    // A stream that can't be resumed is ended at once; the probe still detects
    // a server failure.
    AddLostRequest(aRequest, aEffects);
    if (!aStream->CanResume()) {
      ContinueOrEndStream(aRequest, false, {}, aNow, aEffects);
    }
  });
}

void
Dispatcher::ContinueOrEndStream(const RequestPtr& aRequest,
                                bool aReachable,
                                const protocol::KvExport& aExport,
                                core::MonotonicTime aNow,
                                Effects& aEffects)
{
  RelayedStream& stream = *aRequest->stream_;
  coordination::BrokenStream broken;
  broken.generation_ = stream.Generation();
  broken.server_ = aRequest->serverId_;
  // One data event carries one token.
  broken.tokens_ = stream.Events();
  broken.deterministic_ = aRequest->deterministic_;
  broken.resumeId_ = stream.ResumeId();
  broken.engineReachable_ = aReachable;
  broken.kvExport_ = aExport.location_;
  broken.kvTokens_ = aExport.tokens_;
  broken.resumes_ = stream.Resumes();
  broken.deadline_ = aRequest->deadline_;
  std::optional<coordination::ResumeTarget> target;
  std::optional<coordination::RouteChoice> choice;
  if (!aExport.location_.empty()) {
    choice = ImportServer(aRequest, aNow);
  }
  if (choice) {
    const auto deployment = deployments_.find(aRequest->Deployment());
    const bool sameVersion =
      deployment != deployments_.end() &&
      deployment->second.settings_->version_ == aRequest->settings_->version_;
    // Only a hint: the server states its revision in the head of its answer.
    target = { choice->server_,
               sameVersion ? broken.generation_.modelRevision_ : "" };
  }
  const coordination::ResumeDecision decision = coordination::DecideResume(
    broken, target, { aRequest->settings_->streamResumes_ }, aNow);
  if (const auto* same = std::get_if<coordination::ResumeAtEngine>(&decision)) {
    protocol::HttpRequest forwarded = std::visit(
      [&](const auto& aDialect) {
        return aDialect.Resume(same->resumeId_, same->fromToken_);
      },
      dialect_);
    metrics_.CountStream(StreamResult::SameEngine);
    StartContinuation(aRequest,
                      aRequest->serverId_,
                      aRequest->server_,
                      std::move(forwarded),
                      { aRequest->stream_, same->fromToken_, 0 },
                      aNow,
                      aEffects);
    return;
  }
  if (const auto* other =
        std::get_if<coordination::ResumeFromExport>(&decision)) {
    protocol::HttpRequest forwarded = std::visit(
      [&](const auto& aDialect) {
        return aDialect.Import(aRequest->Deployment(), other->kvExport_);
      },
      dialect_);
    metrics_.CountStream(StreamResult::Import);
    StartContinuation(
      aRequest,
      other->server_,
      choice->handle_,
      std::move(forwarded),
      { aRequest->stream_, other->fromToken_, other->skipTokens_ },
      aNow,
      aEffects);
    return;
  }
  const auto& end = std::get<coordination::EndStream>(decision);
  const bool mayExport =
    aReachable && stream.CanExport() && aExport.location_.empty() &&
    aRequest->deterministic_ && end.reason_ == RefusalReason::StreamBroken &&
    stream.Resumes() < aRequest->settings_->streamResumes_;
  if (mayExport) {
    // Ask each engine only once; RelayedStream::Continue() sets the flag again
    // for the next engine.
    stream.DropExport();
    FetchExport(aRequest, aEffects);
    return;
  }
  EndBrokenStream(aRequest, end, aNow, aEffects);
}

void
Dispatcher::FetchExport(const RequestPtr& aRequest, Effects& aEffects)
{
  const auto server = servers_.find(aRequest->serverId_);
  const std::string address =
    server == servers_.end() ? "" : server->second.settings_.address_;
  const RelayedStream& stream = *aRequest->stream_;
  protocol::HttpRequest request = std::visit(
    [&](const auto& aDialect) {
      return aDialect.Export(stream.Generation().generationId_,
                             stream.Events());
    },
    dialect_);
  aEffects.emplace_back([this, aRequest, address, request] {
    constexpr std::size_t kLimit = 64 * 1024;
    client_.Fetch(
      { "http://" + address, kExportTimeout },
      request,
      kLimit,
      [this, aRequest](const core::Result<protocol::HttpResponse>& aAnswer,
                       transport::Delivery) {
        protocol::KvExport exported;
        if (aAnswer.Ok()) {
          exported = std::visit(
                       [&](const auto& aDialect) {
                         return aDialect.ReadExport(aAnswer.Value());
                       },
                       dialect_)
                       .value_or(protocol::KvExport());
        }
        RunLocked([&](core::MonotonicTime aNow, Effects& aMore) {
          if (aRequest->phase_ != RequestPhase::StreamBroken) {
            return;
          }
          ContinueOrEndStream(aRequest, true, exported, aNow, aMore);
        });
      });
  });
}

std::optional<coordination::RouteChoice>
Dispatcher::ImportServer(const RequestPtr& aRequest, core::MonotonicTime aNow)
{
  const auto verdict = crashes_.Verdict(aRequest->fingerprint_, aNow);
  if (verdict == coordination::CrashVerdict::Hold) {
    return std::nullopt;
  }
  aRequest->isolated_ = verdict == coordination::CrashVerdict::Isolate;
  aRequest->proven_ = verdict == coordination::CrashVerdict::Proven;
  aRequest->tried_.push_back(aRequest->server_);
  const coordination::RouteResult result = router_.Choose(
    aRequest->Deployment(), aRequest->MakeRouteRequest(), aNow, random_);
  const auto* choice = std::get_if<coordination::RouteChoice>(&result);
  return choice == nullptr ? std::nullopt : std::optional(*choice);
}

void
Dispatcher::StartContinuation(const RequestPtr& aRequest,
                              const core::ServerId& aServer,
                              coordination::ServerHandle aHandle,
                              protocol::HttpRequest aForwarded,
                              const Continuation& aContinuation,
                              core::MonotonicTime aNow,
                              Effects& aEffects)
{
  const auto server = servers_.find(aServer);
  if (server == servers_.end()) {
    EndBrokenStream(
      aRequest,
      { .detail_ = "the server of the stream was removed from the settings" },
      aNow,
      aEffects);
    return;
  }
  metrics_.CountRetry(core::RetryReason::StreamResumed);
  aContinuation.stream_->CountResume();
  const std::uint32_t attempt =
    RegisterAttempt(aRequest, aHandle, server->second.settings_, aNow);
  // The router decrements its count of started answers when the request ends,
  // so count the continuation as started now.
  router_.OnAnswerStarted(aRequest->Deployment(), aHandle);
  core::Log(core::LogLevel::Info,
            "broken stream continued",
            { { "request", aRequest->id_.Value() },
              { "attempt", std::to_string(aRequest->attempts_) },
              { "server", aServer.Value() },
              { "from", std::to_string(aContinuation.from_) } });
  SetAttemptHeaders(aForwarded, *aRequest, attempt, aNow);
  SendAttempt(
    aRequest,
    attempt,
    std::move(aForwarded),
    std::make_shared<Attempt>(*this, aRequest, attempt, aContinuation),
    aEffects);
}

void
Dispatcher::EndBrokenStream(const RequestPtr& aRequest,
                            const coordination::EndStream& aEnd,
                            core::MonotonicTime aNow,
                            Effects& aEffects)
{
  const protocol::Problem problem{
    aEnd.reason_, aEnd.ran_, aEnd.detail_, std::nullopt
  };
  metrics_.CountRefusal(problem.reason_, problem.ran_);
  metrics_.CountStream(StreamResult::Ended);
  LogRefusal(*aRequest, problem);
  Finish(aRequest, ServiceResult::Failed, aNow, aEffects);
  aEffects.emplace_back(
    [stream = aRequest->stream_, problem] { stream->EndWithError(problem); });
}

} // namespace crocusslip::entry
