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
  /// Gets no new work.
  Leaving,
  /// Certainly no longer there.
  Gone,
};

enum class LeavingReason : std::uint8_t
{
  /// The platform's list says that the host is leaving.
  ListedLeaving,
  /// A newer list no longer has the host.
  Unlisted,
  /// The platform's list says that the host was reclaimed.
  Reclaimed,
  /// An operator drains the server or its host.
  Drained,
  /// The server answered that it is leaving.
  LeavingAnswer,
  /// The server refused connections.
  ConnectionRefused,
  /// The process announced its shutdown in a heartbeat.
  ShutdownAnnounced,
};

std::string_view
Name(LeavingReason aSign);

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

/// One state of the platform's list, which lags.
struct HostList
{
  /// Grows with each state of the list.
  std::uint64_t version_ = 0;
  std::vector<ListedHost> hosts_;
};

/// What requests of one entry host met at a server since its last report.
struct RequestOutcomes
{
  std::uint32_t connectFailures_ = 0;
  std::uint32_t leavingAnswers_ = 0;
  std::uint32_t successes_ = 0;
};

/// Why a server or host is not live, and since the first of the signs.
struct MemberView
{
  Standing standing_ = Standing::Live;
  /// Time of each sign that holds.
  std::map<LeavingReason, core::MonotonicTime> reasons_;

  std::optional<core::MonotonicTime> LeavingSince() const;
};

/// A process of the system as its heartbeats show it.
struct ProcessView
{
  MemberView member_;
  core::MonotonicTime lastHeartbeat_;
  /// No heartbeat within kHeartbeatTimeout.
  bool silent_ = false;
};

/// A process without a heartbeat for this long is silent.
inline constexpr core::Duration kHeartbeatTimeout = std::chrono::seconds(3);
/// Connection refusals hold at least this long.
inline constexpr core::Duration kRefusalHold = std::chrono::seconds(3);
/// The list counts as silent after this time without an update.
inline constexpr core::Duration kListTimeout = std::chrono::seconds(30);

/// Joins heartbeats, the platform's list, operators' drains and what requests
/// show into one view. Any single sign that a server is leaving is enough, and
/// only the source of a sign withdraws it.
class Membership
{
public:
  /// Replaces the set of known servers.
  void SetServers(const std::vector<KnownServer>& aServers);
  void OnHeartbeat(const core::HostId& aProcess,
                   bool aShuttingDown,
                   core::MonotonicTime aNow);
  void ForgetProcess(const core::HostId& aProcess);
  /// Lists older than one seen before are ignored.
  void OnHostList(const HostList& aList, core::MonotonicTime aNow);
  void OnDrains(const state::DrainTable& aDrains, core::MonotonicTime aNow);
  void OnRequestOutcomes(const core::ServerId& aServer,
                         const RequestOutcomes& aSigns,
                         core::MonotonicTime aNow);
  /// The server answered a contact of the control daemon. A new instance
  /// withdraws what the server itself showed before.
  void OnServerAnswered(const core::ServerId& aServer,
                        const std::string& aInstance,
                        core::MonotonicTime aNow);

  MemberView Server(const core::ServerId& aServer) const;
  bool MayReceiveWork(const core::ServerId& aServer) const;
  ProcessView Process(const core::HostId& aProcess,
                      core::MonotonicTime aNow) const;
  /// Known servers whose host was reclaimed.
  std::vector<core::ServerId> GoneServers() const;
  std::vector<core::HostId> Processes() const;
  bool IsHostListStale(core::MonotonicTime aNow) const;
  /// Grows whenever the view of a server changes.
  std::uint64_t Version() const { return version_; }

private:
  using Reasons = std::map<LeavingReason, core::MonotonicTime>;

  struct ServerRecord
  {
    KnownServer known_;
    /// Reasons of the server itself; those of its host are kept there.
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

  void Set(Reasons& aSigns,
           LeavingReason aSign,
           bool aHolds,
           core::MonotonicTime aNow);
  void DropUnusedHosts();
  const Reasons* HostSigns(const core::HostId& aHost) const;

  std::map<core::ServerId, ServerRecord> servers_;
  std::map<core::HostId, Reasons> hosts_;
  std::map<core::HostId, ProcessRecord> processes_;
  std::set<core::HostId> listed_;
  std::optional<std::uint64_t> listVersion_;
  core::MonotonicTime listSeenAt_;
  std::uint64_t version_ = 1;
};

} // namespace crocusslip::coordination
