#pragma once

#include "core/Clock.hpp"

#include <cstdint>
#include <optional>

namespace crocusslip::coordination {

struct ConnectionWatchSettings
{
  /// Least time between two pings of a connection that carries messages.
  core::Duration interval_ = std::chrono::milliseconds(80);
  /// Time after a ping after which a connection without messages gets the next.
  core::Duration idleInterval_ = std::chrono::milliseconds(120);
  /// Time after the last message for which a connection is pinged.
  core::Duration inUse_ = std::chrono::seconds(1);
  /// Time within which a ping must be answered. Together with idleInterval_ it
  /// is less than the shortest election timeout.
  core::Duration answerTimeout_ = std::chrono::milliseconds(250);
  /// Limit of that time, which doubles with each connection that was replaced
  /// without an answer, for a peer that is suspended.
  core::Duration maxAnswerTimeout_ = std::chrono::seconds(1);
};

/// Decides when a connection that carries one-way messages is pinged and when
/// it has gone silent. TCP alone shows neither a peer that doesn't read nor a
/// middlebox that has lost the connection.
class ConnectionWatch
{
public:
  explicit ConnectionWatch(ConnectionWatchSettings aSettings = {});

  void OnMessages(core::MonotonicTime aNow);
  void OnPing(core::MonotonicTime aNow);
  void OnAnswer();
  /// The connection was given up; the next one starts without a ping.
  void OnReplaced();

  /// aWithMessages: messages were just sent on the connection.
  bool ShouldPing(core::MonotonicTime aNow, bool aWithMessages) const;
  bool IsWaiting() const { return waitingSince_.has_value(); }
  bool IsSilent(core::MonotonicTime aNow) const;
  /// When to look again though no message is sent; nothing for a connection
  /// that is not in use.
  std::optional<core::MonotonicTime> NextCheck() const;

private:
  core::Duration AnswerTimeout() const;

  const ConnectionWatchSettings settings_;
  std::optional<core::MonotonicTime> lastMessages_;
  std::optional<core::MonotonicTime> lastPing_;
  std::optional<core::MonotonicTime> waitingSince_;
  /// Connections given up since the last answer.
  std::uint32_t replaced_ = 0;
};

} // namespace crocusslip::coordination
