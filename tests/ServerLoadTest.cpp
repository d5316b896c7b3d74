#define BOOST_TEST_MODULE ServerLoad
#include <boost/test/unit_test.hpp>

#include "coordination/FleetTable.hpp"
#include "protocol/LoadHeader.hpp"
#include "support/GatewayFixture.hpp"

using namespace crocusslip;
using namespace crocusslip::tests;

namespace {

constexpr core::MonotonicTime kStart{ 1h };
const core::ServerId kServer("s1");
const core::HostId kHost("h1");

struct TableFixture
{
  coordination::FleetTable table_;

  TableFixture()
  {
    coordination::ListedServer listed;
    listed.server_ = kServer;
    listed.service_ = coordination::ServiceName("llm");
    listed.slots_ = 12;
    table_.OnList({ listed }, kStart);
  }
  void Sight(std::uint32_t aPace, core::Duration aAt)
  {
    table_.OnLoadSighting(kServer, { 3, 1, 12, aPace, kStart + aAt });
  }
  std::uint32_t Published() const
  {
    return table_.RowsFor(kHost, 0)[0].pacePercent_;
  }
};

struct LoadedGateway : GatewayFixture
{
  core::Duration took_{ 0 };

  transport::WholeAnswer CallModel()
  {
    const auto until = std::chrono::steady_clock::now() + kTestTimeout;
    while (!gateway_->Ready() && std::chrono::steady_clock::now() < until) {
      loop_.run_for(10ms);
    }
    loop_.run_for(300ms);
    bool done = false;
    transport::WholeAnswer received;
    const core::MonotonicTime begin = clock_.Now();
    transport::Spawn(loop_, [&]() -> Task<void> {
      HttpRequest request = Request("/model/a");
      request.set("Model", "m1");
      request.set("Tokens", "100,50");
      auto answer =
        co_await transport::CallOnce(loop_, callerAddress_, request, 5s);
      if (answer.Ok()) {
        received = std::move(answer.Value());
      }
      took_ = clock_.Now() - begin;
      done = true;
    });
    RunUntil(done);
    return received;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ALoadHeader)

BOOST_AUTO_TEST_CASE(IsReadWithAndWithoutAPace)
{
  const auto paced = protocol::ParseLoadHeader("7, 2,12,130");
  BOOST_REQUIRE(paced.has_value());
  BOOST_TEST(paced->running_ == 7U);
  BOOST_TEST(paced->queued_ == 2U);
  BOOST_TEST(paced->slots_ == 12U);
  BOOST_TEST(paced->pacePercent_ == 130U);
  BOOST_TEST(protocol::ParseLoadHeader("7,2,12")->pacePercent_ == 0U);
}

// Guards the choice of servers against a server that says nonsense.
BOOST_AUTO_TEST_CASE(IsIgnoredIfItIsOdd)
{
  for (const char* text : { "",
                            ",",
                            "7",
                            "7,2",
                            "7,2,",
                            "-7,2,12",
                            "7,2,x",
                            "7;2;12",
                            "4294967297,2,12",
                            "200000,2,12",
                            "7.5,2,12" }) {
    BOOST_TEST(!protocol::ParseLoadHeader(text).has_value(), text);
  }
  for (const char* text : { "7,2,12,",
                            "7,2,12,-5",
                            "7,2,12,0",
                            "7,2,12,99999999",
                            "7,2,12,nan" }) {
    BOOST_TEST(protocol::ParseLoadHeader(text)->pacePercent_ == 0U, text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AFleetTable, TableFixture)

BOOST_AUTO_TEST_CASE(KeepsTheNewestOfAllHosts)
{
  Sight(150, 1s);
  Sight(400, 0s);
  BOOST_TEST(Published() == 150U);
}

// Guards the leader: the pace changes many times a second, and each change
// would be sent to all hosts.
BOOST_AUTO_TEST_CASE(DoesNotPublishTheChangesOfAMoment)
{
  Sight(100, 0s);
  const std::uint64_t version = table_.Version();
  for (int i = 1; i <= 100; ++i) {
    Sight(i % 2 == 0 ? 80 : 120, i * 20ms);
  }
  BOOST_TEST(table_.Version() == version);
  for (int i = 1; i <= 200; ++i) {
    Sight(180, 2s + i * 20ms);
  }
  BOOST_TEST(Published() >= 168U);
  BOOST_TEST(table_.Version() < version + 12);
}

// Guards deployments whose servers name no pace: their rows change as before.
BOOST_AUTO_TEST_CASE(PublishesNothingWithoutAPace)
{
  const std::uint64_t version = table_.Version();
  Sight(0, 1s);
  BOOST_TEST(table_.Version() == version);
  std::map<core::ServerId, coordination::HostUsage> uses;
  uses[kServer].inFlight_ = 2;
  table_.OnUsage(kHost, uses, kStart);
  BOOST_TEST(table_.Version() == version);
  Sight(100, 2s);
  table_.OnUsage(core::HostId("h2"), uses, kStart);
  BOOST_TEST(table_.RowsFor(kHost, version)[0].othersInFlight_ == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AGateway, LoadedGateway)

BOOST_AUTO_TEST_CASE(ReportsWhatAServerSaid)
{
  StartServer("s1", Respond(kSignedSuccess + "\r\nLoad: 3,1,12,140", "hello"));
  BOOST_TEST(Call("/once/a").status_ == 200U);
  loop_.run_for(400ms);
  const auto loads = fleet_->ReportedLoads();
  BOOST_REQUIRE(loads.size() == 1U);
  BOOST_TEST(loads[0].running == 3);
  BOOST_TEST(loads[0].queued == 1);
  BOOST_TEST(loads[0].pacePercent == 140);
}

BOOST_AUTO_TEST_CASE(ServesAnswersWithAnOddLoad)
{
  StartServer("s1",
              Respond(kSignedSuccess + "\r\nLoad: x,-1,99999999999", "hello"));
  BOOST_TEST(Call("/once/a").status_ == 200U);
  BOOST_TEST(Call("/once/a").status_ == 200U);
  BOOST_TEST(fleet_->ReportedLoads().empty());
}

// Guards against refusals after the caller's patience.
BOOST_AUTO_TEST_CASE(RefusesAtOnceWhatCannotBegin)
{
  StartServer("s1", Respond(kSignedSuccess, "hello"), "llm");
  fleet_->FillEngines("m1");
  // 2 requests begin in a second, and callers bear 2 s less 0.4 s.
  fleet_->SetLine("m1", 40, 2000);
  const auto answer = CallModel();
  BOOST_TEST(answer.status_ == 503U);
  BOOST_TEST(std::stod(std::string(answer.fields_["Retry-After"])) == 19.2,
             boost::test_tools::tolerance(0.02));
  BOOST_TEST(arrivals_ == 0);
  BOOST_TEST((took_ < 500ms));
}

// Guards against refusals of what can begin.
BOOST_AUTO_TEST_CASE(KeepsWhatCanBegin)
{
  StartServer("s1", Respond(kSignedSuccess, "hello"), "llm");
  fleet_->FillEngines("m1");
  fleet_->SetLine("m1", 40, 60'000);
  BOOST_TEST(CallModel().status_ == 503U);
  BOOST_TEST((took_ > 1500ms));
  fleet_->SetOthersInFlight("s1", 0);
  loop_.run_for(300ms);
  // A long line is no reason while a place is free.
  fleet_->SetLine("m1", 4000, 2000);
  loop_.run_for(300ms);
  CallModel();
  BOOST_TEST(arrivals_ > 0);
}

BOOST_AUTO_TEST_SUITE_END()
