#pragma once

#include "core/Clock.hpp"
#include "core/Hash.hpp"
#include "core/Ids.hpp"

#include <cstdint>
#include <list>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crocusslip::coordination {

/// Fingerprint of a request: hash of deployment and body.
core::Digest
FingerprintOf(const core::DeploymentId& aDeployment, std::string_view aBody);

/// Shortens the fingerprint to the router's key; never 0.
std::uint64_t
RouteKeyOf(const core::Digest& aFingerprint);

struct CrashGuardSettings
{
  /// A request is held back once it was in flight at this many server crashes.
  std::uint32_t maxCrashes_ = 2;
  /// Failures of one server within this time count as one crash; a later one
  /// means that the server was restarted in between.
  core::Duration sameCrashWindow_ = std::chrono::seconds(2);
  /// A suspect without further crashes is removed after this time.
  core::Duration suspectLifetime_ = std::chrono::minutes(10);
  std::size_t maxSuspects_ = 4096;
  /// Maximum number of remembered fingerprints of completed requests.
  std::size_t maxProven_ = 65536;
};

enum class CrashVerdict : std::uint8_t
{
  /// Has not completed recently, as far as this host remembers: may run only on
  /// the two servers that the fingerprint selects.
  Unproven,
  /// Has completed recently: may run on any server.
  Proven,
  /// Was in flight when a server failed: starts on a server only while this
  /// host has no other request in flight there.
  Isolate,
  /// Has reached the limit of crashes: is not forwarded.
  Hold,
};

/// One request in flight on a server that failed.
struct InFlightRequest
{
  core::DeploymentId deployment_;
  core::Digest fingerprint_;
  bool isolated_ = false;
};

/// Report to the control group that a request was in flight on a failed server.
struct CrashEvidence
{
  core::DeploymentId deployment_;
  core::Digest fingerprint_;
  core::ServerId server_;
  /// No other request of this host was in flight there, or the request ran
  /// isolated.
  bool certain_ = false;
};

/// Number of crashes attributed to a request, by the control group or by this
/// host.
struct QuarantineEntry
{
  core::Digest fingerprint_;
  std::uint32_t crashes_ = 0;
};

/// Crash counts of one suspect, for display to operators.
struct SuspectFigures
{
  std::uint32_t ownCrashes_ = 0;
  std::uint32_t groupCrashes_ = 0;
  std::uint32_t limit_ = 0;
  CrashVerdict verdict_ = CrashVerdict::Unproven;
};

/// Limits the damage of a request that crashes its backend server to two
/// servers.
///
/// Proof of the bound. Let f be a request that crashes every server that runs
/// it, sent any number of times to any entry hosts, and let D be Router's
/// quarantineDelay_. (1) f never completes, so it is never proven, and the
/// Router sends it to only two servers A and B, the same at all entry hosts
/// with equal candidates. (2) When A fails, it remains in the pair for D, and
/// replicas that join later don't replace it; so no host sends f to a third
/// server within D. (3) The host whose connection broke reports (f, A) at once,
/// and within D each entry host either has the quarantine entry or has lost its
/// settings lease and serves nothing. (4) From then on f runs only isolated,
/// for which A remains in the pair for isolatedDelay_, so only on B. When B
/// fails too, both remain in the pair for D, within which every serving host
/// learns that f has lost two servers and holds it back. So at most 2 servers
/// are lost.
///
/// Limits of the bound. Each entry host that dies before its report is
/// accepted, and each change of the pair while the hosts' candidates differ,
/// can add one server. Routers with different subsets of more than
/// maxCandidates_ replicas have different pairs. A request that crashes only
/// some of its runs becomes proven by the others, and the bound does not cover
/// it.
class CrashGuard
{
public:
  explicit CrashGuard(CrashGuardSettings aSettings);

  /// Marks every request in flight on the server as a suspect. Returns the
  /// evidence to report to the control group at once; a proven request is
  /// reported only when it is the certain cause.
  std::vector<CrashEvidence> OnServerFailure(
    const core::ServerId& aServer,
    std::span<const InFlightRequest> aInFlight,
    core::MonotonicTime aNow);
  /// The connection of one request broke. Only this request becomes a suspect,
  /// since the server may still be running.
  void OnConnectionLost(const core::Digest& aFingerprint,
                        const core::ServerId& aServer,
                        core::MonotonicTime aNow);
  /// The request completed.
  void OnCompleted(const core::Digest& aFingerprint, core::MonotonicTime aNow);
  /// Adds entries of the control group or raises their counts. A lower count is
  /// out of date and ignored.
  void OnQuarantine(std::span<const QuarantineEntry> aEntries);
  /// Replaces all entries of the control group. A missing entry was released:
  /// its local crash record is removed too. Each call must pass a newer view
  /// than the last.
  void ReplaceQuarantine(std::span<const QuarantineEntry> aEntries);

  CrashVerdict Verdict(const core::Digest& aFingerprint,
                       core::MonotonicTime aNow) const;
  /// Number of server crashes while the request was in flight, a restarted
  /// server counted again: the greater of the local count and that of the
  /// control group.
  std::uint32_t CrashCount(const core::Digest& aFingerprint,
                           core::MonotonicTime aNow) const;
  /// Suspects with at least aServers crashes.
  std::vector<QuarantineEntry> Suspected(std::uint32_t aServers,
                                         core::MonotonicTime aNow) const;
  /// Crash evidence of all current suspects, without deployment and never
  /// certain, to be reported to a new leader of the group.
  std::vector<CrashEvidence> SuspectCrashes(core::MonotonicTime aNow) const;
  SuspectFigures Explain(const core::Digest& aFingerprint,
                         core::MonotonicTime aNow) const;
  /// Removes suspects that are past suspectLifetime_.
  void Expire(core::MonotonicTime aNow);
  std::size_t Suspects() const;
  std::size_t Proven() const;

private:
  struct Crash
  {
    core::ServerId server_;
    core::MonotonicTime at_;
  };
  struct Suspect
  {
    std::vector<Crash> crashes_;
    core::MonotonicTime lastCrash_;
    /// Whether the request has completed since the last crash.
    bool completedSinceCrash_ = false;
  };

  void RecordCrash(const core::Digest& aFingerprint,
                   const core::ServerId& aServer,
                   bool aCertain,
                   core::MonotonicTime aNow);
  void SetQuarantine(const QuarantineEntry& aEntry);
  void RemoveProven(const core::Digest& aFingerprint);
  void DropOldestSuspect();

  CrashGuardSettings settings_;
  std::unordered_map<core::Digest, Suspect> suspects_;
  std::unordered_map<core::Digest, std::uint32_t> quarantine_;
  /// Most recent first.
  std::list<core::Digest> provenOrder_;
  std::unordered_map<core::Digest, std::list<core::Digest>::iterator> proven_;
};

} // namespace crocusslip::coordination
