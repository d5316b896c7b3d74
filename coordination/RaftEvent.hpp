#pragma once

#include "coordination/RaftMessage.hpp"
#include "state/GroupMembers.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace crocusslip::coordination {

/// Sequence number of a Persist action. The actions complete in order.
using PersistId = core::StrongNumber<struct PersistTag, std::uint64_t>;
/// Number that the owner of the node assigns to a proposal or a read to match
/// its result.
using RaftRequestId = core::StrongNumber<struct RaftRequestTag, std::uint64_t>;

/// Input events of a RaftNode.
namespace raft {

/// Drives the timers; the owner of the node must send it at least every 20 ms.
struct Tick
{};

struct Receive
{
  RaftMessage message_;
};

/// Append these commands to the log as consecutive entries.
struct Propose
{
  RaftRequestId requestId_;
  std::vector<std::string> payloads_;
};

struct ProposeMembership
{
  RaftRequestId requestId_;
  state::MemberChange change_;
};

/// All Persist actions up to and including through_ are synced.
struct Persisted
{
  PersistId through_;
};

/// A snapshot from the leader has been received, verified and synced.
struct SnapshotReceived
{
  core::MemberId from_;
  core::Term term_;
  state::SnapshotMeta meta_;
};

/// RestoreSnapshot has completed.
struct SnapshotRestored
{
  core::LogIndex index_;
};

/// A transfer started by SendSnapshot has ended, successfully or not.
struct SnapshotSent
{
  core::MemberId to_;
  bool delivered_ = false;
};

/// Discard the log up to and including through_, which is applied and covered
/// by a synced snapshot. Choose an index below the snapshot's to keep
/// entries for followers that lag slightly.
struct CompactLog
{
  core::LogIndex through_;
};

/// A linearizable read; answered by ReadReady or ReadRefused.
struct Read
{
  RaftRequestId requestId_;
};

struct TransferLeadership
{
  core::MemberId to_;
};

/// The disk has become full, or has space again. Proposals are refused while it
/// is full.
struct StorageStateChanged
{
  bool full_ = false;
};

} // namespace raft

using RaftEvent = std::variant<raft::Tick,
                               raft::Receive,
                               raft::Propose,
                               raft::ProposeMembership,
                               raft::Persisted,
                               raft::SnapshotReceived,
                               raft::SnapshotRestored,
                               raft::SnapshotSent,
                               raft::CompactLog,
                               raft::Read,
                               raft::TransferLeadership,
                               raft::StorageStateChanged>;

} // namespace crocusslip::coordination
