#define BOOST_TEST_MODULE AdmissionQueue
#include <boost/test/unit_test.hpp>

#include "coordination/AdmissionQueue.hpp"
#include "core/Random.hpp"

#include <map>
#include <queue>

using namespace crocusslip;
using namespace crocusslip::coordination;
using namespace std::chrono_literals;

namespace {

constexpr core::MonotonicTime kStart{ 1h };

std::shared_ptr<AdmissionSettings>
Settings()
{
  auto settings = std::make_shared<AdmissionSettings>();
  settings->initialServiceTime_ = 100ms;
  return settings;
}

WaitingRequest
Request(std::uint64_t aTicket,
        const std::string& aCaller = "bakery",
        core::Duration aDeadline = 1h)
{
  WaitingRequest request;
  request.ticket_ = Ticket(aTicket);
  request.caller_ = core::CallerId(aCaller);
  request.deadline_ = kStart + aDeadline;
  request.size_ = core::Bytes(100);
  return request;
}

std::optional<core::RefusalReason>
Offer(AdmissionQueue& aQueue,
      const WaitingRequest& aRequest,
      core::MonotonicTime aNow = kStart)
{
  const OfferResult result = aQueue.Offer(aRequest, aNow);
  if (!result.refused_) {
    return std::nullopt;
  }
  BOOST_TEST((result.refused_->ran_ == core::Ran::NotRun));
  return result.refused_->reason_;
}

std::uint64_t
Next(AdmissionQueue& aQueue, core::MonotonicTime aNow = kStart)
{
  const auto ticket = aQueue.Next(aNow);
  return ticket ? ticket->Value() : 0;
}

/// Simulates Poisson arrivals at a queue whose requests are served by a fixed
/// number of slots with exponentially distributed service times.
struct OverloadSimulation
{
  double rate_ = 0.0;
  core::Duration deadline_ = 1s;
  core::Duration length_ = 60s;
  std::uint32_t slots_ = 8;
  core::Duration service_ = 100ms;
  std::uint64_t seed_ = 1;

  double inTime_ = 0;
  double late_ = 0;
  double refused_ = 0;
  double refusedLate_ = 0;
  double offered_ = 0;
  std::map<std::string, double> byCaller_;

  void Run(AdmissionQueue& aQueue,
           const std::vector<std::string>& aCallers = { "bakery" })
  {
    core::Random random(seed_);
    using Finish = std::pair<core::MonotonicTime, std::uint64_t>;
    std::priority_queue<Finish, std::vector<Finish>, std::greater<>> finishes;
    std::map<std::uint64_t, WaitingRequest> requests;
    aQueue.SetCapacity({ slots_ });
    core::MonotonicTime arrival = kStart;
    core::MonotonicTime expiry = kStart;
    std::uint64_t ticket = 0;
    const double meanGap = 1e9 / rate_;
    while (arrival < kStart + length_) {
      core::MonotonicTime now = std::min(arrival, expiry);
      if (!finishes.empty() && finishes.top().first <= now) {
        now = finishes.top().first;
        const WaitingRequest done = requests.at(finishes.top().second);
        finishes.pop();
        aQueue.OnFinish(done.ticket_, ServiceResult::Answered, now);
        (now <= done.deadline_ ? inTime_ : late_) += 1;
        byCaller_[done.caller_.Value()] += 1;
      } else if (now == arrival) {
        ++ticket;
        auto request = Request(ticket, aCallers[ticket % aCallers.size()]);
        request.deadline_ = now + deadline_;
        requests[ticket] = request;
        offered_ += 1;
        refused_ += aQueue.Offer(request, now).refused_ ? 1 : 0;
        arrival += core::Duration(
          static_cast<core::Duration::rep>(random.Exponential(meanGap)));
      }
      const AdmissionExpiry expired = aQueue.Expire(now);
      expiry = expired.nextCall_;
      for (const AdmissionRefusal& refusal : expired.refused_) {
        refused_ += 1;
        const bool passed =
          refusal.reason_ == core::RefusalReason::DeadlinePassed;
        refusedLate_ += passed ? 1 : 0;
      }
      while (const auto next = aQueue.Next(now)) {
        const auto took = static_cast<core::Duration::rep>(
          random.Exponential(static_cast<double>(service_.count())));
        finishes.emplace(now + core::Duration(took), next->Value());
      }
    }
  }

  double Capacity() const
  {
    return slots_ * std::chrono::duration<double>(length_) /
           std::chrono::duration<double>(service_);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(An_admission_queue)

BOOST_AUTO_TEST_SUITE(with_requests_of_one_caller)

// Guards against first-come-first-served order, which misses urgent deadlines.
BOOST_AUTO_TEST_CASE(starts_the_earliest_deadline_first)
{
  AdmissionQueue queue(Settings());
  queue.SetCapacity({ 3 });
  BOOST_TEST(!Offer(queue, Request(1, "bakery", 30s)));
  BOOST_TEST(!Offer(queue, Request(2, "bakery", 10s)));
  BOOST_TEST(!Offer(queue, Request(3, "bakery", 20s)));
  BOOST_TEST(Next(queue) == 2);
  BOOST_TEST(Next(queue) == 3);
  BOOST_TEST(Next(queue) == 1);
  BOOST_TEST(Next(queue) == 0);
}

// Guards against starvation of low priority by high priority.
BOOST_AUTO_TEST_CASE(lets_priority_overtake_for_a_bounded_time)
{
  AdmissionQueue queue(Settings());
  queue.SetCapacity({ 3 });
  WaitingRequest urgent = Request(2, "bakery", 10500ms);
  urgent.priority_ = 1;
  WaitingRequest later = Request(3, "bakery", 11500ms);
  later.priority_ = 1;
  BOOST_TEST(!Offer(queue, Request(1, "bakery", 10s)));
  BOOST_TEST(!Offer(queue, urgent));
  BOOST_TEST(!Offer(queue, later));
  BOOST_TEST(Next(queue) == 2);
  BOOST_TEST(Next(queue) == 1);
  BOOST_TEST(Next(queue) == 3);
}

// Guards against forwarding a request whose caller has disconnected.
BOOST_AUTO_TEST_CASE(removes_a_request_whose_caller_disconnected)
{
  AdmissionQueue queue(Settings());
  queue.SetCapacity({ 1 });
  BOOST_TEST(!Offer(queue, Request(1)));
  BOOST_TEST(queue.Remove(Ticket(1)));
  BOOST_TEST(!queue.Remove(Ticket(1)));
  BOOST_TEST(Next(queue) == 0);
  BOOST_TEST(queue.Idle(kStart));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_several_callers)

// Guards against a caller with a greater weight that gets no more starts than
// the others.
BOOST_AUTO_TEST_CASE(divides_starts_by_weight)
{
  auto settings = Settings();
  settings->callers_[core::CallerId("large")].weight_ = 3.0;
  AdmissionQueue queue(settings);
  queue.SetCapacity({ 1000 });
  for (std::uint64_t i = 0; i < 100; ++i) {
    BOOST_TEST(!Offer(queue, Request(1000 + i, "small")));
    BOOST_TEST(!Offer(queue, Request(2000 + i, "large")));
  }
  int large = 0;
  for (int i = 0; i < 100; ++i) {
    large += Next(queue) >= 2000 ? 1 : 0;
  }
  BOOST_TEST(large >= 74);
  BOOST_TEST(large <= 76);
}

// Guards against starvation of a caller with a tiny weight.
BOOST_AUTO_TEST_CASE(starts_an_aged_request_whatever_its_weight)
{
  auto settings = Settings();
  settings->callers_[core::CallerId("tiny")].weight_ = 1e-6;
  AdmissionQueue queue(settings);
  queue.SetCapacity({ 1000 });
  BOOST_TEST(!Offer(queue, Request(1, "tiny")));
  BOOST_TEST(!Offer(queue, Request(2, "tiny")));
  for (std::uint64_t i = 0; i < 100; ++i) {
    BOOST_TEST(!Offer(queue, Request(1000 + i, "large")));
  }
  const core::MonotonicTime later = kStart + settings->agingAfter_;
  std::vector<std::uint32_t> starts;
  for (std::uint32_t i = 0; i < 3 * settings->agedStartEvery_; ++i) {
    if (Next(queue, later) < 1000) {
      starts.push_back(i);
    }
  }
  BOOST_TEST(starts.size() == 2);
  BOOST_TEST(starts.back() < 2 * settings->agedStartEvery_);
}

// Guards against one caller that fills the queue and shuts out all others.
BOOST_AUTO_TEST_CASE(displaces_the_caller_furthest_above_its_share_when_full)
{
  auto settings = Settings();
  settings->maxWaiting_ = 10;
  AdmissionQueue queue(settings);
  for (std::uint64_t i = 1; i <= 10; ++i) {
    BOOST_TEST(!Offer(queue, Request(i, "greedy")));
  }
  BOOST_TEST(
    (Offer(queue, Request(11, "greedy")) == core::RefusalReason::QueueFull));
  const OfferResult result = queue.Offer(Request(12, "modest"), kStart);
  BOOST_TEST(!result.refused_);
  BOOST_REQUIRE(result.displaced_.size() == 1);
  BOOST_TEST(result.displaced_[0].ticket_.Value() == 10);
  BOOST_TEST((result.displaced_[0].ran_ == core::Ran::NotRun));
  BOOST_TEST(queue.Waiting() == 10);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(with_limits)

// Guards against waiting request bodies that exhaust the memory.
BOOST_AUTO_TEST_CASE(limits_the_bytes_of_waiting_requests)
{
  auto settings = Settings();
  settings->maxWaitingBytes_ = core::Bytes(250);
  AdmissionQueue queue(settings);
  BOOST_TEST(!Offer(queue, Request(1)));
  BOOST_TEST(!Offer(queue, Request(2)));
  BOOST_TEST((Offer(queue, Request(3)) == core::RefusalReason::QueueFull));
  WaitingRequest huge = Request(4, "other");
  huge.size_ = core::Bytes(1000);
  BOOST_TEST((Offer(queue, huge) == core::RefusalReason::QueueFull));
  BOOST_TEST(queue.Waiting() == 2);
}

// Guards against a rate limit that is ignored, or applied to all callers.
BOOST_AUTO_TEST_CASE(refuses_a_caller_above_its_rate)
{
  auto settings = Settings();
  settings->callers_[core::CallerId("limited")].rate_ = { 10.0, 2.0 };
  AdmissionQueue queue(settings);
  BOOST_TEST(!Offer(queue, Request(1, "limited")));
  BOOST_TEST(!Offer(queue, Request(2, "limited")));
  const OfferResult refused = queue.Offer(Request(3, "limited"), kStart);
  BOOST_REQUIRE(refused.refused_.has_value());
  BOOST_TEST((refused.refused_->reason_ == core::RefusalReason::CallerLimit));
  BOOST_TEST((refused.refused_->retryAfter_ == 100ms));
  BOOST_TEST(!Offer(queue, Request(4, "other")));
  BOOST_TEST(!Offer(queue, Request(5, "limited"), kStart + 100ms));
}

// Guards against a deployment that exceeds its rate limit.
BOOST_AUTO_TEST_CASE(refuses_requests_above_the_rate_of_the_deployment)
{
  auto settings = Settings();
  settings->rate_ = { 1.0, 1.0 };
  AdmissionQueue queue(settings);
  BOOST_TEST(!Offer(queue, Request(1)));
  BOOST_TEST(
    (Offer(queue, Request(2)) == core::RefusalReason::DeploymentLimit));
}

// Guards against one caller that occupies all slots.
BOOST_AUTO_TEST_CASE(does_not_exceed_the_concurrency_limit_of_a_caller)
{
  auto settings = Settings();
  settings->callers_[core::CallerId("limited")].maxInFlight_ = 1;
  AdmissionQueue queue(settings);
  queue.SetCapacity({ 8 });
  BOOST_TEST(!Offer(queue, Request(1, "limited")));
  BOOST_TEST(!Offer(queue, Request(2, "limited")));
  BOOST_TEST(!Offer(queue, Request(3, "other")));
  BOOST_TEST(Next(queue) == 1);
  BOOST_TEST(Next(queue) == 3);
  BOOST_TEST(Next(queue) == 0);
  queue.OnFinish(Ticket(1), ServiceResult::Answered, kStart + 50ms);
  BOOST_TEST(Next(queue, kStart + 50ms) == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(checking_deadlines)

// Guards against callers that wait for an answer that can't arrive in time.
BOOST_AUTO_TEST_CASE(
  refuses_an_unreachable_deadline_on_arrival_with_its_figures)
{
  AdmissionQueue queue(Settings());
  queue.SetCapacity({ 1 });
  for (std::uint64_t i = 1; i <= 5; ++i) {
    BOOST_TEST(!Offer(queue, Request(i)));
  }
  BOOST_TEST(Next(queue) == 1);
  const OfferResult result = queue.Offer(Request(6, "bakery", 400ms), kStart);
  BOOST_TEST(!result.refused_);
  const OfferResult refused = queue.Offer(Request(7, "other", 150ms), kStart);
  BOOST_REQUIRE(refused.refused_.has_value());
  const AdmissionRefusal& refusal = *refused.refused_;
  BOOST_TEST((refusal.reason_ == core::RefusalReason::DeadlineUnreachable));
  BOOST_TEST((refusal.figures_.serviceTime_ == 100ms));
  BOOST_TEST((refusal.figures_.expectedFinish_ > refusal.figures_.deadline_));
  BOOST_TEST(refusal.figures_.inFlight_ == 1);
  BOOST_TEST(refusal.figures_.waiting_ == 5);
  BOOST_TEST(refusal.Text().find("deadline_unreachable (not_run)") == 0);
}

// Guards against a burst that waits for a replica that is loaded too late.
BOOST_AUTO_TEST_CASE(includes_the_time_until_the_first_replica_is_ready)
{
  AdmissionQueue queue(Settings());
  queue.SetCapacity({ 0, kStart + 2s, 2 });
  BOOST_TEST(!Offer(queue, Request(1, "bakery", 5s)));
  BOOST_TEST((Offer(queue, Request(2, "bakery", 1500ms)) ==
              core::RefusalReason::DeadlineUnreachable));
  BOOST_TEST(Next(queue) == 0);
}

// Guards against refusals because the slow start limit is taken for the
// capacity.
BOOST_AUTO_TEST_CASE(estimates_with_the_slots_after_slow_start)
{
  AdmissionQueue queue(Settings());
  Capacity capacity;
  capacity.slots_ = 1;
  capacity.slotsWhenWarm_ = 4;
  queue.SetCapacity(capacity);
  for (std::uint64_t i = 1; i <= 4; ++i) {
    BOOST_TEST(!Offer(queue, Request(i, "bakery", 250ms)));
  }
  BOOST_TEST(Next(queue) == 1);
  BOOST_TEST(Next(queue) == 0);
}

// Guards against refusals that come only after the deadline has passed.
BOOST_AUTO_TEST_CASE(refuses_waiting_requests_when_the_service_slows_down)
{
  AdmissionQueue queue(Settings());
  queue.SetCapacity({ 1 });
  for (std::uint64_t i = 1; i <= 10; ++i) {
    BOOST_TEST(!Offer(queue, Request(i, "bakery", 2s)));
  }
  BOOST_TEST(Next(queue) == 1);
  queue.OnFinish(Ticket(1), ServiceResult::Answered, kStart + 500ms);
  const AdmissionExpiry expiry = queue.Expire(kStart + 500ms);
  // 1.5 s remain at 500 ms per request: three of the nine can be served.
  BOOST_TEST(expiry.refused_.size() == 6);
  BOOST_TEST(queue.Waiting() == 3);
  for (const AdmissionRefusal& refusal : expiry.refused_) {
    BOOST_TEST((refusal.reason_ == core::RefusalReason::DeadlineUnreachable));
  }
}

// Guards against a waiting request whose deadline is never checked again.
BOOST_AUTO_TEST_CASE(returns_when_to_call_expire_again)
{
  AdmissionQueue queue(Settings());
  BOOST_TEST((queue.Expire(kStart).nextCall_ == core::MonotonicTime::max()));
  BOOST_TEST(!Offer(queue, Request(1, "bakery", 200ms)));
  core::MonotonicTime now = kStart;
  AdmissionExpiry expiry = queue.Expire(now);
  while (expiry.refused_.empty() && now < kStart + 1s) {
    BOOST_REQUIRE((expiry.nextCall_ > now));
    now = expiry.nextCall_;
    expiry = queue.Expire(now);
  }
  BOOST_TEST(expiry.refused_.size() == 1);
  BOOST_TEST((now <= kStart + 200ms + 50ms));
}

// Guards against an estimate that refuses every request after a slow phase and
// therefore gets no sample that would correct it.
BOOST_AUTO_TEST_CASE(starts_one_request_when_nothing_is_in_flight)
{
  AdmissionQueue queue(Settings());
  queue.SetCapacity({ 4 });
  BOOST_TEST(!Offer(queue, Request(1)));
  BOOST_TEST(Next(queue) == 1);
  core::MonotonicTime now = kStart + 1min;
  queue.OnFinish(Ticket(1), ServiceResult::Answered, now);
  int tries = 0;
  while (queue.ServiceTime() > 1s && tries < 100) {
    ++tries;
    const std::uint64_t ticket = 1 + static_cast<std::uint64_t>(tries);
    WaitingRequest request = Request(ticket);
    request.deadline_ = now + 1s;
    BOOST_TEST(!Offer(queue, request, now));
    BOOST_TEST(Next(queue, now) == ticket);
    now += 100ms;
    queue.OnFinish(Ticket(ticket), ServiceResult::Answered, now);
  }
  BOOST_TEST(tries < 100);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(at_ten_times_its_capacity)

// Guards against starting a request that a slow server would answer too late.
BOOST_AUTO_TEST_CASE(keeps_a_margin_for_servers_of_mixed_speed)
{
  AdmissionQueue queue(Settings());
  queue.SetCapacity({ 10 });
  for (std::uint64_t i = 1; i <= 200; ++i) {
    Offer(queue, Request(i));
    Next(queue);
    queue.OnFinish(Ticket(i),
                   ServiceResult::Answered,
                   kStart + (i % 2 == 0 ? 500ms : 1500ms));
  }
  Offer(queue, Request(301));
  BOOST_TEST(Next(queue) == 301U);
  // One and a half times the usual work takes 2.25 s on the slow server.
  Offer(queue, Request(302, "bakery", 2200ms));
  Offer(queue, Request(303));
  queue.SetCapacity({ 2 });
  BOOST_TEST(Next(queue) == 303U);
}

// Guards against congestion collapse: in any order that ignores deadlines,
// nearly every answer comes too late.
BOOST_AUTO_TEST_CASE(maintains_its_goodput)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    AdmissionQueue queue(Settings());
    OverloadSimulation overload;
    overload.rate_ = 800.0;
    overload.seed_ = seed;
    overload.Run(queue);
    BOOST_TEST_CONTEXT("seed " << seed << ": " << overload.inTime_
                               << " in time, " << overload.late_
                               << " late, capacity " << overload.Capacity())
    {
      BOOST_TEST(overload.inTime_ >= 0.95 * overload.Capacity());
      BOOST_TEST(overload.refusedLate_ == 0);
    }
  }
}

// Guards against overload that affects only callers with a smaller weight, or
// only callers that send fewer requests.
BOOST_AUTO_TEST_CASE(divides_starts_by_the_weights_of_the_callers)
{
  auto settings = Settings();
  settings->callers_[core::CallerId("large")].weight_ = 3.0;
  AdmissionQueue queue(settings);
  OverloadSimulation overload;
  overload.rate_ = 800.0;
  overload.Run(queue, { "large", "small" });
  const double ratio =
    overload.byCaller_["large"] / overload.byCaller_["small"];
  // One start in eight may go to the oldest request instead.
  BOOST_TEST(ratio > 2.0);
  BOOST_TEST(ratio < 3.5);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()
