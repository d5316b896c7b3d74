#pragma once

#include "core/Clock.hpp"
#include "core/Ids.hpp"
#include "core/Units.hpp"
#include "state/GroupMembers.hpp"
#include "state/LeaseTiming.hpp"
#include "state/LogEntry.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace crocusslip::coordination {

/// Timeouts and intervals of a group; they must be equal on all members.
struct RaftTimings
{
  core::Duration heartbeat_ = std::chrono::milliseconds(100);
  core::Duration electionMin_ = std::chrono::milliseconds(500);
  core::Duration electionMax_ = std::chrono::milliseconds(900);
  core::Duration lease_ = std::chrono::milliseconds(400);
  /// Time without a result after which a snapshot transfer is restarted.
  core::Duration snapshotRetry_ = std::chrono::seconds(10);
  double driftBound_ = state::kClockDriftBound;

  /// Whether the lease of a leader with a slow clock expires before a follower
  /// with a fast clock may vote for another leader.
  bool LeaseIsSafe() const;
};

/// Limits on message sizes, proposals and unacknowledged data per follower.
struct RaftLimits
{
  core::Bytes maxAppend_{ 256 * core::kKibi };
  std::size_t maxAppendEntries_ = 1024;
  core::Bytes maxInFlight_{ 2 * core::kMebi };
  core::Bytes maxEntry_{ core::kMebi };
  std::size_t maxProposalEntries_ = 4096;
  /// Proposals are refused while this many log entries are uncommitted.
  std::uint64_t maxUncommitted_ = 65536;
  /// Maximum number of entries by which a learner may lag to be promoted.
  std::uint64_t maxPromotionLag_ = 100;
};

/// Rules of the protocol. Only tests disable a rule, to verify that the fault
/// explorer (tests/support/Explorer.hpp) detects the violation that the rule
/// prevents.
struct RaftRules
{
  /// Run a pre-vote, which doesn't raise the term, before a real election.
  bool preVote_ = true;
  /// A leader steps down when it has lost contact with a majority.
  bool checkQuorum_ = true;
  /// Refuse votes for electionMin_ after the last message from a leader.
  bool refuseVotesUnderLease_ = true;
  /// Refuse votes for electionMin_ after a start, since a restarted member no
  /// longer knows whether it acknowledged a leader whose lease is still valid.
  /// Has effect only with refuseVotesUnderLease_.
  bool refuseVotesAfterStart_ = true;
  /// Send acknowledgements and votes only after the state that they report has
  /// been synced.
  bool syncBeforeAcknowledge_ = true;
  /// Commit by counting replicas only for entries of the current term; earlier
  /// entries are committed with them.
  bool commitOwnTermOnly_ = true;
  /// Hold no lease and serve no reads before an entry of the current term is
  /// committed.
  bool readAfterOwnCommit_ = true;
  /// Grant votes only to candidates whose log is at least as up-to-date as the
  /// voter's.
  bool compareLogsInVotes_ = true;
  /// Refuse a membership change until the previous one is committed.
  bool oneChangeAtATime_ = true;
  /// Give up the lease before telling another member to campaign.
  bool endLeaseBeforeTransfer_ = true;
};

/// Identity and parameters of one member of a group.
struct RaftConfig
{
  std::string cluster_;
  std::uint32_t group_ = 0;
  core::MemberId self_;
  RaftTimings timings_;
  RaftLimits limits_;
  RaftRules rules_;
};

/// Persistent state that a member loads from disk when it starts.
struct RaftStartState
{
  state::HardState hardState_;
  /// Index 0 if there is no snapshot.
  state::SnapshotMeta snapshot_;
  /// Entries after the snapshot, at consecutive indexes.
  std::vector<state::LogEntry> entries_;
};

/// Initial state of the founding members of a new group: a log whose first
/// entry is the member list. It must be persisted before the member starts. A
/// member that joins later starts with an empty state.
RaftStartState
RaftBootstrapState(const state::GroupMembers& aMembers);

} // namespace crocusslip::coordination
