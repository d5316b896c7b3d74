#include "entry/FleetLink.hpp"

#include "Fleet.h"
#include "coordination/ReportTimes.hpp"
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

/// Interval at which the thread checks whether it must stop.
constexpr std::chrono::milliseconds kStopCheckInterval{ 100 };
constexpr std::chrono::milliseconds kConnectTimeout{ 300 };
/// Exceeds the time for which the leader may hold a call without changes.
constexpr std::chrono::milliseconds kCallTimeout{ 1200 };
constexpr std::chrono::milliseconds kRetryPause{ 50 };

bool
HasWaitingRequests(const wire::SyncRequest& aReport)
{
  return std::ranges::any_of(aReport.models, [](const wire::ModelUse& aUse) {
    return aUse.waiting > 0;
  });
}

} // namespace

FleetLink::FleetLink(transport::asio::io_context& aLoop,
                     RequestBuilder aBuildRequest,
                     ReplyHandler aOnReply)
  : loop_(aLoop)
  , buildRequest_(std::move(aBuildRequest))
  , onReply_(std::move(aOnReply))
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
FleetLink::SyncNow()
{
  {
    const std::lock_guard lock(mutex_);
    syncRequested_ = true;
  }
  wake_.notify_all();
}

void
FleetLink::WaitUnlessWoken(std::chrono::milliseconds aTime)
{
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, aTime, [this] { return stopping_ || syncRequested_; });
  syncRequested_ = false;
}

void
FleetLink::Pause(std::chrono::milliseconds aLeast,
                 std::chrono::milliseconds aMost)
{
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, aLeast, [this] { return stopping_; });
  wake_.wait_for(
    lock, aMost - aLeast, [this] { return stopping_ || syncRequested_; });
  syncRequested_ = false;
}

std::string
FleetLink::NextAddress(const std::string& aFailed)
{
  const std::lock_guard lock(mutex_);
  std::vector<std::string> candidates = members_;
  for (const std::string& seed : seeds_) {
    if (std::ranges::find(candidates, seed) == candidates.end()) {
      candidates.push_back(seed);
    }
  }
  if (candidates.empty()) {
    return "";
  }
  if (candidates.size() > 1) {
    std::erase(candidates, aFailed);
  }
  return candidates[nextAddress_++ % candidates.size()];
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
    transport::asio::post(
      loop_, [this, request] { request->set_value(buildRequest_()); });
    while (ready.wait_for(kStopCheckInterval) != std::future_status::ready) {
      const std::lock_guard lock(mutex_);
      if (stopping_) {
        return true;
      }
    }
    wire::SyncRequest message = ready.get();
    const coordination::ReportTimes times = coordination::ReportTimesFor(
      static_cast<std::uint32_t>(std::max(0, hosts_.load())),
      HasWaitingRequests(message));
    message.waitMs = static_cast<std::int32_t>(times.hold_.count());
    wire::SyncReply reply;
    const core::Status status = rpc.Call(
      [&](wire::FleetClient& aClient) { aClient.sync(reply, message); });
    if (!status.Ok()) {
      core::Log(
        core::LogLevel::Info,
        "control process lost",
        { { "address", aAddress }, { "reason", status.Failure().Message() } });
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
    transport::asio::post(loop_, [this, reply] { onReply_(reply); });
    Pause(times.minPause_, times.pause_);
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
    const bool redirected = !leader.empty() && leader != address;
    address = redirected ? leader : NextAddress(address);
    if (!redirected) {
      WaitUnlessWoken(kRetryPause);
    }
  }
}

} // namespace crocusslip::entry
