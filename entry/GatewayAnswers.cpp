#include "core/Log.hpp"
#include "entry/GatewayCall.hpp"
#include "entry/HopByHop.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace crocusslip::entry {

namespace {

using coordination::RequestKind;
using coordination::SendOutcome;
using transport::AnswerHead;
using transport::ServerLink;
using transport::Task;
namespace http = transport::http;

/// Time limit for reading the rest of an answer that says that the request was
/// not run.
constexpr std::chrono::milliseconds kNotRunReadTimeout{ 400 };
/// Time without a whole event after which a stream is resumed at another
/// server.
constexpr std::chrono::milliseconds kStreamIdleTimeout{ 1200 };
/// Maximum number of answers to earlier requests that are skipped before the
/// answer to this one.
constexpr int kMaxStrayAnswers = 3;
/// Largest event of a stream.
constexpr std::size_t kMaxEventBytes = 64UL * 1024;
/// Largest answer that is not a stream. What all calls hold together is
/// bounded by the budget.
constexpr std::size_t kMaxAnswerBytes = 4UL * 1024 * 1024;
/// What an answer may take without asking for room.
constexpr std::size_t kFreeBytes = 4096;

} // namespace

Task<bool>
GatewayCall::ReadOwnHead(ServerLink& aServer,
                         AnswerHead& aHead,
                         core::Duration aLimit)
{
  const core::MonotonicTime until = gateway_.clock_.Now() + aLimit;
  for (int skipped = 0; skipped <= kMaxStrayAnswers; ++skipped) {
    const core::Duration left = until - gateway_.clock_.Now();
    if (left <= core::Duration(0) || !co_await aServer.ReadHead(aHead, left)) {
      co_return false;
    }
    const auto echoed = aHead.fields_[gateway_.settings_.headers_.requestId_];
    // Without an id it is the answer to this request only if there was no
    // other request on this connection.
    if (echoed == id_ || (echoed.empty() && !connectionUsedBefore_)) {
      co_return true;
    }
    core::Log(core::LogLevel::Info,
              "answer to another request skipped",
              { { "request", id_ },
                { "answer", std::string(echoed) },
                { "server", choice_.server_.Value() } });
    if (!co_await aServer.SkipRest(left)) {
      co_return false;
    }
  }
  co_return false;
}

Task<bool>
GatewayCall::GrowAnswer(std::string& aBody, std::size_t aMore)
{
  const std::size_t needed = aBody.size() + aMore;
  if (needed <= std::max(answerReserved_, kFreeBytes)) {
    co_return true;
  }
  const std::size_t next =
    std::max(needed, std::min(2 * aBody.size(), kMaxAnswerBytes));
  if (!answerMemory_) {
    answerMemory_ = std::make_unique<MemoryAccount>(
      gateway_.memory_, admission::HolderKind::Answer, 0, nullptr);
  }
  if (!answerMemory_->TryReserve(next) &&
      !co_await answerMemory_->AwaitRoomFor(next, TimeLeft())) {
    co_return false;
  }
  std::string larger;
  larger.reserve(next);
  larger += aBody;
  aBody.swap(larger);
  larger = {};
  answerMemory_->Release(std::exchange(answerReserved_, next));
  co_return true;
}

Task<bool>
GatewayCall::ReadWholeBody(ServerLink& aServer, std::string& aBody)
{
  answerReserved_ = 0;
  // The answer of an attempt before may be held to be passed on.
  if (answerMemory_ && !failedAnswer_) {
    answerMemory_->GiveBackAll();
  }
  while (true) {
    const auto part = co_await aServer.ReadBody(
      std::max<core::Duration>(TimeLeft(), std::chrono::milliseconds(1)));
    if (!part) {
      co_return false;
    }
    if (part->empty()) {
      co_return true;
    }
    const bool hasRoom = co_await GrowAnswer(aBody, part->size());
    if (hasRoom) {
      aBody += *part;
    }
    if (!hasRoom || TimeLeft() <= core::Duration(0) ||
        aBody.size() > kMaxAnswerBytes) {
      core::Log(core::LogLevel::Warning,
                hasRoom ? "answer is too long" : "no room for answer",
                { { "request", id_ },
                  { "server", choice_.server_.Value() },
                  { "bytes", std::to_string(aBody.size()) } });
      co_return false;
    }
  }
}

Task<GatewayCall::AttemptResult>
GatewayCall::OnAnswer(ServerLink& aServer, AnswerHead& aHead)
{
  const protocol::CallHeaders& names = gateway_.settings_.headers_;
  const core::Duration time = gateway_.clock_.Now() - sentAt_;
  gateway_.OnAnswerHead(choice_.server_, aHead);
  const bool notRun =
    aHead.status_ == 421 || !aHead.fields_[names.notRun_].empty();
  if (notRun) {
    co_await aServer.SkipRest(kNotRunReadTimeout);
    if (aHead.status_ == 421 && !requirements_.model_.Empty()) {
      gateway_.view_.OnModelMissing(choice_.server_, requirements_.model_);
    } else {
      requirements_.tried_.insert(choice_.server_);
      gateway_.loadReader_.OnTurnedAway();
    }
    core::Log(core::LogLevel::Info,
              "server did not run the request",
              { { "request", id_ },
                { "server", choice_.server_.Value() },
                { "status", std::to_string(aHead.status_) },
                { "model", requirements_.model_.Value() },
                { "chosen_by", LoadReader::Describe(choice_) } });
    Finish(SendOutcome::Refused);
    co_return AttemptResult::RetryNotRun;
  }
  ++runs_;
  gateway_.view_.OnLatency(choice_.server_, time);
  const bool success = aHead.status_ >= 200 && aHead.status_ < 300;
  if (success && aHead.fields_[names.signature_].empty()) {
    requirements_.tried_.insert(choice_.server_);
    Finish(SendOutcome::Failed);
    aServer.Abort();
    co_return AttemptResult::RetryMaybeRun;
  }
  if (success && route_->kind_ == RequestKind::Stream) {
    co_return co_await RelayStream(aServer, aHead);
  }
  co_return co_await RelayWholeAnswer(aServer, aHead);
}

Task<GatewayCall::AttemptResult>
GatewayCall::RelayWholeAnswer(ServerLink& aServer, AnswerHead& aHead)
{
  std::string body;
  const bool complete = request_.method() == http::verb::head ||
                        co_await ReadWholeBody(aServer, body);
  if (callerGone_) {
    Finish(SendOutcome::Neutral);
    co_return AttemptResult::Done;
  }
  // Whatever the server answers now can't continue a stream that has begun.
  const bool failed = aHead.status_ >= 500 || streaming_;
  if (!complete || failed) {
    requirements_.tried_.insert(choice_.server_);
    Finish(SendOutcome::Failed);
  } else {
    Finish(SendOutcome::Served);
  }
  if (!complete) {
    co_return AttemptResult::RetryMaybeRun;
  }
  http::response<http::string_body> answer;
  answer.base() = http::response_header<>(aHead.fields_);
  answer.result(aHead.status_);
  answer.version(11);
  for (const char* name : kHopByHopHeaders) {
    answer.erase(name);
  }
  if (failed && (streaming_ || route_->Repeatable())) {
    failedAnswer_ =
      transport::WholeAnswer{ aHead.status_, answer.base(), std::move(body) };
    co_return AttemptResult::RetryMaybeRun;
  }
  completed_ = true;
  answer.body() = std::move(body);
  answer.keep_alive(DecideKeepAlive());
  answer.prepare_payload();
  const bool written = co_await link_->Write(answer);
  keepAlive_ = keepAlive_ && written;
  co_return AttemptResult::Done;
}

Task<bool>
GatewayCall::WriteStreamHead(const AnswerHead& aHead)
{
  std::string text =
    "HTTP/1.1 " + std::to_string(aHead.status_) + " " +
    std::string(http::obsolete_reason(http::int_to_status(aHead.status_))) +
    "\r\n";
  for (const auto& field : aHead.fields_) {
    const auto name = field.name_string();
    if (!IsHopByHop(name)) {
      text.append(name.data(), name.size()).append(": ");
      text.append(field.value().data(), field.value().size()).append("\r\n");
    }
  }
  if (!DecideKeepAlive()) {
    text += "Connection: close\r\n";
  }
  text += "Transfer-Encoding: chunked\r\n\r\n";
  streaming_ = true;
  co_return co_await link_->WriteRaw(text);
}

Task<GatewayCall::AttemptResult>
GatewayCall::RelayStream(ServerLink& aServer, const AnswerHead& aHead)
{
  protocol::EventSplitter events;
  if (lastEvent_) {
    events.SkipThrough(*lastEvent_);
  }
  const bool mayResume = route_->Repeatable() && runs_ < route_->maxAttempts_;
  bool complete = false;
  // Bytes that complete no event are no progress.
  core::MonotonicTime progressAt = gateway_.clock_.Now();
  bool silent = false;
  while (!callerGone_) {
    const core::Duration idle = gateway_.clock_.Now() - progressAt;
    silent = mayResume &&
             (idle < kStreamIdleTimeout
                ? !co_await AwaitServer(aServer, kStreamIdleTimeout - idle)
                : CanGoOnElsewhere(idle));
    if (silent) {
      break;
    }
    const auto part = co_await aServer.ReadBody(
      std::max<core::Duration>(TimeLeft(), std::chrono::milliseconds(1)));
    if (!part || callerGone_) {
      break;
    }
    events.Add(*part);
    const std::string wholeEvents = events.TakeWhole();
    if (events.Pending().size() > kMaxEventBytes) {
      break;
    }
    if (events.LastId()) {
      lastEvent_ = events.LastId();
    }
    begun_ = begun_ || events.HasBegun();
    // A close before the first event is more likely a crash than an answer.
    const bool closedBeforeFirstEvent =
      !events.HasBegun() && aServer.EndsWithConnection();
    complete =
      part->empty() && events.Pending().empty() && !closedBeforeFirstEvent;
    if (!streaming_ && (complete || !wholeEvents.empty()) &&
        !co_await WriteStreamHead(aHead)) {
      callerGone_ = true;
      break;
    }
    if (events.HasBegun() && std::exchange(awaitingFirstEvent_, false)) {
      gateway_.RecordStarted(parts_);
      gateway_.view_.OnPrefillDone(choice_.server_,
                                   requirements_.promptTokens_);
      gateway_.view_.OnPromptTime(choice_.server_,
                                  requirements_.promptTokens_,
                                  gateway_.clock_.Now() - sentAt_);
      // The server can now process the next prompt.
      gateway_.AssignSlots();
    }
    if (!wholeEvents.empty()) {
      RecordEventTimes();
      progressAt = gateway_.clock_.Now();
      std::array<char, 20> size{};
      std::snprintf(size.data(), size.size(), "%zx\r\n", wholeEvents.size());
      std::string chunk = size.data();
      chunk.append(wholeEvents).append("\r\n");
      if (!co_await link_->WriteRaw(chunk)) {
        callerGone_ = true;
        break;
      }
    }
    if (part->empty() || TimeLeft() <= core::Duration(0)) {
      break;
    }
  }
  if (callerGone_) {
    Finish(SendOutcome::Neutral);
    LogOutcome("caller disconnected");
    co_return AttemptResult::Done;
  }
  if (complete) {
    Finish(SendOutcome::Served);
    completed_ = true;
    keepAlive_ = co_await link_->WriteRaw("0\r\n\r\n") && keepAlive_;
    co_return AttemptResult::Done;
  }
  silent =
    silent || givenUp_ || aServer.TimedOut() || TimeLeft() <= core::Duration(0);
  aServer.Abort();
  requirements_.tried_.insert(choice_.server_);
  core::Log(
    core::LogLevel::Info,
    "stream broke off",
    { { "request", id_ },
      { "server", choice_.server_.Value() },
      { "silent", silent ? "yes" : "no" },
      { "last_event", lastEvent_ ? std::to_string(*lastEvent_) : "none" } });
  if (!silent) {
    RecordBrokenConnection();
  }
  Finish(SendOutcome::Failed);
  co_return AttemptResult::RetryMaybeRun;
}

void
GatewayCall::RecordEventTimes()
{
  const core::MonotonicTime now = gateway_.clock_.Now();
  if (timeToFirstEvent_ == core::Duration(0)) {
    timeToFirstEvent_ = now - arrivedAt_;
  } else {
    longestObservedPause_ = std::max(longestObservedPause_, now - lastEventAt_);
  }
  lastEventAt_ = now;
}

} // namespace crocusslip::entry
