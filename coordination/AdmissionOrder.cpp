#include "coordination/AdmissionQueue.hpp"

#include "coordination/TimeMath.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <tuple>

/// Scheduling part of AdmissionQueue: order and expected start of the waiting
/// requests. The rest is in AdmissionQueue.cpp.
namespace crocusslip::coordination {

/// A caller's next request in the simulated order of starts.
struct AdmissionQueue::CallerCursor
{
  double virtualTime_ = 0.0;
  Position position_;
  const Caller* caller_ = nullptr;
  Order::const_iterator next_;

  friend bool operator>(const CallerCursor& aLeft, const CallerCursor& aRight)
  {
    return std::tie(aLeft.virtualTime_, aLeft.position_) >
           std::tie(aRight.virtualTime_, aRight.position_);
  }
};

core::MonotonicTime
AdmissionQueue::EffectiveDeadline(const WaitingRequest& aRequest) const
{
  return SaturatingAdd(aRequest.deadline_,
                       -aRequest.priority_ * settings_->priorityStep_);
}

double
AdmissionQueue::WorkAhead(const WaitingRequest& aRequest,
                          const Caller& aCaller) const
{
  const Position own{ EffectiveDeadline(aRequest), aRequest.ticket_ };
  double ahead = 0.0;
  for (const Position& position : aCaller.waiting_) {
    if (own < position) {
      break;
    }
    ahead += entries_.at(position.ticket_).request_.work_;
  }
  const double ownStart = std::max(aCaller.virtualTime_, virtualTime_) +
                          ahead / aCaller.policy_.weight_;
  for (const auto& [id, caller] : callers_) {
    if (&caller == &aCaller || caller.virtualTime_ > ownStart) {
      continue;
    }
    const double entitledWork =
      (ownStart - std::max(caller.virtualTime_, virtualTime_)) *
      caller.policy_.weight_;
    ahead += std::min(caller.waitingWork_, std::floor(entitledWork) + 1.0);
  }
  return ahead;
}

core::MonotonicTime
AdmissionQueue::ExpectedStart(double aWorkAhead, core::MonotonicTime aNow) const
{
  std::uint32_t slots = ExpectedSlots();
  core::MonotonicTime from = aNow;
  if (slots == 0) {
    if (capacity_.readyAt_ == core::MonotonicTime::max()) {
      return aNow;
    }
    slots = std::max(1U, capacity_.slotsWhenReady_);
    from = std::max(aNow, capacity_.readyAt_);
  }
  const double finishesNeeded =
    aWorkAhead + 1.0 + static_cast<double>(started_.size()) - slots;
  if (finishesNeeded <= 0.0) {
    return from;
  }
  return SaturatingAdd(from, MeanService(finishesNeeded / slots));
}

bool
AdmissionQueue::Startable(const WaitingRequest& aRequest,
                          core::MonotonicTime aNow) const
{
  if (started_.empty()) {
    return aRequest.deadline_ > aNow;
  }
  return aRequest.deadline_ >=
         SaturatingAdd(aNow, RequiredServiceTime(aRequest.work_, 0));
}

std::optional<Ticket>
AdmissionQueue::FirstStartable(const Caller& aCaller,
                               core::MonotonicTime aNow) const
{
  if (aCaller.inFlight_ >= aCaller.policy_.maxInFlight_) {
    return std::nullopt;
  }
  for (const Position& position : aCaller.waiting_) {
    if (Startable(entries_.at(position.ticket_).request_, aNow)) {
      return position.ticket_;
    }
  }
  return std::nullopt;
}

std::optional<Ticket>
AdmissionQueue::PickAged(core::MonotonicTime aNow) const
{
  for (const Position& position : byArrival_) {
    if (position.time_ + settings_->agingAfter_ > aNow) {
      return std::nullopt;
    }
    const WaitingRequest& request = entries_.at(position.ticket_).request_;
    const Caller& caller = callers_.at(request.caller_);
    if (caller.inFlight_ < caller.policy_.maxInFlight_ &&
        Startable(request, aNow)) {
      return position.ticket_;
    }
  }
  return std::nullopt;
}

std::optional<Ticket>
AdmissionQueue::PickFair(core::MonotonicTime aNow) const
{
  std::vector<CallerCursor> cursors = CallerCursors();
  std::make_heap(cursors.begin(), cursors.end(), std::greater<>());
  while (!cursors.empty()) {
    std::pop_heap(cursors.begin(), cursors.end(), std::greater<>());
    const std::optional<Ticket> ticket =
      FirstStartable(*cursors.back().caller_, aNow);
    if (ticket) {
      return ticket;
    }
    cursors.pop_back();
  }
  return std::nullopt;
}

void
AdmissionQueue::RecheckDeadlines(core::MonotonicTime aNow,
                                 std::vector<AdmissionRefusal>& aRefused)
{
  std::priority_queue<CallerCursor, std::vector<CallerCursor>, std::greater<>>
    cursors(std::greater<>(), CallerCursors());
  double ahead = 0.0;
  const std::size_t refusedBefore = aRefused.size();
  while (!cursors.empty()) {
    CallerCursor cursor = cursors.top();
    cursors.pop();
    const WaitingRequest& request = entries_.at(cursor.next_->ticket_).request_;
    const core::MonotonicTime finish =
      SaturatingAdd(ExpectedStart(ahead, aNow), MeanService(request.work_));
    // One request may start whatever the estimate says; see Startable.
    const bool probe = started_.empty() && ahead == 0.0;
    if (finish <= request.deadline_ || probe) {
      ahead += request.work_;
      cursor.virtualTime_ += request.work_ / cursor.caller_->policy_.weight_;
    } else {
      aRefused.push_back(
        Refusal(request, core::RefusalReason::DeadlineUnreachable, aNow));
      aRefused.back().figures_.expectedFinish_ = finish;
      aRefused.back().figures_.workAhead_ = ahead;
    }
    if (++cursor.next_ != cursor.caller_->waiting_.end()) {
      cursor.position_ = *cursor.next_;
      cursors.push(cursor);
    }
  }
  for (std::size_t i = refusedBefore; i < aRefused.size(); ++i) {
    RemoveEntry(aRefused[i].ticket_);
  }
}

std::vector<AdmissionQueue::CallerCursor>
AdmissionQueue::CallerCursors() const
{
  std::vector<CallerCursor> cursors;
  for (const auto& [id, caller] : callers_) {
    if (!caller.waiting_.empty()) {
      const auto first = caller.waiting_.begin();
      cursors.push_back({ caller.virtualTime_, *first, &caller, first });
    }
  }
  return cursors;
}

} // namespace crocusslip::coordination
