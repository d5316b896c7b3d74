#include "coordination/ModelPlacement.hpp"
#include "entry/GatewayCall.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::entry {

namespace {

using coordination::BackendChoiceStatus;
using coordination::RequestKind;
using coordination::SendOutcome;
using transport::Task;

/// How long a request waits when no server of its service is known.
constexpr std::chrono::milliseconds kNoServerTimeout{ 1000 };
/// Time after its arrival in which a request is refused for the line ahead: of
/// what waits elsewhere later, most came after it.
constexpr std::chrono::seconds kJudgeTime{ 1 };
/// Time within which the control group decides whether to load a model that a
/// request needs and tells the host.
constexpr std::chrono::milliseconds kLoadDecisionTime{ 500 };

} // namespace

core::MonotonicTime
GatewayCall::LatestSlotTime() const
{
  core::MonotonicTime latest = deadline_ - kPlainReserve;
  if (route_->kind_ == RequestKind::Stream) {
    // The caller disconnects when the next event takes longer than its idle
    // timeout.
    latest = std::min(deadline_,
                      std::max(arrivedAt_, lastEventAt_) +
                        route_->callerIdleTimeout_) -
             kStreamReserve;
  }
  if (gateway_.draining_) {
    // This process stops soon; another host can still find a server slot, but
    // not for a stream that has begun.
    latest = std::min(
      latest, streaming_ ? gateway_.stopTime_ : gateway_.drainSlotDeadline_);
  }
  return latest;
}

std::optional<core::MonotonicTime>
GatewayCall::SlotDeadline() const
{
  const core::MonotonicTime now = gateway_.clock_.Now();
  if (HeldBack() || KeyWithdrawn()) {
    return std::nullopt;
  }
  const auto choiceStatus =
    gateway_.view_.Choose(requirements_, now, gateway_.random_).status_;
  if (choiceStatus == BackendChoiceStatus::NoServer && !streaming_) {
    return std::min(deadline_ - kPlainReserve, now + kNoServerTimeout);
  }
  const core::MonotonicTime latest = LatestSlotTime();
  const auto readyAt = gateway_.ExpectedReadyTime(requirements_.model_);
  const bool tooLate = choiceStatus == BackendChoiceStatus::NoModel &&
                       readyAt && *readyAt > latest;
  // While draining, refuse calls for a base model that no server is loading,
  // once the control group has had time to decide on a load: the caller can
  // retry at a host that is not stopping and can wait longer.
  const bool leaveToOtherHost =
    gateway_.draining_ && !streaming_ &&
    choiceStatus == BackendChoiceStatus::NoModel && !readyAt &&
    coordination::SplitModel(requirements_.model_).adapter_.empty() &&
    now >= arrivedAt_ + kLoadDecisionTime;
  const bool lineTooLong = choiceStatus == BackendChoiceStatus::Full &&
                           now <= arrivedAt_ + kJudgeTime &&
                           !JudgeBegin(latest - now).canBegin_;
  if (tooLate || leaveToOtherHost || lineTooLong || latest <= now) {
    return std::nullopt;
  }
  return latest;
}

Task<bool>
GatewayCall::AwaitSlot()
{
  const core::MonotonicTime now = gateway_.clock_.Now();
  if (!requirements_.tried_.empty()) {
    const auto choiceStatus =
      gateway_.view_.Choose(requirements_, now, gateway_.random_).status_;
    if (choiceStatus == BackendChoiceStatus::NoModel ||
        choiceStatus == BackendChoiceStatus::NoServer) {
      requirements_.tried_.clear();
    }
  }
  hasSlot_ = false;
  if (gateway_.draining_ && sends_ == 0 && now >= gateway_.drainSlotDeadline_ &&
      deadline_ > gateway_.stopTime_) {
    // The stop might cut it.
    co_return false;
  }
  if (HeldBack() || KeyWithdrawn() || givenUp_) {
    co_return false;
  }
  gateway_.SetWaitingElsewhere(requirements_, rank_);
  coordination::QueuedRequest waiting;
  waiting.need_ = requirements_;
  waiting.priority_ = rank_;
  waiting.waitingSince_ = arrivedAt_;
  waiting.deadline_ = deadline_;
  waiting.urgentFrom_ = arrivedAt_ + route_->latencyTarget_ / 2;
  if (tenant_ != nullptr) {
    waiting.tenant_ = tenant_->name_;
    const core::Duration time =
      route_->kind_ == RequestKind::Stream
        ? std::min<core::Duration>(deadline_ - arrivedAt_,
                                   route_->callerIdleTimeout_)
        : deadline_ - arrivedAt_;
    waiting.promotedFrom_ = arrivedAt_ + time / 2;
  }
  queueId_ = gateway_.queue_.Add(std::move(waiting));
  gateway_.waiting_[*queueId_] = this;
  gateway_.AssignSlots();
  while (!hasSlot_ && !callerGone_) {
    const auto latest = SlotDeadline();
    if (!latest) {
      break;
    }
    if (gateway_.models_.contains(requirements_.model_) ||
        gateway_.LacksGrants()) {
      // Report the waiting call at once, so that the control group can decide
      // whether to load the model, or grant the request.
      gateway_.fleet_.SyncNow();
    }
    const core::Duration time = *latest - gateway_.clock_.Now();
    const bool expired = co_await transport::Sleep(timer_, time);
    if (expired) {
      break;
    }
  }
  if (queueId_) {
    gateway_.queue_.Remove(*queueId_);
    gateway_.waiting_.erase(*queueId_);
    queueId_.reset();
  }
  if (hasSlot_ && (callerGone_ || HeldBack() || KeyWithdrawn())) {
    awaitingFirstEvent_ = true;
    Finish(SendOutcome::Neutral);
    hasSlot_ = false;
  }
  co_return hasSlot_;
}

void
GatewayCall::OnSlotAssigned(const coordination::BackendChoice& aChoice)
{
  queueId_.reset();
  choice_ = aChoice;
  hasSlot_ = true;
  queueTime_ = gateway_.clock_.Now() - arrivedAt_;
  if (aChoice.estimate_) {
    gateway_.RecordBegun(requirements_.model_);
  }
  requirements_.moreUrgentElsewhere_ = 0;
  requirements_.waitingElsewhere_ = 0;
  loadAtAssignment_ = gateway_.view_.LoadOf(aChoice.server_);
  timer_.cancel();
}

Task<void>
GatewayCall::RefuseWithoutSlot()
{
  const core::MonotonicTime now = gateway_.clock_.Now();
  if (streaming_) {
    link_->Abort();
    keepAlive_ = false;
    LogOutcome("no server to resume stream");
    co_return;
  }
  if (KeyWithdrawn()) {
    co_await Refuse(
      GatewayRefusal::UnknownKey, runs_ > 0 ? 502 : 401, std::nullopt);
    co_return;
  }
  const auto choiceStatus =
    gateway_.view_.Choose(requirements_, now, gateway_.random_).status_;
  core::Duration retryAfter = kDefaultRetryAfter;
  GatewayRefusal reason = GatewayRefusal::NoServer;
  if (choiceStatus == BackendChoiceStatus::NoModel) {
    reason = GatewayRefusal::NoModel;
    const auto readyAt = gateway_.ExpectedReadyTime(requirements_.model_);
    if (readyAt && *readyAt > now) {
      retryAfter = *readyAt - now;
    }
  } else if (choiceStatus == BackendChoiceStatus::Full) {
    reason = GatewayRefusal::Full;
    const admission::BeginVerdict verdict =
      JudgeBegin(LatestSlotTime() - arrivedAt_);
    if (!verdict.canBegin_) {
      retryAfter = verdict.retryAfter_;
      LogVerdict(verdict);
    } else if (verdict.expectedWait_ > core::Duration(0)) {
      retryAfter = std::max(retryAfter, verdict.expectedWait_);
    }
  }
  if (gateway_.draining_) {
    reason = GatewayRefusal::Draining;
    retryAfter = core::Duration(0);
  }
  if (HeldBack()) {
    co_await Refuse(
      GatewayRefusal::Quarantined, runs_ > 0 ? 502 : 503, std::nullopt);
    co_return;
  }
  co_await Refuse(reason, runs_ > 0 ? 502 : 503, retryAfter);
}

} // namespace crocusslip::entry
