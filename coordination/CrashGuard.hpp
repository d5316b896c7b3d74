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

/// The fingerprint as the router takes it; never 0.
std::uint64_t
RouteKeyOf(const core::Digest& aFingerprint);

struct CrashGuardSettings
{
  /// Servers that a request may lose before it is held back.
  std::uint32_t maxServersLost_ = 2;
  /// Failures of one server within this time are one crash; a later one means
  /// that the server had been started again.
  core::Duration sameCrashWithin_ = std::chrono::seconds(2);
  /// A suspect without further crashes is forgotten after this.
  core::Duration suspectFor_ = std::chrono::minutes(10);
  std::size_t maxSuspects_ = 4096;
  /// Fingerprints remembered as having run to their end.
  std::size_t maxProven_ = 65536;
};

enum class CrashVerdict : std::uint8_t
{
  /// Never seen: only the two servers that follow from the fingerprint.
  Unproven,
  /// Has lately run to its end: any server.
  Proven,
  /// Was in flight when a server failed: runs alone or not with another
  /// suspect.
  Isolate,
  /// Has lost the greatest allowed number of servers.
  Hold,
};

/// One request in flight on a server that failed.
struct InFlightRequest
{
  core::DeploymentId deployment_;
  core::Digest fingerprint_;
  bool isolated_ = false;
};

/// For the control group.
struct CrashEvidence
{
  core::DeploymentId deployment_;
  core::Digest fingerprint_;
  core::ServerId server_;
  /// The request was the only one of this host in flight.
  bool certain_ = false;
};

/// Quarantine entry from the control group.
struct QuarantineEntry
{
  core::Digest fingerprint_;
  std::uint32_t crashes_ = 0;
};

/// What is known about one suspect, for display to operators.
struct SuspectFigures
{
  std::uint32_t ownServersLost_ = 0;
  std::uint32_t groupCrashes_ = 0;
  std::uint32_t limit_ = 0;
  CrashVerdict verdict_ = CrashVerdict::Unproven;
};

/// Keeps a request that crashes its backend server from taking down more than
/// two servers.
///
/// Bound. Let f be a request that crashes every server that runs it, sent any
/// number of times to any entry hosts, and let D be Router's quarantineDelay_.
/// (1) f never completes, so it is never proven, and the Router lets it reach
/// only two servers A and B, the same at all entry hosts with equal candidates.
/// (2) When A fails, it keeps its place in the pair for D, and replicas that
/// join later get none; so no host moves f on to a third server within D.
/// (3) The host whose connection broke reports (f, A) at once, and within D
/// each entry host either knows the entry or has lost its settings lease and
/// serves nothing. (4) From then on f runs only isolated, for which A keeps its
/// place for suspectDelay_, so only on B. When B fails too, both keep their
/// places for D, within which every serving host learns that f has lost two
/// servers and holds it back. So at most 2 servers are lost. Each entry host
/// that dies before its report is accepted, and each change of the pair while
/// the hosts' candidates differ, can add one. Routers with different subsets of
/// more than maxCandidates_ replicas have different pairs. A request that
/// crashes only some of its runs is proven by the others, and the bound does
/// not cover it.
class CrashGuard
{
public:
  explicit CrashGuard(CrashGuardSettings aSettings);

  /// Every request in flight there becomes a suspect. Returns the evidence
  /// that the control group must get at once; a proven request is only reported
  /// when it was alone.
  std::vector<CrashEvidence> OnServerFailure(
    const core::ServerId& aServer,
    std::span<const InFlightRequest> aInFlight,
    core::MonotonicTime aNow);
  /// The connection of one request broke; others at the server may be well.
  void OnConnectionLost(const core::Digest& aFingerprint,
                        const core::ServerId& aServer,
                        core::MonotonicTime aNow);
  /// The request ran to its end.
  void OnCompleted(const core::Digest& aFingerprint, core::MonotonicTime aNow);
  /// Adds entries of the control group, or raises their counts; a lower count
  /// is older and ignored.
  void OnQuarantine(std::span<const QuarantineEntry> aEntries);
  /// Replaces all entries of the control group. One that is missing was
  /// released, and its local record with it. The caller passes only views that
  /// are newer than the last.
  void ReplaceQuarantine(std::span<const QuarantineEntry> aEntries);

  CrashVerdict Verdict(const core::Digest& aFingerprint,
                       core::MonotonicTime aNow) const;
  /// Servers that the request has lost, as far as anyone knows.
  std::uint32_t ServersLost(const core::Digest& aFingerprint,
                            core::MonotonicTime aNow) const;
  /// Suspects that have lost at least so many servers.
  std::vector<QuarantineEntry> Suspected(std::uint32_t aServers,
                                         core::MonotonicTime aNow) const;
  /// The breaks that OnConnectionLost was told of, for a new leader of the
  /// group.
  std::vector<CrashEvidence> LostConnections(core::MonotonicTime aNow) const;
  SuspectFigures Explain(const core::Digest& aFingerprint,
                         core::MonotonicTime aNow) const;
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
    /// Has run to its end since the last crash.
    bool cleared_ = false;
  };

  void Blame(const core::Digest& aFingerprint,
             const core::ServerId& aServer,
             bool aCertain,
             core::MonotonicTime aNow);
  void SetQuarantine(const QuarantineEntry& aEntry);
  void ForgetProven(const core::Digest& aFingerprint);
  void DropOldestSuspect();

  CrashGuardSettings settings_;
  std::unordered_map<core::Digest, Suspect> suspects_;
  std::unordered_map<core::Digest, std::uint32_t> quarantine_;
  /// Most recent first.
  std::list<core::Digest> provenOrder_;
  std::unordered_map<core::Digest, std::list<core::Digest>::iterator> proven_;
};

} // namespace crocusslip::coordination
