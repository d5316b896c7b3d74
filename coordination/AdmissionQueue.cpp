#include "coordination/AdmissionQueue.hpp"

#include "coordination/TimeMath.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace crocusslip::coordination {

namespace {

bool
Limited(const RateLimit& aLimit)
{
  return aLimit.perSecond_ > 0.0;
}

TokenBucket
BucketOf(const RateLimit& aLimit, core::MonotonicTime aNow)
{
  return { aLimit.perSecond_, std::max(1.0, aLimit.burst_), aNow };
}

} // namespace

AdmissionQueue::AdmissionQueue(
  std::shared_ptr<const AdmissionSettings> aSettings)
  : settings_(std::move(aSettings))
{
}

OfferResult
AdmissionQueue::Offer(const WaitingRequest& aRequest, core::MonotonicTime aNow)
{
  OfferResult result;
  Caller& caller = CallerOf(aRequest.caller_, aNow);
  result.refused_ = CheckLimitsAndDeadline(aRequest, caller, aNow);
  if (result.refused_) {
    return result;
  }
  while (Full(aRequest)) {
    if (!Displace(aRequest, result.displaced_, aNow)) {
      result.refused_ = Refusal(aRequest, core::RefusalReason::QueueFull, aNow);
      result.refused_->figures_.limit_ = settings_->maxWaiting_;
      return result;
    }
  }
  result.refused_ = CheckRates(aRequest, caller, aNow);
  if (!result.refused_) {
    AddWaiting(aRequest, aNow);
  }
  return result;
}

std::optional<Ticket>
AdmissionQueue::Next(core::MonotonicTime aNow)
{
  if (entries_.empty() || started_.size() >= Slots()) {
    return std::nullopt;
  }
  std::optional<Ticket> ticket;
  if (startsSinceAged_ + 1 >= settings_->agedStartEvery_) {
    ticket = PickAged(aNow);
  }
  const bool aged = ticket.has_value();
  if (!ticket) {
    ticket = PickFair(aNow);
  }
  if (!ticket) {
    return std::nullopt;
  }
  startsSinceAged_ = aged ? 0 : startsSinceAged_ + 1;
  Start(*ticket, aNow);
  return ticket;
}

AdmissionExpiry
AdmissionQueue::Expire(core::MonotonicTime aNow)
{
  AdmissionExpiry expiry;
  RefuseUnreachable(aNow, expiry.refused_);
  if (aNow >= lastRecheck_ + settings_->recheckInterval_) {
    RecheckDeadlines(aNow, expiry.refused_);
    lastRecheck_ = aNow;
    RemoveIdleCallers(aNow);
  }
  if (!byDeadline_.empty()) {
    expiry.nextCall_ =
      std::min(byDeadline_.begin()->time_ - RequiredServiceTime(1.0, 0),
               lastRecheck_ + settings_->recheckInterval_);
    expiry.nextCall_ =
      std::max(expiry.nextCall_, aNow + std::chrono::milliseconds(1));
  }
  return expiry;
}

bool
AdmissionQueue::Remove(Ticket aTicket)
{
  if (!entries_.contains(aTicket)) {
    return false;
  }
  RemoveEntry(aTicket);
  return true;
}

std::vector<AdmissionRefusal>
AdmissionQueue::RefuseAll(core::RefusalReason aReason, core::MonotonicTime aNow)
{
  std::vector<AdmissionRefusal> refused;
  refused.reserve(entries_.size());
  while (!byArrival_.empty()) {
    const Ticket ticket = byArrival_.begin()->ticket_;
    refused.push_back(Refusal(entries_.at(ticket).request_, aReason, aNow));
    RemoveEntry(ticket);
  }
  return refused;
}

void
AdmissionQueue::OnFinish(Ticket aTicket,
                         ServiceResult aResult,
                         core::MonotonicTime aNow)
{
  const auto found = started_.find(aTicket);
  if (found == started_.end()) {
    return;
  }
  const Started started = std::move(found->second);
  started_.erase(found);
  const auto caller = callers_.find(started.caller_);
  if (caller != callers_.end()) {
    --caller->second.inFlight_;
  }
  if (aResult != ServiceResult::Answered) {
    return;
  }
  const double sample =
    static_cast<double>((aNow - started.at_).count()) / started.work_;
  if (serviceNanos_ == 0.0) {
    serviceNanos_ = sample;
    deviationNanos_ = sample / 4;
    return;
  }
  const double weight = settings_->serviceTimeWeight_;
  deviationNanos_ +=
    weight * (std::abs(sample - serviceNanos_) - deviationNanos_);
  serviceNanos_ += weight * (sample - serviceNanos_);
}

void
AdmissionQueue::SetCapacity(const Capacity& aCapacity)
{
  capacity_ = aCapacity;
}

void
AdmissionQueue::SetSettings(std::shared_ptr<const AdmissionSettings> aSettings,
                            core::MonotonicTime aNow)
{
  settings_ = std::move(aSettings);
  bucketInitialized_ = false;
  for (auto& [id, caller] : callers_) {
    caller.policy_ = PolicyOf(id);
    caller.bucket_ = BucketOf(caller.policy_.rate_, aNow);
  }
}

std::uint32_t
AdmissionQueue::Waiting() const
{
  return static_cast<std::uint32_t>(entries_.size());
}

std::uint32_t
AdmissionQueue::InFlight() const
{
  return static_cast<std::uint32_t>(started_.size());
}

core::Duration
AdmissionQueue::ServiceTime() const
{
  return MeanService(1.0);
}

core::MonotonicTime
AdmissionQueue::EarliestDeadline() const
{
  return byDeadline_.empty() ? core::MonotonicTime::max()
                             : byDeadline_.begin()->time_;
}

bool
AdmissionQueue::Idle(core::MonotonicTime aNow)
{
  if (!entries_.empty() || !started_.empty()) {
    return false;
  }
  RemoveIdleCallers(aNow);
  const bool limitInUse =
    bucketInitialized_ && Limited(settings_->rate_) && !bucket_.Full(aNow);
  return callers_.empty() && !limitInUse;
}

std::size_t
AdmissionQueue::MemoryBytes() const
{
  constexpr std::size_t kTreeNode = 4 * sizeof(void*) + sizeof(Position);
  constexpr std::size_t kHashNode = 2 * sizeof(void*);
  return sizeof(*this) +
         callers_.size() * (kHashNode + sizeof(*callers_.begin())) +
         entries_.size() *
           (3 * kTreeNode + kHashNode + sizeof(*entries_.begin())) +
         started_.size() * (kHashNode + sizeof(*started_.begin()));
}

AdmissionQueue::Caller&
AdmissionQueue::CallerOf(const core::CallerId& aId, core::MonotonicTime aNow)
{
  const auto [found, added] = callers_.try_emplace(aId);
  Caller& caller = found->second;
  if (added) {
    caller.policy_ = PolicyOf(aId);
    caller.bucket_ = BucketOf(caller.policy_.rate_, aNow);
    caller.virtualTime_ = virtualTime_;
  }
  return caller;
}

const CallerPolicy&
AdmissionQueue::PolicyOf(const core::CallerId& aId) const
{
  const auto found = settings_->callers_.find(aId);
  return found == settings_->callers_.end() ? settings_->defaultCaller_
                                            : found->second;
}

std::optional<AdmissionRefusal>
AdmissionQueue::CheckLimitsAndDeadline(const WaitingRequest& aRequest,
                                       Caller& aCaller,
                                       core::MonotonicTime aNow)
{
  if (aRequest.deadline_ <= aNow) {
    return Refusal(aRequest, core::RefusalReason::DeadlinePassed, aNow);
  }
  if (aCaller.waiting_.size() >= aCaller.policy_.maxWaiting_) {
    auto refusal = Refusal(aRequest, core::RefusalReason::CallerLimit, aNow);
    refusal.figures_.limit_ = aCaller.policy_.maxWaiting_;
    return refusal;
  }
  return CheckDeadline(aRequest, aCaller, aNow);
}

std::optional<AdmissionRefusal>
AdmissionQueue::CheckDeadline(const WaitingRequest& aRequest,
                              const Caller& aCaller,
                              core::MonotonicTime aNow) const
{
  if (started_.empty() && entries_.empty()) {
    return std::nullopt;
  }
  const double ahead = WorkAhead(aRequest, aCaller);
  const core::MonotonicTime finish = SaturatingAdd(
    ExpectedStart(ahead, aNow), RequiredServiceTime(aRequest.work_, 1));
  if (finish <= aRequest.deadline_) {
    return std::nullopt;
  }
  AdmissionRefusal refusal =
    Refusal(aRequest, core::RefusalReason::DeadlineUnreachable, aNow);
  refusal.figures_.workAhead_ = ahead;
  refusal.figures_.expectedFinish_ = finish;
  refusal.retryAfter_ = finish - aRequest.deadline_;
  return refusal;
}

std::optional<AdmissionRefusal>
AdmissionQueue::CheckRates(const WaitingRequest& aRequest,
                           Caller& aCaller,
                           core::MonotonicTime aNow)
{
  if (!bucketInitialized_) {
    bucket_ = BucketOf(settings_->rate_, aNow);
    bucketInitialized_ = true;
  }
  const bool deploymentLimited = Limited(settings_->rate_);
  const bool callerLimited = Limited(aCaller.policy_.rate_);
  if (deploymentLimited && bucket_.WaitFor(1.0, aNow) > core::Duration(0)) {
    auto refusal =
      Refusal(aRequest, core::RefusalReason::DeploymentLimit, aNow);
    refusal.figures_.limit_ = settings_->rate_.perSecond_;
    refusal.retryAfter_ = bucket_.WaitFor(1.0, aNow);
    return refusal;
  }
  if (callerLimited && !aCaller.bucket_.TryTake(1.0, aNow)) {
    auto refusal = Refusal(aRequest, core::RefusalReason::CallerLimit, aNow);
    refusal.figures_.limit_ = aCaller.policy_.rate_.perSecond_;
    refusal.retryAfter_ = aCaller.bucket_.WaitFor(1.0, aNow);
    return refusal;
  }
  if (deploymentLimited) {
    bucket_.TryTake(1.0, aNow);
  }
  return std::nullopt;
}

bool
AdmissionQueue::Full(const WaitingRequest& aRequest) const
{
  return entries_.size() >= settings_->maxWaiting_ ||
         waitingBytes_ + aRequest.size_ > settings_->maxWaitingBytes_;
}

bool
AdmissionQueue::Displace(const WaitingRequest& aRequest,
                         std::vector<AdmissionRefusal>& aDisplaced,
                         core::MonotonicTime aNow)
{
  const Caller& own = callers_.at(aRequest.caller_);
  const double ownWeightedWork =
    (own.waitingWork_ + aRequest.work_) / own.policy_.weight_;
  const Caller* displacedCaller = nullptr;
  double greatestWeightedWork = ownWeightedWork;
  for (const auto& [id, caller] : callers_) {
    const double weightedWork = caller.waitingWork_ / caller.policy_.weight_;
    if (!caller.waiting_.empty() && weightedWork > greatestWeightedWork) {
      displacedCaller = &caller;
      greatestWeightedWork = weightedWork;
    }
  }
  const bool fits = aRequest.size_ <= settings_->maxWaitingBytes_;
  if (!fits || displacedCaller == nullptr || displacedCaller == &own) {
    return false;
  }
  const Ticket last = displacedCaller->waiting_.rbegin()->ticket_;
  aDisplaced.push_back(
    Refusal(entries_.at(last).request_, core::RefusalReason::QueueFull, aNow));
  aDisplaced.back().figures_.limit_ = settings_->maxWaiting_;
  RemoveEntry(last);
  return true;
}

AdmissionRefusal
AdmissionQueue::Refusal(const WaitingRequest& aRequest,
                        core::RefusalReason aReason,
                        core::MonotonicTime aNow) const
{
  AdmissionRefusal refusal;
  refusal.ticket_ = aRequest.ticket_;
  refusal.reason_ = aReason;
  refusal.retryAfter_ = MeanService(1.0);
  AdmissionFigures& figures = refusal.figures_;
  figures.now_ = aNow;
  figures.deadline_ = aRequest.deadline_;
  figures.expectedFinish_ = SaturatingAdd(
    ExpectedStart(0.0, aNow), RequiredServiceTime(aRequest.work_, 0));
  figures.serviceTime_ = MeanService(1.0);
  figures.serviceDeviation_ = FromNanos(deviationNanos_);
  figures.waiting_ = Waiting();
  figures.slots_ = Slots();
  figures.inFlight_ = InFlight();
  figures.waitingBytes_ = waitingBytes_;
  const auto caller = callers_.find(aRequest.caller_);
  if (caller != callers_.end()) {
    figures.callerWaiting_ =
      static_cast<std::uint32_t>(caller->second.waiting_.size());
    figures.callerInFlight_ = caller->second.inFlight_;
  }
  return refusal;
}

void
AdmissionQueue::AddWaiting(const WaitingRequest& aRequest,
                           core::MonotonicTime aNow)
{
  Caller& caller = callers_.at(aRequest.caller_);
  if (caller.waiting_.empty()) {
    // A caller accumulates no credit while it has no waiting requests.
    caller.virtualTime_ = std::max(caller.virtualTime_, virtualTime_);
  }
  const Entry entry{ aRequest, aNow, EffectiveDeadline(aRequest) };
  caller.waiting_.insert({ entry.effectiveDeadline_, aRequest.ticket_ });
  caller.waitingWork_ += aRequest.work_;
  byArrival_.insert({ aNow, aRequest.ticket_ });
  byDeadline_.insert({ aRequest.deadline_, aRequest.ticket_ });
  waitingBytes_ += aRequest.size_;
  entries_.emplace(aRequest.ticket_, entry);
}

core::Duration
AdmissionQueue::MeanService(double aWork) const
{
  const double mean =
    serviceNanos_ > 0.0
      ? serviceNanos_
      : static_cast<double>(settings_->initialServiceTime_.count());
  return FromNanos(mean * aWork);
}

core::Duration
AdmissionQueue::RequiredServiceTime(double aWork, std::uint32_t aArriving) const
{
  const std::uint32_t slots =
    capacity_.slots_ == 0 ? capacity_.slotsWhenReady_ : ExpectedSlots();
  if (entries_.size() + started_.size() + aArriving <= slots) {
    return MeanService(aWork);
  }
  return MeanService(aWork) +
         FromNanos(settings_->deviationMargin_ * deviationNanos_ * aWork);
}

std::uint32_t
AdmissionQueue::Slots() const
{
  return std::min(capacity_.slots_, settings_->maxInFlight_);
}

std::uint32_t
AdmissionQueue::ExpectedSlots() const
{
  return capacity_.slots_ == 0
           ? 0
           : std::min(std::max(capacity_.slots_, capacity_.slotsWhenWarm_),
                      settings_->maxInFlight_);
}

void
AdmissionQueue::Start(Ticket aTicket, core::MonotonicTime aNow)
{
  const WaitingRequest request = RemoveEntry(aTicket);
  Caller& caller = callers_.at(request.caller_);
  virtualTime_ = std::max(virtualTime_, caller.virtualTime_);
  caller.virtualTime_ += request.work_ / caller.policy_.weight_;
  ++caller.inFlight_;
  started_.emplace(aTicket, Started{ request.caller_, aNow, request.work_ });
}

WaitingRequest
AdmissionQueue::RemoveEntry(Ticket aTicket)
{
  const auto found = entries_.find(aTicket);
  const Entry entry = std::move(found->second);
  entries_.erase(found);
  Caller& caller = callers_.at(entry.request_.caller_);
  caller.waiting_.erase({ entry.effectiveDeadline_, aTicket });
  caller.waitingWork_ =
    caller.waiting_.empty() ? 0.0 : caller.waitingWork_ - entry.request_.work_;
  byArrival_.erase({ entry.arrived_, aTicket });
  byDeadline_.erase({ entry.request_.deadline_, aTicket });
  waitingBytes_ = waitingBytes_ - entry.request_.size_;
  return entry.request_;
}

void
AdmissionQueue::RefuseUnreachable(core::MonotonicTime aNow,
                                  std::vector<AdmissionRefusal>& aRefused)
{
  const core::MonotonicTime latestDeadline = aNow + RequiredServiceTime(1.0, 0);
  std::vector<Ticket> unreachable;
  for (const Position& position : byDeadline_) {
    if (position.time_ > latestDeadline) {
      break;
    }
    if (!Startable(entries_.at(position.ticket_).request_, aNow)) {
      unreachable.push_back(position.ticket_);
    }
  }
  for (const Ticket ticket : unreachable) {
    const WaitingRequest request = RemoveEntry(ticket);
    const auto reason = request.deadline_ <= aNow
                          ? core::RefusalReason::DeadlinePassed
                          : core::RefusalReason::DeadlineUnreachable;
    aRefused.push_back(Refusal(request, reason, aNow));
  }
}

void
AdmissionQueue::RemoveIdleCallers(core::MonotonicTime aNow)
{
  const bool idle = entries_.empty() && started_.empty();
  for (auto it = callers_.begin(); it != callers_.end();) {
    Caller& caller = it->second;
    const bool aheadInVirtualTime = !idle && caller.virtualTime_ > virtualTime_;
    const bool limitInUse =
      Limited(caller.policy_.rate_) && !caller.bucket_.Full(aNow);
    const bool inUse = !caller.waiting_.empty() || caller.inFlight_ > 0;
    it = inUse || aheadInVirtualTime || limitInUse ? std::next(it)
                                                   : callers_.erase(it);
  }
  if (callers_.empty()) {
    virtualTime_ = 0.0;
  }
}

} // namespace crocusslip::coordination
