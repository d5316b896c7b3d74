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

/// Time for the rest of an answer that says that nothing was run.
constexpr std::chrono::milliseconds kRefusalTime{ 400 };
/// Silence within a stream after which it goes on at another server.
constexpr std::chrono::milliseconds kStreamSilence{ 1200 };

} // namespace

Task<GatewayCall::Next>
GatewayCall::OnAnswer(ServerLink& aServer, AnswerHead& aHead)
{
  const protocol::CallHeaders& names = gateway_.settings_.headers_;
  const core::Duration time = gateway_.clock_.Now() - sentAt_;
  const bool notRun =
    aHead.status_ == 421 || !aHead.fields_[names.notRun_].empty();
  if (notRun) {
    std::string dropped;
    co_await aServer.ReadRest(dropped, kRefusalTime);
    if (aHead.status_ == 421 && !need_.model_.Empty()) {
      gateway_.view_.OnModelMissing(choice_.server_, need_.model_);
    } else {
      need_.tried_.insert(choice_.server_);
    }
    core::Log(core::LogLevel::Info,
              "server did not run the request",
              { { "request", id_ },
                { "server", choice_.server_.Value() },
                { "status", std::to_string(aHead.status_) },
                { "model", need_.model_.Value() } });
    Finish(SendOutcome::Refused);
    co_return Next::RetryNotRun;
  }
  ++runs_;
  gateway_.view_.OnLatency(choice_.server_, time);
  const bool success = aHead.status_ >= 200 && aHead.status_ < 300;
  if (success && aHead.fields_[names.signature_].empty()) {
    need_.tried_.insert(choice_.server_);
    Finish(SendOutcome::Failed);
    aServer.Abort();
    co_return Next::RetryMaybeRun;
  }
  if (success && route_->kind_ == RequestKind::Stream) {
    co_return co_await RelayStream(aServer, aHead);
  }
  co_return co_await RelayWhole(aServer, aHead);
}

Task<GatewayCall::Next>
GatewayCall::RelayWhole(ServerLink& aServer, AnswerHead& aHead)
{
  std::string body;
  const bool whole =
    request_.method() == http::verb::head ||
    co_await aServer.ReadRest(
      body, std::max<core::Duration>(Left(), std::chrono::milliseconds(1)));
  if (gone_) {
    Finish(SendOutcome::Neutral);
    co_return Next::Done;
  }
  const bool failed = aHead.status_ >= 500;
  if (!whole || failed) {
    need_.tried_.insert(choice_.server_);
    Finish(SendOutcome::Failed);
  } else {
    Finish(SendOutcome::Served);
  }
  if (!whole) {
    co_return Next::RetryMaybeRun;
  }
  http::response<http::string_body> answer;
  answer.base() = http::response_header<>(aHead.fields_);
  answer.result(aHead.status_);
  answer.version(11);
  for (const char* name : kHopByHop) {
    answer.erase(name);
  }
  if (failed && (streaming_ || route_->Repeatable())) {
    failure_ =
      transport::WholeAnswer{ aHead.status_, answer.base(), std::move(body) };
    co_return Next::RetryMaybeRun;
  }
  served_ = true;
  answer.body() = std::move(body);
  answer.keep_alive(keep_ && !gateway_.draining_);
  answer.prepare_payload();
  const bool written = co_await link_->Write(answer);
  keep_ = keep_ && written;
  co_return Next::Done;
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
    if (!HopByHop(name)) {
      text.append(name.data(), name.size()).append(": ");
      text.append(field.value().data(), field.value().size()).append("\r\n");
    }
  }
  if (gateway_.draining_) {
    text += "Connection: close\r\n";
    keep_ = false;
  }
  text += "Transfer-Encoding: chunked\r\n\r\n";
  streaming_ = true;
  co_return co_await link_->WriteRaw(text);
}

Task<GatewayCall::Next>
GatewayCall::RelayStream(ServerLink& aServer, const AnswerHead& aHead)
{
  protocol::EventSplitter events;
  if (lastEvent_) {
    events.SkipThrough(*lastEvent_);
  }
  const bool mayResume = route_->Repeatable() && runs_ < route_->maxAttempts_;
  bool whole = false;
  while (!gone_) {
    const core::Duration limit =
      mayResume ? std::min<core::Duration>(Left(), kStreamSilence) : Left();
    const auto part = co_await aServer.ReadBody(
      std::max<core::Duration>(limit, std::chrono::milliseconds(1)));
    if (!part || gone_) {
      break;
    }
    events.Add(*part);
    const std::string ready = events.TakeWhole();
    if (events.LastId()) {
      lastEvent_ = events.LastId();
    }
    whole = part->empty() && events.Pending().empty();
    if (!streaming_ && (whole || !ready.empty()) &&
        !co_await WriteStreamHead(aHead)) {
      gone_ = true;
      break;
    }
    if (!ready.empty()) {
      if (std::exchange(sendFirst_, false)) {
        gateway_.view_.OnPromptRead(choice_.server_, need_.promptTokens_);
        gateway_.view_.OnPromptTime(choice_.server_,
                                    need_.promptTokens_,
                                    gateway_.clock_.Now() - sentAt_);
        // Its server can read the next prompt.
        gateway_.AssignPlaces();
      }
      NoteEvents();
      std::array<char, 20> size{};
      std::snprintf(size.data(), size.size(), "%zx\r\n", ready.size());
      std::string chunk = size.data();
      chunk.append(ready).append("\r\n");
      if (!co_await link_->WriteRaw(chunk)) {
        gone_ = true;
        break;
      }
    }
    if (part->empty()) {
      break;
    }
  }
  if (gone_) {
    Finish(SendOutcome::Neutral);
    LogEnd("caller left");
    co_return Next::Done;
  }
  if (whole) {
    Finish(SendOutcome::Served);
    served_ = true;
    keep_ = co_await link_->WriteRaw("0\r\n\r\n") && keep_;
    co_return Next::Done;
  }
  aServer.Abort();
  need_.tried_.insert(choice_.server_);
  core::Log(
    core::LogLevel::Info,
    "stream broke off",
    { { "request", id_ },
      { "server", choice_.server_.Value() },
      { "silent", aServer.TimedOut() ? "yes" : "no" },
      { "last_event", lastEvent_ ? std::to_string(*lastEvent_) : "none" } });
  if (!aServer.TimedOut()) {
    gateway_.NoteBreak(fingerprint_, choice_.server_);
  }
  Finish(SendOutcome::Failed);
  co_return Next::RetryMaybeRun;
}

void
GatewayCall::NoteEvents()
{
  const core::MonotonicTime now = gateway_.clock_.Now();
  if (firstAfter_ == core::Duration(0)) {
    firstAfter_ = now - begin_;
  } else {
    longestPause_ = std::max(longestPause_, now - lastEventAt_);
  }
  lastEventAt_ = now;
}

} // namespace crocusslip::entry
