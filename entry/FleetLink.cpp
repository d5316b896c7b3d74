#include "entry/FleetLink.hpp"

#include "Fleet.h"
#include "core/Log.hpp"
#include "state/ListenAddress.hpp"
#include "transport/RpcClient.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <future>
#include <memory>
#include <utility>

namespace crocusslip::entry {

namespace {

/// Interval of reports with few hosts. It grows with their number, so that the
/// leader answers about as many calls.
constexpr std::chrono::milliseconds kInterval{ 100 };
constexpr std::int32_t kHostsAtInterval = 16;
constexpr std::chrono::milliseconds kLongestInterval{ 600 };
constexpr std::chrono::milliseconds kConnectTimeout{ 300 };
/// Longer than a leader holds an answer back.
constexpr std::chrono::milliseconds kCallTimeout{ 1200 };
constexpr std::chrono::milliseconds kRetryPause{ 50 };
constexpr std::chrono::milliseconds kLeastPause{ 20 };

std::chrono::milliseconds
IntervalFor(std::int32_t aHosts)
{
  const std::int32_t steps = std::max(1, aHosts / kHostsAtInterval);
  return std::min(kInterval * steps, kLongestInterval);
}

} // namespace

FleetLink::FleetLink(transport::asio::io_context& aLoop,
                     Report aReport,
                     Learn aLearn)
  : loop_(aLoop)
  , report_(std::move(aReport))
  , learn_(std::move(aLearn))
{
}

FleetLink::~FleetLink()
{
  Stop();
}

void
FleetLink::SetSeeds(std::vector<std::string> aSeeds)
{
  const std::lock_guard lock(mutex_);
  seeds_ = std::move(aSeeds);
}

void
FleetLink::Start()
{
  thread_ = std::thread([this] { Run(); });
}

void
FleetLink::Stop()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void
FleetLink::Hurry()
{
  {
    const std::lock_guard lock(mutex_);
    hurry_ = true;
  }
  wake_.notify_all();
}

void
FleetLink::Pause(std::chrono::milliseconds aTime)
{
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, aTime, [this] { return stopping_ || hurry_; });
  hurry_ = false;
}

std::string
FleetLink::NextAddress(const std::string& aFailed)
{
  const std::lock_guard lock(mutex_);
  std::vector<std::string> all = members_;
  for (const std::string& seed : seeds_) {
    if (std::ranges::find(all, seed) == all.end()) {
      all.push_back(seed);
    }
  }
  if (all.empty()) {
    return "";
  }
  if (all.size() > 1) {
    std::erase(all, aFailed);
  }
  return all[next_++ % all.size()];
}

bool
FleetLink::Sync(const std::string& aAddress, std::string& aLeader)
{
  const auto parsed = state::ParseAddress(aAddress);
  if (!parsed) {
    return false;
  }
  transport::RpcTarget target;
  target.host_ = parsed->host_;
  target.port_ = parsed->port_;
  target.connectTimeout_ = kConnectTimeout;
  target.callTimeout_ = kCallTimeout;
  transport::FleetRpc rpc(target);
  while (true) {
    auto request = std::make_shared<std::promise<wire::SyncRequest>>();
    auto ready = request->get_future();
    transport::asio::post(loop_,
                          [this, request] { request->set_value(report_()); });
    while (ready.wait_for(kInterval) != std::future_status::ready) {
      const std::lock_guard lock(mutex_);
      if (stopping_) {
        return true;
      }
    }
    wire::SyncRequest message = ready.get();
    message.waitMs = static_cast<std::int32_t>(IntervalFor(hosts_).count());
    wire::SyncReply reply;
    const core::Status called = rpc.Call(
      [&](wire::FleetClient& aClient) { aClient.sync(reply, message); });
    if (!called.Ok()) {
      core::Log(
        core::LogLevel::Info,
        "control process lost",
        { { "address", aAddress }, { "reason", called.Failure().Message() } });
      return false;
    }
    if (!reply.leader) {
      aLeader = reply.leaderAddress;
      return false;
    }
    hosts_ = reply.hosts;
    {
      const std::lock_guard lock(mutex_);
      members_ = reply.members;
      if (stopping_) {
        return true;
      }
    }
    transport::asio::post(loop_, [this, reply] { learn_(reply); });
    Pause(kLeastPause);
  }
}

void
FleetLink::Run()
{
  std::string address = NextAddress("");
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) {
        return;
      }
    }
    std::string leader;
    if (!address.empty() && Sync(address, leader)) {
      return;
    }
    const bool follow = !leader.empty() && leader != address;
    address = follow ? leader : NextAddress(address);
    if (!follow) {
      Pause(kRetryPause);
    }
  }
}

} // namespace crocusslip::entry
