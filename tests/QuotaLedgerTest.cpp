#define BOOST_TEST_MODULE QuotaLedger
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "admission/QuotaLedger.hpp"
#include "bench/QuotaModel.hpp"

using namespace crocusslip;
using namespace crocusslip::admission;
using namespace crocusslip::bench;
using namespace std::chrono_literals;

namespace {

namespace data = boost::unit_test::data;

const TenantName kTenant("t");
const core::HostId kFirst("a");
const core::HostId kSecond("b");

/// A leader with two hosts and a tenant of 10 requests a second.
struct LedgerFixture
{
  core::MonotonicTime now_ = core::MonotonicTime(1h);
  QuotaLedger ledger_{ QuotaBound{ 8000ms, 0.1, 0 } };

  LedgerFixture()
  {
    SetRate(10);
    Report(kFirst, {}, true);
    Report(kSecond, {}, true);
  }
  void SetRate(double aRate)
  {
    ledger_.SetLimits(
      { { kTenant, Quota{ QuotaUnit::Requests, aRate, aRate, 0 } } });
  }
  QuotaGrant Report(const core::HostId& aHost,
                    const QuotaUse& aUse,
                    bool aComplete = false)
  {
    ledger_.OnReport(aHost, 1, aComplete, 2, { { kTenant, aUse } }, now_);
    return ledger_.Grant(aHost, now_)[kTenant];
  }
  static QuotaUse Wants(double aUnits)
  {
    QuotaUse use;
    use.wanted_ = aUnits;
    return use;
  }
  static QuotaUse Spent(double aUnits)
  {
    QuotaUse use;
    use.spent_ = aUnits;
    use.requests_ = static_cast<std::uint32_t>(aUnits);
    return use;
  }
};

QuotaModelSettings
MakeModel(std::uint64_t aSeed, double aUse)
{
  QuotaModelSettings settings;
  settings.seed_ = aSeed;
  settings.bound_ = { 8000ms, 0.1, 11000 };
  settings.tenants_ = SkewedTenants(16, 300, aUse);
  settings.judgeFrom_ = 2s;
  settings.time_ = 40s;
  return settings;
}

void
AddJump(QuotaModelSettings& aSettings)
{
  aSettings.jumpAt_ = 20s;
  for (QuotaModelTenant& tenant : aSettings.tenants_) {
    tenant.jump_ = 7.5;
  }
}

} // namespace

// A window must hold no more than rate x window + burst and the tolerance,
// whatever is asked for, and what is within that must be granted.
BOOST_FIXTURE_TEST_CASE(a_window_is_granted_once, LedgerFixture)
{
  const double first = Report(kFirst, Wants(200)).credit_;
  BOOST_TEST(first >= 90);
  BOOST_TEST(first <= 99);
  const QuotaGrant second = Report(kSecond, Wants(200));
  BOOST_TEST(first + second.credit_ <= 99);
  BOOST_TEST((second.retryAfter_ > 0ms));
}

// Retry-After is the time at which the window has room again.
BOOST_FIXTURE_TEST_CASE(retry_after_is_when_the_window_has_room, LedgerFixture)
{
  Report(kFirst, Spent(40));
  now_ += 4s;
  Report(kFirst, Spent(60));
  Report(kSecond, {});
  const QuotaGrant refused = Report(kSecond, Wants(1));
  BOOST_TEST(refused.credit_ == 0);
  BOOST_TEST((refused.retryAfter_ > 3s));
  BOOST_TEST((refused.retryAfter_ < 4500ms));
  now_ += refused.retryAfter_;
  BOOST_TEST(Report(kSecond, Wants(1)).credit_ >= 1);
}

// The first request of a tenant at a host must not wait.
BOOST_FIXTURE_TEST_CASE(far_from_the_limit_hosts_hold_credit, LedgerFixture)
{
  BOOST_TEST(Report(kFirst, Spent(3)).credit_ >= 1);
  BOOST_TEST(Report(kSecond, {}).credit_ >= 1);
  BOOST_TEST(Report(kFirst, Spent(80)).metered_);
}

// A host that is cut off passes on its part, which others must not get too.
BOOST_FIXTURE_TEST_CASE(a_silent_host_is_counted_until_it_reports,
                        LedgerFixture)
{
  for (int i = 0; i < 80; ++i) {
    now_ += 100ms;
    Report(kFirst, Spent(0.5));
    Report(kSecond, Spent(0.5));
  }
  const double part = Report(kSecond, {}).fallbackPerSecond_;
  BOOST_TEST(part > 3.5);
  for (int i = 0; i < 80; ++i) {
    now_ += 100ms;
    Report(kFirst, {});
  }
  const double without = Report(kFirst, Wants(200)).credit_;
  BOOST_TEST(without < 99 - 6 * part);
  // It reports that it passed on nothing.
  Report(kSecond, {});
  BOOST_TEST(Report(kFirst, Wants(200)).credit_ > without + 4 * part);
}

// A new leader must not grant what hosts spent under the one before.
BOOST_FIXTURE_TEST_CASE(a_new_leader_waits_for_what_was_spent, LedgerFixture)
{
  QuotaLedger next{ QuotaBound{ 8000ms, 0.1, 0 } };
  next.SetLimits({ { kTenant, Quota{ QuotaUnit::Requests, 10, 10, 0 } } });
  QuotaUse use = Wants(200);
  use.recent_ = { 10, 10, 10, 10 };
  next.OnReport(kFirst, 1, true, 2, { { kTenant, use } }, now_);
  BOOST_TEST(next.Grant(kFirst, now_).empty());
  next.OnReport(kSecond, 1, true, 2, { { kTenant, use } }, now_);
  BOOST_TEST(next.Grant(kFirst, now_)[kTenant].credit_ <= 99 - 80);
}

// Limits that are new must not refuse all requests until a rebuild has ended.
BOOST_FIXTURE_TEST_CASE(new_limits_are_granted_at_once, LedgerFixture)
{
  QuotaLedger later{ QuotaBound{ 8000ms, 0.1, 0 } };
  later.OnReport(kFirst, 1, false, 90, {}, now_);
  now_ += 10s;
  later.SetLimits({ { kTenant, Quota{ QuotaUnit::Requests, 10, 10, 0 } } });
  later.OnReport(kFirst, 1, true, 90, {}, now_);
  BOOST_TEST(later.Grant(kFirst, now_)[kTenant].credit_ >= 1);
  QuotaLedger first{ QuotaBound{ 8000ms, 0.1, 0 } };
  first.StartEmpty();
  first.SetLimits({ { kTenant, Quota{ QuotaUnit::Requests, 10, 10, 0 } } });
  first.OnReport(kFirst, 1, true, 90, {}, now_);
  BOOST_TEST(first.Grant(kFirst, now_)[kTenant].credit_ >= 1);
}

// A lowered limit must bind one window later, and not refuse all until then.
BOOST_FIXTURE_TEST_CASE(a_lowered_limit_scales_what_was_spent, LedgerFixture)
{
  Report(kFirst, Spent(72));
  SetRate(5);
  const double granted = Report(kFirst, Wants(100)).credit_;
  BOOST_TEST(granted >= 9);
  BOOST_TEST(granted <= 50 - 36);
}

// What a dead process did with its credit is not known.
BOOST_FIXTURE_TEST_CASE(credit_of_a_restarted_host_counts_as_spent,
                        LedgerFixture)
{
  const double lost = Report(kFirst, Wants(60)).credit_;
  ledger_.OnReport(kFirst, 2, true, 2, {}, now_);
  BOOST_TEST(Report(kSecond, Wants(200)).credit_ <= 99 - 60);
  BOOST_TEST(lost >= 60);
}

// Each window of each tenant, in the troubles that may come with a jump.
BOOST_DATA_TEST_CASE(a_jump_stays_within_the_bound,
                     data::make({ 0.5, 0.7, 0.9 }),
                     use)
{
  QuotaModelSettings settings = MakeModel(11, use);
  AddJump(settings);
  BOOST_TEST(QuotaModel(settings).Run().peak_ <= 1);
}

BOOST_DATA_TEST_CASE(a_jump_as_the_leader_dies_stays_within_the_bound,
                     data::make({ 0.5, 0.7, 0.9 }),
                     use)
{
  QuotaModelSettings settings = MakeModel(12, use);
  AddJump(settings);
  settings.leaderDiesAt_ = settings.jumpAt_;
  BOOST_TEST(QuotaModel(settings).Run().peak_ <= 1);
}

BOOST_DATA_TEST_CASE(a_jump_with_hosts_cut_off_stays_within_the_bound,
                     data::make({ 0.5, 0.7, 0.9 }),
                     use)
{
  QuotaModelSettings settings = MakeModel(13, use);
  AddJump(settings);
  settings.cutAt_ = 16s;
  settings.cutHosts_ = 22;
  BOOST_TEST(QuotaModel(settings).Run().peak_ <= 1);
}

BOOST_DATA_TEST_CASE(a_jump_with_hosts_frozen_stays_within_the_bound,
                     data::make({ 0.5, 0.7, 0.9 }),
                     use)
{
  QuotaModelSettings settings = MakeModel(14, use);
  AddJump(settings);
  settings.cutAt_ = 18s;
  settings.cutTime_ = 5s;
  settings.cutHosts_ = 22;
  settings.frozen_ = true;
  BOOST_TEST(QuotaModel(settings).Run().peak_ <= 1);
}

// Refusals within the quota are losses for callers.
BOOST_AUTO_TEST_CASE(near_the_limit_few_are_wrongly_refused)
{
  const QuotaModelResult result = QuotaModel(MakeModel(15, 0.9)).Run();
  BOOST_TEST(static_cast<double>(result.wronglyRefused_) <=
             0.01 * static_cast<double>(result.requests_));
  BOOST_TEST(result.peak_ <= 1);
}
