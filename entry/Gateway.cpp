#include "entry/Gateway.hpp"

#include "core/Hash.hpp"
#include "core/Log.hpp"
#include "core/Reasons.hpp"
#include "entry/GatewayCall.hpp"
#include "entry/GatewayCounters.hpp"

#include <algorithm>
#include <array>
#include <unistd.h>
#include <utility>

namespace crocusslip::entry {

namespace {

using transport::HttpRequest;
using transport::ReadResult;
using transport::Task;
namespace http = transport::http;

constexpr std::chrono::milliseconds kHousekeepingInterval{ 500 };
/// Bounds of the address that the load balancer and the collector of metrics
/// ask; neither sends a body.
constexpr std::size_t kMaxReadinessConnections = 64;
constexpr std::uint64_t kMaxReadinessBody = 4096;
/// Time from SIGTERM until new connections are refused. The load balancer stops
/// sending them after two readiness checks, which it makes a second apart.
constexpr std::chrono::milliseconds kAcceptTimeAfterTerm{ 3000 };
/// Time reserved for shutdown before the platform sends SIGKILL.
constexpr std::chrono::milliseconds kShutdownReserve{ 700 };
constexpr std::chrono::milliseconds kDrainPollInterval{ 50 };
/// Time for the answers to calls that are given up at the end of the grace
/// period.
constexpr std::chrono::milliseconds kGiveUpTime{ 200 };
/// Maximum number of idle connections that a host keeps to one server.
constexpr std::size_t kMaxIdlePerServer = 8;
/// Fraction of a server's connection limit that the idle connections of all
/// hosts may take up; the rest is left to running requests.
constexpr double kIdleConnectionShare = 0.5;
/// Number of servers lost during a request at which the request is refused. Two
/// losses may be coincidence. Callers tolerate up to three more runs after the
/// third loss, at hosts that have not yet learned of it.
constexpr std::uint32_t kMaxServersLost = 3;
/// Maximum number of requests remembered as suspects, and of those remembered
/// as having completed.
constexpr std::size_t kMaxSuspects = 512;

constexpr std::array<const char*, kGatewayRefusals> kRefusalNames = {
  "no_routes_yet", "no_route",      "no_server",   "no_model",
  "full",          "deadline_over", "quarantined", "not_run_elsewhere",
  "broken",        "malformed",     "draining",    "unknown_key",
  "no_memory",     "over_quota",
};

coordination::CrashGuardSettings
MakeGuardSettings()
{
  coordination::CrashGuardSettings settings;
  settings.maxCrashes_ = kMaxServersLost;
  settings.maxSuspects_ = kMaxSuspects;
  settings.maxProven_ = kMaxSuspects;
  return settings;
}

} // namespace

const char*
NameOf(GatewayRefusal aReason)
{
  return kRefusalNames.at(static_cast<std::size_t>(aReason));
}

Gateway::Gateway(transport::asio::io_context& aLoop,
                 GatewaySettings aSettings,
                 const core::Clock& aClock)
  : loop_(aLoop)
  , settings_(std::move(aSettings))
  , clock_(aClock)
  , random_(core::DeviceSeed())
  , instance_(static_cast<std::int64_t>(random_.Next() >> 2U))
  , counters_(std::make_unique<Counters>(metrics_))
  , memory_(std::make_shared<MemoryBudget>(
      aLoop,
      clock_,
      admission::ByteLimits::ForMemory(settings_.memoryLimit_),
      metrics_))
  , callerBound_(MaxCallerConnections(settings_))
  , readinessBound_(kMaxReadinessConnections)
  , view_(settings_.failureDomain_)
  , loadReader_(view_, settings_.headers_.load_, metrics_)
  , crashGuard_(MakeGuardSettings())
  , fleet_(
      aLoop,
      [this] { return BuildSyncRequest(); },
      [this](const wire::SyncReply& aReply) { ApplySyncReply(aReply); })
{
}

Gateway::~Gateway() = default;

core::Status
Gateway::Start()
{
  callerListener_ = std::make_unique<transport::LinkListener>(
    loop_, settings_.callerAddress_, [this](transport::Tcp::socket aSocket) {
      if (!AdmitConnection()) {
        return;
      }
      auto link =
        std::make_shared<transport::CallerLink>(std::move(aSocket), Limits());
      callerLinks_.insert(link);
      transport::Spawn(loop_, [this, link] { return ServeCaller(link); });
    });
  readinessListener_ = std::make_unique<transport::LinkListener>(
    loop_, settings_.readinessAddress_, [this](transport::Tcp::socket aSocket) {
      if (!readinessBound_.Admit(readinessLinks_).admitted_) {
        return;
      }
      auto link =
        std::make_shared<transport::CallerLink>(std::move(aSocket), Limits());
      readinessLinks_.insert(link);
      transport::Spawn(loop_, [this, link] { return ServeReadiness(link); });
    });
  core::Status started = callerListener_->Start();
  if (started.Ok()) {
    started = readinessListener_->Start();
  }
  if (!started.Ok()) {
    return started;
  }
  fleet_.SetSeeds(settings_.seeds_);
  fleet_.Start();
  transport::Spawn(loop_, [this] { return Housekeeping(); });
  core::Log(core::LogLevel::Info,
            "gateway started",
            { { "callers", settings_.callerAddress_ },
              { "seeds", std::to_string(settings_.seeds_.size()) } });
  return started;
}

bool
Gateway::Ready() const
{
  return routes_ != nullptr && serversKnown_ && !draining_;
}

transport::LinkLimits
Gateway::Limits() const
{
  transport::LinkLimits limits;
  if (routes_) {
    const coordination::CallerLimits& set = routes_->Limits();
    limits.headerBytes_ = set.headerBytes_;
    limits.bodyBytes_ = set.bodyBytes_;
    limits.headerTime_ = set.headerTime_;
    limits.idleTime_ = set.idleTime_;
  }
  return limits;
}

Task<bool>
Gateway::RejectUnreadable(transport::CallerLink& aLink, ReadResult aResult)
{
  unsigned status = 0;
  switch (aResult) {
    case ReadResult::Complete:
    case ReadResult::Closed:
    case ReadResult::Broken:
    case ReadResult::Yielded:
      co_return false;
    case ReadResult::HeaderTimeout:
    case ReadResult::BodyTimeout:
      status = 408;
      break;
    case ReadResult::HeaderTooLarge:
      status = 431;
      break;
    case ReadResult::BodyTooLarge:
      status = 413;
      break;
    case ReadResult::Malformed:
      status = 400;
      break;
  }
  CountRefusal(GatewayRefusal::Malformed);
  core::Log(core::LogLevel::Info,
            "cannot read request",
            { { "status", std::to_string(status) } });
  http::response<http::string_body> answer;
  answer.version(11);
  answer.result(status);
  answer.keep_alive(false);
  answer.prepare_payload();
  co_return co_await aLink.Write(answer);
}

Task<void>
Gateway::ServeCaller(LinkPtr aLink)
{
  const std::uint64_t caller = core::Hash64(aLink->PeerAddress());
  bool keepAlive = true;
  while (keepAlive) {
    HttpRequest request;
    auto account = std::make_shared<MemoryAccount>(
      memory_, admission::HolderKind::Body, caller, aLink);
    aLink->SetBusy(false);
    const ReadResult read =
      co_await aLink->Read(request, Limits(), account.get());
    if (read == ReadResult::Closed) {
      aLink->Close();
      break;
    }
    if (read != ReadResult::Complete) {
      account->GiveBackAll();
    }
    if (read == ReadResult::Yielded) {
      co_await RejectYielded(aLink, request);
      break;
    }
    if (read != ReadResult::Complete) {
      co_await RejectUnreadable(*aLink, read);
      break;
    }
    counters_->requests_.Add();
    account->Complete();
    auto call = std::make_shared<GatewayCall>(
      *this, aLink, std::move(request), std::move(account));
    calls_.insert(call.get());
    try {
      keepAlive = co_await call->Run();
    } catch (...) {
      transport::LogUnexpected(std::current_exception());
      aLink->Abort();
      keepAlive = false;
    }
    calls_.erase(call.get());
  }
  aLink->SetBusy(true);
  const std::size_t dropped = co_await aLink->Finish();
  if (dropped > 0) {
    core::Log(core::LogLevel::Warning,
              "request dropped with its connection",
              { { "bytes", std::to_string(dropped) },
                { "draining", draining_ ? "yes" : "no" } });
  }
  callerLinks_.erase(aLink);
}

Task<void>
Gateway::ServeReadiness(LinkPtr aLink)
{
  transport::LinkLimits limits;
  limits.bodyBytes_ = kMaxReadinessBody;
  bool keepAlive = true;
  while (keepAlive) {
    HttpRequest request;
    if (co_await aLink->Read(request, limits) != ReadResult::Complete) {
      break;
    }
    http::response<http::string_body> answer;
    answer.version(11);
    const auto target = request.target();
    if (target == "/metrics") {
      answer.result(200);
      answer.body() = metrics_.Text();
    } else {
      answer.result(target != settings_.readinessPath_ ? 404U
                    : Ready()                          ? 200U
                                                       : 503U);
    }
    answer.keep_alive(request.keep_alive());
    answer.prepare_payload();
    keepAlive = co_await aLink->Write(answer) && request.keep_alive();
  }
  co_await aLink->Finish();
  readinessLinks_.erase(aLink);
}

Task<void>
Gateway::Housekeeping()
{
  transport::asio::steady_timer timer(loop_);
  while (true) {
    co_await transport::Sleep(timer, kHousekeepingInterval);
    pool_.CloseExpired();
    AssignSlots();
    crashGuard_.Expire(clock_.Now());
    std::erase_if(models_, [](const auto& aEntry) {
      return aEntry.second.inFlight_ == 0 && aEntry.second.arrivals_ == 0;
    });
    std::erase_if(runningModels_,
                  [](const auto& aEntry) { return aEntry.second.empty(); });
  }
}

void
Gateway::Drain()
{
  if (std::exchange(draining_, true)) {
    return;
  }
  const core::MonotonicTime now = clock_.Now();
  drainSlotDeadline_ = now + kAcceptTimeAfterTerm;
  stopTime_ = now + settings_.grace_ - kShutdownReserve;
  for (const auto& [id, call] : waiting_) {
    call->RecheckDeadline();
  }
  core::Log(core::LogLevel::Info,
            "draining",
            { { "calls", std::to_string(calls_.size()) } });
  transport::Spawn(loop_, [this] { return StopAfterGrace(); });
}

Task<void>
Gateway::StopAfterGrace()
{
  transport::asio::steady_timer timer(loop_);
  co_await transport::Sleep(timer, kAcceptTimeAfterTerm);
  callerListener_->Stop();
  CloseIdleConnections();
  // Nothing is read once the loop has stopped, so that all connections have to
  // be closed before.
  while (!callerLinks_.empty() && clock_.Now() < stopTime_) {
    co_await transport::Sleep(timer, kDrainPollInterval);
    if (!HasUnfinishedCalls()) {
      CloseIdleConnections();
    }
  }
  // A request that was read is answered, even if its server is not done.
  const core::MonotonicTime end = clock_.Now() + kGiveUpTime;
  while (!callerLinks_.empty() && clock_.Now() < end) {
    for (GatewayCall* call : calls_) {
      call->GiveUp();
    }
    CloseIdleConnections();
    co_await transport::Sleep(timer, kDrainPollInterval);
  }
  core::Log(core::LogLevel::Info,
            "gateway stopped",
            { { "cut", std::to_string(calls_.size()) },
              { "unread",
                std::to_string(
                  std::ranges::count_if(callerLinks_, [](const LinkPtr& aLink) {
                    return aLink->HasUnread();
                  })) } });
  loop_.stop();
}

void
Gateway::CloseIdleConnections()
{
  for (const LinkPtr& link : callerLinks_) {
    link->EndIdle();
  }
}

// A call is active once its request has been read whole.
bool
Gateway::HasUnfinishedCalls() const
{
  return !calls_.empty() ||
         std::ranges::any_of(callerLinks_, [](const LinkPtr& aLink) {
           return aLink->Busy() || aLink->HasUnread() || aLink->IsNew();
         });
}

void
Gateway::Reload(const GatewaySettings& aSettings)
{
  settings_.seeds_ = aSettings.seeds_;
  settings_.retries_ = aSettings.retries_;
  settings_.grace_ = aSettings.grace_;
  fleet_.SetSeeds(settings_.seeds_);
  for (auto& [service, budget] : budgets_) {
    budget.SetBound(settings_.retries_);
  }
  core::Log(core::LogLevel::Info,
            "settings read again",
            { { "seeds", std::to_string(settings_.seeds_.size()) } });
}

coordination::SharedRetryBudget&
Gateway::RetryBudgetFor(const coordination::ServiceName& aService)
{
  const auto found = budgets_.find(aService);
  if (found != budgets_.end()) {
    return found->second;
  }
  auto& budget =
    budgets_
      .emplace(aService, coordination::SharedRetryBudget(settings_.retries_))
      .first->second;
  if (hosts_ > 0) {
    budget.SetHosts(hosts_);
  }
  return budget;
}

std::size_t
Gateway::MaxIdleConnections(const coordination::ServiceName& aService) const
{
  const coordination::Service* service =
    routes_ ? routes_->FindService(aService) : nullptr;
  if (service == nullptr || service->maxConnections_ == 0 || hosts_ == 0) {
    return kMaxIdlePerServer;
  }
  const auto share =
    static_cast<std::size_t>(kIdleConnectionShare * service->maxConnections_ /
                             static_cast<double>(hosts_));
  return std::clamp<std::size_t>(share, 1, kMaxIdlePerServer);
}

void
Gateway::CountRefusal(GatewayRefusal aReason)
{
  counters_->refusals_.at(static_cast<std::size_t>(aReason))->Add();
}

void
Gateway::AssignSlots()
{
  if (queue_.Size() == 0) {
    return;
  }
  for (const auto& grant : queue_.Assign(view_, clock_.Now(), random_)) {
    const auto found = waiting_.find(grant.id_);
    if (found == waiting_.end()) {
      continue;
    }
    GatewayCall* call = found->second;
    waiting_.erase(found);
    call->OnSlotAssigned(grant.choice_);
  }
}

} // namespace crocusslip::entry
