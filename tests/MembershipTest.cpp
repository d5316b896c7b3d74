#define BOOST_TEST_MODULE Membership
#include <boost/test/unit_test.hpp>

#include "coordination/Membership.hpp"
#include "core/Random.hpp"
#include "state/DrainTable.hpp"

using namespace crocusslip;
using namespace crocusslip::coordination;
using namespace std::chrono_literals;

namespace {

core::MonotonicTime
At(core::Duration aTime)
{
  return core::MonotonicTime(aTime);
}

const core::ServerId kServer("runner-1");
const core::HostId kHost("host-1");

struct Fixture
{
  Membership membership_;
  std::uint64_t listVersion_ = 0;

  Fixture()
  {
    membership_.SetServers({ { kServer, kHost, core::FailureDomainId("a") } });
    List(Standing::Live, 0s);
  }
  void List(Standing aStanding, core::Duration aNow)
  {
    membership_.OnHostList({ ++listVersion_, { { kHost, aStanding } } },
                           At(aNow));
  }
  Standing ServerStanding() const
  {
    return membership_.Server(kServer).standing_;
  }
};

state::DrainTable
Drains(state::DrainTarget aTarget, const std::string& aId)
{
  state::DrainTable drains;
  drains.Set({ aTarget, aId, true, core::OperatorId("rania") }, {});
  return drains;
}

} // namespace

BOOST_AUTO_TEST_SUITE(The_membership_view)

BOOST_AUTO_TEST_SUITE(of_a_server_with_a_single_reason_to_leave)

// Guards against new work for a leaving server that only one source
// reports: each reason alone takes effect at once.
BOOST_AUTO_TEST_CASE(excludes_it_from_new_work)
{
  const auto checkLeavingAfter = [](auto aReport) {
    Fixture fixture;
    BOOST_TEST(fixture.membership_.MayReceiveWork(kServer));
    const std::uint64_t version = fixture.membership_.Version();
    aReport(fixture);
    BOOST_TEST(!fixture.membership_.MayReceiveWork(kServer));
    BOOST_TEST((fixture.ServerStanding() == Standing::Leaving));
    BOOST_TEST(fixture.membership_.Version() > version);
    const auto since = fixture.membership_.Server(kServer).LeavingSince();
    BOOST_REQUIRE(since.has_value());
    BOOST_TEST((*since == At(5s)));
  };
  checkLeavingAfter(
    [](Fixture& aFixture) { aFixture.List(Standing::Leaving, 5s); });
  checkLeavingAfter([](Fixture& aFixture) {
    aFixture.membership_.OnHostList({ 9, {} }, At(5s));
  });
  checkLeavingAfter([](Fixture& aFixture) {
    aFixture.membership_.OnDrains(
      Drains(state::DrainTarget::Server, kServer.Value()), At(5s));
  });
  checkLeavingAfter([](Fixture& aFixture) {
    aFixture.membership_.OnDrains(
      Drains(state::DrainTarget::Host, kHost.Value()), At(5s));
  });
  checkLeavingAfter([](Fixture& aFixture) {
    aFixture.membership_.OnRequestOutcomes(kServer, { 0, 1, 7 }, At(5s));
  });
  checkLeavingAfter([](Fixture& aFixture) {
    aFixture.membership_.OnRequestOutcomes(kServer, { 1, 0, 0 }, At(5s));
  });
}

// Guards against a lagging source that withdraws another source's reason.
BOOST_FIXTURE_TEST_CASE(keeps_the_reason_until_its_own_source_withdraws_it,
                        Fixture)
{
  membership_.OnRequestOutcomes(kServer, { 0, 1, 0 }, At(1s));
  List(Standing::Live, 2s);
  membership_.OnDrains({}, At(2s));
  membership_.OnRequestOutcomes(kServer, { 0, 0, 5 }, At(2s));
  membership_.OnServerAnswered(kServer, "1", At(60s));
  BOOST_TEST((ServerStanding() == Standing::Leaving));
  membership_.OnServerAnswered(kServer, "2", At(61s));
  BOOST_TEST((ServerStanding() == Standing::Live));
}

// Guards against a later reason that replaces the time at which the server
// began to leave.
BOOST_FIXTURE_TEST_CASE(dates_the_leaving_from_the_earliest_reason, Fixture)
{
  membership_.OnRequestOutcomes(kServer, { 0, 1, 0 }, At(4s));
  List(Standing::Leaving, 2s + 5s);
  membership_.OnRequestOutcomes(kServer, { 0, 1, 0 }, At(9s));
  const LivenessView view = membership_.Server(kServer);
  BOOST_TEST((*view.LeavingSince() == At(4s)));
  BOOST_TEST(view.reasons_.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_a_stale_host_list)

// Guards against leaving servers that go unnoticed because the host list is no
// longer updated.
BOOST_FIXTURE_TEST_CASE(still_detects_leaving_servers, Fixture)
{
  BOOST_TEST(!membership_.IsHostListStale(At(29s)));
  BOOST_TEST(membership_.IsHostListStale(At(30s)));
  membership_.OnRequestOutcomes(kServer, { 3, 0, 0 }, At(40s));
  BOOST_TEST((ServerStanding() == Standing::Leaving));
}

// Guards against an old version of the list that arrives late.
BOOST_FIXTURE_TEST_CASE(ignores_an_older_version_of_it, Fixture)
{
  membership_.OnHostList({ 8, { { kHost, Standing::Leaving } } }, At(1s));
  membership_.OnHostList({ 7, { { kHost, Standing::Live } } }, At(2s));
  membership_.OnHostList({ 8, { { kHost, Standing::Live } } }, At(3s));
  BOOST_TEST((ServerStanding() == Standing::Leaving));
  membership_.OnHostList({ 9, { { kHost, Standing::Live } } }, At(4s));
  BOOST_TEST((ServerStanding() == Standing::Live));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against releasing a server's memory because its host is merely missing
// from the list.
BOOST_FIXTURE_TEST_CASE(reports_a_server_gone_only_when_reclaimed, Fixture)
{
  membership_.OnHostList({ 8, {} }, At(1s));
  BOOST_TEST(membership_.GoneServers().empty());
  membership_.OnHostList({ 9, { { kHost, Standing::Gone } } }, At(2s));
  BOOST_TEST((ServerStanding() == Standing::Gone));
  BOOST_TEST(membership_.GoneServers().size() == 1U);
}

// Guards against excluding a server for good after one refused connection, and
// against treating an overloaded server as leaving.
BOOST_FIXTURE_TEST_CASE(readmits_a_server_that_answers_after_refusals, Fixture)
{
  membership_.OnRequestOutcomes(kServer, { 2, 0, 3 }, At(1s));
  BOOST_TEST((ServerStanding() == Standing::Live));
  membership_.OnRequestOutcomes(kServer, { 2, 0, 0 }, At(2s));
  membership_.OnServerAnswered(kServer, "1", At(4s));
  BOOST_TEST((ServerStanding() == Standing::Leaving));
  membership_.OnServerAnswered(kServer, "1", At(5s));
  BOOST_TEST((ServerStanding() == Standing::Live));
}

BOOST_AUTO_TEST_SUITE(of_the_systems_processes)

// Guards against a dead entry host that is still counted.
BOOST_AUTO_TEST_CASE(shows_missed_heartbeats_and_announced_shutdown)
{
  Membership membership;
  membership.OnHeartbeat(kHost, false, At(1s));
  BOOST_TEST(!membership.Process(kHost, At(4s - 1ns)).silent_);
  BOOST_TEST(membership.Process(kHost, At(4s)).silent_);
  membership.OnHeartbeat(kHost, true, At(5s));
  membership.OnHeartbeat(kHost, true, At(6s));
  const ProcessView view = membership.Process(kHost, At(6s));
  BOOST_TEST((view.member_.standing_ == Standing::Leaving));
  BOOST_TEST((*view.member_.LeavingSince() == At(5s)));
  membership.OnHeartbeat(kHost, false, At(7s));
  BOOST_TEST(
    (membership.Process(kHost, At(7s)).member_.standing_ == Standing::Live));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
