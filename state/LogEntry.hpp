#pragma once

#include "core/Ids.hpp"

#include <cstdint>
#include <string>

namespace crocusslip::state {

/// What the payload of a log entry is.
enum class EntryKind : std::uint8_t
{
  /// A command of the replicated state machine.
  Command = 0,
  /// Empty; the first entry of each leader's term.
  Noop = 1,
  /// The whole list of group members after the change (GroupMembers).
  Membership = 2,
};

/// One entry of the replicated log.
struct LogEntry
{
  core::Term term_;
  core::LogIndex index_;
  EntryKind kind_ = EntryKind::Command;
  std::string payload_;

  friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

/// Term and vote of a member; synced before any message that depends on it.
struct HardState
{
  core::Term term_;
  /// Id 0 when no vote was given in this term.
  core::MemberId vote_;

  friend bool operator==(const HardState&, const HardState&) = default;
};

} // namespace crocusslip::state
