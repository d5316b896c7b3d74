#include "entry/Gateway.hpp"

#include "coordination/ModelPlacement.hpp"
#include "core/Log.hpp"
#include "core/Reasons.hpp"
#include "entry/GatewayCall.hpp"
#include "protocol/FingerprintWire.hpp"

#include <algorithm>
#include <array>
#include <unistd.h>
#include <utility>

namespace crocusslip::entry {

namespace {

using protocol::FromWire;
using protocol::ToWire;
using transport::HttpRequest;
using transport::ReadResult;
using transport::Task;
namespace http = transport::http;

constexpr std::chrono::milliseconds kHousekeeping{ 500 };
/// From SIGTERM until new connections are refused: the balancer needs two
/// questions, a second apart, to stop sending them.
constexpr std::chrono::milliseconds kAcceptAfterTerm{ 3000 };
/// Time kept before the platform's SIGKILL.
constexpr std::chrono::milliseconds kBeforeKill{ 700 };
constexpr std::chrono::milliseconds kDrainStep{ 50 };
/// Idle connections that a host keeps to one server, and the share of a
/// server's connections that those of all hosts may take; the rest is for
/// requests that run.
constexpr std::size_t kMostIdle = 8;
constexpr double kIdleShare = 0.5;
/// Servers that a request may lose before it is held back. Two may fail beside
/// an innocent one; the users allow three more runs after the third.
constexpr std::uint32_t kServersLost = 3;
/// Requests that are remembered as suspects, or as cleared of it.
constexpr std::size_t kSuspects = 512;

constexpr std::array<const char*, kGatewayRefusals> kRefusalNames = {
  "no_routes_yet", "no_route",      "no_server",   "no_model",
  "full",          "deadline_over", "quarantined", "not_run_elsewhere",
  "broken",        "malformed",     "draining",
};

coordination::CrashGuardSettings
MakeGuardSettings()
{
  coordination::CrashGuardSettings settings;
  settings.maxServersLost_ = kServersLost;
  settings.maxSuspects_ = kSuspects;
  settings.maxProven_ = kSuspects;
  return settings;
}

} // namespace

const char*
NameOf(GatewayRefusal aReason)
{
  return kRefusalNames.at(static_cast<std::size_t>(aReason));
}

struct Gateway::Counters
{
  explicit Counters(core::MetricsRegistry& aMetrics)
    : requests_(aMetrics.AddCounter("crocusslip_requests_total",
                                    "",
                                    "Requests of callers."))
  {
    for (std::size_t i = 0; i < kGatewayRefusals; ++i) {
      refusals_.at(i) = &aMetrics.AddCounter(
        "crocusslip_refusals_total",
        std::string("reason=\"") + kRefusalNames.at(i) + "\"",
        "Requests that the gateway answered itself.");
    }
  }

  core::Counter& requests_;
  std::array<core::Counter*, kGatewayRefusals> refusals_{};
};

Gateway::Gateway(transport::asio::io_context& aLoop,
                 GatewaySettings aSettings,
                 const core::Clock& aClock)
  : loop_(aLoop)
  , settings_(std::move(aSettings))
  , clock_(aClock)
  , random_(core::DeviceSeed())
  , instance_(static_cast<std::int64_t>(random_.Next() >> 2U))
  , counters_(std::make_unique<Counters>(metrics_))
  , view_(settings_.failureDomain_)
  , guard_(MakeGuardSettings())
  , fleet_(
      aLoop,
      [this] { return Report(); },
      [this](const wire::SyncReply& aReply) { Learn(aReply); })
{
}

Gateway::~Gateway() = default;

core::Status
Gateway::Start()
{
  callerListener_ = std::make_unique<transport::LinkListener>(
    loop_, settings_.callerAddress_, [this](transport::Tcp::socket aSocket) {
      auto link =
        std::make_shared<transport::CallerLink>(std::move(aSocket), Limits());
      links_.insert(link);
      transport::Spawn(loop_, [this, link] { return ServeCaller(link); });
    });
  readinessListener_ = std::make_unique<transport::LinkListener>(
    loop_, settings_.readinessAddress_, [this](transport::Tcp::socket aSocket) {
      auto link =
        std::make_shared<transport::CallerLink>(std::move(aSocket), Limits());
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
  return routes_ != nullptr && learnedRows_ && !draining_;
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
Gateway::RefuseUnread(transport::CallerLink& aLink, ReadResult aResult)
{
  unsigned status = 0;
  switch (aResult) {
    case ReadResult::Complete:
    case ReadResult::Closed:
    case ReadResult::Broken:
      co_return false;
    case ReadResult::HeaderTimeout:
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
            "request not read",
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
  bool keep = true;
  while (keep) {
    HttpRequest request;
    aLink->SetBusy(false);
    const ReadResult read = co_await aLink->Read(request, Limits());
    if (read != ReadResult::Complete) {
      co_await RefuseUnread(*aLink, read);
      break;
    }
    counters_->requests_.Add();
    const bool wantsKeep = request.keep_alive();
    ++calls_;
    auto call = std::make_shared<GatewayCall>(*this, aLink, std::move(request));
    keep = co_await call->Run() && wantsKeep && !draining_;
    --calls_;
  }
  aLink->SetBusy(true);
  co_await aLink->Finish();
  links_.erase(aLink);
}

Task<void>
Gateway::ServeReadiness(LinkPtr aLink)
{
  bool keep = true;
  while (keep) {
    HttpRequest request;
    if (co_await aLink->Read(request, {}) != ReadResult::Complete) {
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
    keep = co_await aLink->Write(answer) && request.keep_alive();
  }
  co_await aLink->Finish();
}

Task<void>
Gateway::Housekeeping()
{
  transport::asio::steady_timer timer(loop_);
  while (true) {
    co_await transport::Sleep(timer, kHousekeeping);
    pool_.Trim();
    AssignPlaces();
    guard_.Expire(clock_.Now());
    std::erase_if(models_, [](const auto& aEntry) {
      return aEntry.second.inFlight_ == 0 && aEntry.second.arrivals_ == 0;
    });
    std::erase_if(active_,
                  [](const auto& aEntry) { return aEntry.second.empty(); });
  }
}

void
Gateway::Drain()
{
  if (std::exchange(draining_, true)) {
    return;
  }
  waitUntil_ = clock_.Now() + kAcceptAfterTerm;
  for (const auto& [id, call] : waiting_) {
    call->Recheck();
  }
  core::Log(
    core::LogLevel::Info, "draining", { { "calls", std::to_string(calls_) } });
  transport::Spawn(loop_, [this] { return EndAfterGrace(); });
}

Task<void>
Gateway::EndAfterGrace()
{
  transport::asio::steady_timer timer(loop_);
  const core::MonotonicTime begin = clock_.Now();
  co_await transport::Sleep(timer, kAcceptAfterTerm);
  callerListener_->Stop();
  for (const LinkPtr& link : links_) {
    link->EndIdle();
  }
  while (calls_ > 0 && clock_.Now() < begin + settings_.grace_ - kBeforeKill) {
    co_await transport::Sleep(timer, kDrainStep);
  }
  core::Log(core::LogLevel::Info,
            "gateway stopped",
            { { "cut", std::to_string(calls_) } });
  fleet_.Stop();
  loop_.stop();
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
Gateway::BudgetOf(const coordination::ServiceName& aService)
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
Gateway::MostIdle(const coordination::ServiceName& aService) const
{
  const coordination::Service* service =
    routes_ ? routes_->FindService(aService) : nullptr;
  if (service == nullptr || service->maxConnections_ == 0 || hosts_ == 0) {
    return kMostIdle;
  }
  const auto share = static_cast<std::size_t>(
    kIdleShare * service->maxConnections_ / static_cast<double>(hosts_));
  return std::clamp<std::size_t>(share, 1, kMostIdle);
}

void
Gateway::CountRefusal(GatewayRefusal aReason)
{
  counters_->refusals_.at(static_cast<std::size_t>(aReason))->Add();
}

void
Gateway::AssignPlaces()
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
    call->Grant(grant.choice_);
  }
}

wire::SyncRequest
Gateway::Report()
{
  wire::SyncRequest request;
  request.host = settings_.host_.Value();
  request.failureDomain = settings_.failureDomain_.Value();
  request.instance = instance_;
  request.epoch = epoch_;
  request.seen = seen_;
  request.routesVersion =
    routes_ ? static_cast<std::int64_t>(routes_->Version()) : 0;
  for (const auto& [id, use] : view_.TakeUsage()) {
    wire::ServerUse out;
    out.server = id.Value();
    out.inFlight = static_cast<std::int32_t>(use.inFlight_);
    out.tokens = static_cast<std::int64_t>(use.tokens_);
    out.failures = static_cast<std::int32_t>(use.failures_);
    out.successes = static_cast<std::int32_t>(use.successes_);
    out.unreachable = static_cast<std::int32_t>(use.unreachable_);
    out.promptRuns = static_cast<std::int32_t>(use.prompts_.runs_);
    out.promptTokens = static_cast<std::int64_t>(use.prompts_.tokens_);
    out.promptMicros = static_cast<std::int64_t>(use.prompts_.micros_);
    out.tokensSquared = use.prompts_.tokensSquared_;
    out.tokensMicros = use.prompts_.tokensMicros_;
    out.unreadTokens = static_cast<std::int64_t>(use.unreadTokens_);
    for (const core::ModelName& model : use.missing_) {
      out.missing.push_back(model.Value());
    }
    const auto active = active_.find(id);
    if (active != active_.end()) {
      std::set<core::ModelName> models(active->second.begin(),
                                       active->second.end());
      for (const core::ModelName& model : models) {
        out.active.push_back(model.Value());
      }
    }
    request.uses.push_back(std::move(out));
  }
  std::map<core::ModelName, wire::ModelUse> models;
  for (auto& [name, use] : models_) {
    if (use.inFlight_ > 0 || use.arrivals_ > 0) {
      wire::ModelUse& out = models[name];
      out.inFlight = static_cast<std::int32_t>(use.inFlight_);
      out.arrivals = static_cast<std::int32_t>(std::exchange(use.arrivals_, 0));
    }
  }
  for (const auto& [id, waiting] : queue_.All()) {
    if (waiting.need_.model_.Empty()) {
      continue;
    }
    wire::ModelUse& out = models[waiting.need_.model_];
    ++out.waiting;
    out.tokens += static_cast<std::int64_t>(waiting.need_.tokens_);
    out.worth += 1.0 / (1.0 + waiting.priority_);
  }
  for (auto& [name, use] : models) {
    use.model = name.Value();
    request.models.push_back(std::move(use));
  }
  request.crashes = std::exchange(crashes_, {});
  request.completed = std::exchange(completed_, {});
  return request;
}

void
Gateway::Learn(const wire::SyncReply& aReply)
{
  LearnRoutes(aReply);
  LearnSuspects(aReply);
  LearnRows(aReply);
  if (aReply.hosts > 0 && hosts_ != static_cast<std::uint32_t>(aReply.hosts)) {
    hosts_ = static_cast<std::uint32_t>(aReply.hosts);
    for (auto& [service, budget] : budgets_) {
      budget.SetHosts(hosts_);
    }
  }
  const core::MonotonicTime now = clock_.Now();
  coming_.clear();
  for (const wire::ComingModel& model : aReply.coming) {
    coming_[core::ModelName(model.model)] =
      now + std::chrono::milliseconds(model.readyInMs);
  }
  AssignPlaces();
  // Calls whose model will come too late are refused now, not at the end.
  for (const auto& [id, call] : waiting_) {
    if (!call->MayWait()) {
      call->Recheck();
    }
  }
}

void
Gateway::LearnRoutes(const wire::SyncReply& aReply)
{
  const auto held = routes_ ? routes_->Version() : 0;
  if (aReply.routes.empty() ||
      static_cast<std::uint64_t>(aReply.routesVersion) <= held) {
    return;
  }
  auto routes = settings_.readRoutes_(aReply.routes);
  if (!routes.Ok()) {
    core::Log(core::LogLevel::Error,
              "table of routes not read",
              { { "version", std::to_string(aReply.routesVersion) },
                { "reason", routes.Failure().Message() } });
    return;
  }
  routes_ =
    std::make_shared<const coordination::RouteTable>(std::move(routes.Value()));
  core::Log(core::LogLevel::Info,
            "routes in force",
            { { "version", std::to_string(routes_->Version()) },
              { "routes", std::to_string(routes_->Routes().size()) } });
}

void
Gateway::NoteBreak(const core::Digest& aFingerprint,
                   const core::ServerId& aServer)
{
  guard_.OnBreak(aFingerprint, aServer, clock_.Now());
  ReportBreak(aFingerprint, aServer);
}

void
Gateway::ReportBreak(const core::Digest& aFingerprint,
                     const core::ServerId& aServer)
{
  wire::Crash crash;
  crash.request = ToWire(aFingerprint);
  crash.server = aServer.Value();
  crashes_.push_back(std::move(crash));
}

std::optional<core::MonotonicTime>
Gateway::ComingAt(const core::ModelName& aModel) const
{
  const auto coming = coming_.find(coordination::SplitModel(aModel).model_);
  return coming == coming_.end() ? std::nullopt : std::optional(coming->second);
}

void
Gateway::NoteCompleted(const core::Digest& aFingerprint)
{
  if (guard_.ServersLost(aFingerprint, clock_.Now()) > 0) {
    guard_.OnCompleted(aFingerprint, clock_.Now());
    completed_.push_back(ToWire(aFingerprint));
  }
}

void
Gateway::LearnSuspects(const wire::SyncReply& aReply)
{
  if (aReply.epoch != epoch_) {
    // A new leader knows nothing yet of what this host has met.
    crashes_.clear();
    for (const auto& seen : guard_.Breaks(clock_.Now())) {
      ReportBreak(seen.fingerprint_, seen.server_);
    }
    return;
  }
  std::vector<coordination::QuarantineEntry> entries;
  for (const wire::Suspect& suspect : aReply.suspects) {
    entries.push_back(
      { FromWire(suspect.request),
        static_cast<std::uint32_t>(std::max(0, suspect.servers)) });
  }
  guard_.ReplaceQuarantine(entries);
}

void
Gateway::LearnRows(const wire::SyncReply& aReply)
{
  if (aReply.complete) {
    std::set<core::ServerId> named;
    for (const wire::ServerRow& row : aReply.rows) {
      named.insert(core::ServerId(row.server));
    }
    for (const core::ServerId& id : view_.Ids()) {
      if (!named.contains(id)) {
        view_.Remove(id);
        pool_.Drop(id);
      }
    }
  }
  epoch_ = aReply.epoch;
  seen_ = aReply.seen;
  for (const wire::ServerRow& row : aReply.rows) {
    coordination::BackendRow out;
    out.server_ = core::ServerId(row.server);
    out.address_ = row.address;
    out.service_ = coordination::ServiceName(row.serviceName);
    out.failureDomain_ = core::FailureDomainId(row.failureDomain);
    out.state_ = row.state == 0   ? coordination::BackendState::Ready
                 : row.state == 1 ? coordination::BackendState::Leaving
                                  : coordination::BackendState::Gone;
    out.slots_ = static_cast<std::uint32_t>(std::max(0, row.slots));
    out.memoryTokens_ =
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, row.memoryTokens));
    for (const std::string& model : row.models) {
      out.models_.insert(core::ModelName(model));
    }
    out.othersInFlight_ = static_cast<std::uint32_t>(std::max(0, row.inFlight));
    out.othersTokens_ =
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, row.tokens));
    out.slowness_ = row.speedPercent > 0 ? row.speedPercent / 100.0 : 1.0;
    out.tokenTime_ = std::chrono::nanoseconds(std::max(0, row.tokenNanos));
    out.othersUnreadTokens_ =
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, row.unreadTokens));
    out.suspect_ = row.suspect;
    if (out.state_ == coordination::BackendState::Gone) {
      pool_.Drop(out.server_);
      view_.Remove(out.server_);
      continue;
    }
    view_.Update(std::move(out));
  }
  learnedRows_ = learnedRows_ || view_.Size() > 0;
}

} // namespace crocusslip::entry
