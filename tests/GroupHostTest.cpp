#define BOOST_TEST_MODULE GroupHost
#include <boost/test/unit_test.hpp>

#include "support/GroupFixture.hpp"

using namespace crocusslip;
using namespace crocusslip::tests;

BOOST_AUTO_TEST_SUITE(AGroupThatNobodyDescribes)

BOOST_FIXTURE_TEST_CASE(FormsOfItsSeedsAndTakesInTheOthers, GroupFixture)
{
  Start(5);
  BOOST_TEST(Await([&] { return Voters() == 5; }));
  BOOST_TEST(Publish(4));
  for (std::size_t i = 0; i < 5; ++i) {
    BOOST_TEST(Await([&] { return VersionAt(i) == 4; }));
  }
}

// The disk holds what was acknowledged; an empty one must not vote as the
// member that it replaces.
BOOST_FIXTURE_TEST_CASE(ReplacesAMemberThatLostItsDisk, GroupFixture)
{
  Start(3);
  BOOST_REQUIRE(Await([&] { return Voters() == 3; }));
  BOOST_REQUIRE(Publish(7));
  members_[2].reset();
  std::filesystem::remove_all(folders_[2]);
  std::filesystem::create_directory(folders_[2]);
  Restart(2, false);
  BOOST_TEST(Await([&] {
    const auto group = members_[2]->group_->Current();
    Member* leader = Leader();
    if (!group || leader == nullptr || VersionAt(2) != 7) {
      return false;
    }
    const auto members = leader->group_->Current()->Status().members_;
    return members.VoterCount() == 3 && members.highestId_.Value() > 3;
  }));
}

BOOST_FIXTURE_TEST_CASE(KeepsWhatWasAcknowledgedOverAStopOfAll, GroupFixture)
{
  Start(3);
  BOOST_REQUIRE(Await([&] { return Voters() == 3; }));
  BOOST_REQUIRE(Publish(9));
  for (auto& member : members_) {
    member.reset();
  }
  for (std::size_t i = 0; i < 3; ++i) {
    Restart(i, false);
  }
  BOOST_TEST(Await([&] {
    Member* leader = Leader();
    return leader != nullptr &&
           leader->group_->Current()->WithState(
             [](const auto& aState) { return aState.Routes().Version(); }) == 9;
  }));
}

BOOST_FIXTURE_TEST_CASE(TellsHostsWhichPartOfPromptsCrashesServers,
                        GroupFixture)
{
  constexpr std::int64_t kPart = 7;
  Start(1);
  BOOST_REQUIRE(Await([&] { return Leader() != nullptr; }));
  Member& leader = *Leader();
  leader.controller_->Start();
  const auto sync = [&](const wire::SyncRequest& aRequest) {
    leader.loop_.run_for(20ms);
    wire::SyncReply reply;
    leader.controller_->Sync(aRequest, reply);
    return reply;
  };
  BOOST_REQUIRE(Await([&] { return sync({}).leader; }));
  wire::SyncRequest report;
  report.host = "e1";
  for (int i = 1; i <= 3; ++i) {
    wire::Crash& crash = report.crashes.emplace_back();
    crash.request.low = i;
    crash.server = "s" + std::to_string(i);
    crash.parts = { kPart };
    crash.ageMs = 4000 - 1000 * i;
  }
  BOOST_TEST(sync(report).heldParts.empty());
  wire::SyncRequest others;
  others.host = "e2";
  others.starts = 20;
  BOOST_TEST(
    Await([&] { return sync(others).heldParts == std::vector{ kPart }; }));
  others.startedParts = { kPart };
  BOOST_TEST(sync(others).heldParts.empty());
}

BOOST_AUTO_TEST_SUITE_END()
