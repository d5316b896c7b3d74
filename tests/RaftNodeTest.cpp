#define BOOST_TEST_MODULE RaftNode
#include <boost/test/unit_test.hpp>

#include "coordination/RaftNode.hpp"

#include <memory>
#include <string>
#include <vector>

using namespace crocusslip;
using namespace crocusslip::coordination;
using core::LogIndex;
using core::MemberId;
using core::Term;
using state::MemberChangeKind;

namespace {

constexpr auto kMs = std::chrono::milliseconds(1);

state::GroupMembers
Voters(std::uint32_t aCount)
{
  state::GroupMembers members;
  for (std::uint32_t id = 1; id <= aCount; ++id) {
    members.members_.push_back({ MemberId(id),
                                 "host" + std::to_string(id),
                                 core::FailureDomainId("a"),
                                 state::MemberRole::Voter,
                                 "disk" + std::to_string(id) });
    members.highestId_ = MemberId(id);
  }
  return members;
}

template<typename Action>
std::vector<Action>
Only(const RaftActions& aActions)
{
  std::vector<Action> result;
  for (const RaftAction& action : aActions) {
    if (const auto* item = std::get_if<Action>(&action)) {
      result.push_back(*item);
    }
  }
  return result;
}

/// Member 1 of a group; the test sends the messages of the other members.
struct Member
{
  core::Random random_{ 1 };
  core::MonotonicTime now_;
  PersistId unsynced_;
  std::unique_ptr<RaftNode> node_;

  explicit Member(std::uint32_t aVoters = 3, RaftConfig aConfig = {})
  {
    aConfig.cluster_ = "test";
    aConfig.self_ = MemberId(1);
    node_ = std::make_unique<RaftNode>(
      aConfig, RaftBootstrapState(Voters(aVoters)), now_, random_);
  }

  RaftActions Handle(const RaftEvent& aEvent)
  {
    RaftActions actions = node_->Handle(aEvent, now_);
    for (const auto& persist : Only<raft::Persist>(actions)) {
      unsynced_ = persist.id_;
    }
    return actions;
  }
  RaftActions Sync() { return Handle(raft::Persisted{ unsynced_ }); }
  RaftActions Wait(core::Duration aTime)
  {
    now_ += aTime;
    return Handle(raft::Tick());
  }
  RaftMessage From(std::uint32_t aMember, RaftMessageKind aKind) const
  {
    RaftMessage message;
    message.cluster_ = "test";
    message.from_ = MemberId(aMember);
    message.to_ = MemberId(1);
    message.kind_ = aKind;
    message.term_ = node_->Term();
    return message;
  }
  RaftActions Receive(const RaftMessage& aMessage)
  {
    return Handle(raft::Receive{ aMessage });
  }
  RaftActions Acknowledge(std::uint32_t aMember,
                          std::uint64_t aIndex,
                          std::uint64_t aRound)
  {
    RaftMessage reply = From(aMember, RaftMessageKind::AppendReply);
    reply.index_ = LogIndex(aIndex);
    reply.round_ = aRound;
    return Receive(reply);
  }
  /// Elects member 1. Its first entry, at index 2, is synced but not committed.
  std::uint64_t Lead()
  {
    Wait(900 * kMs);
    RaftMessage vote = From(2, RaftMessageKind::PreVoteReply);
    vote.term_ = node_->Term().Next();
    Receive(vote);
    Sync();
    const auto appends =
      Only<raft::Send>(Receive(From(2, RaftMessageKind::VoteReply)));
    BOOST_REQUIRE((node_->Role() == RaftRole::Leader));
    Sync();
    return appends.front().message_.round_;
  }
  /// Elects member 1 and commits its first entry.
  std::uint64_t LeadAndCommit()
  {
    const std::uint64_t round = Lead();
    Acknowledge(2, 2, round);
    BOOST_REQUIRE((node_->CommitIndex() == LogIndex(2)));
    return round;
  }
  RaftMessage Append(std::uint64_t aPrevious,
                     std::uint64_t aPreviousTerm,
                     std::uint64_t aTerm,
                     std::vector<state::LogEntry> aEntries = {}) const
  {
    RaftMessage message = From(2, RaftMessageKind::Append);
    message.term_ = Term(aTerm);
    message.index_ = LogIndex(aPrevious);
    message.logTerm_ = Term(aPreviousTerm);
    message.entries_ = std::move(aEntries);
    return message;
  }
};

state::LogEntry
Entry(std::uint64_t aIndex, std::uint64_t aTerm)
{
  return { Term(aTerm), LogIndex(aIndex), state::EntryKind::Command, "x" };
}

} // namespace

BOOST_AUTO_TEST_SUITE(A_member)

BOOST_AUTO_TEST_SUITE(that_follows)

// Guards against entries that are acknowledged and then lost in a power
// failure.
BOOST_FIXTURE_TEST_CASE(acknowledges_entries_only_once_synced, Member)
{
  const auto actions = Receive(Append(1, 1, 2, { Entry(2, 2) }));
  BOOST_TEST(Only<raft::Persist>(actions).size() == 1U);
  BOOST_TEST(Only<raft::Send>(actions).empty());
  const auto sent = Only<raft::Send>(Sync());
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST((sent.front().message_.index_ == LogIndex(2)));
  BOOST_TEST(!sent.front().message_.reject_);
}

// Guards against a lease that expires because a slow disk delays heartbeat
// replies, and against acknowledging unsynced entries in such a reply.
BOOST_FIXTURE_TEST_CASE(answers_heartbeats_while_entries_are_unsynced, Member)
{
  Receive(Append(1, 1, 2));
  Sync();
  Receive(Append(1, 1, 2, { Entry(2, 2) }));
  const auto sent = Only<raft::Send>(Receive(Append(2, 2, 2)));
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST((sent.front().message_.index_ == LogIndex(1)));
}

// Guards against a member that votes twice in a term because of a crash.
BOOST_FIXTURE_TEST_CASE(answers_a_vote_only_once_synced, Member)
{
  now_ += 600 * kMs;
  RaftMessage vote = From(2, RaftMessageKind::Vote);
  vote.term_ = Term(2);
  vote.index_ = LogIndex(1);
  vote.logTerm_ = Term(1);
  BOOST_TEST(Only<raft::Send>(Receive(vote)).empty());
  const auto sent = Only<raft::Send>(Sync());
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST(!sent.front().message_.reject_);
}

// Guards against a rejoining member that deposes a healthy leader.
BOOST_FIXTURE_TEST_CASE(refuses_votes_while_it_hears_from_a_leader, Member)
{
  now_ += 600 * kMs;
  Receive(Append(1, 1, 2));
  Sync();
  now_ += 499 * kMs;
  RaftMessage vote = From(3, RaftMessageKind::PreVote);
  vote.term_ = Term(3);
  vote.index_ = LogIndex(9);
  vote.logTerm_ = Term(2);
  BOOST_TEST(Only<raft::Send>(Receive(vote)).front().message_.reject_);
  vote.kind_ = RaftMessageKind::Vote;
  BOOST_TEST(Receive(vote).empty());
  BOOST_TEST((node_->Term() == Term(2)));
  now_ += 2 * kMs;
  vote.kind_ = RaftMessageKind::PreVote;
  BOOST_TEST(!Only<raft::Send>(Receive(vote)).front().message_.reject_);
}

// Guards against messages of another cluster or group, and against entries that
// would leave gaps in the log.
BOOST_FIXTURE_TEST_CASE(refuses_misaddressed_messages_and_gaps, Member)
{
  std::vector<RaftMessage> wrong(6, Append(1, 1, 2, { Entry(2, 2) }));
  wrong[0].cluster_ = "other";
  wrong[1].group_ = 7;
  wrong[2].to_ = MemberId(3);
  wrong[3].from_ = MemberId(1);
  wrong[4].entries_ = { Entry(3, 2) };
  wrong[5].entries_ = { Entry(2, 2), Entry(3, 1) };
  for (const RaftMessage& message : wrong) {
    BOOST_TEST(Receive(message).empty());
  }
  BOOST_TEST(node_->Counters().messagesRefused_ == wrong.size());
  BOOST_TEST((node_->LastIndex() == LogIndex(1)));
}

// Guards against entries with a term that the sender can't know, and against
// appends larger than any member sends, which would use unlimited memory and
// disk space.
BOOST_FIXTURE_TEST_CASE(refuses_appends_of_a_wrong_term_or_size, Member)
{
  const coordination::RaftLimits limits;
  std::vector<RaftMessage> wrong(4, Append(1, 1, 2, { Entry(2, 2) }));
  wrong[0].entries_ = { Entry(2, 3) };
  wrong[1].logTerm_ = Term(2);
  wrong[1].entries_ = { Entry(2, 1) };
  for (std::uint64_t i = 0; i < limits.maxAppendEntries_; ++i) {
    wrong[2].entries_.push_back(Entry(3 + i, 2));
  }
  wrong[3].entries_.push_back(Entry(3, 2));
  wrong[3].entries_[0].payload_ = std::string(limits.maxAppend_.Count(), 'x');
  for (const RaftMessage& message : wrong) {
    BOOST_TEST(Receive(message).empty());
  }
  BOOST_TEST(node_->Counters().messagesRefused_ == wrong.size());
  BOOST_TEST((node_->LastIndex() == LogIndex(1)));
}

// Guards against keeping entries that the leader has overwritten.
BOOST_FIXTURE_TEST_CASE(replaces_entries_that_differ, Member)
{
  Receive(Append(1, 1, 2, { Entry(2, 2), Entry(3, 2) }));
  Sync();
  const auto actions = Receive(Append(1, 1, 3, { Entry(2, 3) }));
  const auto persist = Only<raft::Persist>(actions);
  BOOST_REQUIRE(persist.size() == 1U);
  BOOST_TEST((persist.front().truncateFrom_ == LogIndex(2)));
  BOOST_TEST((node_->LastIndex() == LogIndex(2)));
}

// Guards against silently replacing entries that have been applied.
BOOST_FIXTURE_TEST_CASE(halts_when_a_committed_entry_would_change, Member)
{
  RaftMessage append = Append(1, 1, 2, { Entry(2, 2) });
  append.commit_ = LogIndex(2);
  Receive(append);
  Sync();
  const auto actions = Receive(Append(1, 1, 3, { Entry(2, 3) }));
  BOOST_TEST(Only<raft::Halt>(actions).size() == 1U);
  BOOST_TEST(Only<raft::Persist>(actions).front().entries_.empty());
  BOOST_TEST((node_->LastIndex() == LogIndex(2)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_leads)

// Guards against timings under which two members can hold the lease.
BOOST_AUTO_TEST_CASE(has_a_lease_shorter_than_the_refusal_of_votes)
{
  RaftTimings timings;
  BOOST_TEST(timings.LeaseIsSafe());
  timings.lease_ = 495 * kMs;
  BOOST_TEST(!timings.LeaseIsSafe());
}

// Guards against reads and orders by a leader that doesn't know yet which
// entries are committed, or whose lease has expired.
BOOST_FIXTURE_TEST_CASE(has_the_lease_after_its_first_commit, Member)
{
  const std::uint64_t round = Lead();
  BOOST_TEST(!node_->HasLease(now_));
  BOOST_TEST(!node_->LeaseEnd(now_).has_value());
  Acknowledge(2, 2, round);
  BOOST_TEST(node_->HasLease(now_));
  BOOST_TEST(node_->HasLease(now_ + 399 * kMs));
  BOOST_TEST(!node_->HasLease(now_ + 400 * kMs));
  BOOST_TEST((node_->LeaseEnd(now_) == now_ + 400 * kMs));
  BOOST_TEST((node_->LeaseEnd(now_ + 50 * kMs) == now_ + 400 * kMs));
}

// Guards against a leader that counts its own unsynced entries as replicated.
BOOST_FIXTURE_TEST_CASE(counts_its_own_entries_only_once_synced, Member)
{
  const std::uint64_t round = LeadAndCommit();
  const auto actions = Handle(raft::Propose{ RaftRequestId(1), { "a", "b" } });
  BOOST_TEST(Only<raft::Send>(actions).size() == 1U);
  Acknowledge(2, 4, round);
  BOOST_TEST((node_->CommitIndex() == LogIndex(2)));
  const auto applied = Only<raft::Apply>(Sync());
  BOOST_REQUIRE(applied.size() == 1U);
  BOOST_TEST(applied.front().entries_.size() == 2U);
}

// Guards against a leader that continues without contact with a majority.
BOOST_FIXTURE_TEST_CASE(steps_down_without_a_majority, Member)
{
  LeadAndCommit();
  Wait(899 * kMs);
  BOOST_TEST((node_->Role() == RaftRole::Leader));
  Wait(3 * kMs);
  BOOST_TEST((node_->Role() == RaftRole::Follower));
}

// Guards against answering a read before a majority confirms the leadership.
BOOST_FIXTURE_TEST_CASE(confirms_reads_by_a_heartbeat_round_without_a_lease,
                        Member)
{
  LeadAndCommit();
  now_ += 500 * kMs;
  const auto actions = Handle(raft::Read{ RaftRequestId(5) });
  BOOST_TEST(Only<raft::ReadReady>(actions).empty());
  const auto heartbeat = Only<raft::Send>(actions);
  BOOST_REQUIRE(!heartbeat.empty());
  const auto ready =
    Only<raft::ReadReady>(Acknowledge(3, 1, heartbeat.front().message_.round_));
  BOOST_REQUIRE(ready.size() == 1U);
  BOOST_TEST((ready.front().index_ == LogIndex(2)));
}

// Guards against two leases during a leadership transfer.
BOOST_FIXTURE_TEST_CASE(gives_up_its_lease_to_transfer_leadership, Member)
{
  LeadAndCommit();
  const auto sent =
    Only<raft::Send>(Handle(raft::TransferLeadership{ MemberId(2) }));
  BOOST_REQUIRE(sent.size() == 1U);
  BOOST_TEST((sent.front().message_.kind_ == RaftMessageKind::TimeoutNow));
  BOOST_TEST(!node_->HasLease(now_));
}

// Guards against unbounded memory for a follower that does not answer.
BOOST_AUTO_TEST_CASE(limits_the_bytes_in_flight_to_a_follower)
{
  RaftConfig config;
  config.limits_.maxInFlight_ = core::Bytes(1000);
  Member member(3, config);
  member.LeadAndCommit();
  std::size_t sent = 0;
  for (int i = 0; i < 100; ++i) {
    const auto actions = member.Handle(
      raft::Propose{ RaftRequestId(1), { std::string(176, 'x') } });
    sent += Only<raft::Send>(actions).size();
  }
  BOOST_TEST(sent == 5U);
}

// Guards against accepting proposals that can't be written to disk.
BOOST_FIXTURE_TEST_CASE(refuses_proposals_while_the_disk_is_full, Member)
{
  LeadAndCommit();
  Handle(raft::StorageStateChanged{ true });
  const auto refused = Only<raft::ProposalRefused>(
    Handle(raft::Propose{ RaftRequestId(1), { "a" } }));
  BOOST_REQUIRE(refused.size() == 1U);
  BOOST_TEST((refused.front().error_.code_ == core::Errc::DiskFull));
  Handle(raft::StorageStateChanged{ false });
  BOOST_TEST(Only<raft::ProposalAccepted>(
               Handle(raft::Propose{ RaftRequestId(2), { "a" } }))
               .size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_changes_the_membership)

core::Errc
Refusal(Member& aMember, MemberChangeKind aKind, std::uint32_t aId)
{
  state::GroupMember member;
  member.id_ = MemberId(aId);
  member.diskIdentity_ = "disk" + std::to_string(aId);
  const auto refused = Only<raft::ProposalRefused>(aMember.Handle(
    raft::ProposeMembership{ RaftRequestId(1), { aKind, member } }));
  return refused.empty()
           ? core::Errc::Ok
           : static_cast<core::Errc>(refused.front().error_.code_.value());
}

// Guards against two majorities that do not overlap.
BOOST_FIXTURE_TEST_CASE(makes_one_change_at_a_time, Member)
{
  const std::uint64_t round = LeadAndCommit();
  BOOST_TEST(
    (Refusal(*this, MemberChangeKind::AddLearner, 4) == core::Errc::Ok));
  BOOST_TEST(
    (Refusal(*this, MemberChangeKind::AddLearner, 5) == core::Errc::Conflict));
  Sync();
  Acknowledge(2, 3, round);
  BOOST_TEST(
    (Refusal(*this, MemberChangeKind::AddLearner, 5) == core::Errc::Ok));
}

// Guards against making a learner a voter before it has caught up, and against
// a replaced disk that rejoins under an old id.
BOOST_FIXTURE_TEST_CASE(promotes_only_learners_that_have_caught_up, Member)
{
  const std::uint64_t round = LeadAndCommit();
  BOOST_TEST((Refusal(*this, MemberChangeKind::AddLearner, 3) ==
              core::Errc::InvalidInput));
  BOOST_TEST(
    (Refusal(*this, MemberChangeKind::AddLearner, 4) == core::Errc::Ok));
  Sync();
  Acknowledge(2, 3, round);
  Acknowledge(3, 3, round);
  BOOST_TEST(
    (Refusal(*this, MemberChangeKind::Promote, 4) == core::Errc::Conflict));
  Acknowledge(4, 3, round);
  BOOST_TEST((Refusal(*this, MemberChangeKind::Promote, 4) == core::Errc::Ok));
}

// Guards against a change that blocks the group: removing a live voter while
// the remaining ones are unreachable.
BOOST_FIXTURE_TEST_CASE(refuses_a_change_that_no_majority_can_commit, Member)
{
  LeadAndCommit();
  BOOST_TEST(
    (Refusal(*this, MemberChangeKind::Remove, 2) == core::Errc::Conflict));
  BOOST_TEST((Refusal(*this, MemberChangeKind::Remove, 3) == core::Errc::Ok));
}

// Guards against a follower that can never catch up because the entries that it
// needs have been compacted.
BOOST_FIXTURE_TEST_CASE(sends_a_snapshot_in_place_of_compacted_entries, Member)
{
  const std::uint64_t round = LeadAndCommit();
  Handle(raft::CompactLog{ LogIndex(2) });
  RaftMessage reject = From(3, RaftMessageKind::AppendReply);
  reject.reject_ = true;
  reject.index_ = LogIndex(2);
  reject.round_ = round;
  Handle(raft::Propose{ RaftRequestId(1), { "a" } });
  const auto snapshots = Only<raft::SendSnapshot>(Receive(reject));
  BOOST_REQUIRE(snapshots.size() == 1U);
  BOOST_TEST((snapshots.front().to_ == MemberId(3)));
  const auto appends = Only<raft::Send>(Acknowledge(3, 2, round));
  BOOST_REQUIRE(appends.size() == 1U);
  BOOST_TEST(appends.front().message_.entries_.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
