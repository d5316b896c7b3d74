#include "coordination/Membership.hpp"

#include "state/DrainTable.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::coordination {

std::string_view
Name(LeavingReason aReason)
{
  switch (aReason) {
    case LeavingReason::ListedLeaving:
      return "listed_leaving";
    case LeavingReason::Unlisted:
      return "unlisted";
    case LeavingReason::Reclaimed:
      return "reclaimed";
    case LeavingReason::Drained:
      return "drained";
    case LeavingReason::LeavingAnswer:
      return "leaving_answer";
    case LeavingReason::ConnectionRefused:
      return "connection_refused";
    case LeavingReason::ShutdownAnnounced:
      break;
  }
  return "shutdown_announced";
}

std::optional<core::MonotonicTime>
LivenessView::LeavingSince() const
{
  std::optional<core::MonotonicTime> first;
  for (const auto& [reason, since] : reasons_) {
    first = first ? std::min(*first, since) : since;
  }
  return first;
}

void
Membership::SetServers(const std::vector<KnownServer>& aServers)
{
  std::map<core::ServerId, ServerRecord> servers;
  for (const KnownServer& known : aServers) {
    const auto old = servers_.find(known.server_);
    ServerRecord record =
      old == servers_.end() ? ServerRecord{} : std::move(old->second);
    record.known_ = known;
    servers.emplace(known.server_, std::move(record));
  }
  servers_ = std::move(servers);
  DropUnusedHosts();
  ++version_;
}

void
Membership::DropUnusedHosts()
{
  std::set<core::HostId> used = listed_;
  for (const auto& [server, record] : servers_) {
    used.insert(record.known_.host_);
  }
  for (const auto& process : processes_) {
    used.insert(process.first);
  }
  std::erase_if(hosts_, [&](const auto& aHost) {
    return !used.contains(aHost.first) &&
           !aHost.second.contains(LeavingReason::Drained);
  });
}

void
Membership::OnHeartbeat(const core::HostId& aProcess,
                        bool aShuttingDown,
                        core::MonotonicTime aNow)
{
  ProcessRecord& record = processes_[aProcess];
  record.lastHeartbeat_ = aNow;
  if (aShuttingDown && !record.shuttingDown_) {
    record.shutdownSince_ = aNow;
  }
  record.shuttingDown_ = aShuttingDown;
}

void
Membership::ForgetProcess(const core::HostId& aProcess)
{
  processes_.erase(aProcess);
}

void
Membership::OnHostList(const HostList& aList, core::MonotonicTime aNow)
{
  listSeenAt_ = aNow;
  if (listVersion_ && aList.version_ <= *listVersion_) {
    return;
  }
  listVersion_ = aList.version_;
  std::set<core::HostId> unlisted = std::exchange(listed_, {});
  for (const ListedHost& host : aList.hosts_) {
    Reasons& reasons = hosts_[host.host_];
    Set(reasons, LeavingReason::Unlisted, false, aNow);
    Set(reasons,
        LeavingReason::ListedLeaving,
        host.standing_ == Standing::Leaving,
        aNow);
    Set(reasons,
        LeavingReason::Reclaimed,
        host.standing_ == Standing::Gone,
        aNow);
    listed_.insert(host.host_);
    unlisted.erase(host.host_);
  }
  // A host missing from the list may still be running, so it is only leaving.
  for (const core::HostId& host : unlisted) {
    Set(hosts_[host], LeavingReason::Unlisted, true, aNow);
  }
}

void
Membership::OnDrains(const state::DrainTable& aDrains, core::MonotonicTime aNow)
{
  for (auto& [server, record] : servers_) {
    Set(
      record.reasons_, LeavingReason::Drained, aDrains.Draining(server), aNow);
  }
  for (const auto& [key, drain] : aDrains.All()) {
    if (key.first == state::DrainTarget::Host) {
      hosts_.try_emplace(core::HostId(key.second));
    }
  }
  for (auto& [host, reasons] : hosts_) {
    Set(reasons, LeavingReason::Drained, aDrains.Draining(host), aNow);
  }
}

void
Membership::OnRequestOutcomes(const core::ServerId& aServer,
                              const RequestOutcomes& aOutcomes,
                              core::MonotonicTime aNow)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end()) {
    return;
  }
  ServerRecord& record = found->second;
  if (aOutcomes.leavingAnswers_ > 0) {
    Set(record.reasons_, LeavingReason::LeavingAnswer, true, aNow);
  }
  // A server that accepts some connections is overloaded rather than leaving.
  if (aOutcomes.connectFailures_ > 0 && aOutcomes.successes_ == 0) {
    record.lastRefusal_ = aNow;
    Set(record.reasons_, LeavingReason::ConnectionRefused, true, aNow);
  }
}

void
Membership::OnServerAnswered(const core::ServerId& aServer,
                             const std::string& aInstance,
                             core::MonotonicTime aNow)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end()) {
    return;
  }
  ServerRecord& record = found->second;
  const bool restarted =
    !record.instance_.empty() && record.instance_ != aInstance;
  record.instance_ = aInstance;
  if (restarted) {
    Set(record.reasons_, LeavingReason::LeavingAnswer, false, aNow);
  }
  if (restarted || aNow - record.lastRefusal_ >= kMinLeavingAfterRefusal) {
    Set(record.reasons_, LeavingReason::ConnectionRefused, false, aNow);
  }
}

LivenessView
Membership::Server(const core::ServerId& aServer) const
{
  LivenessView view;
  const auto found = servers_.find(aServer);
  if (found == servers_.end()) {
    view.standing_ = Standing::Gone;
    return view;
  }
  view.reasons_ = found->second.reasons_;
  const Reasons* hostReasons = HostReasons(found->second.known_.host_);
  if (hostReasons != nullptr) {
    for (const auto& [reason, since] : *hostReasons) {
      const auto [place, added] = view.reasons_.try_emplace(reason, since);
      place->second = std::min(place->second, since);
    }
  }
  if (view.reasons_.contains(LeavingReason::Reclaimed)) {
    view.standing_ = Standing::Gone;
  } else if (!view.reasons_.empty()) {
    view.standing_ = Standing::Leaving;
  }
  return view;
}

bool
Membership::MayReceiveWork(const core::ServerId& aServer) const
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end() || !found->second.reasons_.empty()) {
    return false;
  }
  const Reasons* hostReasons = HostReasons(found->second.known_.host_);
  return hostReasons == nullptr || hostReasons->empty();
}

ProcessView
Membership::Process(const core::HostId& aProcess,
                    core::MonotonicTime aNow) const
{
  ProcessView view;
  const Reasons* hostReasons = HostReasons(aProcess);
  if (hostReasons != nullptr) {
    view.member_.reasons_ = *hostReasons;
  }
  const auto found = processes_.find(aProcess);
  view.silent_ = found == processes_.end() ||
                 aNow - found->second.lastHeartbeat_ >= kHeartbeatTimeout;
  if (found != processes_.end()) {
    view.lastHeartbeat_ = found->second.lastHeartbeat_;
    if (found->second.shuttingDown_) {
      view.member_.reasons_.emplace(LeavingReason::ShutdownAnnounced,
                                    found->second.shutdownSince_);
    }
  }
  if (view.member_.reasons_.contains(LeavingReason::Reclaimed)) {
    view.member_.standing_ = Standing::Gone;
  } else if (!view.member_.reasons_.empty()) {
    view.member_.standing_ = Standing::Leaving;
  }
  return view;
}

std::vector<core::ServerId>
Membership::GoneServers() const
{
  std::vector<core::ServerId> gone;
  for (const auto& [server, record] : servers_) {
    const Reasons* hostReasons = HostReasons(record.known_.host_);
    if (hostReasons != nullptr &&
        hostReasons->contains(LeavingReason::Reclaimed)) {
      gone.push_back(server);
    }
  }
  return gone;
}

std::vector<core::HostId>
Membership::Processes() const
{
  std::vector<core::HostId> processes;
  for (const auto& process : processes_) {
    processes.push_back(process.first);
  }
  return processes;
}

bool
Membership::IsHostListStale(core::MonotonicTime aNow) const
{
  return !listVersion_ || aNow - listSeenAt_ >= kListTimeout;
}

void
Membership::Set(Reasons& aReasons,
                LeavingReason aReason,
                bool aHolds,
                core::MonotonicTime aNow)
{
  const bool changed = aHolds ? aReasons.try_emplace(aReason, aNow).second
                              : aReasons.erase(aReason) > 0;
  version_ += changed ? 1 : 0;
}

const Membership::Reasons*
Membership::HostReasons(const core::HostId& aHost) const
{
  const auto found = hosts_.find(aHost);
  return found == hosts_.end() ? nullptr : &found->second;
}

} // namespace crocusslip::coordination
