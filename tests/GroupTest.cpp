#define BOOST_TEST_MODULE Group
#include <boost/test/unit_test.hpp>

#include "control/Group.hpp"
#include "control/MemberService.hpp"
#include "core/Hash.hpp"
#include "tests/support/GatedFileSystem.hpp"

#include <atomic>

using namespace crocusslip;
using namespace std::chrono_literals;
using core::Errc;

namespace {

/// Bounds a wait for something that must come; only a failing test waits it.
constexpr std::chrono::seconds kLongest{ 20 };
/// Less than the reserve of the log, and enough to write entries.
constexpr std::uint64_t kWithinReserve = core::kMebi;

template<typename Condition>
bool
Eventually(Condition aCondition)
{
  const auto until = std::chrono::steady_clock::now() + kLongest;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(2ms);
  }
  return true;
}

/// Only a test of snapshots takes one.
constexpr std::uint64_t kNoSnapshot = 1'000'000;

/// A group of one voter and one learner that never answers: the voter leads
/// alone and sends heartbeats.
struct LoneVoter
{
  tests::GatedFileSystem files_;
  core::SystemClock clock_;
  std::atomic<int> heartbeats_{ 0 };
  std::atomic<std::size_t> refused_{ 0 };
  std::atomic<bool> halted_{ false };
  std::unique_ptr<control::Group> group_;
  const core::Bytes snapshotBytes_;

  explicit LoneVoter(std::uint64_t aSnapshotEvery = kNoSnapshot,
                     core::Bytes aSnapshotBytes = core::Bytes(core::kGibi))
    : snapshotBytes_(aSnapshotBytes)
  {
    Start(true, aSnapshotEvery);
  }

  ~LoneVoter()
  {
    files_.Release();
    group_.reset();
  }

  void Start(bool aFirst, std::uint64_t aSnapshotEvery)
  {
    core::Random random(1);
    auto storage = state::MemberStorage::Open(
      files_, "data", { "test", 1, core::MemberId(1), {} }, random);
    BOOST_REQUIRE(storage.Ok());
    if (aFirst) {
      const auto start = coordination::RaftBootstrapState(Members());
      BOOST_REQUIRE(
        storage.Value()->Write(start.hardState_, {}, start.entries_).Ok());
      BOOST_REQUIRE(storage.Value()->Sync().Ok());
      storage.Value().reset();
      return Start(false, aSnapshotEvery);
    }
    control::GroupSettings settings;
    settings.raft_.cluster_ = "test";
    settings.raft_.group_ = 1;
    settings.raft_.self_ = core::MemberId(1);
    settings.snapshotEvery_ = aSnapshotEvery;
    settings.snapshotBytes_ = snapshotBytes_;
    control::GroupHooks hooks;
    hooks.send_ = [this](const coordination::RaftMessage& aMessage) {
      heartbeats_ += aMessage.kind_ == coordination::RaftMessageKind::Append;
    };
    hooks.sendSnapshot_ = [](core::MemberId, core::Term) {};
    hooks.applied_ = [](core::LogIndex,
                        core::Term,
                        const state::Command&,
                        const state::Answer&) {};
    hooks.members_ = [](const state::GroupMembers&) {};
    hooks.halted_ = [this](const std::string&) { halted_ = true; };
    hooks.refusedDiskFull_ = [this](std::size_t aCount) { refused_ += aCount; };
    group_ = std::make_unique<control::Group>(
      settings, std::move(storage.Value()), clock_, 1, hooks);
    BOOST_REQUIRE(group_->Start().Ok());
    BOOST_REQUIRE(Eventually([this] { return group_->MayDecide(); }));
  }

  static state::GroupMembers Members()
  {
    state::GroupMembers members;
    members.members_ = {
      { core::MemberId(1), {}, {}, state::MemberRole::Voter, "" },
      { core::MemberId(2), {}, {}, state::MemberRole::Learner, "" }
    };
    members.highestId_ = core::MemberId(2);
    return members;
  }

  core::Result<state::Answer> Drain(const std::string& aHost)
  {
    return group_->ProposeAndWait(
      state::SetDrain{ state::DrainTarget::Host, aHost, true, {} }, kLongest);
  }

  bool IsDraining(const std::string& aHost)
  {
    return group_->WithState([&](const auto& aState) {
      return aState.Drains().Draining(core::HostId(aHost));
    });
  }

  void SetFree(std::uint64_t aBytes)
  {
    files_.With([aBytes](auto& aFiles) { aFiles.SetFree(aBytes); });
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(A_member_whose_disk_is_full)

// Guards against proposals that use up the reserve of the log, and against a
// refusal that outlasts its cause.
BOOST_AUTO_TEST_CASE(refuses_proposals_until_there_is_room)
{
  LoneVoter member;
  BOOST_REQUIRE(member.Drain("before").Ok());
  member.SetFree(kWithinReserve);
  const auto refused = member.Drain("during");
  BOOST_REQUIRE(!refused.Ok());
  BOOST_TEST((refused.Failure().code_ == Errc::DiskFull));
  BOOST_TEST(member.refused_ == 1);
  BOOST_TEST(Eventually([&] { return member.group_->Status().storageFull_; }));
  BOOST_TEST(!member.IsDraining("during"));
  member.SetFree(core::kGibi);
  BOOST_TEST(member.Drain("after").Ok());
  BOOST_TEST(Eventually([&] { return !member.group_->Status().storageFull_; }));
  BOOST_TEST(member.IsDraining("before"));
  BOOST_TEST(!member.halted_);
}

// Guards against an alarm that only shows with the next proposal.
BOOST_AUTO_TEST_CASE(notices_it_and_its_end_without_a_proposal)
{
  LoneVoter member;
  member.SetFree(kWithinReserve);
  BOOST_TEST(Eventually([&] { return member.group_->Status().storageFull_; }));
  member.SetFree(core::kGibi);
  BOOST_TEST(Eventually([&] { return !member.group_->Status().storageFull_; }));
}

// Guards against a member that ends, or forgets what it accepted, when a write
// finds no space at all.
BOOST_AUTO_TEST_CASE(writes_what_it_accepted_once_there_is_room)
{
  LoneVoter member;
  BOOST_REQUIRE(member.Drain("before").Ok());
  // Held, so that the entry is accepted before the disk has become full.
  member.files_.Hold("/log/");
  core::Result<state::Answer> late = core::Error{ Errc::Timeout, {} };
  std::thread proposer([&] { late = member.Drain("late"); });
  BOOST_TEST(Eventually([&] { return member.files_.Holding(); }));
  member.SetFree(10);
  member.files_.Release();
  BOOST_TEST(Eventually([&] { return member.group_->Status().storageFull_; }));
  const int heartbeats = member.heartbeats_;
  BOOST_TEST(Eventually([&] { return member.heartbeats_ > heartbeats + 2; }));
  BOOST_TEST(!member.halted_);
  BOOST_TEST(!member.IsDraining("late"));
  member.SetFree(core::kGibi);
  proposer.join();
  BOOST_TEST(late.Ok());
  BOOST_TEST(member.IsDraining("late"));
  member.group_.reset();
  member.Start(false, kNoSnapshot);
  BOOST_TEST(Eventually([&] { return member.IsDraining("late"); }));
}

// Guards against an fsync error that is taken for a full disk and tried again.
BOOST_AUTO_TEST_CASE(halts_on_a_sync_error)
{
  LoneVoter member;
  member.files_.With([](auto& aFiles) { aFiles.FailSyncs(true); });
  BOOST_TEST(!member.Drain("never").Ok());
  BOOST_TEST(Eventually([&] { return member.halted_.load(); }));
  member.files_.With([](auto& aFiles) { aFiles.FailSyncs(false); });
  BOOST_TEST(!member.IsDraining("never"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(A_member_that_writes_a_snapshot)

// Guards against a disk that holds up heartbeats, and so forces an election,
// while a snapshot is written.
BOOST_AUTO_TEST_CASE(goes_on_with_heartbeats_and_proposals)
{
  LoneVoter member(5);
  member.files_.Hold("/snapshot/");
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(member.Drain(std::to_string(i)).Ok());
  }
  BOOST_TEST(Eventually([&] { return member.files_.Holding(); }));
  const int heartbeats = member.heartbeats_;
  BOOST_TEST(Eventually([&] { return member.heartbeats_ > heartbeats + 2; }));
  for (int i = 5; i < 12; ++i) {
    BOOST_TEST(member.Drain(std::to_string(i)).Ok());
  }
  const auto newest = [&] {
    return member.group_->NewestSnapshot().Value().value_or(core::LogIndex());
  };
  BOOST_TEST((newest() == core::LogIndex()));
  member.files_.Release();
  BOOST_TEST(Eventually([&] { return newest() > core::LogIndex(10); }));
  member.group_.reset();
  member.Start(false, kNoSnapshot);
  for (int i = 0; i < 12; ++i) {
    BOOST_TEST(
      Eventually([&] { return member.IsDraining(std::to_string(i)); }));
  }
}

// Guards against a snapshot of megabytes for every few small entries, and
// against large entries that fill the disk before there are many.
BOOST_AUTO_TEST_CASE(writes_it_after_so_many_bytes)
{
  LoneVoter member(kNoSnapshot, core::Bytes(64 * core::kKibi));
  const auto newest = [&] {
    return member.group_->NewestSnapshot().Value().value_or(core::LogIndex());
  };
  for (int i = 0; i < 100; ++i) {
    BOOST_TEST(member.Drain(std::to_string(i)).Ok());
  }
  BOOST_TEST((newest() == core::LogIndex()));
  const std::string table(70 * core::kKibi, 'x');
  BOOST_TEST(
    member.group_->ProposeAndWait(state::PublishRoutes{ 1, table }, kLongest)
      .Ok());
  BOOST_TEST(Eventually([&] { return newest() > core::LogIndex(100); }));
}

// Guards against a snapshot without its last bytes that counts as saved, and a
// member that ends, when the disk becomes full while it is written.
BOOST_AUTO_TEST_CASE(keeps_the_log_when_the_disk_becomes_full)
{
  LoneVoter member(5);
  member.files_.Hold("/snapshot/");
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(member.Drain(std::to_string(i)).Ok());
  }
  BOOST_TEST(Eventually([&] { return member.files_.Holding(); }));
  member.SetFree(100);
  member.files_.Release();
  BOOST_TEST(Eventually([&] { return !member.files_.Holding(); }));
  BOOST_TEST(Eventually([&] { return member.group_->Status().storageFull_; }));
  BOOST_TEST(!member.group_->NewestSnapshot().Value().has_value());
  BOOST_TEST(!member.halted_);
  member.SetFree(core::kGibi);
  BOOST_TEST(Eventually([&] { return member.Drain("after").Ok(); }));
  member.group_.reset();
  member.Start(false, kNoSnapshot);
  BOOST_TEST(Eventually([&] { return member.IsDraining("4"); }));
  BOOST_TEST(member.IsDraining("after"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(A_member_that_receives_a_snapshot)

// Guards against pieces of another cluster or group, damaged on their way, or
// with a size that no file has, that begin a file on disk.
BOOST_AUTO_TEST_CASE(refuses_pieces_that_are_not_for_it)
{
  LoneVoter member;
  control::MemberService service(*member.group_, "test", 1);
  wire::SnapshotChunk good;
  good.cluster = "test";
  good.group = 1;
  good.sender = 2;
  good.index = 100;
  good.total = 1000;
  good.data = "first part";
  good.checksum = static_cast<std::int64_t>(core::Hash64(good.data));
  std::vector<wire::SnapshotChunk> wrong(5, good);
  wrong[0].cluster = "other";
  wrong[1].group = 7;
  wrong[2].data = "First part";
  wrong[3].offset = -1;
  wrong[4].total = -1;
  for (const wire::SnapshotChunk& chunk : wrong) {
    BOOST_TEST(!service.installSnapshot(chunk));
  }
  const auto files = [&] {
    return member.files_.List("data/snapshot").Value().size();
  };
  BOOST_TEST(files() == 0U);
  BOOST_TEST(service.installSnapshot(good));
  BOOST_TEST(files() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
