#pragma once

#include "coordination/RaftEvent.hpp"
#include "core/Error.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocusslip::coordination {

enum class RaftRole : std::uint8_t
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

/// Actions that a RaftNode requests. The owner of the node must carry
/// them out in order.
namespace raft {

struct Send
{
  RaftMessage message_;
};

/// Write the hard state, the truncation and the entries in this order, then
/// sync. Persisted reports completion. One sync may cover several of these.
struct Persist
{
  PersistId id_;
  std::optional<state::HardState> hardState_;
  /// First index to remove from the log before entries_ are written.
  std::optional<core::LogIndex> truncateFrom_;
  std::vector<state::LogEntry> entries_;
};

/// Committed entries to apply, in log order. Each entry is delivered at most
/// once per process start; entries that a restored snapshot covers are not
/// delivered.
struct Apply
{
  std::vector<state::LogEntry> entries_;
};

/// Send the newest snapshot in chunks; SnapshotSent reports the result.
struct SendSnapshot
{
  core::MemberId to_;
  core::Term term_;
};

/// Replace the state machine by the received snapshot and empty the log, which
/// continues at meta_.index_ + 1. SnapshotRestored reports completion.
struct RestoreSnapshot
{
  state::SnapshotMeta meta_;
};

struct RoleChanged
{
  RaftRole role_ = RaftRole::Follower;
  core::Term term_;
  /// Id 0 if the leader is unknown.
  core::MemberId leader_;
};

/// The payloads were appended to the log at consecutive indexes from first_ on.
/// They are committed if Apply delivers these indexes with term_; if it
/// delivers them with another term, the proposal was overwritten.
struct ProposalAccepted
{
  RaftRequestId requestId_;
  core::Term term_;
  core::LogIndex first_;
};

struct ProposalRefused
{
  RaftRequestId requestId_;
  core::Error error_;
};

/// The read may be answered once the entry at index_ is applied.
struct ReadReady
{
  RaftRequestId requestId_;
  core::LogIndex index_;
};

struct ReadRefused
{
  RaftRequestId requestId_;
};

/// An invariant is violated; the member must stop.
struct Halt
{
  std::string reason_;
};

} // namespace raft

using RaftAction = std::variant<raft::Send,
                                raft::Persist,
                                raft::Apply,
                                raft::SendSnapshot,
                                raft::RestoreSnapshot,
                                raft::RoleChanged,
                                raft::ProposalAccepted,
                                raft::ProposalRefused,
                                raft::ReadReady,
                                raft::ReadRefused,
                                raft::Halt>;
using RaftActions = std::vector<RaftAction>;

} // namespace crocusslip::coordination
