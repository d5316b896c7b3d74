#include "entry/Gateway.hpp"

#include "coordination/ModelPlacement.hpp"
#include "core/Durations.hpp"
#include "core/Log.hpp"
#include "core/Reasons.hpp"
#include "entry/GatewayCall.hpp"
#include "protocol/Compression.hpp"
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

constexpr std::chrono::milliseconds kHousekeepingInterval{ 500 };
/// Time from SIGTERM until new connections are refused. The load balancer stops
/// sending them after two readiness checks, which it makes a second apart.
constexpr std::chrono::milliseconds kAcceptTimeAfterTerm{ 3000 };
/// Time reserved for shutdown before the platform sends SIGKILL.
constexpr std::chrono::milliseconds kShutdownReserve{ 700 };
constexpr std::chrono::milliseconds kDrainPollInterval{ 50 };
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
/// Crashes with parts of prompts that are reported again to a new leader.
constexpr std::size_t kMaxPromptCrashes = 64;
constexpr std::chrono::seconds kPromptCrashLifetime{ 60 };
/// Parts of prompts in one report.
constexpr std::size_t kMaxStartedParts = 1024;

constexpr std::array<const char*, kGatewayRefusals> kRefusalNames = {
  "no_routes_yet", "no_route",      "no_server",   "no_model",
  "full",          "deadline_over", "quarantined", "not_run_elsewhere",
  "broken",        "malformed",     "draining",
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

std::vector<std::int64_t>
ToWireParts(const auto& aParts)
{
  std::vector<std::int64_t> out;
  out.reserve(aParts.size());
  for (const coordination::PromptPart part : aParts) {
    out.push_back(static_cast<std::int64_t>(part));
  }
  return out;
}

/// Takes the load of a wire::ServerRow or wire::ServerLoad.
template<typename Figures>
void
SetLoad(coordination::BackendRow& aRow, const Figures& aFigures)
{
  aRow.othersInFlight_ =
    static_cast<std::uint32_t>(std::max(0, aFigures.inFlight));
  aRow.othersTokens_ =
    static_cast<std::uint64_t>(std::max<std::int64_t>(0, aFigures.tokens));
  // speedPercent is the time for a prompt relative to the mean server, so
  // higher is slower; 0: not known.
  aRow.slowness_ =
    aFigures.speedPercent > 0 ? aFigures.speedPercent / 100.0 : 1.0;
  aRow.tokenTime_ = std::chrono::nanoseconds(std::max(0, aFigures.tokenNanos));
  aRow.othersPrefillTokens_ = static_cast<std::uint64_t>(
    std::max<std::int64_t>(0, aFigures.unreadTokens));
  aRow.suspect_ = aFigures.suspect;
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
      auto link =
        std::make_shared<transport::CallerLink>(std::move(aSocket), Limits());
      callerLinks_.insert(link);
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
  return routes_ != nullptr && hasServerRows_ && !draining_;
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
  bool keepAlive = true;
  while (keepAlive) {
    HttpRequest request;
    aLink->SetBusy(false);
    const ReadResult read = co_await aLink->Read(request, Limits());
    if (read == ReadResult::Closed) {
      aLink->Close();
      break;
    }
    if (read != ReadResult::Complete) {
      co_await RejectUnreadable(*aLink, read);
      break;
    }
    counters_->requests_.Add();
    ++activeCalls_;
    auto call = std::make_shared<GatewayCall>(*this, aLink, std::move(request));
    try {
      keepAlive = co_await call->Run();
    } catch (...) {
      transport::LogUnexpected(std::current_exception());
      aLink->Abort();
      keepAlive = false;
    }
    --activeCalls_;
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
  bool keepAlive = true;
  while (keepAlive) {
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
    keepAlive = co_await aLink->Write(answer) && request.keep_alive();
  }
  co_await aLink->Finish();
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
            { { "calls", std::to_string(activeCalls_) } });
  transport::Spawn(loop_, [this] { return StopAfterGrace(); });
}

Task<void>
Gateway::StopAfterGrace()
{
  transport::asio::steady_timer timer(loop_);
  co_await transport::Sleep(timer, kAcceptTimeAfterTerm);
  callerListener_->Stop();
  for (const LinkPtr& link : callerLinks_) {
    link->EndIdle();
  }
  while (HasUnfinishedCalls() && clock_.Now() < stopTime_) {
    co_await transport::Sleep(timer, kDrainPollInterval);
  }
  core::Log(core::LogLevel::Info,
            "gateway stopped",
            { { "cut", std::to_string(activeCalls_) },
              { "unread",
                std::to_string(
                  std::ranges::count_if(callerLinks_, [](const LinkPtr& aLink) {
                    return aLink->HasUnread();
                  })) } });
  fleet_.Stop();
  loop_.stop();
}

// A call is active once its request has been read whole.
bool
Gateway::HasUnfinishedCalls() const
{
  return activeCalls_ > 0 ||
         std::ranges::any_of(callerLinks_, [](const LinkPtr& aLink) {
           return aLink->Busy() || aLink->HasUnread();
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

wire::SyncRequest
Gateway::BuildSyncRequest()
{
  wire::SyncRequest request;
  request.host = settings_.host_.Value();
  request.failureDomain = settings_.failureDomain_.Value();
  request.instance = instance_;
  request.epoch = epoch_;
  request.seen = seenChange_;
  request.takesCompressed = true;
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
    out.unreadTokens = static_cast<std::int64_t>(use.prefillTokens_);
    for (const core::ModelName& model : use.missing_) {
      out.missing.push_back(model.Value());
    }
    const auto active = runningModels_.find(id);
    if (active != runningModels_.end()) {
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
    // The waiting calls' summed weight; priority 0 is the most urgent.
    out.worth += 1.0 / (1.0 + waiting.priority_);
  }
  for (auto& [name, use] : models) {
    use.model = name.Value();
    request.models.push_back(std::move(use));
  }
  // A report without a reply may be lost.
  sentCrashReports_.insert(
    sentCrashReports_.end(), crashReports_.begin(), crashReports_.end());
  crashReports_.clear();
  for (const coordination::PromptCrash& crash : sentCrashReports_) {
    wire::Crash& out = request.crashes.emplace_back();
    out.request = ToWire(crash.request_);
    out.server = crash.server_.Value();
    out.parts = ToWireParts(crash.parts_);
    out.ageMs =
      static_cast<std::int32_t>(core::Milliseconds(clock_.Now() - crash.at_));
  }
  request.completed = std::exchange(completedReports_, {});
  request.startedParts = ToWireParts(std::exchange(startedParts_, {}));
  request.starts = static_cast<std::int32_t>(std::exchange(starts_, 0));
  if (reportHeldParts_) {
    request.heldParts = ToWireParts(heldParts_);
  }
  return request;
}

void
Gateway::ApplySyncReply(const wire::SyncReply& aReply)
{
  ApplyRoutes(aReply);
  ApplySuspects(aReply);
  ApplyServerRows(aReply);
  if (aReply.hosts > 0 && hosts_ != static_cast<std::uint32_t>(aReply.hosts)) {
    hosts_ = static_cast<std::uint32_t>(aReply.hosts);
    for (auto& [service, budget] : budgets_) {
      budget.SetHosts(hosts_);
    }
  }
  const core::MonotonicTime now = clock_.Now();
  expectedReady_.clear();
  for (const wire::ComingModel& model : aReply.coming) {
    expectedReady_[core::ModelName(model.model)] =
      now + std::chrono::milliseconds(model.readyInMs);
  }
  AssignSlots();
  // Calls whose model will be loaded too late are refused immediately instead
  // of at their deadline.
  for (const auto& [id, call] : waiting_) {
    if (!call->CanStillGetSlot()) {
      call->RecheckDeadline();
    }
  }
}

void
Gateway::ApplyRoutes(const wire::SyncReply& aReply)
{
  const auto currentVersion = routes_ ? routes_->Version() : 0;
  const bool compressed = !aReply.compressedRoutes.empty();
  if ((aReply.routes.empty() && !compressed) ||
      static_cast<std::uint64_t>(aReply.routesVersion) <= currentVersion) {
    return;
  }
  core::Result<std::string> text =
    compressed ? protocol::Decompress(
                   aReply.compressedRoutes,
                   static_cast<std::size_t>(std::max(0, aReply.routesBytes)))
               : core::Result<std::string>(aReply.routes);
  auto routes = text.Ok()
                  ? settings_.parseRoutes_(text.Value())
                  : core::Result<coordination::RouteTable>(text.Failure());
  if (!routes.Ok()) {
    core::Log(core::LogLevel::Error,
              "cannot parse routing table",
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
Gateway::RecordBrokenConnection(
  const core::Digest& aFingerprint,
  const core::ServerId& aServer,
  const std::vector<coordination::PromptPart>& aParts)
{
  const core::MonotonicTime now = clock_.Now();
  crashGuard_.OnConnectionLost(aFingerprint, aServer, now);
  const coordination::PromptCrash crash{ aFingerprint, aServer, aParts, now };
  crashReports_.push_back(crash);
  if (!aParts.empty()) {
    promptCrashes_.push_back(crash);
    if (promptCrashes_.size() > kMaxPromptCrashes) {
      promptCrashes_.pop_front();
    }
  }
  fleet_.SyncNow();
}

void
Gateway::ReportCrashesAgain()
{
  const core::MonotonicTime now = clock_.Now();
  crashReports_.clear();
  for (const auto& broken : crashGuard_.SuspectCrashes(now)) {
    crashReports_.push_back({ broken.fingerprint_, broken.server_, {}, now });
  }
  for (const coordination::PromptCrash& crash : promptCrashes_) {
    if (now - crash.at_ < kPromptCrashLifetime) {
      crashReports_.push_back(crash);
    }
  }
  reportHeldParts_ = true;
}

void
Gateway::RecordStarted(const std::vector<coordination::PromptPart>& aParts)
{
  ++starts_;
  if (startedParts_.size() < kMaxStartedParts) {
    startedParts_.insert(aParts.begin(), aParts.end());
  }
}

bool
Gateway::HoldsBack(const std::vector<coordination::PromptPart>& aParts) const
{
  return !heldParts_.empty() &&
         std::ranges::any_of(aParts, [this](coordination::PromptPart aPart) {
           return heldParts_.contains(aPart);
         });
}

std::optional<core::MonotonicTime>
Gateway::ExpectedReadyTime(const core::ModelName& aModel) const
{
  const auto coming =
    expectedReady_.find(coordination::SplitModel(aModel).model_);
  return coming == expectedReady_.end() ? std::nullopt
                                        : std::optional(coming->second);
}

void
Gateway::RecordCompleted(const core::Digest& aFingerprint)
{
  if (crashGuard_.CrashCount(aFingerprint, clock_.Now()) > 0) {
    crashGuard_.OnCompleted(aFingerprint, clock_.Now());
    completedReports_.push_back(ToWire(aFingerprint));
  }
}

void
Gateway::ApplySuspects(const wire::SyncReply& aReply)
{
  sentCrashReports_.clear();
  std::set<coordination::PromptPart> held(aReply.heldParts.begin(),
                                          aReply.heldParts.end());
  const std::int64_t epoch =
    aReply.crashEpoch != 0 ? aReply.crashEpoch : aReply.epoch;
  if (std::exchange(crashEpoch_, epoch) != epoch) {
    // A new leader has no record of what this host reported to the previous
    // one, so that its own lists are not complete yet.
    heldParts_.merge(held);
    ReportCrashesAgain();
    return;
  }
  std::vector<coordination::QuarantineEntry> entries;
  for (const wire::Suspect& suspect : aReply.suspects) {
    entries.push_back(
      { FromWire(suspect.request),
        static_cast<std::uint32_t>(std::max(0, suspect.servers)) });
  }
  crashGuard_.ReplaceQuarantine(entries);
  reportHeldParts_ = false;
  heldParts_ = std::move(held);
}

void
Gateway::ApplyServerRows(const wire::SyncReply& aReply)
{
  if (aReply.complete) {
    std::set<core::ServerId> listed;
    for (const wire::ServerRow& row : aReply.rows) {
      listed.insert(core::ServerId(row.server));
    }
    for (const core::ServerId& id : view_.Ids()) {
      if (!listed.contains(id)) {
        view_.Remove(id);
        pool_.Drop(id);
      }
    }
  }
  epoch_ = aReply.epoch;
  seenChange_ = aReply.seen;
  for (const wire::ServerRow& row : aReply.rows) {
    coordination::BackendRow out;
    out.server_ = core::ServerId(row.server);
    out.address_ = row.address;
    out.service_ = coordination::ServiceName(row.serviceName);
    out.failureDomain_ = core::FailureDomainId(row.failureDomain);
    // Wire values: 0 ready, 1 leaving, 2 gone.
    out.state_ = row.state == 0   ? coordination::BackendState::Ready
                 : row.state == 1 ? coordination::BackendState::Leaving
                                  : coordination::BackendState::Gone;
    out.slots_ = static_cast<std::uint32_t>(std::max(0, row.slots));
    out.memoryTokens_ =
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, row.memoryTokens));
    for (const std::string& model : row.models) {
      out.models_.insert(core::ModelName(model));
    }
    SetLoad(out, row);
    if (out.state_ == coordination::BackendState::Gone) {
      pool_.Drop(out.server_);
      view_.Remove(out.server_);
      continue;
    }
    view_.Update(std::move(out));
  }
  for (const wire::ServerLoad& load : aReply.loads) {
    coordination::BackendRow out;
    out.server_ = core::ServerId(load.server);
    out.loadOnly_ = true;
    SetLoad(out, load);
    view_.Update(std::move(out));
  }
  hasServerRows_ = hasServerRows_ || view_.Size() > 0;
}

} // namespace crocusslip::entry
