#define BOOST_TEST_MODULE RaftElection
#include <boost/test/unit_test.hpp>

#include "coordination/RaftNode.hpp"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace crocusslip;
using namespace crocusslip::coordination;
using namespace std::chrono_literals;
using core::MemberId;

namespace {

constexpr std::uint32_t kMembers = 5;
constexpr core::Duration kStep = 1ms;

/// A group whose disks all have the same sync latency. Each member syncs its
/// Persist actions one after another.
class SimulatedGroup
{
public:
  SimulatedGroup(core::Duration aSyncTime, std::uint64_t aSeed)
    : syncTime_(aSyncTime)
    , random_(aSeed)
  {
    state::GroupMembers members;
    for (std::uint32_t id = 1; id <= kMembers; ++id) {
      members.members_.push_back({ MemberId(id),
                                   "host" + std::to_string(id),
                                   core::FailureDomainId("a"),
                                   state::MemberRole::Voter,
                                   "disk" + std::to_string(id) });
      members.highestId_ = MemberId(id);
    }
    for (std::uint32_t id = 1; id <= kMembers; ++id) {
      RaftConfig config;
      config.cluster_ = "test";
      config.self_ = MemberId(id);
      members_.emplace_back().node_ = std::make_unique<RaftNode>(
        config, RaftBootstrapState(members), now_, random_);
    }
  }

  /// Time until a leader has committed an entry of its own term; empty if that
  /// takes longer than aLimit.
  std::optional<core::Duration> Elect(core::Duration aLimit)
  {
    const core::MonotonicTime begin = now_;
    while (now_ - begin < aLimit) {
      now_ += kStep;
      Step();
      for (const Member& member : members_) {
        if (member.node_->HasLease(now_)) {
          return now_ - begin;
        }
      }
    }
    return std::nullopt;
  }

private:
  struct Sync
  {
    core::MonotonicTime done_;
    PersistId id_;
  };
  struct Member
  {
    std::unique_ptr<RaftNode> node_;
    std::deque<Sync> syncs_;
    std::deque<RaftMessage> inbox_;
  };

  void Step()
  {
    for (Member& member : members_) {
      if (!member.syncs_.empty() && member.syncs_.front().done_ <= now_) {
        const PersistId id = member.syncs_.front().id_;
        member.syncs_.pop_front();
        Handle(member, raft::Persisted{ id });
      }
      std::deque<RaftMessage> inbox;
      inbox.swap(member.inbox_);
      for (const RaftMessage& message : inbox) {
        Handle(member, raft::Receive{ message });
      }
      Handle(member, raft::Tick());
    }
  }

  void Handle(Member& aMember, const RaftEvent& aEvent)
  {
    for (const RaftAction& action : aMember.node_->Handle(aEvent, now_)) {
      if (const auto* persist = std::get_if<raft::Persist>(&action)) {
        const core::MonotonicTime from =
          aMember.syncs_.empty() ? now_ : aMember.syncs_.back().done_;
        aMember.syncs_.push_back({ from + syncTime_, persist->id_ });
      } else if (const auto* send = std::get_if<raft::Send>(&action)) {
        members_[send->message_.to_.Value() - 1].inbox_.push_back(
          send->message_);
      }
    }
  }

  const core::Duration syncTime_;
  core::Random random_;
  core::MonotonicTime now_;
  std::vector<Member> members_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(An_election)

// Guards against an election backoff that delays groups with fast disks.
BOOST_AUTO_TEST_CASE(ends_within_5_s_on_fast_disks)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedGroup group(2ms, seed);
    BOOST_TEST(group.Elect(5s).has_value(), "seed " << seed);
  }
}

// Guards against candidates that start a new term before the votes of the
// previous one are synced, so that no leader is ever elected.
BOOST_AUTO_TEST_CASE(ends_on_disks_slower_than_its_timeout)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedGroup group(800ms, seed);
    BOOST_TEST(group.Elect(60s).has_value(), "seed " << seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()
