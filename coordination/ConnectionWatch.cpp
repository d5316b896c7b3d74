#include "coordination/ConnectionWatch.hpp"

#include <algorithm>

namespace crocusslip::coordination {

ConnectionWatch::ConnectionWatch(ConnectionWatchSettings aSettings)
  : settings_(aSettings)
{
}

void
ConnectionWatch::OnMessages(core::MonotonicTime aNow)
{
  lastMessages_ = aNow;
}

void
ConnectionWatch::OnPing(core::MonotonicTime aNow)
{
  lastPing_ = aNow;
  waitingSince_ = aNow;
}

void
ConnectionWatch::OnAnswer()
{
  waitingSince_.reset();
  replaced_ = 0;
}

void
ConnectionWatch::OnReplaced()
{
  lastPing_.reset();
  waitingSince_.reset();
  ++replaced_;
}

bool
ConnectionWatch::ShouldPing(core::MonotonicTime aNow, bool aWithMessages) const
{
  if (waitingSince_ || !lastMessages_) {
    return false;
  }
  if (!lastPing_) {
    return aWithMessages;
  }
  if (aWithMessages) {
    return aNow >= *lastPing_ + settings_.interval_;
  }
  const auto next = NextCheck();
  return next && aNow >= *next;
}

bool
ConnectionWatch::IsSilent(core::MonotonicTime aNow) const
{
  return waitingSince_ && aNow >= *waitingSince_ + AnswerTimeout();
}

std::optional<core::MonotonicTime>
ConnectionWatch::NextCheck() const
{
  if (waitingSince_) {
    return *waitingSince_ + AnswerTimeout();
  }
  if (!lastPing_ || !lastMessages_) {
    return std::nullopt;
  }
  const core::MonotonicTime next = *lastPing_ + settings_.idleInterval_;
  return next < *lastMessages_ + settings_.inUse_ ? std::optional(next)
                                                  : std::nullopt;
}

core::Duration
ConnectionWatch::AnswerTimeout() const
{
  constexpr std::uint32_t kMostDoublings = 8;
  core::Duration timeout = settings_.answerTimeout_;
  for (std::uint32_t i = 0; i < std::min(replaced_, kMostDoublings); ++i) {
    timeout *= 2;
  }
  return std::min(timeout, settings_.maxAnswerTimeout_);
}

} // namespace crocusslip::coordination
