#include "replay/Recorder.hpp"

#include <algorithm>
#include <chrono>

namespace crocusslip::replay {

namespace {

double
Seconds(core::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

constexpr double kSecondsPerHour = 3600;

} // namespace

Recorder::Recorder(const protocol::Trace& aTrace)
  : trace_(aTrace)
  , requests_(aTrace.requests_.size())
  , coldStarts_(aTrace)
{
  for (const protocol::TraceServer& server : aTrace.settings_.servers_) {
    fastest_ = std::max(fastest_, server.speed_);
  }
}

void
Recorder::OnArrival(std::size_t aRequest, bool aCold)
{
  requests_[aRequest].arrived_ = true;
  requests_[aRequest].cold_ = aCold;
}

void
Recorder::OnFirstByte(std::size_t aRequest, core::MonotonicTime aNow)
{
  Request& request = requests_[aRequest];
  if (request.firstByte_ == core::MonotonicTime{}) {
    request.firstByte_ = aNow;
  }
}

bool
Recorder::FirstByteSent(std::size_t aRequest) const
{
  return requests_[aRequest].firstByte_ != core::MonotonicTime{};
}

bool
Recorder::Decided(std::size_t aRequest, core::MonotonicTime aNow)
{
  if (requests_[aRequest].outcome_ == Outcome::Pending) {
    return false;
  }
  Violation("one_outcome",
            aNow,
            "request " + std::to_string(aRequest) + " was decided twice");
  return true;
}

void
Recorder::OnAnswered(std::size_t aRequest, core::MonotonicTime aNow)
{
  if (!Decided(aRequest, aNow)) {
    requests_[aRequest].outcome_ = Outcome::Answered;
    requests_[aRequest].answered_ = aNow;
  }
}

void
Recorder::OnRefused(std::size_t aRequest,
                    core::RefusalReason aReason,
                    core::Ran aRan,
                    core::MonotonicTime aNow)
{
  Request& request = requests_[aRequest];
  if (Decided(aRequest, aNow)) {
    return;
  }
  request.refused_ = aNow;
  request.outcome_ = Outcome::Refused;
  request.reason_ = aReason;
  request.unknown_ = aRan == core::Ran::Unknown;
  if (!request.unknown_ && request.runs_ > 0) {
    Violation("truthful_refusal",
              core::MonotonicTime{},
              "request " + std::to_string(aRequest) + " had run");
  }
}

void
Recorder::OnRetry(std::size_t aRequest, core::RetryReason aReason)
{
  if (trace_.requests_[aRequest].time_ >= trace_.settings_.measureFrom_) {
    ++measures_.retries_.at(static_cast<std::size_t>(aReason));
  }
}

void
Recorder::OnRun(std::size_t aRequest, core::MonotonicTime aNow)
{
  Request& request = requests_[aRequest];
  ++request.runs_;
  if (request.runs_ > 1 && !trace_.requests_[aRequest].idempotent_) {
    Violation("at_most_once",
              aNow,
              "request " + std::to_string(aRequest) + " ran again");
  }
}

void
Recorder::AddIdle(Held& aHeld, core::MonotonicTime aNow)
{
  const core::MonotonicTime from(trace_.settings_.measureFrom_);
  const core::MonotonicTime until(trace_.settings_.end_);
  const core::MonotonicTime start = std::max(aHeld.since_, from);
  const core::MonotonicTime end = std::min(aNow, until);
  if (aHeld.busy_ == 0 && end > start) {
    measures_.idleAcceleratorHours_ +=
      Seconds(end - start) * aHeld.share_ / kSecondsPerHour;
  }
  aHeld.since_ = aNow;
}

void
Recorder::OnHeld(const core::DeploymentId& aDeployment,
                 const core::ServerId& aServer,
                 double aAcceleratorShare,
                 core::MonotonicTime aNow)
{
  held_[Key{ aDeployment, aServer }] = { aAcceleratorShare, 0, aNow };
}

void
Recorder::OnBusy(const core::DeploymentId& aDeployment,
                 const core::ServerId& aServer,
                 int aChange,
                 core::MonotonicTime aNow)
{
  const auto held = held_.find(Key{ aDeployment, aServer });
  if (held != held_.end()) {
    AddIdle(held->second, aNow);
    held->second.busy_ += aChange;
  }
}

void
Recorder::OnReleased(const core::DeploymentId& aDeployment,
                     const core::ServerId& aServer,
                     core::MonotonicTime aNow)
{
  const auto held = held_.find(Key{ aDeployment, aServer });
  if (held != held_.end()) {
    AddIdle(held->second, aNow);
    held_.erase(held);
  }
}

void
Recorder::Violation(const std::string& aInvariant,
                    core::MonotonicTime aNow,
                    const std::string& aDetail)
{
  measures_.violations_.push_back(
    { aInvariant, Seconds(aNow.time_since_epoch()), aDetail });
}

/// From the last time at which the fastest server could still have answered
/// in time, or from the arrival, until the refusal; 0 for earlier ones.
double
Recorder::RefusalDelay(const protocol::TraceRequest& aRequest,
                       core::MonotonicTime aRefused) const
{
  const core::MonotonicTime arrival(aRequest.time_);
  const core::MonotonicTime lastStart =
    arrival + aRequest.deadline_ -
    std::chrono::duration_cast<core::Duration>(aRequest.service_ / fastest_);
  return std::max(0.0, Seconds(aRefused - std::max(arrival, lastStart)));
}

void
Recorder::Count(std::size_t aRequest)
{
  const Request& request = requests_[aRequest];
  const protocol::TraceRequest& traced = trace_.requests_[aRequest];
  const core::MonotonicTime arrival(traced.time_);
  ++measures_.requests_;
  switch (request.outcome_) {
    case Outcome::Pending:
      ++measures_.lost_;
      break;
    case Outcome::Answered: {
      const bool inTime = request.answered_ <= arrival + traced.deadline_;
      ++(inTime ? measures_.inTime_ : measures_.late_);
      break;
    }
    case Outcome::Refused:
      measures_.unknown_ += request.unknown_ ? 1 : 0;
      measures_.refusalDelays_.push_back(
        RefusalDelay(traced, request.refused_));
      ++measures_.refusals_.at(static_cast<std::size_t>(request.reason_));
      break;
  }
  if (!request.cold_) {
    return;
  }
  const bool answered = request.outcome_ == Outcome::Answered;
  const double wait =
    Seconds(answered ? request.firstByte_ - arrival : traced.deadline_);
  measures_.coldWaits_.push_back(wait);
  if (const auto start = coldStarts_.Finish(aRequest, wait, answered)) {
    measures_.coldStarts_.push_back(*start);
  }
}

Measures
Recorder::Finish(core::MonotonicTime aNow)
{
  for (auto& [key, held] : held_) {
    AddIdle(held, aNow);
  }
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    if (trace_.requests_[i].time_ >= trace_.settings_.measureFrom_) {
      Count(i);
    }
  }
  return std::move(measures_);
}

} // namespace crocusslip::replay
