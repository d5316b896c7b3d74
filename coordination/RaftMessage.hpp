#pragma once

#include "core/Ids.hpp"
#include "state/LogEntry.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace crocusslip::coordination {

enum class RaftMessageKind : std::uint8_t
{
  PreVote = 0,
  PreVoteReply = 1,
  Vote = 2,
  VoteReply = 3,
  /// A heartbeat if it has no entries.
  Append = 4,
  AppendReply = 5,
  /// Sent by a leader that has given up its lease: the receiver starts an
  /// election at once.
  TimeoutNow = 6,
};

/// A message between two members of one group.
struct RaftMessage
{
  std::string cluster_;
  std::uint32_t group_ = 0;
  core::MemberId from_;
  core::MemberId to_;
  RaftMessageKind kind_ = RaftMessageKind::Append;
  /// The sender's term. In PreVote and a reply that grants it, the term that
  /// the candidate would campaign in.
  core::Term term_;
  /// Append: index of the entry before entries_. Vote and PreVote: last index
  /// of the candidate's log. AppendReply: highest index that matches and is
  /// synced, or the rejected index.
  core::LogIndex index_;
  /// Term of the entry at index_; in a rejecting AppendReply, of that at hint_.
  core::Term logTerm_;
  /// Append: the leader's commit index.
  core::LogIndex commit_;
  bool reject_ = false;
  /// Rejecting AppendReply: highest index at which the logs may match.
  core::LogIndex hint_;
  /// The leader's heartbeat round, which the reply repeats.
  std::uint64_t round_ = 0;
  /// Vote: the leader requested this election to transfer its leadership, so
  /// recent contact with a leader is no reason to refuse the vote.
  bool transfer_ = false;
  std::vector<state::LogEntry> entries_;
};

} // namespace crocusslip::coordination
