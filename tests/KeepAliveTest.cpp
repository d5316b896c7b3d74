#define BOOST_TEST_MODULE KeepAlive
#include <boost/test/unit_test.hpp>

#include "coordination/KeepAlive.hpp"

#include <chrono>

using namespace crocusslip::coordination;
using namespace std::chrono_literals;
namespace core = crocusslip::core;

namespace {

const core::DeploymentId kModel("m");
constexpr core::MonotonicTime kMonday{};

KeepAlive
Learned(double aIdleCost = 300, std::vector<CalendarWindow> aWindows = {})
{
  KeepAlive keepAlive(LearnedKeepAlive{}, kMonday);
  KeepAliveSettings settings;
  settings.idleCost_ = aIdleCost;
  settings.windows_ = std::move(aWindows);
  keepAlive.SetDeployment(kModel, settings, { 0.5, 2s });
  return keepAlive;
}

core::MonotonicTime
Use(KeepAlive& aKeepAlive, core::Duration aGap, int aCount)
{
  core::MonotonicTime now = kMonday;
  for (int i = 0; i < aCount; ++i) {
    now += aGap;
    aKeepAlive.OnUse(kModel, now);
  }
  return now;
}

bool
Contains(const std::vector<WarmUp>& aWarmUps)
{
  return aWarmUps.size() == 1 && aWarmUps.front().deployment_ == kModel;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Keep_alive)

// Guards against unloading a model between uses in quick succession.
BOOST_AUTO_TEST_CASE(covers_the_usual_gap)
{
  KeepAlive keepAlive = Learned();
  const core::MonotonicTime last = Use(keepAlive, 60s, 50);
  BOOST_TEST((keepAlive.IdleDeadline(kModel, last) >= last + 60s));
}

// Guards against staying loaded for hours of idle time between rare uses.
BOOST_AUTO_TEST_CASE(ends_early_when_gaps_are_too_long)
{
  KeepAlive keepAlive = Learned();
  const core::MonotonicTime last = Use(keepAlive, 5h, 50);
  BOOST_TEST((keepAlive.IdleDeadline(kModel, last) < last + 30min));
}

// Guards against an idle_cost setting without effect.
BOOST_AUTO_TEST_CASE(is_longer_when_the_idle_cost_setting_is_higher)
{
  KeepAlive lowIdleCost = Learned(3);
  KeepAlive highIdleCost = Learned(30000);
  const core::MonotonicTime last = Use(lowIdleCost, 20min, 40);
  Use(highIdleCost, 20min, 40);
  BOOST_TEST((lowIdleCost.IdleDeadline(kModel, last) < last + 5min));
  BOOST_TEST((highIdleCost.IdleDeadline(kModel, last) >= last + 20min));
}

// Guards against a keep-alive outside its configured bounds.
BOOST_AUTO_TEST_CASE(respects_minimum_and_maximum)
{
  KeepAlive keepAlive(LearnedKeepAlive{}, kMonday);
  KeepAliveSettings settings;
  settings.idleCost_ = 0;
  settings.minimum_ = 90s;
  keepAlive.SetDeployment(kModel, settings, { 0.5, 2s });
  core::MonotonicTime last = Use(keepAlive, 20min, 10);
  BOOST_TEST((keepAlive.IdleDeadline(kModel, last) == last + 90s));
  settings.idleCost_ = 1e9;
  settings.maximum_ = 10min;
  keepAlive.SetDeployment(kModel, settings, { 0.5, 2s });
  BOOST_TEST((keepAlive.IdleDeadline(kModel, last) <= last + 10min));
}

// Guards against a cold start at the beginning of a configured calendar window.
BOOST_AUTO_TEST_CASE(keeps_a_model_loaded_from_before_a_window_until_its_end)
{
  const core::Duration sunday = 6 * 24h + 8h;
  KeepAlive keepAlive = Learned(300, { { sunday, sunday + 4h } });
  BOOST_TEST(keepAlive.DueWarmUps(kMonday + sunday - 1h).empty());
  bool due = false;
  for (core::Duration t = sunday - 1min; t < sunday; t += 1s) {
    due = due || Contains(keepAlive.DueWarmUps(kMonday + t));
  }
  BOOST_TEST(due);
  const core::MonotonicTime within = kMonday + sunday + 1h;
  BOOST_TEST((keepAlive.IdleDeadline(kModel, within) >= kMonday + sunday + 4h));
  const core::MonotonicTime after = kMonday + sunday + 4h + 1s;
  BOOST_TEST((keepAlive.IdleDeadline(kModel, after) <= after));
}

// Guards against a cold start in an hour of the week in which the model is
// always used.
BOOST_AUTO_TEST_CASE(warms_up_for_an_hour_of_the_week_with_regular_use)
{
  KeepAlive keepAlive = Learned(3000);
  for (int week = 0; week < 4; ++week) {
    keepAlive.OnUse(kModel, kMonday + week * 7 * 24h + 9h + 10min);
  }
  const core::MonotonicTime fifthWeek = kMonday + 4 * 7 * 24h;
  BOOST_TEST(keepAlive.DueWarmUps(fifthWeek + 5h).empty());
  BOOST_TEST(Contains(keepAlive.DueWarmUps(fifthWeek + 9h - 5s)));
  BOOST_TEST(
    (keepAlive.IdleDeadline(kModel, fifthWeek + 9h - 5s) == fifthWeek + 10h));
}

// Guards against evicting replicas that are likely to be used soon.
BOOST_AUTO_TEST_CASE(estimates_the_probability_of_use_from_gaps)
{
  KeepAlive keepAlive = Learned();
  const core::MonotonicTime last = Use(keepAlive, 60s, 50);
  BOOST_TEST(keepAlive.ProbabilityOfUse(kModel, last, 2min) > 0.8);
  BOOST_TEST(keepAlive.ProbabilityOfUse(kModel, last, 5s) < 0.2);
}

// Guards against excessive memory use at 84,000 deployments.
BOOST_AUTO_TEST_CASE(stores_a_fixed_number_of_bytes_for_each_deployment)
{
  BOOST_TEST(sizeof(ArrivalStatistics) <= 224U);
}

BOOST_AUTO_TEST_SUITE(baselines)

// Guards against baselines that adapt to past uses.
BOOST_AUTO_TEST_CASE(keep_replicas_for_a_fixed_time_or_not_at_all)
{
  KeepAlive fixed(FixedKeepAlive{}, kMonday);
  KeepAlive none(NoKeepAlive{}, kMonday);
  for (KeepAlive* keepAlive : { &fixed, &none }) {
    keepAlive->SetDeployment(kModel, {}, { 0.5, 2s });
    Use(*keepAlive, 5h, 10);
  }
  const core::MonotonicTime last = kMonday + 50h;
  BOOST_TEST((fixed.IdleDeadline(kModel, last) == last + 10min));
  BOOST_TEST((none.IdleDeadline(kModel, last) <= last));
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
