#include "control/FleetController.hpp"

#include "core/Durations.hpp"
#include "core/Log.hpp"
#include "protocol/Compression.hpp"
#include "protocol/FingerprintWire.hpp"

#include <algorithm>
#include <utility>

/// The calls of entry hosts.
namespace crocusslip::control {

namespace {

constexpr std::chrono::milliseconds kLongestWait{ 1000 };
/// Time for which a whole table of servers is sent to hosts; they get the
/// changes since then with it.
constexpr std::chrono::seconds kSharedTableTime{ 1 };
/// Rates are sent as requests in 1,000 s.
constexpr double kRateUnits = 1000;
/// Servers lost by one request from which all hosts are told of it.
constexpr std::uint32_t kToldServersLost = 2;

core::MonotonicTime
CrashTime(const wire::Crash& aCrash, core::MonotonicTime aNow)
{
  return aNow - std::chrono::milliseconds(std::max(0, aCrash.ageMs));
}

wire::ServerLoad
MakeServerLoad(const coordination::BackendRow& aRow)
{
  wire::ServerLoad load;
  load.server = aRow.server_.Value();
  load.inFlight = static_cast<std::int32_t>(aRow.othersInFlight_);
  load.tokens = static_cast<std::int64_t>(aRow.othersTokens_);
  load.suspect = aRow.suspect_;
  load.speedPercent = static_cast<std::int32_t>(100 * aRow.slowness_);
  load.tokenNanos = static_cast<std::int32_t>(aRow.tokenTime_.count());
  load.unreadTokens = static_cast<std::int64_t>(aRow.othersPrefillTokens_);
  load.pacePercent = static_cast<std::int32_t>(aRow.pacePercent_);
  load.queued = static_cast<std::int32_t>(aRow.queued_);
  return load;
}

wire::ServerRow
MakeServerRow(const coordination::BackendRow& aRow)
{
  const wire::ServerLoad load = MakeServerLoad(aRow);
  wire::ServerRow out;
  out.server = load.server;
  out.address = aRow.address_;
  out.serviceName = aRow.service_.Value();
  out.failureDomain = aRow.failureDomain_.Value();
  out.state = static_cast<std::int8_t>(aRow.state_);
  out.slots = static_cast<std::int32_t>(aRow.slots_);
  for (const core::ModelName& model : aRow.models_) {
    out.models.push_back(model.Value());
  }
  out.inFlight = load.inFlight;
  out.tokens = load.tokens;
  out.suspect = load.suspect;
  out.memoryTokens = static_cast<std::int64_t>(aRow.memoryTokens_);
  if (aRow.rateLimit_) {
    out.rateLimitMilli =
      std::max(1, static_cast<std::int32_t>(*aRow.rateLimit_ * kRateUnits));
  }
  out.speedPercent = load.speedPercent;
  out.tokenNanos = load.tokenNanos;
  out.unreadTokens = load.unreadTokens;
  out.pacePercent = load.pacePercent;
  out.queued = load.queued;
  return out;
}

} // namespace

bool
FleetController::MustAnswer(const WaitingHost& aHost) const
{
  if (term_ != aHost.term_) {
    return true;
  }
  const auto sent = urgentSent_.find(aHost.host_);
  if (table_.MustNotify(aHost.host_,
                        sent == urgentSent_.end() ? 0 : sent->second)) {
    return true;
  }
  return routesVersion_ > aHost.routesVersion_ && table_.NotifiesAll();
}

void
FleetController::NotifyHosts()
{
  for (WaitingHost* host : waitingHosts_) {
    if (!host->woken_ && MustAnswer(*host)) {
      host->woken_ = true;
      host->wake_.notify_one();
    }
  }
}

void
FleetController::AwaitChange(const wire::SyncRequest& aRequest,
                             std::chrono::milliseconds aWait,
                             std::unique_lock<std::mutex>& aLock)
{
  WaitingHost host;
  host.host_ = core::HostId(aRequest.host);
  host.term_ = term_;
  host.routesVersion_ = static_cast<std::uint64_t>(aRequest.routesVersion);
  if (aWait <= std::chrono::milliseconds(0) || MustAnswer(host)) {
    return;
  }
  waitingHosts_.insert(&host);
  host.wake_.wait_for(aLock, aWait, [&] { return host.woken_; });
  waitingHosts_.erase(&host);
}

void
FleetController::TakeReport(const wire::SyncRequest& aRequest,
                            core::MonotonicTime aNow)
{
  const core::HostId host(aRequest.host);
  std::map<core::ServerId, coordination::HostUsage> uses;
  for (const wire::ServerUse& use : aRequest.uses) {
    coordination::HostUsage out;
    out.inFlight_ = static_cast<std::uint32_t>(std::max(0, use.inFlight));
    out.tokens_ =
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, use.tokens));
    out.failures_ =
      static_cast<std::uint32_t>(std::max(0, use.failures + use.unreachable));
    out.successes_ = static_cast<std::uint32_t>(std::max(0, use.successes));
    out.prompts_ = { static_cast<double>(use.promptRuns),
                     static_cast<double>(use.promptTokens),
                     static_cast<double>(use.promptMicros),
                     use.tokensSquared,
                     use.tokensMicros };
    out.prefillTokens_ =
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, use.unreadTokens));
    for (const std::string& model : use.active) {
      out.active_.insert(core::ModelName(model));
    }
    const core::ServerId server(use.server);
    if (use.loadAgeMs >= 0) {
      table_.OnLoadSighting(
        server,
        { static_cast<std::uint32_t>(std::max(0, use.running)),
          static_cast<std::uint32_t>(std::max(0, use.queued)),
          0,
          static_cast<std::uint32_t>(std::max(0, use.pacePercent)),
          aNow - std::chrono::milliseconds(use.loadAgeMs) });
    }
    if (use.rateLimitAgeMs >= 0 && table_.Rows().contains(server)) {
      coordination::RateSighting sighting;
      sighting.at_ = aNow - std::chrono::milliseconds(use.rateLimitAgeMs);
      if (use.rateLimitMilli > 0) {
        sighting.perSecond_ = use.rateLimitMilli / kRateUnits;
      }
      rateGrants_.OnSighting(server, sighting);
      table_.SetRateLimit(server, rateGrants_.LimitOf(server));
    }
    if (!use.missing.empty()) {
      table_.Republish(server);
      transport::Spawn(
        loop_, [this, server, term = term_] { return Refresh(server, term); });
    }
    uses[server] = std::move(out);
  }
  table_.OnUsage(host, uses, aNow);
  std::map<core::ModelName, coordination::ModelDemand> demand;
  for (const wire::ModelUse& use : aRequest.models) {
    coordination::ModelDemand& out = demand[core::ModelName(use.model)];
    out.waiting_ = static_cast<std::uint32_t>(std::max(0, use.waiting));
    out.inFlight_ = static_cast<std::uint32_t>(std::max(0, use.inFlight));
    out.arrivals_ = static_cast<std::uint32_t>(std::max(0, use.arrivals));
    out.weight_ = std::max(0.0, use.worth);
  }
  table_.OnDemand(host, demand, aNow);
  TakeLines(aRequest, aNow);
}

void
FleetController::TakeLines(const wire::SyncRequest& aRequest,
                           core::MonotonicTime aNow)
{
  std::map<core::ModelName, admission::HostLine> lines;
  for (const wire::ModelUse& use : aRequest.models) {
    admission::HostLine& out = lines[core::ModelName(use.model)];
    const std::size_t ranks =
      std::min(use.waitingByRank.size(), admission::kLineRanks);
    for (std::size_t rank = 0; rank < ranks; ++rank) {
      out.line_.AddWaiting(
        static_cast<std::uint32_t>(rank),
        static_cast<std::uint32_t>(std::max(0, use.waitingByRank[rank])));
    }
    out.line_.inFlight_ = static_cast<std::uint32_t>(std::max(0, use.inFlight));
    out.begun_ = static_cast<std::uint32_t>(std::max(0, use.begun));
  }
  lines_.OnReport(core::HostId(aRequest.host), std::move(lines), aNow);
}

void
FleetController::FillLines(const core::HostId& aHost,
                           wire::SyncReply& aReply,
                           core::MonotonicTime aNow) const
{
  for (const auto& [model, line] : lines_.LinesFor(aHost, aNow)) {
    wire::ModelLine& out = aReply.lines.emplace_back();
    out.model = model.Value();
    out.waitingByRank.assign(line.waiting_.begin(), line.waiting_.end());
    out.inFlight = static_cast<std::int32_t>(line.inFlight_);
    out.begunMilli =
      static_cast<std::int32_t>(line.begunPerSecond_ * kRateUnits);
  }
}

void
FleetController::RecordRoutesTaken(const wire::SyncRequest& aRequest)
{
  const auto version = static_cast<std::uint64_t>(aRequest.routesVersion);
  if (routesTakenByAll_ || routesVersion_ == 0 || version < routesVersion_) {
    return;
  }
  routesTaken_.insert(core::HostId(aRequest.host));
  if (routesTaken_.size() < table_.HostCount()) {
    return;
  }
  routesTakenByAll_ = true;
  core::Log(
    core::LogLevel::Info,
    "all hosts have the routes",
    { { "version", std::to_string(routesVersion_) },
      { "hosts", std::to_string(routesTaken_.size()) },
      { "after_ms",
        std::to_string(core::Milliseconds(clock_.Now() - routesReadAt_)) } });
}

bool
FleetController::GrantRequests(const wire::SyncRequest& aRequest,
                               wire::SyncReply& aReply,
                               core::MonotonicTime aNow)
{
  for (const wire::ServerUse& use : aRequest.uses) {
    if (use.wantedGrants <= 0) {
      continue;
    }
    const std::uint32_t granted =
      rateGrants_.Grant(core::ServerId(use.server),
                        static_cast<std::uint32_t>(use.wantedGrants),
                        aNow);
    if (granted > 0) {
      wire::RateGrant& out = aReply.grants.emplace_back();
      out.server = use.server;
      out.requests = static_cast<std::int32_t>(granted);
    }
  }
  return !aReply.grants.empty();
}

void
FleetController::TakeSuspects(const wire::SyncRequest& aRequest,
                              core::MonotonicTime aNow)
{
  for (const wire::Crash& crash : aRequest.crashes) {
    const core::Digest request = protocol::FromWire(crash.request);
    guard_.OnConnectionLost(
      request, core::ServerId(crash.server), CrashTime(crash, aNow));
    const std::uint32_t lost = guard_.CrashCount(request, aNow);
    if (lost >= kToldServersLost) {
      core::Log(core::LogLevel::Warning,
                "servers were lost from one request",
                { { "fingerprint", request.Hex() },
                  { "server", crash.server },
                  { "servers", std::to_string(lost) } });
    }
  }
  for (const wire::Fingerprint& request : aRequest.completed) {
    guard_.OnCompleted(protocol::FromWire(request), aNow);
  }
}

void
FleetController::TakePromptParts(const wire::SyncRequest& aRequest,
                                 core::MonotonicTime aNow)
{
  const auto partsOf = [](const std::vector<std::int64_t>& aParts) {
    return std::vector<coordination::PromptPart>(aParts.begin(), aParts.end());
  };
  promptGuard_.OnStarted(
    partsOf(aRequest.startedParts),
    static_cast<std::uint32_t>(std::max(0, aRequest.starts)),
    aNow);
  for (const wire::Crash& crash : aRequest.crashes) {
    promptGuard_.OnCrash({ protocol::FromWire(crash.request),
                           core::ServerId(crash.server),
                           partsOf(crash.parts),
                           CrashTime(crash, aNow) },
                         aNow);
  }
  promptGuard_.Adopt(partsOf(aRequest.heldParts), aNow);
  for (const coordination::PromptPart part : promptGuard_.Decide(aNow)) {
    core::Log(core::LogLevel::Warning,
              "requests held back for a part of their prompts",
              { { "part", std::to_string(part) },
                { "held", std::to_string(promptGuard_.Held().size()) } });
  }
}

void
FleetController::Sync(const wire::SyncRequest& aRequest,
                      wire::SyncReply& aReply)
{
  reports_.Add();
  if (!group_.MayDecide()) {
    aReply.leaderAddress = group_.LeaderAddress();
    return;
  }
  std::unique_lock lock(mutex_);
  const core::HostId host(aRequest.host);
  const core::Term term = term_;
  TakeReport(aRequest, clock_.Now());
  TakeQuotaUses(aRequest, clock_.Now());
  RecordRoutesTaken(aRequest);
  TakeSuspects(aRequest, clock_.Now());
  TakePromptParts(aRequest, clock_.Now());
  TakeTenantUses(aRequest, clock_.Now());
  const bool known = aRequest.epoch == static_cast<std::int64_t>(term.Value());
  const auto wait =
    std::min(kLongestWait, std::chrono::milliseconds(aRequest.waitMs));
  const bool granted = GrantRequests(aRequest, aReply, clock_.Now());
  const bool waits =
    std::ranges::any_of(aRequest.tenants, [](const wire::TenantUse& aUse) {
      return aUse.wanted > 0;
    });
  if (known && !granted && !waits) {
    AwaitChange(aRequest, wait, lock);
  }
  if (!group_.MayDecide() || term_ != group_.Term()) {
    aReply.leaderAddress = group_.LeaderAddress();
    return;
  }
  if (!granted) {
    GrantRequests(aRequest, aReply, clock_.Now());
  }
  Fill(aRequest, aReply, clock_.Now());
  FillQuotaGrants(aRequest, aReply, clock_.Now());
  urgentSent_[host] = table_.UrgentVersion();
}

std::uint64_t
FleetController::FillTable(wire::SyncReply& aReply, core::MonotonicTime aNow)
{
  if (sharedTable_.term_ != term_ ||
      aNow >= sharedTable_.madeAt_ + kSharedTableTime) {
    wire::ServerTable table;
    for (const coordination::BackendRow& row :
         table_.RowsFor(core::HostId(), 0)) {
      table.rows.push_back(MakeServerRow(row));
    }
    sharedTable_ = {
      term_, aNow, table_.Version(), protocol::EncodeTable(table)
    };
    tablesEncoded_.Add();
  }
  aReply.compressedTable = sharedTable_.table_.compressed_;
  aReply.tableBytes = static_cast<std::int32_t>(sharedTable_.table_.bytes_);
  return sharedTable_.version_;
}

void
FleetController::FillRows(const core::HostId& aHost,
                          std::uint64_t aSeen,
                          wire::SyncReply& aReply)
{
  for (const coordination::BackendRow& row : table_.RowsFor(aHost, aSeen)) {
    if (row.loadOnly_) {
      aReply.loads.push_back(MakeServerLoad(row));
    } else {
      aReply.rows.push_back(MakeServerRow(row));
    }
  }
}

void
FleetController::FillRoutes(const wire::SyncRequest& aRequest,
                            wire::SyncReply& aReply)
{
  const auto group = group_.Current();
  if (!group) {
    return;
  }
  std::string text;
  group->WithState([&](const state::StateMachine& aState) {
    const state::RouteDocument& routes = aState.Routes();
    aReply.routesVersion = static_cast<std::int64_t>(routes.Version());
    const bool newer = aReply.routesVersion > aRequest.routesVersion;
    const bool compressed = aRequest.takesCompressed &&
                            compressedRoutes_.version_ == aReply.routesVersion;
    if (newer && !compressed) {
      text = routes.Text();
    }
  });
  if (aReply.routesVersion <= aRequest.routesVersion) {
    return;
  }
  if (!aRequest.takesCompressed) {
    aReply.routes = std::move(text);
    return;
  }
  if (compressedRoutes_.version_ != aReply.routesVersion) {
    compressedRoutes_ = { aReply.routesVersion,
                          text.size(),
                          protocol::Compress(text) };
  }
  aReply.compressedRoutes = compressedRoutes_.bytes_;
  aReply.routesBytes = static_cast<std::int32_t>(compressedRoutes_.textBytes_);
}

void
FleetController::Fill(const wire::SyncRequest& aRequest,
                      wire::SyncReply& aReply,
                      core::MonotonicTime aNow)
{
  aReply.leader = true;
  aReply.epoch = static_cast<std::int64_t>(term_.Value());
  aReply.crashEpoch = aReply.epoch;
  const bool known = aRequest.epoch == aReply.epoch;
  // Until the list has been read, a host keeps what it holds.
  aReply.complete = !known && listed_;
  if (!listed_) {
    aReply.epoch = aRequest.epoch;
  }
  const auto seen =
    known ? static_cast<std::uint64_t>(aRequest.seen) : std::uint64_t{ 0 };
  aReply.seen = static_cast<std::int64_t>(table_.Version());
  if (listed_) {
    const bool table = aReply.complete && aRequest.takesTable;
    FillRows(core::HostId(aRequest.host),
             table ? FillTable(aReply, aNow) : seen,
             aReply);
  }
  FillRoutes(aRequest, aReply);
  FillLines(core::HostId(aRequest.host), aReply, aNow);
  FillTenantShares(aRequest, aReply, aNow);
  aReply.members = group_.MemberAddresses();
  aReply.hosts = static_cast<std::int32_t>(table_.HostCount());
  for (const auto& suspect : guard_.Suspected(kToldServersLost, aNow)) {
    wire::Suspect out;
    out.request = protocol::ToWire(suspect.fingerprint_);
    out.servers = static_cast<std::int32_t>(suspect.crashes_);
    aReply.suspects.push_back(std::move(out));
  }
  for (const coordination::PromptPart part : promptGuard_.Held()) {
    aReply.heldParts.push_back(static_cast<std::int64_t>(part));
  }
  for (const auto& [model, ready] : placement_.ExpectedReadyTimes()) {
    wire::ComingModel coming;
    coming.model = model.Value();
    coming.readyInMs = static_cast<std::int32_t>(
      std::max<std::int64_t>(0, core::Milliseconds(ready - aNow)));
    aReply.coming.push_back(std::move(coming));
  }
}

} // namespace crocusslip::control
