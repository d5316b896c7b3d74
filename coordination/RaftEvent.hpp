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
/// Number that the caller assigns to a proposal or a read to match its result.
using RaftTag = core::StrongNumber<struct RaftRequestTag, std::uint64_t>;

/// Input events of a RaftNode.
namespace raft {

/// Drives the timers; the caller must send it at least every 20 ms.
struct Tick
{};

struct Receive
{
  RaftMessage message_;
};

/// Append these commands to the log as consecutive entries.
struct Propose
{
  RaftTag tag_;
  std::vector<std::string> payloads_;
};

struct ProposeMembership
{
  RaftTag tag_;
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
struct SnapshotLoaded
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
/// by a synced snapshot. An index below the snapshot's keeps entries for
/// followers that lag slightly.
struct Compacted
{
  core::LogIndex through_;
};

/// A linearizable read; answered by ReadReady or ReadRefused.
struct Read
{
  RaftTag tag_;
};

struct TransferLeadership
{
  core::MemberId to_;
};

/// The disk has become full, or has space again. Proposals are refused while it
/// is full.
struct StorageFull
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
                               raft::SnapshotLoaded,
                               raft::SnapshotSent,
                               raft::Compacted,
                               raft::Read,
                               raft::TransferLeadership,
                               raft::StorageFull>;

} // namespace crocusslip::coordination
