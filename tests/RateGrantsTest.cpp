#define BOOST_TEST_MODULE RateGrants
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "coordination/BackendView.hpp"
#include "coordination/DispatchQueue.hpp"
#include "coordination/RateGrants.hpp"

#include <algorithm>
#include <deque>
#include <vector>

using namespace crocusslip;
using namespace crocusslip::coordination;
using namespace std::chrono_literals;

namespace {

namespace data = boost::unit_test::data;

const core::ServerId kServer("s1");
const ServiceName kService("writer");
constexpr std::chrono::seconds kWindow{ 4 };
/// Time between two reports of a host, and of the simulation's steps.
constexpr std::chrono::milliseconds kReportInterval{ 100 };
constexpr std::chrono::milliseconds kStep{ 20 };
constexpr std::chrono::seconds kDuration{ 20 };
/// From here on all hosts know the limit.
constexpr std::chrono::seconds kKnown{ 3 };
constexpr std::size_t kMaxWaiting = 4;

BackendRow
MakeRow(std::optional<double> aLimit)
{
  BackendRow row;
  row.server_ = kServer;
  row.service_ = kService;
  row.slots_ = 64;
  row.rateLimit_ = aLimit;
  return row;
}

struct Host
{
  BackendView view_{ core::FailureDomainId("a") };
  DispatchQueue queue_;
};

/// Hosts with more requests than a server takes, and the leader of the control
/// group.
struct Fleet
{
  core::MonotonicTime now_ = core::MonotonicTime(1h);
  core::Random random_{ 7 };
  std::vector<Host> hosts_;
  RateGrants grants_;
  std::optional<double> limit_;
  bool controlAnswers_ = true;
  /// Times of requests that reached the server.
  std::vector<core::MonotonicTime> arrivals_;

  Fleet(std::size_t aHosts, double aLimit)
    : hosts_(aHosts)
    , limit_(aLimit)
  {
    for (Host& host : hosts_) {
      host.view_.Update(MakeRow(std::nullopt));
      host.view_.OnControlContact(Count(), now_);
    }
  }

  std::uint32_t Count() const
  {
    return static_cast<std::uint32_t>(hosts_.size());
  }

  void SendRequests(Host& aHost)
  {
    while (aHost.queue_.Size() < kMaxWaiting) {
      BackendRequirements need;
      need.service_ = kService;
      aHost.queue_.Add({ need, 0, now_, now_ + 10s });
    }
    for (const auto& grant : aHost.queue_.Assign(aHost.view_, now_, random_)) {
      arrivals_.push_back(now_);
      aHost.view_.OnRateSighting(kServer, { limit_, now_ });
      aHost.view_.OnFinish(grant.choice_.server_, 0, SendOutcome::Served, now_);
    }
  }

  void Report(Host& aHost)
  {
    auto usage = aHost.view_.TakeUsage();
    if (usage[kServer].sighting_) {
      grants_.OnSighting(kServer, *usage[kServer].sighting_);
    }
    aHost.view_.OnControlContact(Count(), now_);
    aHost.view_.Update(MakeRow(grants_.LimitOf(kServer)));
    for (const auto& [server, wanted] : aHost.queue_.TakeWantedGrants()) {
      const std::uint32_t count = grants_.Grant(server, wanted, now_);
      aHost.view_.OnGrants(server, count, now_);
    }
  }

  void Run(std::chrono::milliseconds aTime)
  {
    const core::MonotonicTime end = now_ + aTime;
    for (std::size_t step = 0; now_ < end; ++step, now_ += kStep) {
      const std::size_t steps = kReportInterval / kStep;
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (controlAnswers_ && i % steps == step % steps) {
          Report(hosts_[i]);
        }
        SendRequests(hosts_[i]);
      }
    }
  }

  /// Most requests in a window that begins at aFrom or later.
  std::size_t MostInWindow(core::MonotonicTime aFrom) const
  {
    std::size_t most = 0;
    std::deque<core::MonotonicTime> window;
    for (const core::MonotonicTime at : arrivals_) {
      if (at < aFrom) {
        continue;
      }
      window.push_back(at);
      while (at - window.front() >= kWindow) {
        window.pop_front();
      }
      most = std::max(most, window.size());
    }
    return most;
  }
};

/// One and a half times what the limit allows in a window, and five.
double
Allowed(double aLimit)
{
  return 1.5 * aLimit * std::chrono::duration<double>(kWindow).count() + 5;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ALimitedServer)

BOOST_DATA_TEST_CASE(GetsNoMoreThanItsRateFromAllHosts,
                     data::make({ 9, 60, 300 }) * data::make({ 0.0, 1.0, 20. }),
                     hosts,
                     limit)
{
  Fleet fleet(static_cast<std::size_t>(hosts), limit);
  const core::MonotonicTime begin = fleet.now_;
  fleet.Run(kDuration);
  BOOST_TEST(fleet.MostInWindow(begin + kKnown) <= Allowed(limit));
  const double seconds =
    std::chrono::duration<double>(kDuration - kKnown).count();
  const auto served =
    std::ranges::count_if(fleet.arrivals_, [&](core::MonotonicTime aAt) {
      return aAt >= begin + kKnown;
    });
  BOOST_TEST(served >= 0.8 * limit * seconds);
}

BOOST_AUTO_TEST_CASE(GetsNoMoreThanItsRateWhenControlFallsSilent)
{
  Fleet fleet(9, 2);
  fleet.Run(kDuration);
  fleet.controlAnswers_ = false;
  const core::MonotonicTime silent = fleet.now_;
  fleet.Run(kDuration);
  BOOST_TEST(fleet.MostInWindow(silent) <= Allowed(2));
  BOOST_TEST(fleet.MostInWindow(silent + 5s) >= 4);
}

BOOST_AUTO_TEST_CASE(IsFreeAgainOnceItsAnswersNameNoLimit)
{
  Fleet fleet(9, 1);
  fleet.Run(kDuration);
  fleet.limit_.reset();
  fleet.Run(5s);
  for (const Host& host : fleet.hosts_) {
    BOOST_TEST(!host.view_.RateLimitOf(kServer, fleet.now_));
  }
}

BOOST_AUTO_TEST_SUITE_END()
