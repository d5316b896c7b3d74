#define BOOST_TEST_MODULE FairShares
#include <boost/test/unit_test.hpp>

#include "support/FairSharesModel.hpp"

#include <map>
#include <string>

using namespace crocusslip;
using namespace crocusslip::tests;

namespace {

/// Tenants of the requests in the order in which a queue serves them.
std::string
OrderOf(DispatchQueue& aQueue,
        const std::map<DispatchQueue::Id, char>& aNames,
        MonotonicTime aNow)
{
  coordination::BackendView view{ core::FailureDomainId("z") };
  view.Update(RowOf(0, 100));
  core::Random random(1);
  std::string order;
  for (const auto& grant : aQueue.Assign(view, aNow, random)) {
    order += aNames.at(grant.id_);
  }
  return order;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ATenantAtSevenAndAHalfTimesItsUsual)

// Guards against a tenant that takes the slots of the others: without shares it
// costs them a fifth of their requests. Servers are used to 75% without it.
BOOST_AUTO_TEST_CASE(TakesLittleFromTheOthersAtAnyHost)
{
  for (const std::size_t hosts : { 8, 32 }) {
    const double calm = AfterRun(hosts, 18, 1).MeanServedShareOfOthers();
    const Model hot = AfterRun(hosts, 18, kHotFactor);
    const Model unfair = AfterRun(hosts, 18, kHotFactor, false);
    BOOST_TEST_MESSAGE("hosts "
                       << hosts << ": others " << calm << ", "
                       << hot.MeanServedShareOfOthers() << ", without shares "
                       << unfair.MeanServedShareOfOthers() << "; hot tenant "
                       << hot.ServedShare(0) << ", " << unfair.ServedShare(0));
    BOOST_TEST(unfair.MeanServedShareOfOthers() < calm - 0.1);
    for (std::size_t i = 1; i < kTenants; ++i) {
      BOOST_TEST(hot.ServedShare(i) >= calm - 0.03);
    }
    // It gets what the others leave, close to twice its usual or more.
    BOOST_TEST(hot.ServedShare(0) > 0.25);
  }
}

// Shares must cost nothing while there is room for all.
BOOST_AUTO_TEST_CASE(IsServedWholeWhileThereIsRoom)
{
  const Model hot = AfterRun(32, 8, kHotFactor);
  for (std::size_t i = 0; i < kTenants; ++i) {
    BOOST_TEST(hot.ServedShare(i) > 0.995);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FairSharesOfTenants)

BOOST_AUTO_TEST_CASE(AreEqualPartsOfWhichUnusedOnesAreLent)
{
  FairShares shares;
  const MonotonicTime now{ 10s };
  // 100 in flight: the small tenant uses 10, the others may use 45 each.
  shares.OnReport(
    core::HostId("h1"),
    { { TenantName("small"), { 10, 0 } }, { TenantName("large"), { 20, 9 } } },
    now);
  shares.OnReport(
    core::HostId("h2"),
    { { TenantName("large"), { 15, 6 } }, { TenantName("hot"), { 55, 3 } } },
    now);
  const admission::SharePercents expected{ { TenantName("hot"), 122 } };
  BOOST_TEST((shares.Percents(now) == expected));
  // A host that is gone does not count.
  shares.OnReport(
    core::HostId("h2"), { { TenantName("hot"), { 55, 3 } } }, now + 10s);
  BOOST_TEST(shares.Percents(now + 10s).empty());
}

BOOST_AUTO_TEST_CASE(HoldATenantThatWantsMuchMore)
{
  FairShares shares;
  const MonotonicTime now{ 10s };
  shares.OnReport(
    core::HostId("h1"),
    { { TenantName("small"), { 20, 0 } }, { TenantName("hot"), { 68, 200 } } },
    now);
  // 88 in flight: 68 for the hot tenant, less 2 times the root of 20.
  const admission::SharePercents held{ { TenantName("hot"), 100 } };
  BOOST_TEST((shares.Percents(now) == held));
  const auto report = [&](std::uint32_t aHot, MonotonicTime aNow) {
    shares.OnReport(core::HostId("h1"),
                    { { TenantName("small"), { 20, 0 } },
                      { TenantName("hot"), { aHot, 200 } } },
                    aNow);
    return shares.Percents(aNow);
  };
  BOOST_TEST((report(60, now + 50ms) == held));
  BOOST_TEST(report(40, now + 100ms).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WaitingRequests)

BOOST_AUTO_TEST_CASE(GoByOveruseThenRankThenAge)
{
  const MonotonicTime now{ 10s };
  DispatchQueue queue;
  std::map<DispatchQueue::Id, char> names;
  const auto add =
    [&](char aName, std::size_t aTenant, std::uint32_t aRank, auto aAge) {
      auto request = RequestOf(aTenant, now - aAge);
      request.priority_ = aRank;
      names[queue.Add(request)] = aName;
    };
  const auto addAll = [&] {
    add('a', 3, 0, 300ms);
    add('b', 2, 1, 200ms);
    add('c', 2, 0, 100ms);
    add('d', 1, 1, 10ms);
    add('e', 1, 0, 30ms);
    add('f', 1, 0, 40ms);
    // Has waited for more than half of its time.
    add('g', 2, 2, 1500ms);
  };
  addAll();
  BOOST_TEST(OrderOf(queue, names, now) == "acfebdg");
  queue.OnShares({ { TenantOf(2), 150 }, { TenantOf(3), 500 } }, now);
  addAll();
  // There is room for all: nobody is held.
  BOOST_TEST(OrderOf(queue, names, now) == "fedgcba");
  addAll();
  BOOST_TEST(OrderOf(queue, names, now + admission::kSharesLifetime) ==
             "acfebdg");
}

// Guards against slots that go to a tenant above its share at the host where
// they become free, because the others wait at other hosts.
BOOST_AUTO_TEST_CASE(LeaveScarceSlotsToTenantsBelowTheirShares)
{
  const MonotonicTime now{ 10s };
  coordination::BackendView view{ core::FailureDomainId("z") };
  core::Random random(1);
  DispatchQueue queue;
  queue.OnShares({ { TenantOf(0), 100 } }, now);
  view.Update(RowOf(0, 1));
  view.OnStart(ServerOf(0), NeedDesk());
  const auto hot = queue.Add(RequestOf(0, now));
  BOOST_TEST(queue.Assign(view, now, random).empty());
  view.OnFinish(ServerOf(0), 0, coordination::SendOutcome::Served, now);
  BOOST_TEST(queue.Assign(view, now + 100ms, random).empty());
  BOOST_TEST(queue.All().at(hot).foundFull_);
  const auto other = queue.Add(RequestOf(1, now + 100ms));
  const auto grants = queue.Assign(view, now + 100ms, random);
  BOOST_REQUIRE(grants.size() == 1U);
  BOOST_TEST(grants.front().id_ == other);
  view.OnFinish(ServerOf(0), 0, coordination::SendOutcome::Served, now);
  // Nobody else took it.
  BOOST_TEST(queue.Assign(view, now + 900ms, random).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
