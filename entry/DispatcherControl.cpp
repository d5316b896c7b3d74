#include "Control.h"
#include "core/Log.hpp"
#include "entry/Dispatcher.hpp"
#include "state/OrderTable.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::entry {

namespace {

constexpr std::int8_t kLive = 0;
constexpr std::int8_t kLeaving = 1;
constexpr std::int8_t kPhaseLoaded =
  static_cast<std::int8_t>(state::ReplicaPhase::Loaded);
constexpr std::int8_t kPhaseLoading =
  static_cast<std::int8_t>(state::ReplicaPhase::Loading);

core::Revision
ToRevision(std::int64_t aValue)
{
  return core::Revision(static_cast<std::uint64_t>(aValue));
}

std::int32_t
Clamp(std::uint32_t aValue)
{
  return static_cast<std::int32_t>(
    std::min<std::uint32_t>(aValue, std::numeric_limits<std::int32_t>::max()));
}

/// Parses a hexadecimal digest as stored in the quarantine table.
std::optional<core::Digest>
ParseDigest(const std::string& aText)
{
  constexpr std::size_t kDigits = 32;
  constexpr int kBase = 16;
  if (aText.size() != kDigits ||
      aText.find_first_not_of("0123456789abcdef") != std::string::npos) {
    return std::nullopt;
  }
  const std::string high = aText.substr(0, kDigits / 2);
  const std::string low = aText.substr(kDigits / 2);
  return core::Digest{ std::stoull(high, nullptr, kBase),
                       std::stoull(low, nullptr, kBase) };
}

} // namespace

void
Dispatcher::FillPoll(wire::PollRequest& aRequest)
{
  const std::lock_guard lock(mutex_);
  const core::MonotonicTime now = clock_.Now();
  pollNumber_ = lease_.OnPollSent(now);
  aRequest.settingsRevision =
    static_cast<std::int64_t>(settingsRevision_.Value());
  aRequest.settingsFloor = static_cast<std::int64_t>(pageFloor_.Value());
  aRequest.draining = draining_;
  std::vector<wire::Demand> demands;
  demands.reserve(deployments_.size());
  const ParkedDemands parked = CountParked();
  for (const auto& [id, deployment] : deployments_) {
    demands.push_back(DemandOf(id, deployment, parked, now));
  }
  polls_.Fill(aRequest, std::move(demands), TakeSigns());
}

std::vector<wire::ServerSign>
Dispatcher::TakeSigns()
{
  std::vector<wire::ServerSign> signs;
  for (auto& [id, server] : servers_) {
    const bool unchanged =
      server.connectFailures_ == 0 && server.failures_ == 0 &&
      server.leavingAnswers_ == 0 && server.successes_ == 0;
    if (unchanged) {
      continue;
    }
    wire::ServerSign sign;
    sign.server = id.Value();
    sign.connectFailures = Clamp(server.connectFailures_);
    sign.failures = Clamp(server.failures_);
    sign.leavingAnswers = Clamp(server.leavingAnswers_);
    sign.successes = Clamp(server.successes_);
    server.connectFailures_ = 0;
    server.failures_ = 0;
    server.leavingAnswers_ = 0;
    server.successes_ = 0;
    signs.push_back(std::move(sign));
  }
  return signs;
}

Dispatcher::ParkedDemands
Dispatcher::CountParked() const
{
  ParkedDemands demands;
  for (const coordination::Ticket ticket : parked_) {
    const RequestPtr& request = requests_.at(ticket);
    ParkedDemand& demand = demands[request->Deployment()];
    ++demand.requests_;
    demand.earliest_ = std::min(demand.earliest_, request->deadline_);
  }
  return demands;
}

wire::Demand
Dispatcher::DemandOf(const core::DeploymentId& aId,
                     const Deployment& aDeployment,
                     const ParkedDemands& aParked,
                     core::MonotonicTime aNow) const
{
  wire::Demand demand;
  demand.deployment = aId.Value();
  std::uint32_t waiting = aDeployment.queue_.Waiting();
  core::MonotonicTime earliest = aDeployment.queue_.EarliestDeadline();
  // Parked requests are no longer in the queue but still wait for a replica.
  const auto parked = aParked.find(aId);
  if (parked != aParked.end()) {
    waiting += parked->second.requests_;
    earliest = std::min(earliest, parked->second.earliest_);
  }
  demand.__set_inFlight(Clamp(aDeployment.queue_.InFlight()));
  demand.__set_arrivals(static_cast<std::int64_t>(aDeployment.arrivals_));
  demand.__set_counted(static_cast<std::int64_t>(aDeployment.arrivalsBase_));
  if (waiting > 0) {
    const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(earliest - aNow);
    demand.__set_waiting(Clamp(waiting));
    demand.__set_earliestDeadlineMs(left.count());
  }
  return demand;
}

UrgentDemands
Dispatcher::UrgentDemand()
{
  const std::lock_guard lock(mutex_);
  UrgentDemands urgent;
  const core::MonotonicTime now = clock_.Now();
  const ParkedDemands parked = CountParked();
  for (const core::DeploymentId& id : std::exchange(urgent_, {})) {
    const auto found = deployments_.find(id);
    if (found != deployments_.end()) {
      urgent.demands_.push_back(DemandOf(id, found->second, parked, now));
    }
  }
  urgent.number_ = polls_.Urgent(urgent.demands_);
  urgent.instance_ = polls_.Instance();
  return urgent;
}

void
Dispatcher::OnPollFailed()
{
  const std::lock_guard lock(mutex_);
  polls_.OnLost();
}

void
Dispatcher::OnPollReply(const wire::PollReply& aReply)
{
  std::optional<core::Revision> persist;
  RunLocked([&](core::MonotonicTime aNow, Effects&) {
    if (!polls_.OnReply(aReply)) {
      return;
    }
    if (aReply.settingsComplete && pageFloor_ == core::Revision()) {
      pages_.clear();
      pageComplete_ = true;
    }
    for (const wire::SettingsNode& node : aReply.nodes) {
      pages_.push_back({ node.path, node.toml, node.removed });
    }
    settingsRevision_ = ToRevision(aReply.settingsRevision);
    pageFloor_ =
      aReply.settingsMore ? ToRevision(aReply.settingsFloor) : core::Revision();
    coordination::LeaseGrant grant;
    grant.revision_ = settingsRevision_;
    grant.length_ = aReply.settingsMore
                      ? core::Duration::zero()
                      : std::chrono::milliseconds(aReply.leaseMs);
    const coordination::LeaseAction action =
      lease_.OnPollReply(pollNumber_, grant);
    if (const auto* needed =
          std::get_if<coordination::PersistRevision>(&action)) {
      persist = needed->revision_;
    }
    if (std::holds_alternative<coordination::LeaseRefused>(action)) {
      core::Log(core::LogLevel::Error,
                "settings of a lower revision were refused",
                { { "revision", std::to_string(aReply.settingsRevision) } });
    }
    if (!aReply.settingsMore && !persist) {
      ApplySettings(
        std::exchange(pages_, {}), std::exchange(pageComplete_, false), aNow);
    }
    ApplyView(aReply, aNow);
  });
  if (!persist) {
    return;
  }
  // Save the revision before serving it, so that this host never goes back to
  // older settings after a restart.
  const core::Status saved = revisions_.Save(*persist);
  if (!saved.Ok()) {
    core::Log(core::LogLevel::Error,
              "the settings revision could not be saved",
              { { "error", saved.Failure().Message() } });
    return;
  }
  RunLocked([&](core::MonotonicTime aNow, Effects& aEffects) {
    ApplySettings(
      std::exchange(pages_, {}), std::exchange(pageComplete_, false), aNow);
    lease_.OnPersisted(*persist);
    for (auto& [id, deployment] : deployments_) {
      DispatchQueued(deployment, aNow, aEffects);
    }
  });
}

void
Dispatcher::ApplySettings(const std::vector<state::NodeEdit>& aEdits,
                          bool aComplete,
                          core::MonotonicTime aNow)
{
  if (aEdits.empty() && !aComplete) {
    return;
  }
  if (aComplete) {
    tree_ = state::SettingsTree();
  }
  for (const core::Finding& finding : tree_.Follow(aEdits)) {
    core::Log(core::LogLevel::Warning,
              "settings applied with a validation finding",
              { { "finding", finding.Text() } });
  }
  std::map<core::ServerId, Server> servers;
  for (state::ServerSettings& settings : tree_.Servers()) {
    Server server;
    const auto known = servers_.find(settings.id_);
    if (known != servers_.end()) {
      server = known->second;
    }
    server.handle_ = router_.SetServer(
      { settings.id_, settings.failureDomain_, settings.slots_ });
    const core::ServerId id = settings.id_;
    server.settings_ = std::move(settings);
    servers.emplace(id, std::move(server));
  }
  for (const auto& [id, server] : servers_) {
    if (!servers.contains(id)) {
      router_.RemoveServer(server.handle_);
    }
  }
  servers_ = std::move(servers);
  for (auto& [id, deployment] : deployments_) {
    const auto settings = tree_.Deployment(id);
    if (!settings) {
      continue;
    }
    deployment.settings_ = settings;
    deployment.queue_.SetSettings(AdmissionFor(*settings), aNow);
    deployment.nextQueueCheck_ = aNow;
    SetReplicas(id, deployment, aNow);
  }
}

std::vector<core::ServerId>
Dispatcher::PoolServers(const state::DeploymentSettings& aSettings) const
{
  std::vector<core::ServerId> pool;
  for (const auto& [id, server] : servers_) {
    if (server.settings_.kind_ == state::ServerKind::Service &&
        (aSettings.pool_.empty() ||
         server.settings_.pool_ == aSettings.pool_)) {
      pool.push_back(id);
    }
  }
  return pool;
}

void
Dispatcher::SetReplicas(const core::DeploymentId& aId,
                        Deployment& aDeployment,
                        core::MonotonicTime aNow)
{
  const bool service =
    aDeployment.settings_->kind_ == state::DeploymentKind::Service;
  const std::vector<core::ServerId> holders =
    service ? PoolServers(*aDeployment.settings_) : aDeployment.loaded_;
  std::vector<coordination::ServerHandle> handles;
  for (const core::ServerId& server : holders) {
    const auto found = servers_.find(server);
    if (found != servers_.end()) {
      handles.push_back(found->second.handle_);
    }
  }
  router_.SetReplicas(aId, handles, aNow);
  aDeployment.slotsWhenReady_ = SlotsWhenReady(*aDeployment.settings_);
}

std::uint32_t
Dispatcher::SlotsWhenReady(const state::DeploymentSettings& aSettings) const
{
  std::optional<std::uint32_t> fewest;
  for (const auto& [id, server] : servers_) {
    const bool eligible =
      server.settings_.kind_ == state::ServerKind::Engine &&
      (aSettings.pool_.empty() || server.settings_.pool_ == aSettings.pool_) &&
      server.settings_.slots_ > 0;
    if (eligible) {
      fewest = std::min(fewest.value_or(server.settings_.slots_),
                        server.settings_.slots_);
    }
  }
  return fewest.value_or(1);
}

void
Dispatcher::ApplyServers(const wire::PollReply& aReply,
                         core::MonotonicTime aNow)
{
  if (aReply.viewComplete) {
    serverStates_.clear();
  }
  for (const wire::ServerView& view : aReply.servers) {
    const core::ServerId id(view.server);
    if (view.__isset.state && view.state == kLive) {
      serverStates_.erase(id);
    } else if (view.__isset.state) {
      serverStates_[id] = view.state;
    }
    const auto found = servers_.find(id);
    if (found != servers_.end() && view.__isset.reportAgeMs) {
      coordination::LoadReport report;
      report.running_ = static_cast<std::uint32_t>(std::max(0, view.running));
      report.queued_ = static_cast<std::uint32_t>(std::max(0, view.queued));
      report.age_ = std::chrono::milliseconds(view.reportAgeMs);
      router_.OnReport(found->second.handle_, report, aNow);
    }
  }
  for (auto& [id, server] : servers_) {
    const auto found = serverStates_.find(id);
    const std::int8_t reportedState =
      found == serverStates_.end() ? kLive : found->second;
    const bool failed = server.failedUntil_ > aNow;
    const bool failureExpired =
      !failed && server.failedUntil_ != core::MonotonicTime();
    if (reportedState == server.reportedState_ && !failureExpired) {
      continue;
    }
    server.reportedState_ = reportedState;
    if (failureExpired) {
      server.failedUntil_ = core::MonotonicTime();
    }
    const auto next =
      reportedState == kLive && !failed ? coordination::ServerState::Live
      : reportedState == kLeaving       ? coordination::ServerState::Leaving
                                        : coordination::ServerState::Failed;
    router_.SetServerState(server.handle_, next, aNow);
  }
}

void
Dispatcher::ApplyView(const wire::PollReply& aReply, core::MonotonicTime aNow)
{
  ApplyServers(aReply, aNow);
  ApplyReplicas(aReply, aNow);
  drainedByOperator_ = aReply.drainHost;
  if (!aReply.quarantineChanged) {
    return;
  }
  std::vector<coordination::QuarantineEntry> quarantine;
  for (const wire::QuarantineView& view : aReply.quarantine) {
    if (const auto fingerprint = ParseDigest(view.fingerprint)) {
      quarantine.push_back(
        { *fingerprint,
          static_cast<std::uint32_t>(std::max(0, view.crashes)) });
    }
  }
  crashes_.ReplaceQuarantine(quarantine);
}

void
Dispatcher::ApplyReplicas(const wire::PollReply& aReply,
                          core::MonotonicTime aNow)
{
  std::set<core::DeploymentId> changed;
  if (aReply.viewComplete) {
    for (const auto& [id, deployment] : deployments_) {
      changed.insert(id);
    }
  }
  for (const wire::ReplicaView& view : aReply.replicas) {
    changed.emplace(view.deployment);
  }
  changed.insert(aReply.withoutReplicas.begin(), aReply.withoutReplicas.end());
  std::erase_if(changed, [this](const core::DeploymentId& aId) {
    return !deployments_.contains(aId);
  });
  for (const core::DeploymentId& id : changed) {
    Deployment& deployment = deployments_.at(id);
    deployment.loaded_.clear();
    deployment.readyAt_ = core::MonotonicTime::max();
  }
  for (const wire::ReplicaView& view : aReply.replicas) {
    const auto found = deployments_.find(core::DeploymentId(view.deployment));
    if (found == deployments_.end()) {
      continue;
    }
    Deployment& deployment = found->second;
    if (view.phase == kPhaseLoaded) {
      deployment.loaded_.emplace_back(view.server);
    } else if (view.phase == kPhaseLoading && view.readyAtMs > 0) {
      deployment.readyAt_ = std::min(
        deployment.readyAt_,
        aNow + core::Duration(std::chrono::milliseconds(view.readyAtMs)));
    }
  }
  for (const core::DeploymentId& id : changed) {
    Deployment& deployment = deployments_.at(id);
    SetReplicas(id, deployment, aNow);
    // Dispatch waiting requests at the next tick.
    deployment.nextQueueCheck_ = aNow;
  }
}

} // namespace crocusslip::entry
