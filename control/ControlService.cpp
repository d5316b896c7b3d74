#include "control/ControlService.hpp"

#include "core/Durations.hpp"
#include "core/Hash.hpp"
#include "core/Log.hpp"
#include "protocol/Version.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::control {

namespace {

/// Interval at which a waiting poll looks for changes that wake nobody, such
/// as the standing of a server.
constexpr std::chrono::milliseconds kLookAgain{ 100 };
/// A host that has not polled for this long is no longer listed.
constexpr std::chrono::minutes kForgetHost{ 10 };

std::int8_t
WireStanding(coordination::ServerStanding aStanding)
{
  switch (aStanding) {
    case coordination::ServerStanding::Live:
    case coordination::ServerStanding::Suspect:
      return 0;
    case coordination::ServerStanding::Drained:
    case coordination::ServerStanding::Leaving:
      return 1;
    case coordination::ServerStanding::Gone:
      return 2;
  }
  return 0;
}

} // namespace

ControlService::ControlService(Group& aGroup,
                               CapacityController& aCapacity,
                               ServerTracker& aServers,
                               const core::Clock& aClock,
                               core::MetricsRegistry& aMetrics,
                               ControlServiceSettings aSettings)
  : group_(aGroup)
  , capacity_(aCapacity)
  , servers_(aServers)
  , clock_(aClock)
  , settings_(std::move(aSettings))
  , polls_(aMetrics.AddCounter("crocusslip_polls_total",
                               "result=\"answered\"",
                               "Polls of entry hosts."))
  , pollsAway_(aMetrics.AddCounter("crocusslip_polls_total",
                                   "result=\"not_leader\"",
                                   "Polls of entry hosts."))
  , pollsComplete_(aMetrics.AddCounter("crocusslip_polls_total",
                                       "result=\"complete\"",
                                       "Polls of entry hosts."))
  , pollsRepeat_(aMetrics.AddCounter("crocusslip_polls_total",
                                     "result=\"resync\"",
                                     "Polls of entry hosts."))
  , claims_(aMetrics.AddCounter("crocusslip_claims_total",
                                "",
                                "Claims of non-idempotent requests."))
  , pollBytes_(
      aMetrics.AddCounter("crocusslip_poll_settings_bytes_total",
                          "",
                          "Bytes of settings sent in answers to polls."))
  , granter_(settings_.settingsLease_)
{
}

bool
ControlService::Leads(std::string& aLeaderAddress) const
{
  if (group_.MayDecide()) {
    return true;
  }
  const GroupStatus status = group_.Status();
  const state::GroupMember* leader = status.members_.Find(status.leader_);
  const bool other =
    leader != nullptr && status.role_ != coordination::RaftRole::Leader;
  aLeaderAddress = other ? leader->address_ : "";
  return false;
}

ControlService::SessionPtr
ControlService::SessionOf(const core::HostId& aHost)
{
  const std::lock_guard lock(mutex_);
  SessionPtr& session = hosts_[aHost];
  if (!session) {
    session = std::make_shared<HostSession>();
    session->host_.host_ = aHost;
  }
  return session;
}

void
ControlService::ReportDemand(const core::HostId& aHost,
                             const std::vector<protocol::TakenDemand>& aDemands)
{
  const core::MonotonicTime now = clock_.Now();
  std::vector<ReportedDemand> reported;
  reported.reserve(aDemands.size());
  for (const protocol::TakenDemand& demand : aDemands) {
    ReportedDemand report;
    report.demand_.host_ = aHost;
    report.demand_.deployment_ = core::DeploymentId(demand.deployment_);
    report.demand_.waiting_ = static_cast<std::uint32_t>(demand.waiting_);
    report.demand_.inFlight_ = static_cast<std::uint32_t>(demand.inFlight_);
    if (demand.waiting_ > 0) {
      report.demand_.earliestDeadline_ =
        now + std::chrono::milliseconds(demand.earliestDeadlineMs_);
    }
    report.arrivals_ = static_cast<std::uint64_t>(demand.arrivals_);
    reported.push_back(std::move(report));
  }
  capacity_.ReportDemand(reported);
}

bool
ControlService::TakePoll(const wire::PollRequest& aRequest,
                         HostSession& aSession)
{
  const core::HostId id(aRequest.host);
  const core::MonotonicTime now = clock_.Now();
  const core::Revision revision(
    static_cast<std::uint64_t>(aRequest.settingsRevision));
  std::optional<protocol::TakenPoll> taken;
  {
    const std::lock_guard order(demandMutex_);
    {
      const std::lock_guard lock(aSession.mutex_);
      taken = aSession.receiver_.Take(aRequest, now);
      if (!taken) {
        return false;
      }
      for (const std::string& name : aRequest.unfollowed) {
        aSession.sender_.Forget(name);
      }
      EntryHost& host = aSession.host_;
      host.failureDomain_ = core::FailureDomainId(aRequest.failureDomain);
      host.lastPoll_ = now;
      host.revision_ = revision;
      host.draining_ = aRequest.draining;
      host.followed_ = aSession.receiver_.All().size();
    }
    ReportDemand(id, taken->demands_);
    capacity_.RenewDemand(id);
  }
  for (const wire::ServerSign& sign : taken->signs_) {
    servers_.ReportSigns(
      core::ServerId(sign.server),
      { static_cast<std::uint32_t>(std::max(0, sign.connectFailures)),
        static_cast<std::uint32_t>(std::max(0, sign.leavingAnswers)),
        static_cast<std::uint32_t>(std::max(0, sign.successes)) });
  }
  const std::lock_guard lock(mutex_);
  FollowTerm();
  granter_.OnServing(id, revision);
  return true;
}

// A new leader does not know which leases the one before it granted.
void
ControlService::FollowTerm()
{
  const core::Term term = group_.Status().term_;
  if (term != term_) {
    term_ = term;
    granter_.OnLeadershipGained(clock_.Now());
  }
}

bool
ControlService::InForce(core::Revision aRevision)
{
  const std::lock_guard lock(mutex_);
  FollowTerm();
  return granter_.InForce(aRevision, clock_.Now());
}

void
ControlService::FillSettings(wire::PollReply& aReply,
                             const wire::PollRequest& aRequest) const
{
  const state::SettingsDifference difference =
    group_.WithState([&](const auto& aState) {
      return aState.Settings().Difference(
        core::Revision(static_cast<std::uint64_t>(aRequest.settingsRevision)),
        settings_.settingsPage_,
        core::Revision(static_cast<std::uint64_t>(aRequest.settingsFloor)));
    });
  aReply.settingsRevision =
    static_cast<std::int64_t>(difference.through_.Value());
  aReply.settingsComplete = difference.complete_;
  aReply.settingsMore = difference.more_;
  aReply.settingsFloor = static_cast<std::int64_t>(difference.floor_.Value());
  std::uint64_t bytes = 0;
  for (const state::NodeEdit& edit : difference.nodes_) {
    wire::SettingsNode node;
    node.path = edit.path_;
    node.toml = edit.toml_;
    node.removed = edit.removed_;
    bytes += edit.path_.size() + edit.toml_.size();
    aReply.nodes.push_back(std::move(node));
  }
  pollBytes_.Add(bytes);
}

ViewMark
ControlService::MarkOf(HostSession& aSession) const
{
  ViewMark mark;
  mark.servers_ = servers_.Version();
  mark.tables_ =
    group_.WithState([](const auto& aState) { return aState.ViewChangedAt(); });
  const std::lock_guard lock(aSession.mutex_);
  mark.followed_ = aSession.receiver_.Version();
  return mark;
}

// Reads replicas and quarantine from the tables unless they are unchanged.
// Called with the session's lock held.
void
ControlService::ReadView(HostSession& aSession, const ViewMark& aMark) const
{
  const bool same = aSession.readAt_ &&
                    aSession.readAt_->tables_ == aMark.tables_ &&
                    aSession.readAt_->followed_ == aMark.followed_;
  aSession.readAt_ = aMark;
  if (same) {
    return;
  }
  protocol::HostView& view = aSession.view_;
  view.replicas_.clear();
  view.quarantine_.clear();
  aSession.holders_.clear();
  group_.WithState([&](const auto& aState) {
    const auto& replicas = aState.Orders().Replicas();
    for (const auto& [name, followed] : aSession.receiver_.All()) {
      const core::DeploymentId deployment(name);
      auto next = replicas.lower_bound({ deployment, core::ServerId() });
      for (; next != replicas.end() && next->first.deployment_ == deployment;
           ++next) {
        wire::ReplicaView replica;
        replica.deployment = name;
        replica.server = next->first.server_.Value();
        replica.phase = static_cast<std::int8_t>(next->second.phase_);
        aSession.holders_.insert(replica.server);
        view.replicas_.push_back(std::move(replica));
      }
    }
    for (const auto& [print, entry] : aState.Quarantine().All()) {
      wire::QuarantineView quarantine;
      quarantine.fingerprint = print;
      quarantine.crashes = static_cast<std::int32_t>(entry.servers_.size());
      view.quarantine_.push_back(std::move(quarantine));
    }
    view.drainHost_ = aState.Drains().Draining(aSession.host_.host_);
  });
}

protocol::ViewSender::Change
ControlService::FillView(wire::PollReply& aReply,
                         HostSession& aSession,
                         bool aComplete) const
{
  const ViewMark mark = MarkOf(aSession);
  protocol::ViewSender::Change change;
  {
    const std::lock_guard lock(aSession.mutex_);
    ReadView(aSession, mark);
    std::vector<protocol::ServerFigures>& servers = aSession.view_.servers_;
    servers.clear();
    servers_.ForEach([&](const TrackedServer& aServer) {
      const std::string& id = aServer.settings_.id_.Value();
      const std::int8_t standing = WireStanding(aServer.standing_);
      if (standing != 0 || aSession.holders_.contains(id)) {
        servers.push_back({ id,
                            standing,
                            static_cast<std::int32_t>(aServer.load_.running_),
                            static_cast<std::int32_t>(aServer.load_.queued_),
                            aServer.reported_,
                            aServer.reportedAt_ });
      }
    });
    change =
      aSession.sender_.Fill(aReply, aSession.view_, aComplete, clock_.Now());
  }
  constexpr auto kLoading =
    static_cast<std::int8_t>(state::ReplicaPhase::Loading);
  for (wire::ReplicaView& view : aReply.replicas) {
    if (view.phase != kLoading) {
      continue;
    }
    const auto readyIn = capacity_.ReadyIn(
      { core::DeploymentId(view.deployment), core::ServerId(view.server) });
    view.readyAtMs = readyIn ? core::Milliseconds(*readyIn) : 0;
  }
  return change;
}

protocol::ViewSender::Change
ControlService::Await(wire::PollReply& aReply,
                      const wire::PollRequest& aRequest,
                      HostSession& aSession)
{
  const auto wait =
    std::min(std::chrono::milliseconds(std::max(0, aRequest.waitMs)),
             settings_.longestWait_);
  const core::MonotonicTime until = clock_.Now() + wait;
  const bool complete = aRequest.base == 0;
  std::optional<ViewMark> seenMark;
  {
    const std::lock_guard lock(aSession.mutex_);
    seenMark = aSession.sentAt_;
  }
  while (true) {
    std::uint64_t seen = 0;
    {
      const std::lock_guard lock(mutex_);
      seen = changes_;
    }
    aReply = wire::PollReply();
    aReply.leader = true;
    aReply.version = protocol::kWireVersion;
    FillSettings(aReply, aRequest);
    const bool settings = aReply.settingsComplete || !aReply.nodes.empty() ||
                          aReply.settingsMore ||
                          aReply.settingsRevision != aRequest.settingsRevision;
    const ViewMark mark = MarkOf(aSession);
    const core::MonotonicTime now = clock_.Now();
    const bool due = settings || complete || now >= until;
    if (due || mark != seenMark) {
      seenMark = mark;
      auto change = FillView(aReply, aSession, complete);
      if (due || change.news_) {
        return change;
      }
    }
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock,
                      std::min<core::Duration>(until - now, kLookAgain),
                      [&] { return changes_ != seen; });
  }
}

void
ControlService::poll(wire::PollReply& aReply, const wire::PollRequest& aRequest)
{
  const bool fits = aRequest.cluster == settings_.cluster_ &&
                    aRequest.version >= protocol::kOldestPollVersion;
  aReply.leader = fits && Leads(aReply.leaderAddress);
  if (!aReply.leader) {
    pollsAway_.Add();
    return;
  }
  const SessionPtr session = SessionOf(core::HostId(aRequest.host));
  const bool taken = TakePoll(aRequest, *session);
  protocol::ViewSender::Change change;
  if (taken) {
    change = Await(aReply, aRequest, *session);
  }
  // Checked after the tables were read: no other leader can have accepted a
  // change before this moment that the answer lacks.
  aReply.leader = Leads(aReply.leaderAddress);
  if (!aReply.leader) {
    const std::string address = aReply.leaderAddress;
    aReply = wire::PollReply();
    aReply.leaderAddress = address;
    pollsAway_.Add();
    return;
  }
  bool current = taken;
  if (taken) {
    const std::lock_guard lock(session->mutex_);
    current = session->receiver_.OnAnswered(aRequest.number);
    if (current) {
      session->sender_.Keep(change);
      session->sentAt_ = session->readAt_;
    }
  }
  if (!current) {
    aReply = wire::PollReply();
    aReply.leader = true;
    aReply.version = protocol::kWireVersion;
    aReply.resync = true;
    pollsRepeat_.Add();
    return;
  }
  if (!aReply.settingsMore) {
    const std::lock_guard lock(mutex_);
    const coordination::LeaseGrant grant = granter_.Grant(
      core::HostId(aRequest.host),
      core::Revision(static_cast<std::uint64_t>(aReply.settingsRevision)),
      clock_.Now());
    aReply.leaseMs = core::Milliseconds(grant.length_);
  }
  (aRequest.base == 0 ? pollsComplete_ : polls_).Add();
}

void
ControlService::demand(wire::LeaderAnswer& aAnswer,
                       const std::string& aHost,
                       const std::vector<wire::Demand>& aDemands,
                       std::int64_t aInstance,
                       std::int64_t aNumber)
{
  aAnswer.leader = Leads(aAnswer.leaderAddress);
  if (!aAnswer.leader) {
    return;
  }
  const core::HostId host(aHost);
  const SessionPtr session = SessionOf(host);
  {
    const std::lock_guard order(demandMutex_);
    std::vector<protocol::TakenDemand> taken;
    {
      const std::lock_guard lock(session->mutex_);
      taken = session->receiver_.TakeUrgent(aDemands, aInstance, aNumber);
      session->host_.followed_ = session->receiver_.All().size();
    }
    ReportDemand(host, taken);
  }
  Changed();
}

void
ControlService::Changed()
{
  {
    const std::lock_guard lock(mutex_);
    ++changes_;
  }
  changed_.notify_all();
}

std::vector<EntryHost>
ControlService::Hosts() const
{
  // Changed() takes the service's lock under the state lock, and a session's
  // holder takes the state lock: the two are not held together.
  std::vector<SessionPtr> sessions;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, session] : hosts_) {
      sessions.push_back(session);
    }
  }
  std::vector<EntryHost> hosts;
  const core::MonotonicTime now = clock_.Now();
  for (const SessionPtr& session : sessions) {
    const std::lock_guard lock(session->mutex_);
    if (now - session->host_.lastPoll_ < kForgetHost) {
      hosts.push_back(session->host_);
    }
  }
  return hosts;
}

} // namespace crocusslip::control
