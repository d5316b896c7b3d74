#define BOOST_TEST_MODULE LogStore
#include <boost/test/unit_test.hpp>

#include "state/MemberStorage.hpp"
#include "tests/support/FaultyFileSystem.hpp"

#include <string>
#include <vector>

using namespace crocusslip;
using core::Errc;
using core::LogIndex;
using core::Term;
using state::EntryKind;
using state::LogEntry;
using state::LogStore;
using state::SnapshotMeta;
using tests::FaultyFileSystem;

namespace {

constexpr const char* kFolder = "data/log";
constexpr const char* kFirstSegment = "data/log/00000000000000000001.seg";
const state::LogStoreLimits kSmallSegments{ core::Bytes(300), core::Bytes(0) };

LogEntry
Entry(std::uint64_t aIndex, std::uint64_t aTerm = 1)
{
  return { Term(aTerm),
           LogIndex(aIndex),
           EntryKind::Command,
           "payload " + std::to_string(aIndex) };
}

std::vector<LogEntry>
Entries(std::uint64_t aFirst, std::uint64_t aLast, std::uint64_t aTerm = 1)
{
  std::vector<LogEntry> result;
  for (std::uint64_t index = aFirst; index <= aLast; ++index) {
    result.push_back(Entry(index, aTerm));
  }
  return result;
}

struct Disk
{
  FaultyFileSystem files_;
  core::Random random_{ 1 };

  std::unique_ptr<LogStore> Open(const SnapshotMeta& aSnapshot = {},
                                 state::LogStoreLimits aLimits = {})
  {
    auto store = LogStore::Open(files_, kFolder, aSnapshot, aLimits);
    if (!store) {
      BOOST_FAIL(store.Failure().Message());
    }
    return std::move(store.Value());
  }
  Errc OpenFailure(const SnapshotMeta& aSnapshot = {})
  {
    auto store = LogStore::Open(files_, kFolder, aSnapshot);
    BOOST_REQUIRE(!store.Ok());
    return static_cast<Errc>(store.Failure().code_.value());
  }
  void Fill(std::uint64_t aLast, state::LogStoreLimits aLimits = {})
  {
    auto store = Open({}, aLimits);
    for (std::uint64_t index = 1; index <= aLast; ++index) {
      BOOST_REQUIRE(store->Write({}, { Entry(index) }).Ok());
      BOOST_REQUIRE(store->Sync().Ok());
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(A_log_on_disk, Disk)

BOOST_AUTO_TEST_SUITE(after_a_crash)

// Guards against acknowledged entries that are gone after a power loss.
BOOST_AUTO_TEST_CASE(has_every_synced_entry_and_no_damaged_one)
{
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    FaultyFileSystem files;
    core::Random random(seed);
    const std::uint64_t synced = 1 + random.Below(20);
    const std::uint64_t written = synced + random.Below(10);
    {
      auto store = LogStore::Open(files, kFolder, {}, kSmallSegments);
      BOOST_REQUIRE(store.Ok());
      BOOST_REQUIRE(store.Value()->Write({}, Entries(1, synced)).Ok());
      BOOST_REQUIRE(store.Value()->Sync().Ok());
      BOOST_REQUIRE(
        store.Value()->Write({}, Entries(synced + 1, written)).Ok());
    }
    files.Crash(random);
    auto store = LogStore::Open(files, kFolder, {}, kSmallSegments);
    BOOST_REQUIRE_MESSAGE(store.Ok(), "seed " << seed);
    const auto entries = store.Value()->TakeEntries();
    BOOST_TEST(entries.size() >= synced);
    BOOST_TEST((entries == Entries(1, entries.size())));
  }
}

// Guards against replaced entries that return next to those replacing them.
BOOST_AUTO_TEST_CASE(never_mixes_replaced_entries_with_new_ones)
{
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    FaultyFileSystem files;
    core::Random random(seed);
    const std::uint64_t cut = 1 + random.Below(20);
    {
      auto store = LogStore::Open(files, kFolder, {}, kSmallSegments);
      BOOST_REQUIRE(store.Ok());
      for (std::uint64_t index = 1; index <= 20; ++index) {
        BOOST_REQUIRE(store.Value()->Write({}, { Entry(index) }).Ok());
        BOOST_REQUIRE(store.Value()->Sync().Ok());
      }
      BOOST_REQUIRE(
        store.Value()->Write(LogIndex(cut), Entries(cut, cut + 5, 2)).Ok());
      if (random.Chance(0.5)) {
        BOOST_REQUIRE(store.Value()->Sync().Ok());
      }
    }
    files.Crash(random);
    auto store = LogStore::Open(files, kFolder, {}, kSmallSegments);
    BOOST_REQUIRE_MESSAGE(store.Ok(), "seed " << seed);
    Term last;
    for (const LogEntry& entry : store.Value()->TakeEntries()) {
      BOOST_TEST((entry.term_ >= last));
      BOOST_TEST((entry.term_ == Term(1) || entry.index_ >= LogIndex(cut)));
      last = entry.term_;
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_is_damaged)

// Guards against a start that hashes the rest of the segment for each header
// that a torn text contains: hours, and beyond the test's time limit, for this.
BOOST_AUTO_TEST_CASE(cuts_a_torn_tail_full_of_headers)
{
  constexpr std::size_t kTail = 24UL * 1024 * 1024;
  // Length 12 MiB, type, version, magic; the checksum is wrong.
  const std::string header =
    std::string("\0\0\xc0\0\0\1\xa7\xc5", 8) + std::string(24, '\0');
  std::string tail;
  while (tail.size() < kTail) {
    tail += header;
  }
  Disk disk;
  {
    const auto log = disk.Open();
    BOOST_REQUIRE(log->Write(std::nullopt, Entries(1, 3)).Ok());
    BOOST_REQUIRE(log->Sync().Ok());
  }
  BOOST_REQUIRE(
    disk.files_.OpenAppend(kFirstSegment).Value()->Append(tail).Ok());
  BOOST_TEST(disk.Open()->TakeEntries().size() == 3);
}

// Guards against cutting off acknowledged entries as if they were a torn tail.
BOOST_AUTO_TEST_CASE(refuses_a_flipped_bit_in_any_synced_record)
{
  Fill(5);
  const std::uint64_t synced = files_.Size(kFirstSegment).Value() -
                               32 /* the last mark, not itself synced */;
  for (std::uint64_t offset = 0; offset < synced; ++offset) {
    files_.FlipBit(kFirstSegment, offset);
    BOOST_TEST((OpenFailure() == Errc::Corrupt), "offset " << offset);
    files_.FlipBit(kFirstSegment, offset);
  }
  BOOST_TEST(Open()->TakeEntries().size() == 5U);
}

// Guards against starting with a hole in the log.
BOOST_AUTO_TEST_CASE(refuses_a_missing_segment)
{
  Fill(30, kSmallSegments);
  const auto names = files_.List(kFolder).Value();
  BOOST_REQUIRE(names.size() > 2U);
  BOOST_REQUIRE(files_.Remove(std::string(kFolder) + "/" + names[1]).Ok());
  BOOST_TEST((OpenFailure() == Errc::Corrupt));
}

// Guards against starting with a log whose beginning is missing.
BOOST_AUTO_TEST_CASE(refuses_a_gap_after_the_snapshot)
{
  Fill(30, kSmallSegments);
  const auto names = files_.List(kFolder).Value();
  BOOST_REQUIRE(files_.Remove(std::string(kFolder) + "/" + names[0]).Ok());
  BOOST_TEST((OpenFailure() == Errc::Corrupt));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(on_a_failing_disk)

// Guards against going on after the kernel has dropped unsynced pages.
BOOST_AUTO_TEST_CASE(stays_unusable_after_a_failed_sync)
{
  auto store = Open();
  BOOST_REQUIRE(store->Write({}, { Entry(1) }).Ok());
  files_.FailSyncs(true);
  BOOST_TEST((store->Sync().Failure().code_ == Errc::SyncFailed));
  files_.FailSyncs(false);
  BOOST_TEST(!store->Write({}, { Entry(2) }).Ok());
  BOOST_TEST(!store->Sync().Ok());
}

// Guards against a full disk that costs entries or leaves half a record.
BOOST_AUTO_TEST_CASE(loses_nothing_when_the_disk_is_full)
{
  auto store = Open();
  BOOST_REQUIRE(store->Write({}, Entries(1, 3)).Ok());
  BOOST_REQUIRE(store->Sync().Ok());
  files_.SetFree(70);
  BOOST_TEST(!store->HasRoomFor(core::Bytes(100)));
  BOOST_TEST(
    (store->Write({}, Entries(4, 9)).Failure().code_ == Errc::DiskFull));
  BOOST_TEST((store->LastIndex() == LogIndex(3)));
  files_.SetFree(core::kMebi);
  BOOST_REQUIRE(store->Write({}, Entries(4, 9)).Ok());
  BOOST_REQUIRE(store->Sync().Ok());
  store.reset();
  BOOST_TEST((Open()->TakeEntries() == Entries(1, 9)));
}

// Guards against a process that ends while it waits for room after a snapshot
// has replaced its log: entries before it may still have to be synced.
BOOST_AUTO_TEST_CASE(begins_anew_after_a_snapshot_once_there_is_room)
{
  auto store = Open();
  BOOST_REQUIRE(store->Write({}, Entries(1, 3)).Ok());
  files_.SetCanCreate(false);
  BOOST_TEST((store->Reset(LogIndex(7)).Failure().code_ == Errc::DiskFull));
  BOOST_TEST(store->Sync().Ok());
  files_.SetCanCreate(true);
  BOOST_REQUIRE(store->Reset(LogIndex(7)).Ok());
  BOOST_REQUIRE(store->Write({}, Entries(8, 9)).Ok());
  BOOST_REQUIRE(store->Sync().Ok());
  store.reset();
  BOOST_TEST(
    (Open({ LogIndex(7), Term(1), {} })->TakeEntries() == Entries(8, 9)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(beside_a_snapshot)

// Guards against applying entries twice that a snapshot covers.
BOOST_AUTO_TEST_CASE(gives_only_the_entries_after_it)
{
  Fill(30, kSmallSegments);
  const SnapshotMeta meta{ LogIndex(17), Term(1), {} };
  auto store = Open(meta, kSmallSegments);
  BOOST_TEST((store->TakeEntries() == Entries(18, 30)));
  BOOST_REQUIRE(store->CompactThrough(LogIndex(17)).Ok());
  BOOST_TEST((store->FirstIndex() > LogIndex(1)));
  store.reset();
  BOOST_TEST((Open(meta)->TakeEntries() == Entries(18, 30)));
}

// Guards against entries of a replaced log that follow a received snapshot
// after a crash in the middle of the replacement.
BOOST_AUTO_TEST_CASE(drops_a_log_that_differs_from_it)
{
  Fill(30, kSmallSegments);
  auto store = Open({ LogIndex(17), Term(2), {} });
  BOOST_TEST(store->TakeEntries().empty());
  BOOST_TEST((store->LastIndex() == LogIndex(17)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(A_data_folder)

// Guards against a member that starts with the data of another member.
BOOST_AUTO_TEST_CASE(is_refused_by_another_member_or_cluster)
{
  FaultyFileSystem files;
  core::Random random(1);
  state::MemberIdentity identity{ "haddad", 0, core::MemberId(1), "" };
  const auto own = state::ClaimFolder(files, "data", identity, random);
  BOOST_REQUIRE(own.Ok());
  const auto again = state::ClaimFolder(files, "data", identity, random);
  BOOST_TEST((again.Value() == own.Value()));
  identity.member_ = core::MemberId(2);
  BOOST_TEST(
    (state::ClaimFolder(files, "data", identity, random).Failure().code_ ==
     Errc::WrongIdentity));
  identity = { "massa-fina", 0, core::MemberId(1), "" };
  BOOST_TEST(
    (state::ClaimFolder(files, "data", identity, random).Failure().code_ ==
     Errc::WrongIdentity));
}

// Guards against an older program that misreads a newer folder.
BOOST_AUTO_TEST_CASE(is_refused_when_written_by_a_newer_version)
{
  FaultyFileSystem files;
  core::Random random(1);
  BOOST_REQUIRE(
    state::ReplaceFile(files, "data", "identity", R"({"version": 2})").Ok());
  BOOST_TEST((state::ClaimFolder(
                files, "data", { "haddad", 0, core::MemberId(1), "" }, random)
                .Failure()
                .code_ == Errc::NewerVersion));
}

// Guards against a member that votes twice in a term after a power loss.
BOOST_AUTO_TEST_CASE(keeps_the_last_saved_vote)
{
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    FaultyFileSystem files;
    core::Random random(seed);
    state::VoteStore votes(files, "data");
    const state::HardState first{ Term(3), core::MemberId(1) };
    BOOST_REQUIRE(votes.Save(first).Ok());
    files.Crash(random);
    BOOST_TEST((votes.Load().Value() == first));
    files.FailSyncs(true);
    BOOST_TEST(!votes.Save({ Term(4), core::MemberId(2) }).Ok());
    files.FailSyncs(false);
    files.Crash(random);
    BOOST_TEST((votes.Load().Value() == first));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(A_snapshot)

struct Snapshots
{
  FaultyFileSystem files_;
  core::Random random_{ 1 };
  state::SnapshotStore store_{ files_, "data/snapshot" };
  SnapshotMeta meta_{ LogIndex(7), Term(2), {} };
  std::string content_ = std::string(3 * core::kMebi / 2, 'x');
};

// Guards against a snapshot that is taken for complete after a crash.
BOOST_FIXTURE_TEST_CASE(survives_a_crash_whole_or_not_at_all, Snapshots)
{
  BOOST_REQUIRE(store_.Save(meta_, content_).Ok());
  files_.FailSyncs(true);
  BOOST_TEST(!store_.Save({ LogIndex(9), Term(2), {} }, "newer").Ok());
  files_.FailSyncs(false);
  files_.Crash(random_);
  BOOST_REQUIRE(store_.Open().Ok());
  const auto newest = store_.LoadNewest().Value();
  BOOST_REQUIRE(newest.has_value());
  BOOST_TEST((newest->meta_ == meta_));
  BOOST_TEST(newest->content_ == content_);
}

// Guards against restoring damaged content.
BOOST_FIXTURE_TEST_CASE(is_refused_when_damaged, Snapshots)
{
  BOOST_REQUIRE(store_.Save(meta_, content_).Ok());
  files_.FlipBit("data/snapshot/00000000000000000007.snap", core::kMebi);
  BOOST_TEST((store_.LoadNewest().Failure().code_ == Errc::Corrupt));
}

// Guards against a transfer that is completed with a part missing.
BOOST_FIXTURE_TEST_CASE(is_received_in_order_and_verified, Snapshots)
{
  BOOST_REQUIRE(store_.Save(meta_, content_).Ok());
  FaultyFileSystem otherFiles;
  state::SnapshotStore other(otherFiles, "data/snapshot");
  constexpr std::uint64_t kPiece = 400 * core::kKibi;
  const auto piece = [this](std::uint64_t aOffset) {
    return store_.ReadPiece(meta_.index_, aOffset, kPiece).Value();
  };
  BOOST_REQUIRE(other.AddPiece(piece(0)).Ok());
  BOOST_TEST(
    (other.AddPiece(piece(2 * kPiece)).Failure().code_ == Errc::Conflict));
  for (std::uint64_t at = kPiece; at < 4 * kPiece; at += kPiece) {
    const auto result = other.AddPiece(piece(at));
    BOOST_REQUIRE(result.Ok());
    BOOST_TEST(result.Value().has_value() == (at == 3 * kPiece));
  }
  BOOST_TEST(other.LoadNewest().Value()->content_ == content_);
}

// Guards against parts of snapshots that fill the disk for good: the space that
// they take is missed by the log, and nobody removes them before a restart.
BOOST_FIXTURE_TEST_CASE(leaves_no_part_behind_on_a_full_disk, Snapshots)
{
  files_.SetFree(core::kMebi);
  BOOST_TEST((store_.Save(meta_, content_).Failure().code_ == Errc::DiskFull));
  BOOST_TEST(files_.FreeSpace("data").Value().Count() == core::kMebi);

  files_.SetFree(core::kGibi);
  BOOST_REQUIRE(store_.Save(meta_, content_).Ok());
  FaultyFileSystem otherFiles;
  state::SnapshotStore other(otherFiles, "data/snapshot");
  constexpr std::uint64_t kPiece = 400 * core::kKibi;
  const auto piece = [this](std::uint64_t aOffset) {
    return store_.ReadPiece(meta_.index_, aOffset, kPiece).Value();
  };
  otherFiles.SetFree(core::kMebi);
  BOOST_REQUIRE(other.AddPiece(piece(0)).Ok());
  BOOST_REQUIRE(other.AddPiece(piece(kPiece)).Ok());
  BOOST_TEST(
    (other.AddPiece(piece(2 * kPiece)).Failure().code_ == Errc::DiskFull));
  BOOST_TEST(otherFiles.FreeSpace("data").Value().Count() == core::kMebi);
}

BOOST_AUTO_TEST_SUITE_END()
