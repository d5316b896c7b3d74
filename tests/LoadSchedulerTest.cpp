#define BOOST_TEST_MODULE LoadScheduler
#include <boost/test/unit_test.hpp>

#include "coordination/LoadScheduler.hpp"

#include <chrono>

using namespace crocusslip::coordination;
using namespace std::chrono_literals;
namespace core = crocusslip::core;

namespace {

QueuedLoad
Load(const std::string& aId,
     core::MonotonicTime aNow,
     std::optional<core::MonotonicTime> aDeadline,
     LoadClass aClass = LoadClass::Model)
{
  QueuedLoad load;
  load.deployment_ = core::DeploymentId(aId);
  load.server_ = core::ServerId("s");
  load.class_ = aClass;
  load.enqueuedAt_ = aNow;
  load.earliestDeadline_ = aDeadline;
  load.waiting_ = aDeadline ? 1 : 0;
  load.expected_ = 500ms;
  return load;
}

void
Finish(LoadScheduler& aScheduler,
       const QueuedLoad& aLoad,
       core::MonotonicTime aNow)
{
  aScheduler.OnFinish(aLoad.deployment_, aLoad.server_, true, aNow);
}

/// Runs loads one after the other, each taking aSlowdown times the expected
/// time, and returns the time at which the last one ends.
core::MonotonicTime
RunLoads(LoadScheduler& aScheduler,
         core::MonotonicTime aNow,
         int aCount,
         int aSlowdown)
{
  for (int i = 0; i < aCount; ++i) {
    aScheduler.Enqueue(Load("m", aNow, aNow + 5s));
    const auto load = aScheduler.NextToStart(aNow);
    BOOST_REQUIRE(load.has_value());
    aNow += aSlowdown * load->expected_;
    Finish(aScheduler, *load, aNow);
  }
  return aNow;
}

} // namespace

BOOST_AUTO_TEST_SUITE(The_load_scheduler)

// Guards against exceeding the store's limits on start rate and concurrency.
BOOST_AUTO_TEST_CASE(respects_the_limits_of_the_store)
{
  LoadScheduler scheduler(StoreLimits{ 8.0, 4, 32 }, DeadlineOrder{});
  core::MonotonicTime now{};
  for (int i = 0; i < 100; ++i) {
    scheduler.Enqueue(Load("m" + std::to_string(i), now, now + 5s));
    scheduler.Enqueue(
      Load("a" + std::to_string(i), now, now + 5s, LoadClass::Adapter));
  }
  int models = 0;
  for (int step = 0; step <= 1000; step += 5) {
    while (const auto load = scheduler.NextToStart(now)) {
      models += load->class_ == LoadClass::Model ? 1 : 0;
    }
    BOOST_TEST(scheduler.InFlight(LoadClass::Model) <= 4U);
    BOOST_TEST(models <= 1 + 8 * (step + 1) / 1000.0);
    now += 5ms;
  }
  BOOST_TEST(models == 4);
  BOOST_TEST(scheduler.InFlight(LoadClass::Adapter) == 32U);
}

// Guards against starting loads with later deadlines first.
BOOST_AUTO_TEST_CASE(starts_the_earliest_deadline_first)
{
  LoadScheduler scheduler(StoreLimits{}, DeadlineOrder{});
  const core::MonotonicTime now{};
  scheduler.Enqueue(Load("warm", now, std::nullopt));
  scheduler.Enqueue(Load("late", now, now + 30s));
  scheduler.Enqueue(Load("early", now, now + 2s));
  BOOST_TEST(scheduler.NextToStart(now)->deployment_.Value() == "early");
  BOOST_TEST(scheduler.NextToStart(now + 1s)->deployment_.Value() == "late");
  BOOST_TEST(scheduler.NextToStart(now + 2s)->deployment_.Value() == "warm");
}

// Guards against a burst in which additional replicas of one deployment delay
// the first replica of another.
BOOST_AUTO_TEST_CASE(starts_first_replicas_before_additional_ones)
{
  LoadScheduler scheduler(StoreLimits{}, DeadlineOrder{});
  const core::MonotonicTime now{};
  QueuedLoad additional = Load("additional", now, now + 4s);
  additional.additional_ = true;
  scheduler.Enqueue(additional);
  scheduler.Enqueue(Load("first", now, now + 5s));
  BOOST_TEST(scheduler.NextToStart(now)->deployment_.Value() == "first");
}

// Guards against starvation of a load by a stream of loads with earlier
// deadlines.
BOOST_AUTO_TEST_CASE(starts_a_late_deadline_eventually)
{
  LoadScheduler scheduler(StoreLimits{ 2.0, 1, 32 }, DeadlineOrder{});
  core::MonotonicTime now{};
  scheduler.Enqueue(Load("patient", now, now + 60s));
  bool started = false;
  for (int i = 0; i < 200 && !started; ++i) {
    scheduler.Enqueue(Load("u" + std::to_string(i), now, now + 2s));
    scheduler.Enqueue(Load("v" + std::to_string(i), now, now + 2s));
    const auto load = scheduler.NextToStart(now);
    BOOST_REQUIRE(load.has_value());
    started = load->deployment_.Value() == "patient";
    now += 500ms;
    Finish(scheduler, *load, now);
  }
  BOOST_TEST(started);
}

// Guards against a baseline that uses the order of the deadline policy.
BOOST_AUTO_TEST_CASE(ignores_deadlines_when_first_come_first_served)
{
  LoadScheduler scheduler(StoreLimits{}, ArrivalOrder{});
  const core::MonotonicTime now{};
  scheduler.Enqueue(Load("first", now, now + 30s));
  scheduler.Enqueue(Load("second", now + 1ms, now + 2s));
  BOOST_TEST(scheduler.NextToStart(now + 1s)->deployment_.Value() == "first");
}

BOOST_AUTO_TEST_SUITE(with_a_slow_store)

// Guards against overloading a store that is already slow, and against low
// concurrency after the store has recovered.
BOOST_AUTO_TEST_CASE(lowers_concurrency_and_raises_it_again)
{
  LoadScheduler scheduler(StoreLimits{}, DeadlineOrder{});
  core::MonotonicTime now = RunLoads(scheduler, {}, 6, 4);
  BOOST_TEST(scheduler.ModelConcurrency() == 1.0);
  BOOST_TEST(scheduler.Slowdown() > 2.0);
  RunLoads(scheduler, now, 20, 1);
  BOOST_TEST(scheduler.ModelConcurrency() == 4.0);
  BOOST_TEST(scheduler.Slowdown() < 1.1);
}

// Guards against repeated decreases for one slow period: loads that started
// before a decrease don't cause another.
BOOST_AUTO_TEST_CASE(lowers_concurrency_once_for_loads_that_ran_together)
{
  LoadScheduler scheduler(StoreLimits{}, DeadlineOrder{});
  core::MonotonicTime now{};
  std::vector<QueuedLoad> loads;
  for (int i = 0; i < 4; ++i) {
    scheduler.Enqueue(Load("m" + std::to_string(i), now, now + 5s));
    loads.push_back(*scheduler.NextToStart(now));
    now += 125ms;
  }
  now += 2s;
  for (const QueuedLoad& load : loads) {
    Finish(scheduler, load, now);
  }
  BOOST_TEST(scheduler.ModelConcurrency() == 2.0);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a new leader that exceeds the limits by not counting loads
// that its predecessor started.
BOOST_AUTO_TEST_CASE(counts_loads_of_an_earlier_leader)
{
  LoadScheduler scheduler(StoreLimits{ 8.0, 2, 32 }, DeadlineOrder{});
  const core::MonotonicTime now{};
  scheduler.AdoptStarted(Load("x", now, std::nullopt), now);
  scheduler.AdoptStarted(Load("y", now, std::nullopt), now);
  scheduler.Enqueue(Load("m", now, now + 5s));
  BOOST_TEST(!scheduler.NextToStart(now).has_value());
  Finish(scheduler, Load("x", now, std::nullopt), now + 500ms);
  BOOST_TEST(scheduler.NextToStart(now + 500ms).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
