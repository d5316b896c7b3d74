#define BOOST_TEST_MODULE FullDisksInTurn
#include <boost/test/unit_test.hpp>

#include "control/Group.hpp"
#include "tests/support/GatedFileSystem.hpp"

#include <array>
#include <atomic>
#include <thread>

// Guards against a group that refuses or loses changes long after the last of
// its disks has room again.

using namespace crocusslip;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMembers = 5;
/// How long each disk is full, and the time between two.
constexpr std::chrono::milliseconds kFullTime{ 700 };
constexpr std::chrono::milliseconds kPause{ 200 };
constexpr std::chrono::milliseconds kChangeInterval{ 15 };
/// Time in which a change is acknowledged once all disks have room.
constexpr std::chrono::seconds kAcknowledged{ 4 };
constexpr std::chrono::milliseconds kCommitWait{ 500 };
constexpr std::uint64_t kPieceBytes = 64UL * 1024;

core::MemberId
IdOf(std::size_t aIndex)
{
  return core::MemberId(static_cast<std::uint32_t>(aIndex + 1));
}

struct Member
{
  tests::GatedFileSystem files_;
  std::atomic<bool> halted_{ false };
  std::unique_ptr<control::Group> group_;
  std::jthread snapshot_;
  std::atomic<bool> sending_{ false };
};

/// Members that reach each other within the process. They write a snapshot
/// every few entries and keep few entries before it, so that one with a full
/// disk falls behind the log of the others.
class FiveMembers
{
public:
  FiveMembers()
  {
    for (std::size_t i = 0; i < kMembers; ++i) {
      Open(i);
    }
    for (Member& member : members_) {
      BOOST_REQUIRE(member.group_->Start().Ok());
    }
  }
  ~FiveMembers()
  {
    stopping_ = true;
    for (Member& member : members_) {
      if (member.snapshot_.joinable()) {
        member.snapshot_.join();
      }
      member.group_->Stop();
    }
  }
  FiveMembers(const FiveMembers&) = delete;
  FiveMembers& operator=(const FiveMembers&) = delete;

  void SetFree(std::size_t aIndex, std::uint64_t aBytes)
  {
    members_[aIndex].files_.With([aBytes](auto& aFiles) {
      aFiles.SetFree(aBytes);
      aFiles.SetCanCreate(aBytes > 0);
    });
  }

  std::optional<std::size_t> Leader() const
  {
    for (std::size_t i = 0; i < kMembers; ++i) {
      if (members_[i].group_->MayDecide()) {
        return i;
      }
    }
    return std::nullopt;
  }

  /// Makes changes, in turn with a pause, until the time is over. Returns how
  /// many were acknowledged.
  int Change(std::chrono::milliseconds aTime)
  {
    int acknowledged = 0;
    const auto until = std::chrono::steady_clock::now() + aTime;
    while (std::chrono::steady_clock::now() < until) {
      acknowledged += ChangeOnce() ? 1 : 0;
      std::this_thread::sleep_for(kChangeInterval);
    }
    return acknowledged;
  }
  bool ChangeOnce()
  {
    const auto leader = Leader();
    if (!leader) {
      return false;
    }
    const bool done =
      members_[*leader]
        .group_
        ->ProposeAndWait(state::PublishRoutes{ ++version_, "routes" },
                         kCommitWait)
        .Ok();
    acknowledged_ = done ? version_ : acknowledged_;
    return done;
  }

  /// All members hold the last change that was acknowledged.
  bool AllHoldIt() const
  {
    return std::ranges::all_of(members_, [this](const Member& aMember) {
      return aMember.group_->WithState([this](const auto& aState) {
        return aState.Routes().Version() >= acknowledged_;
      });
    });
  }
  bool AnyHalted() const
  {
    return std::ranges::any_of(
      members_, [](const Member& aMember) { return aMember.halted_.load(); });
  }

  template<typename Condition>
  static bool Within(std::chrono::milliseconds aTime,
                     const Condition& aCondition)
  {
    const auto until = std::chrono::steady_clock::now() + aTime;
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() > until) {
        return false;
      }
      std::this_thread::sleep_for(5ms);
    }
    return true;
  }

private:
  void Open(std::size_t aIndex)
  {
    state::GroupMembers all;
    for (std::size_t i = 0; i < kMembers; ++i) {
      all.members_.push_back({ IdOf(i), {}, {}, state::MemberRole::Voter, "" });
    }
    all.highestId_ = IdOf(kMembers - 1);
    Member& member = members_[aIndex];
    core::Random random(aIndex + 1);
    const auto open = [&] {
      return state::MemberStorage::Open(
        member.files_, "data", { "test", 1, IdOf(aIndex), {} }, random);
    };
    {
      const auto storage = open();
      BOOST_REQUIRE(storage.Ok());
      const auto start = coordination::RaftBootstrapState(all);
      BOOST_REQUIRE(
        storage.Value()->Write(start.hardState_, {}, start.entries_).Ok());
      BOOST_REQUIRE(storage.Value()->Sync().Ok());
    }
    control::GroupSettings settings;
    settings.raft_.cluster_ = "test";
    settings.raft_.group_ = 1;
    settings.raft_.self_ = IdOf(aIndex);
    settings.snapshotEvery_ = 8;
    settings.entriesKept_ = 2;
    control::GroupHooks hooks;
    hooks.send_ = [this](const coordination::RaftMessage& aMessage) {
      members_[aMessage.to_.Value() - 1].group_->Receive(aMessage);
    };
    hooks.sendSnapshot_ = [this, aIndex](core::MemberId aTo, core::Term aTerm) {
      Member& from = members_[aIndex];
      if (from.sending_.exchange(true)) {
        return;
      }
      from.snapshot_ = std::jthread([this, aIndex, aTo, aTerm] {
        SendSnapshot(aIndex, aTo, aTerm);
        members_[aIndex].sending_ = false;
      });
    };
    hooks.applied_ = [](core::LogIndex,
                        core::Term,
                        const state::Command&,
                        const state::Answer&) {};
    hooks.members_ = [](const state::GroupMembers&) {};
    hooks.halted_ = [&member](const std::string&) { member.halted_ = true; };
    hooks.refusedDiskFull_ = [](std::size_t) {};
    auto storage = open();
    BOOST_REQUIRE(storage.Ok());
    member.group_ = std::make_unique<control::Group>(
      settings, std::move(storage.Value()), clock_, aIndex + 1, hooks);
  }

  void SendSnapshot(std::size_t aFrom, core::MemberId aTo, core::Term aTerm)
  {
    control::Group& from = *members_[aFrom].group_;
    control::Group& to = *members_[aTo.Value() - 1].group_;
    const auto newest = from.NewestSnapshot();
    bool delivered = newest.Ok() && newest.Value().has_value();
    std::uint64_t total = 1;
    for (std::uint64_t at = 0; delivered && at < total && !stopping_;) {
      const auto piece = from.ReadSnapshot(*newest.Value(), at, kPieceBytes);
      delivered =
        piece.Ok() && to.ReceiveSnapshot(IdOf(aFrom), aTerm, piece.Value());
      if (delivered) {
        total = piece.Value().total_;
        at += piece.Value().bytes_.size();
      }
    }
    from.SnapshotSent(aTo, delivered);
  }

  const core::SystemClock clock_;
  std::atomic<bool> stopping_{ false };
  std::array<Member, kMembers> members_;
  std::uint64_t version_ = 0;
  std::uint64_t acknowledged_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AGroupWhoseDisksAreFullOneAfterAnother)

// A full disk takes nothing, a part of an entry, or a few entries.
BOOST_AUTO_TEST_CASE(TakesChangesOnceTheyHaveRoom)
{
  for (const std::uint64_t free : { 0, 30, 1000 }) {
    FiveMembers group;
    BOOST_REQUIRE(group.Within(10s, [&] { return group.ChangeOnce(); }));
    for (std::size_t turn = 0; turn < 2 * kMembers; ++turn) {
      // Each second time the disk of the leader.
      const std::size_t member =
        turn % 2 == 0 ? group.Leader().value_or(0) : turn / 2;
      group.SetFree(member, free);
      group.Change(kFullTime);
      group.SetFree(member, core::kGibi);
      group.Change(kPause);
    }
    BOOST_TEST(group.Within(kAcknowledged, [&] { return group.ChangeOnce(); }));
    BOOST_TEST(group.Change(kFullTime) > 0);
    BOOST_TEST(group.Within(kAcknowledged, [&] { return group.AllHoldIt(); }));
    BOOST_TEST(!group.AnyHalted());
  }
}

BOOST_AUTO_TEST_SUITE_END()
