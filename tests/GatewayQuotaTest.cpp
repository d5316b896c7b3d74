#define BOOST_TEST_MODULE GatewayQuota
#include "tests/support/GatewayFixture.hpp"

using namespace crocusslip;
using namespace crocusslip::tests;

namespace {

struct QuotaFixture : GatewayFixture
{
  QuotaFixture()
  {
    SetUnit(admission::QuotaUnit::Requests);
    fleet_->SetQuota(0);
  }
  void StartUsualServer()
  {
    StartServer("s1", Respond(kSignedSuccess, "served"));
  }
  void SetUnit(admission::QuotaUnit aUnit)
  {
    admission::TenantDirectory::Entry entry;
    entry.tenant_.name_ = admission::TenantName("t");
    entry.tenant_.quota_ = { aUnit, 10, 10, 100 };
    entry.keys_ = { "key" };
    tenants_ = admission::TenantDirectory({ entry });
  }
  transport::WholeAnswer CallAsTenant(const std::string& aTarget,
                                      const std::string& aTokens = "")
  {
    bool done = false;
    transport::WholeAnswer received;
    const auto wait = std::chrono::steady_clock::now() + kTestTimeout;
    while (!gateway_->Ready() && std::chrono::steady_clock::now() < wait) {
      loop_.run_for(10ms);
    }
    transport::Spawn(loop_, [&]() -> Task<void> {
      HttpRequest request = Request(aTarget);
      request.set("Authorization", "Bearer key");
      if (!aTokens.empty()) {
        request.set("Tokens", aTokens);
      }
      auto answer =
        co_await transport::CallOnce(loop_, callerAddress_, request, 5s);
      if (answer.Ok()) {
        received = std::move(answer.Value());
      }
      done = true;
    });
    RunUntil(done);
    return received;
  }
  /// Runs the loop until the host has reported all that it spent.
  void AwaitSpent(std::int64_t aUnits)
  {
    const auto until = std::chrono::steady_clock::now() + kTestTimeout;
    while ((fleet_->QuotaSpent() != aUnits || fleet_->QuotaReserved() != 0) &&
           std::chrono::steady_clock::now() < until) {
      loop_.run_for(10ms);
    }
    BOOST_TEST(fleet_->QuotaSpent() == aUnits);
    BOOST_TEST(fleet_->QuotaReserved() == 0);
  }
};

} // namespace

// A request that finds no credit waits for the leader's answer, not longer.
BOOST_FIXTURE_TEST_CASE(a_request_within_the_quota_is_served, QuotaFixture)
{
  StartUsualServer();
  fleet_->SetQuota(1);
  const auto begin = std::chrono::steady_clock::now();
  BOOST_TEST(CallAsTenant("/once/a").status_ == 200U);
  BOOST_TEST((std::chrono::steady_clock::now() - begin < 900ms));
  AwaitSpent(1);
}

// A refusal promises that the request has not run, and when it can.
BOOST_FIXTURE_TEST_CASE(a_request_beyond_the_quota_gets_429, QuotaFixture)
{
  StartUsualServer();
  const auto answer = CallAsTenant("/once/a");
  BOOST_TEST(answer.status_ == 429U);
  BOOST_TEST(answer.body_ == "over_quota\n");
  const double seconds =
    std::stod(std::string(answer.fields_[http::field::retry_after]));
  BOOST_TEST(seconds > 2.0);
  BOOST_TEST(seconds <= 2.5);
  BOOST_TEST(arrivals_ == 0);
}

// Tokens of the header count, and the default without one.
BOOST_FIXTURE_TEST_CASE(a_request_costs_its_tokens, QuotaFixture)
{
  StartUsualServer();
  SetUnit(admission::QuotaUnit::Tokens);
  fleet_->SetQuota(350);
  BOOST_TEST(CallAsTenant("/once/a", "200,50").status_ == 200U);
  AwaitSpent(250);
  BOOST_TEST(CallAsTenant("/once/b").status_ == 200U);
  AwaitSpent(350);
  BOOST_TEST(CallAsTenant("/once/c", "1,1").status_ == 429U);
}

// A tenant must not pay for a request that no server ran.
BOOST_FIXTURE_TEST_CASE(a_request_that_did_not_run_costs_nothing, QuotaFixture)
{
  fleet_->SetQuota(1);
  // Nothing listens there.
  fleet_->AddServer("s1", FreePort());
  BOOST_TEST(CallAsTenant("/once/a").status_ == 503U);
  AwaitSpent(0);
}

// A host that has never had an answer must not pass the quota.
BOOST_FIXTURE_TEST_CASE(without_a_leader_nothing_is_passed_on_at_first,
                        QuotaFixture)
{
  StartUsualServer();
  fleet_->SetQuota(std::nullopt);
  BOOST_TEST(CallAsTenant("/once/a").status_ == 429U);
  BOOST_TEST(arrivals_ == 0);
}

// Each run counts at the servers.
BOOST_FIXTURE_TEST_CASE(a_second_run_is_charged, QuotaFixture)
{
  fleet_->SetQuota(1);
  int runs = 0;
  StartServer("s1",
              [&](transport::CallerLink& aLink,
                  const HttpRequest& aRequest) -> Task<void> {
                if (++runs == 1) {
                  aLink.Abort();
                  co_return;
                }
                co_await Respond(kSignedSuccess, "served")(aLink, aRequest);
              });
  BOOST_TEST(CallAsTenant("/safe/a").status_ == 200U);
  BOOST_TEST(runs == 2);
  AwaitSpent(2);
}
