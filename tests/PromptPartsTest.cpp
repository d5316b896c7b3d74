#define BOOST_TEST_MODULE PromptParts
#include <boost/test/unit_test.hpp>

#include "coordination/PromptGuard.hpp"
#include "support/GatewayFixture.hpp"

#include <algorithm>

using namespace crocusslip;
using namespace crocusslip::tests;

namespace {

const std::string kDeadly = "f00d:200,dead:100,1:50";
const std::string kSound = "f00d:200,beef:100,2:50";

std::int64_t
PartOf(const std::string& aName)
{
  return static_cast<std::int64_t>(
    coordination::SharedPartsOf(aName + ":1,own:1").front());
}

struct Fixture : GatewayFixture
{
  /// Runs the loop until aCondition holds.
  template<typename Condition>
  void Await(const Condition& aCondition)
  {
    const auto until = std::chrono::steady_clock::now() + kTestTimeout;
    while (!aCondition() && std::chrono::steady_clock::now() < until) {
      loop_.run_for(10ms);
    }
    BOOST_REQUIRE(aCondition());
  }
  void Hold(const std::string& aPart)
  {
    fleet_->SetHeldParts({ PartOf(aPart) });
    StartServer("s1", StreamOneEvent(), "llm");
    Await([&] { return Call("/model/a", kDeadly).status_ == 503U; });
  }
  /// Whether a crash was reported with exactly these parts.
  bool Reported(const std::vector<std::int64_t>& aParts)
  {
    return std::ranges::any_of(fleet_->Crashes(), [&](const auto& aCrash) {
      return aCrash.parts == aParts;
    });
  }
  static RequestHandler StreamOneEvent()
  {
    return [](transport::CallerLink& aLink, const HttpRequest&) -> Task<void> {
      co_await aLink.WriteRaw("HTTP/1.1 " + kSignedSuccess +
                              "\r\nTransfer-Encoding: chunked\r\n\r\n" +
                              Chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n");
    };
  }
  RequestHandler BreakAfter(const std::string& aBytes)
  {
    return [this, aBytes](transport::CallerLink& aLink,
                          const HttpRequest&) -> Task<void> {
      co_await aLink.WriteRaw(aBytes);
      // A reset may overtake bytes that were not read yet.
      transport::asio::steady_timer timer(loop_);
      co_await transport::Sleep(timer, 50ms);
      aLink.Abort();
    };
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(APartThatIsHeldBack)

BOOST_FIXTURE_TEST_CASE(ReachesNoServerInWhateverRequest, Fixture)
{
  Hold("dead");
  const int before = arrivals_;
  BOOST_TEST(Call("/model/b", "f00d:200,dead:100,3:50").status_ == 503U);
  BOOST_TEST(Call("/model/c", "dead:100,f00d:200,4:50").status_ == 503U);
  BOOST_TEST(arrivals_ == before);
}

BOOST_FIXTURE_TEST_CASE(DoesNotStopRequestsThatShareOtherParts, Fixture)
{
  Hold("dead");
  BOOST_TEST(Call("/model/a", kSound).status_ == 200U);
}

BOOST_FIXTURE_TEST_CASE(StaysHeldBackWhenTheLeaderChanges, Fixture)
{
  Hold("dead");
  Await([&] { return fleet_->ReportedHeldParts().empty(); });
  fleet_->ChangeLeader();
  Await([&] {
    return fleet_->ReportedHeldParts() == std::vector{ PartOf("dead") };
  });
}

BOOST_FIXTURE_TEST_CASE(IsForwardedOnceReleased, Fixture)
{
  Hold("dead");
  fleet_->SetHeldParts({});
  Await([&] { return Call("/model/a", kDeadly).status_ == 200U; });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ACrashOfAServer)

BOOST_FIXTURE_TEST_CASE(IsReportedWithThePartsOfARequestThatHadNoEvent, Fixture)
{
  StartServer("s1", BreakConnection(), "llm");
  Call("/model/a", kDeadly);
  Await([&] { return Reported({ PartOf("f00d"), PartOf("dead") }); });
}

BOOST_FIXTURE_TEST_CASE(IsReportedWithThePartsWhenOnlyTheHeadHadCome, Fixture)
{
  StartServer("s1",
              BreakAfter("HTTP/1.1 " + kSignedSuccess +
                         "\r\nTransfer-Encoding: chunked\r\n\r\n"),
              "llm");
  Call("/model/a", kDeadly);
  Await([&] { return Reported({ PartOf("f00d"), PartOf("dead") }); });
}

BOOST_FIXTURE_TEST_CASE(IsReportedWithoutPartsAfterTheFirstEvent, Fixture)
{
  StartServer("s1",
              BreakAfter("HTTP/1.1 " + kSignedSuccess +
                         "\r\nTransfer-Encoding: chunked\r\n\r\n" +
                         Chunk("id: 1\ndata: a\n\n")),
              "llm");
  Call("/model/a", kSound);
  // The second attempt repeats the event that the caller has.
  Await([&] { return arrivals_ == 2 && fleet_->Crashes().size() >= 2; });
  BOOST_TEST(!Reported({ PartOf("f00d"), PartOf("beef") }));
  BOOST_TEST(fleet_->StartedParts().contains(PartOf("beef")));
}

BOOST_FIXTURE_TEST_CASE(IsReportedAgainWhenTheReportIsLost, Fixture)
{
  fleet_->FailCrashReports(1);
  StartServer("s1", BreakConnection(), "llm");
  Call("/model/a", kDeadly);
  Await([&] {
    return fleet_->Crashes().size() >= static_cast<std::size_t>(arrivals_);
  });
}

BOOST_FIXTURE_TEST_CASE(IsReportedAgainToANewLeader, Fixture)
{
  StartServer("s1", BreakConnection(), "llm");
  Call("/model/a", kDeadly);
  Await([&] { return Reported({ PartOf("f00d"), PartOf("dead") }); });
  fleet_->ChangeLeader();
  Await([&] { return Reported({ PartOf("f00d"), PartOf("dead") }); });
}

BOOST_AUTO_TEST_SUITE_END()
