#define BOOST_TEST_MODULE EventStream
#include <boost/test/unit_test.hpp>

#include "coordination/RouteTable.hpp"
#include "protocol/EventStream.hpp"

using namespace crocusslip;
using protocol::EventSplitter;

BOOST_AUTO_TEST_SUITE(AStreamOfEvents)

BOOST_AUTO_TEST_CASE(IsPassedOnInWholeEvents)
{
  EventSplitter events;
  events.Add("id: 1\ndata: a\n\nid: 2\nda");
  BOOST_TEST(events.TakeWhole() == "id: 1\ndata: a\n\n");
  BOOST_TEST(events.Pending() == "id: 2\nda");
  events.Add("ta: b\n");
  BOOST_TEST(events.TakeWhole().empty());
  events.Add("\n");
  BOOST_TEST(events.TakeWhole() == "id: 2\ndata: b\n\n");
  BOOST_TEST(*events.LastId() == 2U);
  BOOST_TEST(events.Taken() == 2U);
}

// A run that goes on elsewhere may make events again.
BOOST_AUTO_TEST_CASE(LeavesOutWhatTheCallerHas)
{
  EventSplitter events;
  events.SkipThrough(7);
  events.Add("id: 6\ndata: x\n\nid: 7\ndata: y\n\nid: 8\ndata: z\n\n");
  BOOST_TEST(events.TakeWhole() == "id: 8\ndata: z\n\n");
  BOOST_TEST(!events.Gap());
}

BOOST_AUTO_TEST_CASE(NoticesAMissingEvent)
{
  EventSplitter events;
  events.Add("id: 1\n\nid: 3\n\n");
  events.TakeWhole();
  BOOST_TEST(events.Gap());
}

BOOST_AUTO_TEST_CASE(MayEndLinesWithCarriageReturns)
{
  EventSplitter events;
  events.Add("id: 1\r\ndata: a\r\n\r\nid: 2\r\n");
  BOOST_TEST(events.TakeWhole() == "id: 1\r\ndata: a\r\n\r\n");
  BOOST_TEST(*events.LastId() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ATableOfRoutes)

namespace {

coordination::RouteTable
Table()
{
  coordination::Route wide;
  wide.name_ = "wide";
  wide.host_ = "Shop.Example";
  wide.prefix_ = "/a/";
  wide.services_ = { { coordination::ServiceName("one"), 90 },
                     { coordination::ServiceName("two"), 10 } };
  coordination::Route narrow = wide;
  narrow.name_ = "narrow";
  narrow.prefix_ = "/a/b/";
  return { 3, { wide, narrow }, {}, {} };
}

} // namespace

BOOST_AUTO_TEST_CASE(TakesTheLongestPrefix)
{
  const auto table = Table();
  BOOST_TEST(table.Match("shop.example", "/a/b/c?x=/a/")->name_ == "narrow");
  BOOST_TEST(table.Match("shop.example:80", "/a/bc")->name_ == "wide");
  BOOST_TEST((table.Match("shop.example", "/b/") == nullptr));
  BOOST_TEST((table.Match("other.example", "/a/") == nullptr));
  BOOST_TEST((table.Match("shop.example", "/a") == nullptr));
}

BOOST_AUTO_TEST_CASE(SplitsByWeightAndAlwaysAlike)
{
  const auto table = Table();
  const auto* route = table.Match("shop.example", "/a/");
  int second = 0;
  for (std::uint64_t hash = 0; hash < 1000; ++hash) {
    second += route->SelectService(hash).Value() == "two" ? 1 : 0;
    BOOST_TEST(route->SelectService(hash).Value() ==
               route->SelectService(hash).Value());
  }
  BOOST_TEST(second == 100);
}

BOOST_AUTO_TEST_CASE(RepeatsOnlyWhatMayBeRepeated)
{
  coordination::Route route;
  route.kind_ = coordination::RequestKind::AtMostOnce;
  route.resumable_ = true;
  BOOST_TEST(!route.Repeatable());
  route.kind_ = coordination::RequestKind::Stream;
  BOOST_TEST(route.Repeatable());
  route.resumable_ = false;
  BOOST_TEST(!route.Repeatable());
}

BOOST_AUTO_TEST_SUITE_END()
