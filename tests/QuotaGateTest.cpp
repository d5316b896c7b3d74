#define BOOST_TEST_MODULE QuotaGate
#include <boost/test/unit_test.hpp>

#include "admission/QuotaGate.hpp"

using namespace crocusslip;
using namespace crocusslip::admission;
using namespace std::chrono_literals;

namespace {

const TenantName kTenant("t");
using Verdict = QuotaGate::Verdict;

/// A host and a tenant with a limit in requests.
struct GateFixture
{
  core::MonotonicTime now_ = core::MonotonicTime(1h);
  core::Random random_{ 7 };
  QuotaGate gate_;
  Quota quota_{ QuotaUnit::Requests, 10, 10, 0 };
  QuotaGate::Id lastId_ = 0;

  Verdict Take(double aCost = 1)
  {
    return gate_.Take(kTenant, quota_, ++lastId_, aCost, now_, random_);
  }
  QuotaUse Report() { return gate_.TakeReport(now_)[kTenant]; }
  auto Reply(const QuotaGrant& aGrant)
  {
    return gate_.OnReply({ { kTenant, aGrant } }, now_);
  }
  void Grant(double aCredit)
  {
    Report();
    QuotaGrant grant;
    grant.credit_ = aCredit;
    Reply(grant);
  }
  std::uint32_t CountAdmitted(std::uint32_t aRequests)
  {
    std::uint32_t admitted = 0;
    for (std::uint32_t i = 0; i < aRequests; ++i) {
      admitted += Take() == Verdict::Admitted ? 1 : 0;
    }
    return admitted;
  }
};

} // namespace

// Waiting for the leader with each request would add a round trip to all.
BOOST_FIXTURE_TEST_CASE(credit_in_hand_admits_without_waiting, GateFixture)
{
  Grant(2);
  BOOST_TEST((Take() == Verdict::Admitted));
  BOOST_TEST(!gate_.NeedsReport());
  BOOST_TEST((Take() == Verdict::Admitted));
  BOOST_TEST(gate_.NeedsReport());
  BOOST_TEST((Take() == Verdict::Waiting));
}

// A host that spends credit after its report must not get it a second time.
BOOST_FIXTURE_TEST_CASE(credit_spent_after_the_report_is_not_given_again,
                        GateFixture)
{
  Grant(3);
  Report();
  BOOST_TEST(CountAdmitted(2) == 2U);
  QuotaGrant same;
  same.credit_ = 3;
  Reply(same);
  BOOST_TEST(CountAdmitted(5) == 1U);
}

// Spending that is lost with a report would be served twice.
BOOST_FIXTURE_TEST_CASE(a_lost_report_is_sent_again, GateFixture)
{
  Grant(2);
  Take();
  gate_.OnSent(kTenant, 1, now_);
  BOOST_TEST(Report().spent_ == 1);
  BOOST_TEST(Report().spent_ == 1);
  Reply({});
  BOOST_TEST(Report().spent_ == 0);
}

// Requests beyond the quota must be refused with the answer, not at a timeout.
BOOST_FIXTURE_TEST_CASE(an_exhausted_quota_refuses_those_that_wait, GateFixture)
{
  Grant(0);
  BOOST_TEST((Take() == Verdict::Waiting));
  BOOST_TEST(Report().wanted_ == 1);
  BOOST_TEST((Take() == Verdict::Waiting));
  QuotaGrant none;
  none.retryAfter_ = 700ms;
  const auto decided = Reply(none);
  // The second is not in the report that was answered.
  BOOST_REQUIRE_EQUAL(decided.size(), 1U);
  BOOST_TEST(decided[0].first == 1U);
  BOOST_TEST((decided[0].second == Verdict::Refused));
  BOOST_TEST(gate_.NeedsReport());
  BOOST_TEST((Take() == Verdict::Refused));
  now_ += 100ms;
  BOOST_TEST((gate_.RetryAfter(kTenant, now_) == 600ms));
}

// A frozen process must not spend credit that others have got since.
BOOST_FIXTURE_TEST_CASE(credit_ends_with_the_contact, GateFixture)
{
  Grant(50);
  now_ += kCreditLifetime;
  BOOST_TEST(CountAdmitted(50) == 0U);
}

// An answer that arrived while the process was frozen is as old as its report.
BOOST_FIXTURE_TEST_CASE(an_answer_to_an_old_report_gives_no_credit, GateFixture)
{
  Report();
  now_ += 5s;
  QuotaGrant grant;
  grant.credit_ = 50;
  Reply(grant);
  BOOST_TEST(CountAdmitted(50) == 0U);
}

// Without a leader the quota must be neither passed nor closed.
BOOST_FIXTURE_TEST_CASE(a_host_without_contact_passes_on_its_part, GateFixture)
{
  Report();
  QuotaGrant grant;
  grant.credit_ = 5;
  grant.fallbackPerSecond_ = 2;
  Reply(grant);
  now_ += kCreditLifetime;
  std::uint32_t admitted = 0;
  for (int i = 0; i < 100; ++i) {
    now_ += 100ms;
    admitted += CountAdmitted(1);
  }
  BOOST_TEST(admitted >= 19U);
  BOOST_TEST(admitted <= 21U);
}

// Its part must not come at once after a time without requests.
BOOST_FIXTURE_TEST_CASE(a_part_of_the_rate_is_not_saved, GateFixture)
{
  Report();
  QuotaGrant grant;
  grant.fallbackPerSecond_ = 2;
  Reply(grant);
  now_ += 30s;
  BOOST_TEST(CountAdmitted(50) <= 2U);
}

// A request that did not run must not cost its tenant another one.
BOOST_FIXTURE_TEST_CASE(units_of_a_request_that_did_not_run_come_back,
                        GateFixture)
{
  Grant(1);
  Take();
  gate_.OnSent(kTenant, 1, now_);
  gate_.OnNotRun(kTenant, 1, now_);
  BOOST_TEST(Report().reserved_ == 1);
  gate_.Release(kTenant, 1);
  const QuotaUse use = Report();
  BOOST_TEST(use.spent_ == 0);
  BOOST_TEST(use.reserved_ == 0);
}

// A new leader that is not told of the last window would grant it again.
BOOST_FIXTURE_TEST_CASE(a_leader_without_grants_is_told_what_was_spent,
                        GateFixture)
{
  Grant(5);
  for (int i = 0; i < 4; ++i) {
    Take();
    gate_.OnSent(kTenant, 1, now_);
    now_ += 100ms;
  }
  BOOST_TEST(Report().recent_.empty());
  gate_.OnReply({}, now_);
  BOOST_TEST(gate_.NeedsReport());
  BOOST_TEST(gate_.ReportIsComplete());
  double recent = 0;
  for (const double units : Report().recent_) {
    recent += units;
  }
  BOOST_TEST(recent == 4);
}
