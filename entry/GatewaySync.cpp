#include "coordination/ModelPlacement.hpp"
#include "core/Durations.hpp"
#include "core/Log.hpp"
#include "entry/Gateway.hpp"
#include "entry/GatewayCall.hpp"
#include "protocol/Compression.hpp"
#include "protocol/FingerprintWire.hpp"
#include "protocol/ServerTableWire.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace crocusslip::entry {

namespace {

using protocol::FromWire;
using protocol::ToWire;

/// Crashes in one report; older ones are dropped.
constexpr std::ptrdiff_t kMaxCrashReports = 256;
/// Crashes with parts of prompts that are reported again to a new leader.
constexpr std::size_t kMaxPromptCrashes = 64;
constexpr std::chrono::seconds kPromptCrashLifetime{ 60 };
/// Parts of prompts in one report.
constexpr std::size_t kMaxStartedParts = 1024;
/// A first event longer ago is not reported: it may be from before the part
/// began to crash servers.
constexpr std::chrono::milliseconds kMaxStartAge{ 1500 };
/// Rates are sent as requests in 1,000 s.
constexpr double kRateUnits = 1000;
/// Status of a server that turns a request away.
constexpr unsigned kBusyStatus = 503;
/// Highest rate limit, in requests per second, that is told apart from none.
constexpr double kMaxRateLimit = 1e6;
/// Longest time, in seconds, that a server's Retry-After is heeded, and that it
/// may name.
constexpr double kMaxRetryAfter = 60;
constexpr double kMaxNamedRetryAfter = 1e9;

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
  aRow.pacePercent_ =
    static_cast<std::uint32_t>(std::max(0, aFigures.pacePercent));
  aRow.queued_ = static_cast<std::uint32_t>(std::max(0, aFigures.queued));
}

/// Parses a decimal number from 0 to aMax; nullopt if the text is no such
/// number.
std::optional<double>
ParseDecimal(std::string_view aText, double aMax)
{
  double value = 0;
  const auto parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  const bool valid = parsed.ec == std::errc() &&
                     parsed.ptr == aText.data() + aText.size() && value >= 0 &&
                     value <= aMax;
  return valid ? std::optional(value) : std::nullopt;
}

/// 0 stands for no limit on the wire, so that a rate below the unit is rounded
/// up to it.
std::int32_t
ToWireRate(const std::optional<double>& aRate)
{
  return aRate ? std::max(1, static_cast<std::int32_t>(*aRate * kRateUnits))
               : 0;
}

} // namespace

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
  request.takesTable = true;
  request.routesVersion =
    routes_ ? static_cast<std::int64_t>(routes_->Version()) : 0;
  std::map<core::ServerId, std::uint32_t> wanted = queue_.TakeWantedGrants();
  auto usage = view_.TakeUsage();
  for (const auto& [id, count] : wanted) {
    usage.try_emplace(id);
  }
  for (const auto& [id, use] : usage) {
    wire::ServerUse out;
    out.wantedGrants = static_cast<std::int32_t>(wanted[id]);
    if (use.sighting_) {
      out.rateLimitMilli = ToWireRate(use.sighting_->perSecond_);
      out.rateLimitAgeMs = static_cast<std::int32_t>(
        core::Milliseconds(clock_.Now() - use.sighting_->at_));
    }
    LoadReader::Report(use, clock_.Now(), out);
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
  ReportLines(models);
  for (auto& [name, use] : models) {
    use.model = name.Value();
    request.models.push_back(std::move(use));
  }
  FillTenantUses(request);
  // A report without a reply may be lost.
  sentCrashReports_.insert(
    sentCrashReports_.end(), crashReports_.begin(), crashReports_.end());
  crashReports_.clear();
  if (std::ssize(sentCrashReports_) > kMaxCrashReports) {
    sentCrashReports_.erase(sentCrashReports_.begin(),
                            sentCrashReports_.end() - kMaxCrashReports);
  }
  for (const coordination::PromptCrash& crash : sentCrashReports_) {
    wire::Crash& out = request.crashes.emplace_back();
    out.request = ToWire(crash.request_);
    out.server = crash.server_.Value();
    out.parts = ToWireParts(crash.parts_);
    out.ageMs =
      static_cast<std::int32_t>(core::Milliseconds(clock_.Now() - crash.at_));
  }
  request.completed = std::exchange(completedReports_, {});
  bool late = false;
  for (const auto& [part, at] : std::exchange(startedParts_, {})) {
    late = late || clock_.Now() - at > kMaxStartAge;
    if (clock_.Now() - at <= kMaxStartAge) {
      request.startedParts.push_back(static_cast<std::int64_t>(part));
    }
  }
  const std::uint32_t starts = std::exchange(starts_, 0);
  request.starts = late ? 0 : static_cast<std::int32_t>(starts);
  if (reportHeldParts_) {
    request.heldParts = ToWireParts(heldParts_);
  }
  ReportQuotas(request);
  return request;
}

void
Gateway::ApplySyncReply(const wire::SyncReply& aReply)
{
  ApplyRoutes(aReply);
  ApplyQuotas(aReply);
  ApplySuspects(aReply);
  ApplyServerRows(aReply);
  ApplyTenantShares(aReply);
  if (aReply.hosts > 0 && hosts_ != static_cast<std::uint32_t>(aReply.hosts)) {
    hosts_ = static_cast<std::uint32_t>(aReply.hosts);
    for (auto& [service, budget] : budgets_) {
      budget.SetHosts(hosts_);
    }
  }
  const core::MonotonicTime now = clock_.Now();
  view_.OnControlContact(hosts_, now);
  for (const wire::RateGrant& grant : aReply.grants) {
    view_.OnGrants(core::ServerId(grant.server),
                   static_cast<std::uint32_t>(std::max(0, grant.requests)),
                   now);
  }
  ApplyLines(aReply);
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
  if (std::ssize(crashReports_) >= kMaxCrashReports) {
    crashReports_.erase(crashReports_.begin());
  }
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
  const core::MonotonicTime now = clock_.Now();
  for (const coordination::PromptPart part : aParts) {
    if (startedParts_.size() < kMaxStartedParts) {
      startedParts_[part] = now;
    }
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
Gateway::OnAnswerHead(const core::ServerId& aServer,
                      const transport::AnswerHead& aHead)
{
  const protocol::CallHeaders& names = settings_.headers_;
  loadReader_.OnAnswerHead(aServer, aHead, clock_.Now());
  if (!names.leaving_.empty() && !aHead.fields_[names.leaving_].empty()) {
    view_.OnLeaving(aServer);
  }
  const auto retryAfter = aHead.fields_[transport::http::field::retry_after];
  if (aHead.status_ == kBusyStatus && !retryAfter.empty()) {
    const auto seconds = ParseDecimal({ retryAfter.data(), retryAfter.size() },
                                      kMaxNamedRetryAfter);
    if (seconds) {
      const double heeded = std::min(*seconds, kMaxRetryAfter);
      view_.OnRetryAfter(aServer,
                         clock_.Now() + core::FromMilliseconds(heeded * 1000));
    }
  }
  if (names.rateLimit_.empty()) {
    return;
  }
  const auto field = aHead.fields_.find(settings_.headers_.rateLimit_);
  const bool named = field != aHead.fields_.end();
  coordination::RateSighting sighting{ std::nullopt, clock_.Now() };
  if (named) {
    const auto text = field->value();
    sighting.perSecond_ =
      ParseDecimal({ text.data(), text.size() }, kMaxRateLimit);
    if (!sighting.perSecond_) {
      core::Log(
        core::LogLevel::Warning,
        "rate limit of a server can't be read",
        { { "server", aServer.Value() }, { "limit", std::string(text) } });
      return;
    }
  }
  if (view_.OnRateSighting(aServer, sighting)) {
    core::Log(core::LogLevel::Info,
              "rate limit of a server changed",
              { { "server", aServer.Value() },
                { "per_second",
                  sighting.perSecond_ ? std::to_string(*sighting.perSecond_)
                                      : "none" } });
  }
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
  std::vector<coordination::QuarantineEntry> entries;
  for (const wire::Suspect& suspect : aReply.suspects) {
    entries.push_back(
      { FromWire(suspect.request),
        static_cast<std::uint32_t>(std::max(0, suspect.servers)) });
  }
  std::set<coordination::PromptPart> held(aReply.heldParts.begin(),
                                          aReply.heldParts.end());
  const std::int64_t epoch =
    aReply.crashEpoch != 0 ? aReply.crashEpoch : aReply.epoch;
  if (std::exchange(crashEpoch_, epoch) != epoch) {
    // A new leader has no record of what this host reported to the previous
    // one, so that its lists may not be complete yet.
    crashGuard_.OnQuarantine(entries);
    heldParts_.merge(held);
    ReportCrashesAgain();
    return;
  }
  crashGuard_.ReplaceQuarantine(entries);
  reportHeldParts_ = false;
  heldParts_ = std::move(held);
}

void
Gateway::ApplyServerRows(const wire::SyncReply& aReply)
{
  wire::ServerTable table;
  if (!aReply.compressedTable.empty()) {
    auto decoded = protocol::DecodeTable(
      aReply.compressedTable,
      static_cast<std::size_t>(std::max(0, aReply.tableBytes)));
    if (!decoded.Ok()) {
      // The epoch stays, so that the leader sends all rows again.
      core::Log(core::LogLevel::Error,
                "cannot read the table of servers",
                { { "reason", decoded.Failure().Message() } });
      return;
    }
    table.rows.swap(decoded.Value().rows);
  }
  if (aReply.complete) {
    std::set<core::ServerId> listed;
    for (const auto* rows : { &std::as_const(table).rows, &aReply.rows }) {
      for (const wire::ServerRow& row : *rows) {
        listed.insert(core::ServerId(row.server));
      }
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
  for (wire::ServerRow& row : table.rows) {
    // The shared table counts this host's requests too.
    if (const auto* own = view_.UsageOf(core::ServerId(row.server))) {
      row.inFlight -= static_cast<std::int32_t>(own->inFlight_);
      row.tokens -= static_cast<std::int64_t>(own->tokens_);
      row.unreadTokens -= static_cast<std::int64_t>(own->prefillTokens_);
    }
    ApplyServerRow(row);
  }
  for (const wire::ServerRow& row : aReply.rows) {
    ApplyServerRow(row);
  }
  for (const wire::ServerLoad& load : aReply.loads) {
    coordination::BackendRow out;
    out.server_ = core::ServerId(load.server);
    out.loadOnly_ = true;
    SetLoad(out, load);
    view_.Update(std::move(out));
  }
  serversKnown_ = serversKnown_ || aReply.complete || view_.Size() > 0;
}

void
Gateway::ApplyServerRow(const wire::ServerRow& aRow)
{
  coordination::BackendRow out;
  out.server_ = core::ServerId(aRow.server);
  out.address_ = aRow.address;
  out.service_ = coordination::ServiceName(aRow.serviceName);
  out.failureDomain_ = core::FailureDomainId(aRow.failureDomain);
  // Wire values: 0 ready, 1 leaving, 2 gone.
  out.state_ = aRow.state == 0   ? coordination::BackendState::Ready
               : aRow.state == 1 ? coordination::BackendState::Leaving
                                 : coordination::BackendState::Gone;
  out.slots_ = static_cast<std::uint32_t>(std::max(0, aRow.slots));
  out.memoryTokens_ =
    static_cast<std::uint64_t>(std::max<std::int64_t>(0, aRow.memoryTokens));
  for (const std::string& model : aRow.models) {
    out.models_.insert(core::ModelName(model));
  }
  if (aRow.rateLimitMilli > 0) {
    out.rateLimit_ = aRow.rateLimitMilli / kRateUnits;
  }
  SetLoad(out, aRow);
  if (out.state_ == coordination::BackendState::Gone) {
    pool_.Drop(out.server_);
    view_.Remove(out.server_);
    return;
  }
  view_.Update(std::move(out));
}

} // namespace crocusslip::entry
