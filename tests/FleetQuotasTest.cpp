#define BOOST_TEST_MODULE FleetQuotas
#include <boost/test/unit_test.hpp>

#include "support/GroupFixture.hpp"

using namespace crocusslip;
using namespace crocusslip::tests;

namespace {

/// A leader with a tenant of 10 requests a second.
struct QuotasFixture : GroupFixture
{
  QuotasFixture()
  {
    fleet_.quotaBound_ = { 8000ms, 0.1, 0 };
    fleet_.readQuotas_ = [](const std::string&) {
      return core::Result<std::map<admission::TenantName, admission::Quota>>(
        { { admission::TenantName("t"),
            { admission::QuotaUnit::Requests, 10, 10, 0 } } });
    };
    Start(1);
    BOOST_REQUIRE(Publish(1));
    members_[0]->controller_->Start();
  }

  /// Grant of the tenant; nullopt if the answer has none.
  std::optional<wire::TenantGrant> Sync(
    const std::string& aHost,
    std::int64_t aWanted,
    const std::vector<std::int64_t>& aRecent = {})
  {
    std::optional<wire::TenantGrant> grant;
    const bool answered = Await([&] {
      Member* leader = Leader();
      if (leader == nullptr) {
        return false;
      }
      leader->loop_.run_for(20ms);
      wire::SyncRequest request;
      request.host = aHost;
      request.instance = 1;
      request.quotasComplete = true;
      request.knownHosts = 2;
      wire::TenantUse& use = request.tenants.emplace_back();
      use.tenant = "t";
      use.quota = true;
      use.wanted = aWanted;
      use.recent = aRecent;
      wire::SyncReply reply;
      leader->controller_->Sync(request, reply);
      for (const wire::TenantGrant& entry : reply.tenants) {
        if (entry.quota) {
          grant = entry;
        }
      }
      return reply.leader;
    });
    BOOST_REQUIRE(answered);
    return grant;
  }
};

} // namespace

// All hosts together must not get more than the table allows.
BOOST_FIXTURE_TEST_CASE(hosts_share_one_account, QuotasFixture)
{
  BOOST_REQUIRE(Await([&] { return Sync("a", 0) || Sync("b", 0); }));
  const auto first = Sync("a", 200);
  const auto second = Sync("b", 200);
  BOOST_REQUIRE(first);
  BOOST_REQUIRE(second);
  BOOST_TEST(first->credit >= 85);
  BOOST_TEST(first->credit + second->credit <= 99);
  BOOST_TEST(second->retryAfterMs > 0);
}

// A new leader must not grant again what was spent under the one before.
BOOST_FIXTURE_TEST_CASE(a_new_leader_asks_what_was_spent, QuotasFixture)
{
  BOOST_REQUIRE(Await([&] { return Sync("a", 0) || Sync("b", 0); }));
  Restart(0, false);
  members_[0]->controller_->Start();
  const auto first = Sync("a", 200, { 20, 20 });
  BOOST_TEST(!first.has_value());
  const auto second = Sync("b", 200, { 20, 20 });
  BOOST_REQUIRE(second);
  BOOST_TEST(second->credit <= 99 - 80);
}
