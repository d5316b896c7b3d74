#pragma once

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

/// Hosts with a queue each in front of the servers of one service, and tenants
/// of which one may send many times its usual.
namespace crocusslip::tests {

using namespace std::chrono_literals;
using admission::FairShares;
using admission::TenantName;
using coordination::DispatchQueue;
using core::MonotonicTime;

constexpr std::size_t kTenants = 10;
constexpr std::size_t kServers = 10;
constexpr std::uint32_t kSlots = 12;
/// Together the servers run 240 requests a second.
constexpr double kMeanRunSeconds = 0.5;
constexpr std::chrono::milliseconds kTick{ 5 };
constexpr std::chrono::milliseconds kPatience{ 2000 };
constexpr double kHotFactor = 7.5;

inline coordination::BackendRequirements
NeedDesk()
{
  coordination::BackendRequirements need;
  need.service_ = coordination::ServiceName("desk");
  return need;
}

inline core::ServerId
ServerOf(std::size_t aIndex)
{
  return core::ServerId(std::to_string(aIndex));
}

inline TenantName
TenantOf(std::size_t aIndex)
{
  return TenantName(std::to_string(aIndex));
}

inline coordination::QueuedRequest
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

inline coordination::BackendRow
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

inline Model
AfterRun(std::size_t aHosts, double aRate, double aHotFactor, bool aFair = true)
{
  Model model(aHosts, aRate, aHotFactor, aFair);
  model.Run(60s);
  return model;
}

} // namespace crocusslip::tests
