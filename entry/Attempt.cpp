#include "entry/Attempt.hpp"

#include "entry/Dispatcher.hpp"
#include "protocol/EngineDialect.hpp"

#include <array>
#include <utility>

namespace crocusslip::entry {

namespace {

using coordination::FailureKind;

constexpr std::size_t kMaxAnswerBytes = 64 * 1024 * 1024;
/// A stream is ended when this much of it is buffered for a slow caller.
constexpr std::size_t kMaxUnreadBytes = 8 * 1024 * 1024;

/// Request headers that are not forwarded to the backend server: those that
/// apply to one connection or only to this system.
constexpr std::array<std::string_view, 12> kStrippedRequestHeaders = {
  "Connection",     "Keep-Alive",        "Proxy-Connection", "TE",
  "Trailer",        "Transfer-Encoding", "Upgrade",          "Host",
  "Content-Length", "Authorization",     "X-Request-Id",     "Accept-Encoding",
};

/// Response headers that are used only to continue streams.
constexpr std::array kStrippedStreamHeaders = {
  protocol::kResumeHeader,
  protocol::kKvExportHeader,
  protocol::kFromHeader,
};

bool
IsForwarded(std::string_view aName)
{
  for (const std::string_view name : kStrippedRequestHeaders) {
    if (protocol::EqualsIgnoringCase(name, aName)) {
      return false;
    }
  }
  return true;
}

bool
IsEventStream(const protocol::HttpResponse& aHead)
{
  const auto type = aHead.headers_.Find("Content-Type");
  return type && type->rfind("text/event-stream", 0) == 0;
}

FailureKind
KindOf(const transport::CallFailure& aFailure)
{
  if (aFailure.delivery_ == transport::Delivery::NotSent) {
    return FailureKind::ConnectFailed;
  }
  return aFailure.error_.code_ == core::Errc::Timeout
           ? FailureKind::Timeout
           : FailureKind::ConnectionLost;
}

} // namespace

protocol::HttpRequest
ForwardedRequest(const Request& aRequest,
                 std::uint32_t aAttempt,
                 core::MonotonicTime aNow)
{
  const protocol::HttpRequest& original = aRequest.exchange_->Request();
  protocol::HttpRequest forwarded;
  forwarded.method_ = original.method_;
  forwarded.path_ = original.path_;
  forwarded.query_ = original.query_;
  forwarded.body_ = original.body_;
  for (const protocol::HttpHeader& header : original.headers_.All()) {
    if (IsForwarded(header.name_)) {
      forwarded.headers_.Set(header.name_, header.value_);
    }
  }
  SetAttemptHeaders(forwarded, aRequest, aAttempt, aNow);
  return forwarded;
}

void
SetAttemptHeaders(protocol::HttpRequest& aForwarded,
                  const Request& aRequest,
                  std::uint32_t aAttempt,
                  core::MonotonicTime aNow)
{
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    aRequest.deadline_ - aNow);
  aForwarded.headers_.Set(protocol::kRequestHeader, aRequest.id_.Value());
  aForwarded.headers_.Set(protocol::kAttemptHeader, std::to_string(aAttempt));
  aForwarded.headers_.Set(protocol::kPriorityHeader,
                          std::to_string(aRequest.priority_));
  aForwarded.headers_.Set(protocol::kDeadlineHeader,
                          std::to_string(left.count()));
}

Attempt::Attempt(Dispatcher& aDispatcher,
                 std::shared_ptr<Request> aRequest,
                 std::uint32_t aNumber)
  : dispatcher_(aDispatcher)
  , request_(std::move(aRequest))
  , number_(aNumber)
{
}

Attempt::Attempt(Dispatcher& aDispatcher,
                 std::shared_ptr<Request> aRequest,
                 std::uint32_t aNumber,
                 Continuation aContinuation)
  : dispatcher_(aDispatcher)
  , request_(std::move(aRequest))
  , number_(aNumber)
  , from_(aContinuation.from_)
  , skip_(aContinuation.skip_)
  , isContinuation_(true)
  , stream_(std::move(aContinuation.stream_))
{
}

bool
Attempt::IsCurrent() const
{
  return request_->currentAttempt_.load() == number_;
}

void
Attempt::OnHead(const protocol::HttpResponse& aHead)
{
  answer_ = aHead;
  answer_.headers_.Remove("Transfer-Encoding");
  answer_.headers_.Remove("Content-Length");
  answer_.headers_.Remove("Connection");
  if (isContinuation_) {
    OnContinuedHead(aHead);
  } else if (aHead.status_ == 200 && IsEventStream(aHead)) {
    OnStreamHead(aHead);
  }
}

void
Attempt::OnStreamHead(const protocol::HttpResponse& aHead)
{
  for (const std::string_view name : kStrippedStreamHeaders) {
    answer_.headers_.Remove(name);
  }
  // A non-idempotent request is never continued.
  const bool mayContinue =
    request_->idempotent_ && request_->settings_->streamResumes_ > 0;
  stream_ = std::make_shared<RelayedStream>(
    request_->exchange_,
    answer_,
    request_->Deployment(),
    mayContinue ? dispatcher_.ReadStreamHead(aHead) : std::nullopt,
    [weak = std::weak_ptr<Request>(request_)] {
      if (const auto request = weak.lock()) {
        request->answerStarted_.store(true);
      }
    });
}

// No byte may reach the caller unless the answer continues the same generation
// at the requested position.
void
Attempt::OnContinuedHead(const protocol::HttpResponse& aHead)
{
  if (!IsCurrent()) {
    return;
  }
  const auto offer = dispatcher_.ReadStreamHead(aHead);
  if (aHead.status_ != 200 || !IsEventStream(aHead) || !offer) {
    dispatcher_.OnStreamBroken(
      request_, number_, stream_, StreamBreak::ResumeRefused);
    return;
  }
  const coordination::Generation offered{ request_->Deployment(),
                                          offer->modelRevision_,
                                          offer->generationId_ };
  if (!coordination::MatchesResumePoint(
        stream_->Generation(), from_, offered, offer->from_)) {
    dispatcher_.OnStreamBroken(
      request_, number_, stream_, StreamBreak::Mismatch);
    return;
  }
  stream_->Continue(skip_, *offer);
}

void
Attempt::OnData(std::string_view aBytes)
{
  if (!IsCurrent()) {
    return;
  }
  if (!stream_) {
    if (answer_.body_.size() + aBytes.size() > kMaxAnswerBytes) {
      tooLarge_ = true;
      return;
    }
    answer_.body_.append(aBytes);
    return;
  }
  if (stream_->PendingBytes() > kMaxUnreadBytes) {
    dispatcher_.OnStreamBroken(
      request_, number_, stream_, StreamBreak::CallerTooSlow);
    return;
  }
  const bool started = stream_->Started();
  const bool continues = stream_->Add(aBytes);
  if (!started && stream_->Started()) {
    dispatcher_.OnStreamStarted(request_, number_);
  }
  if (!continues) {
    dispatcher_.OnStreamBroken(
      request_, number_, stream_, StreamBreak::Mismatch);
  }
}

bool
Attempt::RetryIfNotRun()
{
  const auto notRun = answer_.headers_.Find(protocol::kNotRunHeader);
  if (!notRun || answer_.status_ < 400) {
    return false;
  }
  dispatcher_.OnAttemptFailed(request_,
                              number_,
                              *notRun == "leaving" ? FailureKind::Leaving
                                                   : FailureKind::Overloaded,
                              false,
                              "answer " + std::to_string(answer_.status_));
  return true;
}

void
Attempt::OnEnd()
{
  if (!IsCurrent()) {
    dispatcher_.CountLateAnswer();
    return;
  }
  if (stream_) {
    OnStreamEnd();
    return;
  }
  if (RetryIfNotRun()) {
    return;
  }
  const bool serverError = answer_.status_ >= 500 && request_->idempotent_;
  if (tooLarge_ || serverError) {
    dispatcher_.OnAttemptFailed(request_,
                                number_,
                                FailureKind::ServerError,
                                true,
                                tooLarge_ ? "the answer is too large"
                                          : "answer " +
                                              std::to_string(answer_.status_));
    return;
  }
  dispatcher_.OnFirstByte(request_);
  dispatcher_.OnAnswered(request_, number_, std::move(answer_));
}

void
Attempt::OnStreamEnd()
{
  stream_->OnConnectionClosed();
  if (stream_->Closed()) {
    stream_->Finish();
    dispatcher_.OnStreamEnded(request_, number_);
    return;
  }
  if (!stream_->Started()) {
    dispatcher_.OnAttemptFailed(
      request_, number_, FailureKind::ServerError, true, "empty stream");
    return;
  }
  dispatcher_.OnStreamBroken(
    request_, number_, stream_, StreamBreak::EndedEarly);
}

void
Attempt::OnFailure(const transport::CallFailure& aFailure)
{
  if (!IsCurrent()) {
    return;
  }
  // A stream is complete once its closing event has arrived.
  if (stream_ && stream_->Closed()) {
    OnStreamEnd();
    return;
  }
  if (stream_ && stream_->Started()) {
    dispatcher_.OnStreamBroken(
      request_, number_, stream_, StreamBreak::ConnectionLost);
    return;
  }
  const FailureKind kind = KindOf(aFailure);
  dispatcher_.OnAttemptFailed(request_,
                              number_,
                              kind,
                              kind != FailureKind::ConnectFailed,
                              aFailure.error_.Message());
}

} // namespace crocusslip::entry
