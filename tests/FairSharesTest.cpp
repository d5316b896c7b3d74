#define BOOST_TEST_MODULE FairShares
#include <boost/test/unit_test.hpp>

#include "admission/FairShares.hpp"
#include "coordination/DispatchQueue.hpp"
#include "coordination/ReportTimes.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace crocusslip;
using namespace std::chrono_literals;
using admission::FairShares;
using admission::TenantName;
using coordination::DispatchQueue;
using core::MonotonicTime;

namespace {

constexpr std::size_t kTenants = 10;
constexpr std::size_t kServers = 10;
constexpr std::uint32_t kSlots = 12;
/// Together the servers run 240 requests a second.
constexpr double kMeanRunSeconds = 0.5;
constexpr std::chrono::milliseconds kTick{ 5 };
constexpr std::chrono::milliseconds kPatience{ 2000 };
constexpr double kHotFactor = 7.5;

coordination::BackendRequirements
NeedDesk()
{
  coordination::BackendRequirements need;
  need.service_ = coordination::ServiceName("desk");
  return need;
}

core::ServerId
ServerOf(std::size_t aIndex)
{
  return core::ServerId(std::to_string(aIndex));
}

TenantName
TenantOf(std::size_t aIndex)
{
  return TenantName(std::to_string(aIndex));
}

coordination::QueuedRequest
RequestOf(std::size_t aTenant, MonotonicTime aSince)
{
  coordination::QueuedRequest request;
  request.need_ = NeedDesk();
  request.tenant_ = TenantOf(aTenant);
  request.waitingSince_ = aSince;
  request.deadline_ = aSince + kPatience;
  request.promotedFrom_ = aSince + kPatience / 2;
  return request;
}

coordination::BackendRow
RowOf(std::size_t aServer, std::uint32_t aSlots)
{
  coordination::BackendRow row;
  row.server_ = ServerOf(aServer);
  row.service_ = NeedDesk().service_;
  row.slots_ = aSlots;
  return row;
}

/// Hosts with a queue each in front of the servers of one service. Hosts learn
/// of each other's requests from reports only; a server keeps requests beyond
/// its slots in a line.
class Model
{
public:
  Model(std::size_t aHosts,
        double aUsualRate,
        double aHotFactor,
        bool aFair = true)
    : fair_(aFair)
    , hosts_(aHosts)
  {
    rates_.fill(aUsualRate);
    rates_[0] *= aHotFactor;
    const auto times =
      coordination::ReportTimesFor(static_cast<std::uint32_t>(aHosts), true);
    interval_ = times.hold_ + times.minPause_;
    for (Host& host : hosts_) {
      host.reportAt_ = now_ + kTick * static_cast<int>(random_.Below(20));
      TakeRows(host);
    }
  }

  void Run(std::chrono::seconds aTime)
  {
    for (const MonotonicTime end = now_ + aTime; now_ < end; now_ += kTick) {
      Arrive();
      EndRuns();
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (now_ >= hosts_[i].reportAt_) {
          Report(i);
        }
        GiveUp(hosts_[i]);
      }
    }
  }

  /// Part of a tenant's requests that a server began in time.
  double ServedShare(std::size_t aTenant) const
  {
    return served_.at(aTenant) / arrived_.at(aTenant);
  }
  double MeanServedShareOfOthers() const
  {
    double sum = 0;
    for (std::size_t i = 1; i < kTenants; ++i) {
      sum += ServedShare(i);
    }
    return sum / (kTenants - 1);
  }

private:
  struct Host
  {
    coordination::BackendView view_{ core::FailureDomainId("z") };
    DispatchQueue queue_;
    /// Tenant and arrival of the waiting requests.
    std::map<DispatchQueue::Id, std::pair<std::size_t, MonotonicTime>> waiting_;
    std::array<std::uint32_t, kTenants> tenantRuns_{};
    /// Own requests at each server, now and as reported.
    std::array<std::uint32_t, kServers> running_{};
    std::array<std::uint32_t, kServers> reported_{};
    MonotonicTime reportAt_;
  };
  struct Sent
  {
    Host* host_ = nullptr;
    std::size_t server_ = 0;
    std::size_t tenant_ = 0;
    MonotonicTime since_;
  };

  void Arrive()
  {
    const double ticks = std::chrono::duration<double>(kTick).count();
    for (std::size_t tenant = 0; tenant < kTenants; ++tenant) {
      if (!random_.Chance(rates_.at(tenant) * ticks)) {
        continue;
      }
      ++arrived_.at(tenant);
      Host& host = hosts_[random_.Below(hosts_.size())];
      host.waiting_[host.queue_.Add(RequestOf(tenant, now_))] = { tenant,
                                                                  now_ };
      Assign(host);
    }
  }

  void Assign(Host& aHost)
  {
    for (const auto& grant : aHost.queue_.Assign(aHost.view_, now_, random_)) {
      const auto [tenant, since] = aHost.waiting_.at(grant.id_);
      aHost.waiting_.erase(grant.id_);
      const std::size_t server = std::stoul(grant.choice_.server_.Value());
      ++aHost.running_.at(server);
      ++aHost.tenantRuns_.at(tenant);
      lines_.at(server).push_back({ &aHost, server, tenant, since });
      Begin(server);
    }
  }

  void Begin(std::size_t aServer)
  {
    auto& line = lines_.at(aServer);
    while (!line.empty() && busy_.at(aServer) < kSlots) {
      const Sent sent = line.front();
      line.pop_front();
      ++busy_.at(aServer);
      // A request whose caller has left takes no time.
      const bool inTime = now_ < sent.since_ + kPatience;
      served_.at(sent.tenant_) += inTime ? 1 : 0;
      const double seconds = inTime ? random_.Exponential(kMeanRunSeconds) : 0;
      ends_.emplace(now_ + std::chrono::milliseconds(
                             static_cast<std::int64_t>(1000 * seconds)),
                    sent);
    }
  }

  void EndRuns()
  {
    while (!ends_.empty() && ends_.begin()->first <= now_) {
      const Sent sent = ends_.begin()->second;
      ends_.erase(ends_.begin());
      --busy_.at(sent.server_);
      --sent.host_->running_.at(sent.server_);
      --sent.host_->tenantRuns_.at(sent.tenant_);
      sent.host_->view_.OnFinish(
        ServerOf(sent.server_), 0, coordination::SendOutcome::Served, now_);
      Begin(sent.server_);
      Assign(*sent.host_);
    }
  }

  void Report(std::size_t aIndex)
  {
    Host& host = hosts_[aIndex];
    host.reportAt_ += interval_;
    std::map<TenantName, admission::ScarceUse> uses;
    const bool scarce = host.queue_.IsScarce(NeedDesk(), host.view_, now_);
    for (std::size_t i = 0; i < kTenants; ++i) {
      if (host.tenantRuns_.at(i) > 0) {
        uses[TenantOf(i)].running_ = scarce ? host.tenantRuns_.at(i) : 0;
      }
    }
    for (const auto& [id, request] : host.queue_.All()) {
      uses[request.tenant_].waiting_ += request.foundFull_ ? 1 : 0;
    }
    shares_.OnReport(core::HostId(std::to_string(aIndex)), uses, now_);
    host.reported_ = host.running_;
    TakeRows(host);
    if (fair_) {
      admission::SharePercents percents = shares_.Percents(now_);
      std::erase_if(percents, [&](const auto& aEntry) {
        return !uses.contains(aEntry.first);
      });
      host.queue_.OnShares(std::move(percents), now_);
    }
    Assign(host);
  }

  /// The servers as the control group knows them.
  void TakeRows(Host& aHost)
  {
    for (std::size_t i = 0; i < kServers; ++i) {
      coordination::BackendRow row = RowOf(i, kSlots);
      for (const Host& other : hosts_) {
        row.othersInFlight_ += &other == &aHost ? 0 : other.reported_.at(i);
      }
      aHost.view_.Update(std::move(row));
    }
  }

  void GiveUp(Host& aHost)
  {
    std::erase_if(aHost.waiting_, [&](const auto& aEntry) {
      const bool over = now_ >= aEntry.second.second + kPatience;
      if (over) {
        aHost.queue_.Remove(aEntry.first);
      }
      return over;
    });
  }

  const bool fair_;
  std::vector<Host> hosts_;
  std::array<double, kTenants> rates_{};
  std::chrono::milliseconds interval_{ 0 };
  core::Random random_{ 7 };
  MonotonicTime now_{ 10s };
  std::array<std::uint32_t, kServers> busy_{};
  std::array<std::deque<Sent>, kServers> lines_;
  std::multimap<MonotonicTime, Sent> ends_;
  FairShares shares_;
  std::array<double, kTenants> arrived_{};
  std::array<double, kTenants> served_{};
};

Model
AfterRun(std::size_t aHosts, double aRate, double aHotFactor, bool aFair = true)
{
  Model model(aHosts, aRate, aHotFactor, aFair);
  model.Run(60s);
  return model;
}

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
