#include "entry/GatewayCall.hpp"

#include "coordination/ModelPlacement.hpp"
#include "core/Durations.hpp"
#include "core/Log.hpp"
#include "entry/GatewayCounters.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace crocusslip::entry {

namespace {

using coordination::BackendChoiceStatus;
using coordination::RequestKind;
using coordination::SendOutcome;
using transport::AnswerHead;
using transport::ForwardedRequest;
using transport::HttpRequest;
using transport::ServerLink;
using transport::Task;
namespace http = transport::http;

constexpr std::chrono::milliseconds kConnectTimeout{ 400 };
/// Maximum number of attempts per request that servers answered without
/// running it.
constexpr std::uint32_t kMaxNotRunAnswers = 5;
/// Maximum number of attempts per request that did not reach a server.
constexpr std::uint32_t kMaxUnsentAttempts = 5;
/// Base of the exponential backoff between attempts.
constexpr std::chrono::milliseconds kRetryBackoff{ 10 };
/// How long a request waits for the first routing table, and the interval at
/// which it polls for one.
constexpr std::chrono::milliseconds kRoutesTimeout{ 1500 };
constexpr std::chrono::milliseconds kRoutesPollInterval{ 20 };
/// A repeatable request is sent to another server when its answer takes longer
/// than this multiple of the latency target.
constexpr int kSlowAnswerFactor = 2;
constexpr std::chrono::milliseconds kMinSlowAnswerTimeout{ 150 };
/// Number of servers lost during a request at which it is no longer retried.
constexpr std::uint32_t kServersLostToStopRetries = 2;
/// Interval at which it is checked whether a request can leave a silent server.
constexpr std::chrono::milliseconds kSilenceCheckInterval{ 100 };
/// Share of the caller's idle timeout after which a silent server's connection
/// is taken for broken.
constexpr double kLongSilenceShare = 0.6;
/// Time for the rest of an answer's head, once its first bytes have arrived.
constexpr std::chrono::milliseconds kHeadTimeout{ 1000 };

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

} // namespace

GatewayCall::GatewayCall(Gateway& aGateway,
                         std::shared_ptr<transport::CallerLink> aLink,
                         HttpRequest aRequest,
                         std::shared_ptr<MemoryAccount> aMemory)
  : gateway_(aGateway)
  , link_(std::move(aLink))
  , request_(std::move(aRequest))
  , requestMemory_(std::move(aMemory))
  , routes_(aGateway.routes_)
  , arrivedAt_(aGateway.clock_.Now())
  , timer_(aGateway.loop_)
{
}

GatewayCall::~GatewayCall()
{
  ReleaseQuota();
  if (queueId_) {
    gateway_.queue_.Remove(*queueId_);
    gateway_.waiting_.erase(*queueId_);
  }
}

Task<bool>
GatewayCall::Run()
{
  WatchCaller();
  co_await Forward();
  ReleaseQuota();
  finished_ = true;
  if (completed_) {
    gateway_.RecordCompleted(fingerprint_);
    LogOutcome("served");
  }
  link_->CancelWait();
  if (link_->WriteTimedOut()) {
    gateway_.counters_->slowReaders_.Add();
  }
  co_return keepAlive_ && !callerGone_;
}

bool
GatewayCall::DecideKeepAlive()
{
  keepAlive_ = keepAlive_ && request_.keep_alive() && !gateway_.draining_;
  return keepAlive_;
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
  callerGone_ = true;
  AbortAttempt();
}

void
GatewayCall::GiveUp()
{
  // What a stream has sent so far reaches its caller better without a reset.
  if (!streaming_ && !std::exchange(givenUp_, true)) {
    AbortAttempt();
  }
}

void
GatewayCall::AbortAttempt()
{
  if (activeLink_ != nullptr) {
    activeLink_->Abort();
  }
  if (answerMemory_) {
    answerMemory_->CancelWait();
  }
  timer_.cancel();
}

// After a restart of the whole system the control group first has to elect a
// leader. A refusal in that time would use up the caller's only retry.
Task<void>
GatewayCall::AwaitRoutes()
{
  const auto left = CallerPatience();
  core::Duration limit = kRoutesTimeout;
  if (left) {
    limit = std::min<core::Duration>(limit, *left / 3);
  }
  core::MonotonicTime until = arrivedAt_ + limit;
  while (!routes_ && !callerGone_ && gateway_.clock_.Now() < until) {
    if (gateway_.draining_) {
      until = std::min(until, gateway_.drainSlotDeadline_);
    }
    co_await transport::Sleep(timer_, kRoutesPollInterval);
    routes_ = gateway_.routes_;
  }
}

Task<void>
GatewayCall::Forward()
{
  co_await AwaitRoutes();
  if (!routes_) {
    co_await Refuse(GatewayRefusal::NoRoutes, 503, kDefaultRetryAfter);
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
  if (!Authenticate()) {
    co_await Refuse(GatewayRefusal::UnknownKey, 401, std::nullopt);
    co_return;
  }
  if (!ResolveRequest()) {
    co_await Refuse(GatewayRefusal::NoModel, 503, std::nullopt);
    co_return;
  }
  if (HeldBack() || gateway_.crashGuard_.Verdict(fingerprint_, arrivedAt_) ==
                      coordination::CrashVerdict::Hold) {
    co_await Refuse(GatewayRefusal::Quarantined, 503, std::nullopt);
    co_return;
  }
  if (!co_await AwaitQuota()) {
    if (givenUp_) {
      co_await Refuse(GatewayRefusal::Draining, 503, core::Duration(0));
    } else if (!callerGone_) {
      co_await Refuse(
        GatewayRefusal::OverQuota,
        429,
        gateway_.quotas_.RetryAfter(tenant_->name_, gateway_.clock_.Now()));
    }
    co_return;
  }
  gateway_.RetryBudgetFor(requirements_.service_).OnRequest(arrivedAt_);
  if (!requirements_.model_.Empty()) {
    ++gateway_.models_[requirements_.model_].arrivals_;
  }
  while (!callerGone_) {
    if (!co_await AwaitSlot()) {
      if (!callerGone_) {
        co_await RefuseWithoutSlot();
      }
      co_return;
    }
    const AttemptResult outcome = co_await Attempt();
    if (outcome == AttemptResult::Done || callerGone_) {
      co_return;
    }
    if (KeyWithdrawn()) {
      co_await RefuseWithoutSlot();
      co_return;
    }
    if (!MayRetry(outcome)) {
      if (streaming_) {
        // Closed without the final chunk, so that the caller can tell that the
        // stream is incomplete.
        link_->Abort();
        keepAlive_ = false;
        LogOutcome("stream ended incomplete");
      } else if (failedAnswer_) {
        http::response<http::string_body> answer;
        answer.result(failedAnswer_->status_);
        answer.base() = http::response_header<>(failedAnswer_->fields_);
        answer.result(failedAnswer_->status_);
        answer.body() = std::move(failedAnswer_->body_);
        answer.keep_alive(DecideKeepAlive());
        answer.prepare_payload();
        const bool written = co_await link_->Write(answer);
        keepAlive_ = keepAlive_ && written;
        LogOutcome("server failed");
      } else if (outcome == AttemptResult::RetryMaybeRun) {
        const bool deadlineOver = TimeLeft() <= std::chrono::milliseconds(20);
        co_await Refuse(deadlineOver ? GatewayRefusal::Deadline
                                     : GatewayRefusal::Broken,
                        deadlineOver ? 504 : 502,
                        std::nullopt);
      } else {
        co_await Refuse(GatewayRefusal::NotRunElsewhere,
                        runs_ > 0 ? 502 : 503,
                        kDefaultRetryAfter);
      }
      co_return;
    }
    const std::uint32_t failedAttempts = notRunAnswers_ + unsentAttempts_;
    if (failedAttempts > 0) {
      co_await transport::Sleep(
        timer_, kRetryBackoff * (1U << std::min(failedAttempts, 5U)));
    }
  }
  LogOutcome("caller disconnected");
}

bool
GatewayCall::MayRetry(AttemptResult aResult)
{
  if (TimeLeft() <= kPlainReserve || givenUp_) {
    return false;
  }
  if (aResult == AttemptResult::RetryUnsent) {
    return ++unsentAttempts_ <= kMaxUnsentAttempts;
  }
  if (aResult == AttemptResult::RetryNotRun &&
      ++notRunAnswers_ > kMaxNotRunAnswers) {
    return false;
  }
  if (aResult == AttemptResult::RetryMaybeRun &&
      (!route_->Repeatable() || runs_ >= route_->maxAttempts_)) {
    return false;
  }
  // A request that has lost two servers may be what made them crash. It is not
  // retried here; the caller may send it once more before it is quarantined.
  if (gateway_.crashGuard_.CrashCount(fingerprint_, gateway_.clock_.Now()) >=
      kServersLostToStopRetries) {
    return false;
  }
  const bool granted = gateway_.RetryBudgetFor(requirements_.service_)
                         .TryTake(gateway_.clock_.Now());
  if (!granted) {
    core::Log(
      core::LogLevel::Info,
      "retry budget is used up",
      { { "request", id_ }, { "service", requirements_.service_.Value() } });
  }
  return granted;
}

core::Duration
GatewayCall::TimeLeft() const
{
  return deadline_ - gateway_.clock_.Now();
}

bool
GatewayCall::IsLastAttempt() const
{
  return !route_->Repeatable() || runs_ + 1 >= route_->maxAttempts_;
}

core::Duration
GatewayCall::AnswerPatience() const
{
  core::Duration slow = std::max<core::Duration>(
    route_->latencyTarget_ * kSlowAnswerFactor, kMinSlowAnswerTimeout);
  if (route_->kind_ == RequestKind::Stream) {
    slow = std::max<core::Duration>(slow, route_->callerIdleTimeout_ / 2);
  }
  return slow;
}

Task<bool>
GatewayCall::AwaitServer(ServerLink& aServer, core::Duration aPatience)
{
  const core::MonotonicTime begin = gateway_.clock_.Now();
  core::Duration wait = aPatience;
  while (!callerGone_ && TimeLeft() > core::Duration(0)) {
    if (co_await aServer.AwaitData(std::min(wait, TimeLeft()))) {
      break;
    }
    if (CanGoOnElsewhere(gateway_.clock_.Now() - begin)) {
      co_return false;
    }
    wait = kSilenceCheckInterval;
  }
  co_return true;
}

bool
GatewayCall::CanGoOnElsewhere(core::Duration aSilence)
{
  const core::MonotonicTime now = gateway_.clock_.Now();
  if (TimeLeft() <= kStreamReserve ||
      gateway_.crashGuard_.CrashCount(fingerprint_, now) >=
        kServersLostToStopRetries ||
      !gateway_.RetryBudgetFor(requirements_.service_).HasRetry(now)) {
    return false;
  }
  coordination::BackendRequirements need = requirements_;
  if (aSilence < kLongSilenceShare * route_->callerIdleTimeout_) {
    need.tried_.insert(choice_.server_);
  }
  return gateway_.view_.Choose(need, now, gateway_.random_).status_ ==
         BackendChoiceStatus::Found;
}

Task<std::unique_ptr<ServerLink>>
GatewayCall::OpenConnection()
{
  // Only a repeatable request is sent on a pooled connection: the server may
  // have closed it, and then it is unknown whether the request arrived. Nor is
  // one that was refused: a copy of the refusal would look like its answer.
  connectionUsedBefore_ = false;
  if (route_->Repeatable() && notRunAnswers_ == 0) {
    if (auto pooled = gateway_.pool_.Take(choice_.server_)) {
      connectionUsedBefore_ = true;
      co_return pooled;
    }
  }
  auto link = std::make_unique<ServerLink>(gateway_.loop_);
  activeLink_ = link.get();
  const auto limit = std::min<core::Duration>(kConnectTimeout, TimeLeft());
  const bool connected = co_await link->Connect(
    choice_.address_,
    std::chrono::duration_cast<std::chrono::milliseconds>(limit));
  activeLink_ = nullptr;
  if (!connected || callerGone_) {
    co_return nullptr;
  }
  co_return link;
}

Task<GatewayCall::AttemptResult>
GatewayCall::Attempt()
{
  awaitingFirstEvent_ = true;
  auto link = co_await OpenConnection();
  if (!link) {
    requirements_.tried_.insert(choice_.server_);
    Finish(callerGone_ ? SendOutcome::Neutral : SendOutcome::Unreachable);
    co_return AttemptResult::RetryUnsent;
  }
  if (HeldBack() || KeyWithdrawn()) {
    Finish(SendOutcome::Neutral);
    link->Abort();
    co_return AttemptResult::RetryUnsent;
  }
  UpdateTenant();
  auto& models = gateway_.models_;
  const core::ModelName model = requirements_.model_;
  if (!model.Empty()) {
    ++models[model].inFlight_;
    gateway_.runningModels_[choice_.server_].insert(
      coordination::SplitModel(model).model_);
  }
  ++sends_;
  sentAt_ = gateway_.clock_.Now();
  activeLink_ = link.get();
  ChargeQuota();
  CountTenantRun(true);
  const AttemptResult outcome = co_await Exchange(*link);
  CountTenantRun(false);
  activeLink_ = nullptr;
  if (outcome == AttemptResult::RetryNotRun ||
      outcome == AttemptResult::RetryUnsent) {
    ReturnQuota();
  }
  if (!model.Empty()) {
    --models[model].inFlight_;
    auto& running = gateway_.runningModels_[choice_.server_];
    const auto found = running.find(coordination::SplitModel(model).model_);
    if (found != running.end()) {
      running.erase(found);
    }
  }
  if (link->Reusable() && !callerGone_) {
    gateway_.pool_.Put(choice_.server_,
                       std::move(link),
                       gateway_.MaxIdleConnections(requirements_.service_));
  } else {
    link->Abort();
  }
  co_return outcome;
}

Task<GatewayCall::AttemptResult>
GatewayCall::Exchange(ServerLink& aServer)
{
  const ForwardedRequest out = MakeServerRequest();
  // deadline_ excludes kAnswerReturnTime; the server may use that time too.
  const core::Duration left = TimeLeft() + kAnswerReturnTime;
  const bool last = IsLastAttempt();
  const core::Duration patience = AnswerPatience();
  AnswerHead head;
  const bool sent =
    co_await aServer.Send(out, last ? left : std::min(left, patience));
  const bool silent = sent && !last && !co_await AwaitServer(aServer, patience);
  const bool received =
    sent && !silent &&
    co_await ReadOwnHead(aServer,
                         head,
                         last
                           ? TimeLeft() + kAnswerReturnTime
                           : std::min<core::Duration>(
                               TimeLeft() + kAnswerReturnTime, kHeadTimeout));
  if (received && !callerGone_) {
    co_return co_await OnAnswer(aServer, head);
  }
  ++runs_;
  requirements_.tried_.insert(choice_.server_);
  if (callerGone_) {
    Finish(SendOutcome::Neutral);
    co_return AttemptResult::Done;
  }
  const bool timedOut =
    silent || givenUp_ || aServer.TimedOut() || TimeLeft() <= core::Duration(0);
  if (!timedOut) {
    RecordBrokenConnection();
  }
  core::Log(core::LogLevel::Info,
            "no answer from server",
            { { "request", id_ },
              { "server", choice_.server_.Value() },
              { "timeout", timedOut ? "yes" : "no" },
              { "patience_ms", std::to_string(core::Milliseconds(patience)) },
              { "left_ms", std::to_string(core::Milliseconds(left)) } });
  Finish(timedOut && TimeLeft() > kPlainReserve ? SendOutcome::Unreachable
                                                : SendOutcome::Failed);
  co_return AttemptResult::RetryMaybeRun;
}

void
GatewayCall::RecordBrokenConnection()
{
  gateway_.RecordBrokenConnection(
    fingerprint_,
    choice_.server_,
    begun_ ? std::vector<coordination::PromptPart>() : parts_);
}

void
GatewayCall::Finish(SendOutcome aOutcome)
{
  if (std::exchange(awaitingFirstEvent_, false)) {
    // The prompt no longer counts as pending prefill work, also after a
    // failure.
    gateway_.view_.OnPrefillDone(choice_.server_, requirements_.promptTokens_);
  }
  if (aOutcome == SendOutcome::Served && !requirements_.model_.Empty()) {
    gateway_.lines_.OnRun(gateway_.clock_.Now() - sentAt_);
  }
  gateway_.view_.OnFinish(
    choice_.server_, requirements_.tokens_, aOutcome, gateway_.clock_.Now());
  gateway_.AssignSlots();
}

Task<void>
GatewayCall::Refuse(GatewayRefusal aReason,
                    unsigned aStatus,
                    std::optional<core::Duration> aRetryAfter)
{
  gateway_.CountRefusal(aReason);
  if (tenant_ != nullptr) {
    gateway_.tenantCounters_.OnRefusal(tenant_->name_);
  }
  http::response<http::string_body> answer;
  answer.version(11);
  answer.result(aStatus);
  const protocol::CallHeaders& names = gateway_.settings_.headers_;
  const auto id = request_[names.requestId_];
  if (!id.empty()) {
    answer.set(names.requestId_, id);
  }
  answer.set(http::field::content_type, "text/plain");
  if (aStatus == 401) {
    answer.set(http::field::www_authenticate, "Bearer");
  }
  const bool notRun = aStatus == 503 || aStatus == 429;
  if (notRun && aRetryAfter) {
    answer.set(http::field::retry_after, SecondsText(*aRetryAfter));
  }
  answer.body() = std::string(NameOf(aReason)) + "\n";
  answer.keep_alive(DecideKeepAlive());
  answer.prepare_payload();
  if (request_.method() == http::verb::head) {
    // The caller would take a body for the next answer on its connection.
    answer.body().clear();
  }
  core::Log(core::LogLevel::Info,
            "request refused",
            { { "request", std::string(id) },
              { "reason", NameOf(aReason) },
              { "status", std::to_string(aStatus) },
              { "tenant", tenant_ == nullptr ? "" : tenant_->name_.Value() },
              { "route", route_ == nullptr ? "" : route_->name_ },
              { "model", requirements_.model_.Value() },
              { "waited_ms",
                std::to_string(
                  core::Milliseconds(gateway_.clock_.Now() - arrivedAt_)) },
              { "left_ms",
                std::to_string(deadline_ == core::MonotonicTime()
                                 ? 0
                                 : core::Milliseconds(TimeLeft())) } });
  const bool written = co_await link_->Write(answer);
  keepAlive_ = keepAlive_ && written;
}

void
GatewayCall::LogOutcome(std::string_view aOutcome) const
{
  core::Log(
    core::LogLevel::Info,
    aOutcome,
    { { "request", id_ },
      { "route", route_ == nullptr ? "" : route_->name_ },
      { "tenant", tenant_ == nullptr ? "" : tenant_->name_.Value() },
      { "server", choice_.server_.Value() },
      { "model", requirements_.model_.Value() },
      { "tokens", std::string(request_[gateway_.settings_.headers_.tokens_]) },
      { "sends", std::to_string(sends_) },
      { "placed_ms", std::to_string(core::Milliseconds(queueTime_)) },
      { "first_ms", std::to_string(core::Milliseconds(timeToFirstEvent_)) },
      { "longest_pause_ms",
        std::to_string(core::Milliseconds(longestObservedPause_)) },
      { "load", std::to_string(loadAtAssignment_) },
      { "chosen_by", LoadReader::Describe(choice_) },
      { "age_ms",
        std::to_string(
          core::Milliseconds(gateway_.clock_.Now() - arrivedAt_)) } });
}

} // namespace crocusslip::entry
