#pragma once

#include "core/Clock.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace crocusslip::replay {

/// Actions in virtual time; equal times run in the order of insertion.
class EventQueue
{
public:
  using Action = std::function<void()>;

  core::MonotonicTime Now() const { return now_; }

  void At(core::MonotonicTime aTime, Action aAction)
  {
    events_.push({ std::max(aTime, now_), next_++, std::move(aAction) });
  }
  void After(core::Duration aDelay, Action aAction)
  {
    At(now_ + aDelay, std::move(aAction));
  }
  /// Runs events up to and including aEnd.
  void RunUntil(core::MonotonicTime aEnd)
  {
    while (!events_.empty() && events_.top().time_ <= aEnd) {
      Event event = events_.top();
      events_.pop();
      now_ = event.time_;
      event.action_();
    }
    now_ = std::max(now_, aEnd);
  }

private:
  struct Event
  {
    core::MonotonicTime time_;
    std::uint64_t number_ = 0;
    Action action_;

    bool operator<(const Event& aOther) const
    {
      return time_ != aOther.time_ ? time_ > aOther.time_
                                   : number_ > aOther.number_;
    }
  };

  core::MonotonicTime now_;
  std::uint64_t next_ = 0;
  std::priority_queue<Event> events_;
};

} // namespace crocusslip::replay
