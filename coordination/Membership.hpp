#pragma once

#include "core/Clock.hpp"
#include "core/Ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace crocusslip::state {
class DrainTable;
}

namespace crocusslip::coordination {

enum class Standing : std::uint8_t
{
  Live,
  /// Receives no new work.
  Leaving,
  /// Known to no longer exist.
  Gone,
};

enum class LeavingReason : std::uint8_t
{
  /// The platform's host list marks the host as leaving.
  ListedLeaving,
  /// A newer host list no longer contains the host.
  Unlisted,
  /// The platform's host list marks the host as reclaimed.
  Reclaimed,
  /// An operator is draining the server or its host.
  Drained,
  /// The server answered a request with the status that it is leaving.
  LeavingAnswer,
  /// The server refused connections.
  ConnectionRefused,
  /// The process announced its shutdown in its heartbeat.
  ShutdownAnnounced,
};

std::string_view
Name(LeavingReason aReason);

struct KnownServer
{
  core::ServerId server_;
  core::HostId host_;
  core::FailureDomainId failureDomain_;
};

struct ListedHost
{
  core::HostId host_;
  Standing standing_ = Standing::Live;
};

/// One version of the platform's host list, which may be out of date.
struct HostList
{
  /// Increases with each change of the list.
  std::uint64_t version_ = 0;
  std::vector<ListedHost> hosts_;
};

/// Outcomes of one entry host's requests to a server since its last report.
struct RequestOutcomes
{
  std::uint32_t connectFailures_ = 0;
  std::uint32_t leavingAnswers_ = 0;
  std::uint32_t successes_ = 0;
};

/// Whether a server or process is live, and the reasons if it is not.
struct LivenessView
{
  Standing standing_ = Standing::Live;
  /// Reasons that apply, with the time since which each one does.
  std::map<LeavingReason, core::MonotonicTime> reasons_;

  std::optional<core::MonotonicTime> LeavingSince() const;
};

/// State of a process of the system, according to its heartbeats. There is one
/// process per host, identified by the host's id.
struct ProcessView
{
  LivenessView member_;
  core::MonotonicTime lastHeartbeat_;
  /// No heartbeat was received within kHeartbeatTimeout.
  bool silent_ = false;
};

/// A process without a heartbeat for this long is silent.
inline constexpr core::Duration kHeartbeatTimeout = std::chrono::seconds(3);
/// A refused connection marks its server as leaving for at least this long.
inline constexpr core::Duration kMinLeavingAfterRefusal =
  std::chrono::seconds(3);
/// The host list is stale after this time without receiving any list.
inline constexpr core::Duration kListTimeout = std::chrono::seconds(30);

/// Tracks which backend servers, hosts and processes are live; unrelated to the
/// members of a control group, for which see RaftMembership. Combines
/// heartbeats, the platform's host list, operators' drains and the outcomes of
/// requests into one view. A single reason is enough for a server to count as
/// leaving. A reason ends only by news from the one that it came from: the host
/// list, the operator, the process, or the server itself.
class Membership
{
public:
  /// Replaces the set of known servers.
  void SetServers(const std::vector<KnownServer>& aServers);
  void OnHeartbeat(const core::HostId& aProcess,
                   bool aShuttingDown,
                   core::MonotonicTime aNow);
  void ForgetProcess(const core::HostId& aProcess);
  /// Ignores a list whose version is not newer than the latest one.
  void OnHostList(const HostList& aList, core::MonotonicTime aNow);
  void OnDrains(const state::DrainTable& aDrains, core::MonotonicTime aNow);
  void OnRequestOutcomes(const core::ServerId& aServer,
                         const RequestOutcomes& aOutcomes,
                         core::MonotonicTime aNow);
  /// The server answered a request of the control daemon. A new instance
  /// withdraws the leaving answers and refused connections of the previous one;
  /// refused connections are also withdrawn by any answer that comes at least
  /// kMinLeavingAfterRefusal after the last refusal.
  void OnServerAnswered(const core::ServerId& aServer,
                        const std::string& aInstance,
                        core::MonotonicTime aNow);

  /// Gone for an unknown server.
  LivenessView Server(const core::ServerId& aServer) const;
  bool MayReceiveWork(const core::ServerId& aServer) const;
  ProcessView Process(const core::HostId& aProcess,
                      core::MonotonicTime aNow) const;
  /// Known servers whose host was reclaimed.
  std::vector<core::ServerId> GoneServers() const;
  std::vector<core::HostId> Processes() const;
  bool IsHostListStale(core::MonotonicTime aNow) const;
  /// Increases whenever the view of a server changes.
  std::uint64_t Version() const { return version_; }

private:
  using Reasons = std::map<LeavingReason, core::MonotonicTime>;

  struct ServerRecord
  {
    KnownServer known_;
    /// Reasons that concern the server itself; those of its host are in hosts_.
    Reasons reasons_;
    core::MonotonicTime lastRefusal_;
    std::string instance_;
  };
  struct ProcessRecord
  {
    core::MonotonicTime lastHeartbeat_;
    bool shuttingDown_ = false;
    core::MonotonicTime shutdownSince_;
  };

  /// Adds or withdraws a reason and updates version_ if that is a change.
  void Set(Reasons& aReasons,
           LeavingReason aReason,
           bool aHolds,
           core::MonotonicTime aNow);
  /// Removes hosts that no server, process, list or drain refers to.
  void DropUnusedHosts();
  const Reasons* HostReasons(const core::HostId& aHost) const;

  std::map<core::ServerId, ServerRecord> servers_;
  std::map<core::HostId, Reasons> hosts_;
  std::map<core::HostId, ProcessRecord> processes_;
  /// Hosts in the latest host list.
  std::set<core::HostId> listed_;
  std::optional<std::uint64_t> listVersion_;
  core::MonotonicTime listSeenAt_;
  std::uint64_t version_ = 1;
};

} // namespace crocusslip::coordination
