#include "entry/GatewayCall.hpp"

#include "coordination/ModelPlacement.hpp"
#include "core/Durations.hpp"
#include "core/Hash.hpp"
#include "core/Log.hpp"
#include "entry/HopByHop.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace crocusslip::entry {

namespace {

using coordination::BackendChoiceStatus;
using coordination::RequestKind;
using coordination::SendOutcome;
using transport::AnswerHead;
using transport::HttpRequest;
using transport::ServerLink;
using transport::Task;
namespace http = transport::http;

constexpr std::chrono::milliseconds kConnectTimeout{ 400 };
/// Sends that a server refused, or that did not reach one, in one request.
constexpr std::uint32_t kMostRefusals = 5;
constexpr std::uint32_t kMostUnsent = 5;
/// Pause before a request is sent again; doubles.
constexpr std::chrono::milliseconds kBackoff{ 10 };
/// Answers of other requests that may precede the own one.
constexpr int kMostStrayAnswers = 3;
/// How long a request waits when no table of routes is known yet, and the
/// interval at which it looks for one.
constexpr std::chrono::milliseconds kRoutesWait{ 1500 };
constexpr std::chrono::milliseconds kRoutesStep{ 20 };
/// How long a request waits when no server of its service is known.
constexpr std::chrono::milliseconds kNoServerWait{ 1000 };
/// Time that must be left after a place is found: a stream can't begin, nor a
/// plain request run, in less.
constexpr std::chrono::milliseconds kStreamReserve{ 400 };
constexpr std::chrono::milliseconds kPlainReserve{ 20 };
/// Multiple of the objective after which a repeatable request goes to another
/// server.
constexpr int kSlowFactor = 2;
constexpr std::chrono::milliseconds kLeastSlow{ 150 };
/// Retry-After when nothing better is known.
constexpr std::chrono::milliseconds kRetryAfterDefault{ 500 };
/// Time in which the control group decides on a load that a request needs, and
/// tells of it.
constexpr std::chrono::milliseconds kLoadDecided{ 500 };
/// Servers lost by a request from which it is not sent again.
constexpr std::uint32_t kSuspectServers = 2;
/// Time kept for the way back of an answer.
constexpr std::chrono::milliseconds kReturnTime{ 10 };

std::optional<std::int64_t>
ParseNumber(std::string_view aText)
{
  std::int64_t value = 0;
  const auto parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (parsed.ec != std::errc() || value < 0) {
    return std::nullopt;
  }
  return value;
}

std::string
SecondsText(core::Duration aTime)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(),
                text.size(),
                "%.2f",
                std::chrono::duration<double>(aTime).count());
  return text.data();
}

/// "IN,OUT": the tokens that a run may need at most.
std::uint64_t
TokensOf(std::string_view aText)
{
  const auto comma = aText.find(',');
  const auto in = ParseNumber(aText.substr(0, comma));
  const auto out = comma == std::string_view::npos
                     ? std::nullopt
                     : ParseNumber(aText.substr(comma + 1));
  return static_cast<std::uint64_t>(in.value_or(0) + out.value_or(0));
}

} // namespace

GatewayCall::GatewayCall(Gateway& aGateway,
                         std::shared_ptr<transport::CallerLink> aLink,
                         HttpRequest aRequest)
  : gateway_(aGateway)
  , link_(std::move(aLink))
  , request_(std::move(aRequest))
  , routes_(aGateway.routes_)
  , begin_(aGateway.clock_.Now())
  , timer_(aGateway.loop_)
{
}

GatewayCall::~GatewayCall()
{
  if (ticket_) {
    gateway_.queue_.Remove(*ticket_);
    gateway_.waiting_.erase(*ticket_);
  }
}

Task<bool>
GatewayCall::Run()
{
  WatchCaller();
  co_await Forward();
  finished_ = true;
  if (served_) {
    gateway_.NoteCompleted(fingerprint_);
    LogEnd("served");
  }
  link_->CancelWait();
  co_return keep_ && !gone_;
}

void
GatewayCall::WatchCaller()
{
  transport::Spawn(gateway_.loop_, [self = shared_from_this()]() -> Task<void> {
    const bool closed = co_await self->link_->AwaitClose();
    if (closed && !self->finished_) {
      self->OnCallerGone();
    }
  });
}

void
GatewayCall::OnCallerGone()
{
  gone_ = true;
  if (active_ != nullptr) {
    active_->Abort();
  }
  timer_.cancel();
}

bool
GatewayCall::ReadHeaders()
{
  const protocol::CallHeaders& names = gateway_.settings_.headers_;
  const auto header = [&](const std::string& aName) -> std::string_view {
    const auto text = request_[aName];
    return { text.data(), text.size() };
  };
  id_ = header(names.requestId_);
  const auto left = ParseNumber(header(names.deadlineMs_));
  core::Duration time = route_->timeout_;
  if (left) {
    time = std::min<core::Duration>(time, std::chrono::milliseconds(*left));
  }
  deadline_ = begin_ + time - kReturnTime;
  const std::uint64_t hash = core::Hash64(id_);
  need_.service_ = route_->Pick(hash);
  const coordination::Service* service = routes_->FindService(need_.service_);
  if (service == nullptr) {
    return false;
  }
  if (service->engine_) {
    need_.model_ = core::ModelName(std::string(header(names.model_)));
    const std::string_view tokens = header(names.tokens_);
    need_.tokens_ = TokensOf(tokens);
    need_.promptTokens_ = TokensOf(tokens.substr(0, tokens.find(',')));
    need_.longestPause_ = route_->longestPause_;
    const auto parts = coordination::SplitModel(need_.model_);
    if (!need_.model_.Empty() &&
        !service->engine_->models_.contains(parts.model_)) {
      return false;
    }
  }
  const auto target = request_.target();
  fingerprint_ = coordination::FingerprintOf(
    core::DeploymentId(std::string(target.data(), target.size())),
    request_.body());
  return true;
}

// After a restart of everything the control group needs a moment to elect its
// leader. The caller would spend its only return on a refusal.
Task<void>
GatewayCall::AwaitRoutes()
{
  const auto header = request_[gateway_.settings_.headers_.deadlineMs_];
  const auto left = ParseNumber({ header.data(), header.size() });
  core::Duration limit = kRoutesWait;
  if (left) {
    limit =
      std::min<core::Duration>(limit, std::chrono::milliseconds(*left / 3));
  }
  while (!routes_ && !gone_ && gateway_.clock_.Now() < begin_ + limit) {
    co_await transport::Sleep(timer_, kRoutesStep);
    routes_ = gateway_.routes_;
  }
}

Task<void>
GatewayCall::Forward()
{
  co_await AwaitRoutes();
  if (!routes_) {
    co_await Refuse(GatewayRefusal::NoRoutes, 503, kRetryAfterDefault);
    co_return;
  }
  const auto host = request_[http::field::host];
  const auto target = request_.target();
  route_ = routes_->Match({ host.data(), host.size() },
                          { target.data(), target.size() });
  if (route_ == nullptr) {
    co_await Refuse(GatewayRefusal::NoRoute, 404, std::nullopt);
    co_return;
  }
  if (!ReadHeaders()) {
    co_await Refuse(GatewayRefusal::NoModel, 503, std::nullopt);
    co_return;
  }
  if (gateway_.guard_.Verdict(fingerprint_, begin_) ==
      coordination::CrashVerdict::Hold) {
    co_await Refuse(GatewayRefusal::Quarantined, 503, std::nullopt);
    co_return;
  }
  gateway_.BudgetOf(need_.service_).OnRequest(begin_);
  if (!need_.model_.Empty()) {
    ++gateway_.models_[need_.model_].arrivals_;
  }
  while (!gone_) {
    if (!co_await AwaitPlace()) {
      if (!gone_) {
        co_await RefusePlace();
      }
      co_return;
    }
    const Next next = co_await Attempt();
    if (next == Next::Done || gone_) {
      co_return;
    }
    if (!MayRepeat(next)) {
      if (streaming_) {
        // Closed without its end, so that the caller sees that it is not whole.
        link_->Abort();
        keep_ = false;
        LogEnd("broken stream");
      } else if (failure_) {
        http::response<http::string_body> answer;
        answer.result(failure_->status_);
        answer.base() = http::response_header<>(failure_->fields_);
        answer.result(failure_->status_);
        answer.body() = std::move(failure_->body_);
        answer.prepare_payload();
        co_await link_->Write(answer);
        LogEnd("failure of the server");
      } else if (next == Next::RetryMaybeRun) {
        const bool late = Left() <= std::chrono::milliseconds(20);
        co_await Refuse(late ? GatewayRefusal::Deadline
                             : GatewayRefusal::Broken,
                        late ? 504 : 502,
                        std::nullopt);
      } else {
        co_await Refuse(GatewayRefusal::NotRunElsewhere,
                        runs_ > 0 ? 502 : 503,
                        kRetryAfterDefault);
      }
      co_return;
    }
    const std::uint32_t tries = refusals_ + unsent_;
    if (tries > 0) {
      co_await transport::Sleep(timer_, kBackoff * (1U << std::min(tries, 5U)));
    }
  }
  LogEnd("caller left");
}

bool
GatewayCall::MayRepeat(Next aNext)
{
  if (Left() <= kPlainReserve) {
    return false;
  }
  if (aNext == Next::RetryUnsent) {
    return ++unsent_ <= kMostUnsent;
  }
  if (aNext == Next::RetryNotRun && ++refusals_ > kMostRefusals) {
    return false;
  }
  if (aNext == Next::RetryMaybeRun &&
      (!route_->Repeatable() || runs_ >= route_->maxAttempts_)) {
    return false;
  }
  // After two lost servers only the caller may try a third one.
  if (gateway_.guard_.ServersLost(fingerprint_, gateway_.clock_.Now()) >=
      kSuspectServers) {
    return false;
  }
  const bool granted =
    gateway_.BudgetOf(need_.service_).TryTake(gateway_.clock_.Now());
  if (!granted) {
    core::Log(core::LogLevel::Info,
              "retry budget is used up",
              { { "request", id_ }, { "service", need_.service_.Value() } });
  }
  return granted;
}

core::Duration
GatewayCall::Left() const
{
  return deadline_ - gateway_.clock_.Now();
}

std::optional<core::MonotonicTime>
GatewayCall::LatestPlace() const
{
  const core::MonotonicTime now = gateway_.clock_.Now();
  const auto fit = gateway_.view_.Choose(need_, now, gateway_.random_).status_;
  if (fit == BackendChoiceStatus::NoServer) {
    return std::min(deadline_ - kPlainReserve, now + kNoServerWait);
  }
  core::MonotonicTime latest = deadline_ - kPlainReserve;
  if (route_->kind_ == RequestKind::Stream) {
    // The caller leaves when the first event takes longer than its patience.
    latest =
      std::min(deadline_, begin_ + route_->callerIdleTimeout_) - kStreamReserve;
  }
  if (gateway_.draining_) {
    // This process ends soon; another host can still find a place.
    latest = std::min(latest, gateway_.waitUntil_);
  }
  const auto coming = gateway_.ComingAt(need_.model_);
  const bool tooLate =
    fit == BackendChoiceStatus::NoModel && coming && *coming > latest;
  // Another host has more time for a model that nobody loads.
  const bool handOver =
    gateway_.draining_ && fit == BackendChoiceStatus::NoModel && !coming &&
    coordination::SplitModel(need_.model_).adapter_.empty() &&
    now >= begin_ + kLoadDecided;
  if (tooLate || handOver || latest <= now) {
    return std::nullopt;
  }
  return latest;
}

Task<bool>
GatewayCall::AwaitPlace()
{
  const core::MonotonicTime now = gateway_.clock_.Now();
  if (!need_.tried_.empty()) {
    const auto fit =
      gateway_.view_.Choose(need_, now, gateway_.random_).status_;
    if (fit == BackendChoiceStatus::NoModel ||
        fit == BackendChoiceStatus::NoServer) {
      need_.tried_.clear();
    }
  }
  placed_ = false;
  ticket_ = gateway_.queue_.Add({ need_,
                                  route_->priority_,
                                  begin_,
                                  deadline_,
                                  begin_ + route_->latencyTarget_ / 2 });
  gateway_.waiting_[*ticket_] = this;
  gateway_.AssignPlaces();
  while (!placed_ && !gone_) {
    const auto latest = LatestPlace();
    if (!latest) {
      break;
    }
    if (gateway_.models_.contains(need_.model_)) {
      gateway_.fleet_.Hurry();
    }
    const core::Duration time = *latest - gateway_.clock_.Now();
    const bool expired = co_await transport::Sleep(timer_, time);
    if (expired) {
      break;
    }
  }
  if (ticket_) {
    gateway_.queue_.Remove(*ticket_);
    gateway_.waiting_.erase(*ticket_);
    ticket_.reset();
  }
  if (placed_ && gone_) {
    gateway_.view_.OnFinish(choice_.server_,
                            need_.tokens_,
                            SendOutcome::Neutral,
                            gateway_.clock_.Now());
    placed_ = false;
  }
  co_return placed_;
}

void
GatewayCall::Grant(const coordination::BackendChoice& aChoice)
{
  ticket_.reset();
  choice_ = aChoice;
  placed_ = true;
  placedAfter_ = gateway_.clock_.Now() - begin_;
  loadAtChoice_ = gateway_.view_.LoadOf(aChoice.server_);
  timer_.cancel();
}

Task<void>
GatewayCall::RefusePlace()
{
  const core::MonotonicTime now = gateway_.clock_.Now();
  if (streaming_) {
    link_->Abort();
    keep_ = false;
    LogEnd("no server to go on at");
    co_return;
  }
  const auto fit = gateway_.view_.Choose(need_, now, gateway_.random_).status_;
  core::Duration retryAfter = kRetryAfterDefault;
  GatewayRefusal reason = GatewayRefusal::NoServer;
  if (fit == BackendChoiceStatus::NoModel) {
    reason = GatewayRefusal::NoModel;
    const auto coming = gateway_.ComingAt(need_.model_);
    if (coming && *coming > now) {
      retryAfter = *coming - now;
    }
  } else if (fit == BackendChoiceStatus::Full) {
    reason = GatewayRefusal::Full;
  }
  if (gateway_.draining_) {
    reason = GatewayRefusal::Draining;
    retryAfter = core::Duration(0);
  }
  co_await Refuse(reason, runs_ > 0 ? 502 : 503, retryAfter);
}

HttpRequest
GatewayCall::Outgoing() const
{
  const protocol::CallHeaders& names = gateway_.settings_.headers_;
  HttpRequest out;
  out.method_string(request_.method_string());
  out.target(request_.target());
  out.version(11);
  for (const auto& field : request_.base()) {
    const auto name = field.name_string();
    const bool reserved =
      std::ranges::any_of(names.reserved_, [&](const std::string& aOther) {
        return transport::beast::iequals(name, aOther);
      });
    if (!HopByHop(name) && !reserved) {
      out.insert(field.name_string(), field.value());
    }
  }
  out.set(
    names.deadlineMs_,
    std::to_string(std::max<std::int64_t>(1, core::Milliseconds(Left()))));
  out.set(names.expectedServer_, choice_.server_.Value());
  if (!need_.model_.Empty()) {
    out.set(names.urgency_, std::to_string(std::min(route_->priority_, 9U)));
  }
  if (lastEvent_) {
    out.set(names.lastEvent_, std::to_string(*lastEvent_));
  }
  out.body() = request_.body();
  out.prepare_payload();
  return out;
}

core::Duration
GatewayCall::AnswerLimit() const
{
  const core::Duration left = Left() + kReturnTime;
  const bool last = !route_->Repeatable() || runs_ + 1 >= route_->maxAttempts_;
  if (last) {
    return left;
  }
  core::Duration slow =
    std::max<core::Duration>(route_->latencyTarget_ * kSlowFactor, kLeastSlow);
  if (route_->kind_ == RequestKind::Stream) {
    slow = std::max<core::Duration>(slow, route_->callerIdleTimeout_ / 2);
  }
  return std::min(left, slow);
}

Task<std::unique_ptr<ServerLink>>
GatewayCall::Open()
{
  // Only a repeatable request goes on a kept connection: the server may have
  // closed it, and then nobody knows whether the request arrived.
  if (route_->Repeatable()) {
    if (auto kept = gateway_.pool_.Take(choice_.server_)) {
      co_return kept;
    }
  }
  auto link = std::make_unique<ServerLink>(gateway_.loop_);
  active_ = link.get();
  const auto limit = std::min<core::Duration>(kConnectTimeout, Left());
  const bool connected = co_await link->Connect(
    choice_.address_,
    std::chrono::duration_cast<std::chrono::milliseconds>(limit));
  active_ = nullptr;
  if (!connected || gone_) {
    co_return nullptr;
  }
  co_return link;
}

Task<GatewayCall::Next>
GatewayCall::Attempt()
{
  sendFirst_ = true;
  auto link = co_await Open();
  if (!link) {
    need_.tried_.insert(choice_.server_);
    Finish(gone_ ? SendOutcome::Neutral : SendOutcome::Unreachable);
    co_return Next::RetryUnsent;
  }
  auto& models = gateway_.models_;
  const core::ModelName model = need_.model_;
  if (!model.Empty()) {
    ++models[model].inFlight_;
    gateway_.active_[choice_.server_].insert(
      coordination::SplitModel(model).model_);
  }
  ++sends_;
  sentAt_ = gateway_.clock_.Now();
  active_ = link.get();
  const Next next = co_await Exchange(*link);
  active_ = nullptr;
  if (!model.Empty()) {
    --models[model].inFlight_;
    auto& running = gateway_.active_[choice_.server_];
    const auto one = running.find(coordination::SplitModel(model).model_);
    if (one != running.end()) {
      running.erase(one);
    }
  }
  if (link->Reusable() && !gone_) {
    gateway_.pool_.Put(
      choice_.server_, std::move(link), gateway_.MostIdle(need_.service_));
  } else {
    link->Abort();
  }
  co_return next;
}

Task<GatewayCall::Next>
GatewayCall::Exchange(ServerLink& aServer)
{
  const HttpRequest out = Outgoing();
  const core::Duration limit = AnswerLimit();
  const protocol::CallHeaders& names = gateway_.settings_.headers_;
  AnswerHead head;
  bool got =
    co_await aServer.Send(out, limit) && co_await aServer.ReadHead(head, limit);
  // An answer to a request before may still arrive; its id tells.
  for (int stray = 0; got && stray < kMostStrayAnswers; ++stray) {
    const auto echoed = head.fields_[names.requestId_];
    if (echoed.empty() || echoed == id_) {
      break;
    }
    std::string dropped;
    got = co_await aServer.ReadRest(dropped, limit) &&
          co_await aServer.ReadHead(head, limit);
  }
  if (got && !gone_) {
    co_return co_await OnAnswer(aServer, head);
  }
  ++runs_;
  need_.tried_.insert(choice_.server_);
  if (gone_) {
    Finish(SendOutcome::Neutral);
    co_return Next::Done;
  }
  if (!aServer.TimedOut()) {
    gateway_.NoteBreak(fingerprint_, choice_.server_);
  }
  core::Log(core::LogLevel::Info,
            "no answer from server",
            { { "request", id_ },
              { "server", choice_.server_.Value() },
              { "timeout", aServer.TimedOut() ? "yes" : "no" },
              { "limit_ms", std::to_string(core::Milliseconds(limit)) } });
  Finish(aServer.TimedOut() && Left() > kPlainReserve ? SendOutcome::Unreachable
                                                      : SendOutcome::Failed);
  co_return Next::RetryMaybeRun;
}

void
GatewayCall::Finish(SendOutcome aOutcome)
{
  if (std::exchange(sendFirst_, false)) {
    gateway_.view_.OnPromptRead(choice_.server_, need_.promptTokens_);
  }
  gateway_.view_.OnFinish(
    choice_.server_, need_.tokens_, aOutcome, gateway_.clock_.Now());
  gateway_.AssignPlaces();
}

Task<void>
GatewayCall::Refuse(GatewayRefusal aReason,
                    unsigned aStatus,
                    std::optional<core::Duration> aRetryAfter)
{
  gateway_.CountRefusal(aReason);
  http::response<http::string_body> answer;
  answer.version(11);
  answer.result(aStatus);
  const protocol::CallHeaders& names = gateway_.settings_.headers_;
  const auto id = request_[names.requestId_];
  if (!id.empty()) {
    answer.set(names.requestId_, id);
  }
  answer.set(http::field::content_type, "text/plain");
  const bool promise = aStatus == 503;
  if (promise && aRetryAfter) {
    answer.set(http::field::retry_after, SecondsText(*aRetryAfter));
  }
  answer.body() = std::string(NameOf(aReason)) + "\n";
  answer.keep_alive(keep_ && !gateway_.draining_);
  answer.prepare_payload();
  core::Log(
    core::LogLevel::Info,
    "request refused",
    { { "request", std::string(id) },
      { "reason", NameOf(aReason) },
      { "status", std::to_string(aStatus) },
      { "route", route_ == nullptr ? "" : route_->name_ },
      { "model", need_.model_.Value() },
      { "waited_ms",
        std::to_string(core::Milliseconds(gateway_.clock_.Now() - begin_)) },
      { "left_ms",
        std::to_string(route_ == nullptr ? 0 : core::Milliseconds(Left())) } });
  const bool written = co_await link_->Write(answer);
  keep_ = keep_ && written;
}

void
GatewayCall::LogEnd(std::string_view aOutcome) const
{
  core::Log(
    core::LogLevel::Info,
    aOutcome,
    { { "request", id_ },
      { "route", route_ == nullptr ? "" : route_->name_ },
      { "server", choice_.server_.Value() },
      { "model", need_.model_.Value() },
      { "tokens", std::string(request_[gateway_.settings_.headers_.tokens_]) },
      { "sends", std::to_string(sends_) },
      { "placed_ms", std::to_string(core::Milliseconds(placedAfter_)) },
      { "first_ms", std::to_string(core::Milliseconds(firstAfter_)) },
      { "longest_pause_ms", std::to_string(core::Milliseconds(longestPause_)) },
      { "load", std::to_string(loadAtChoice_) },
      { "age_ms",
        std::to_string(core::Milliseconds(gateway_.clock_.Now() - begin_)) } });
}

} // namespace crocusslip::entry
