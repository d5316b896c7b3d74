#pragma once

#include "coordination/Placement.hpp"
#include "core/Clock.hpp"
#include "core/Ids.hpp"
#include "protocol/TraceFile.hpp"

#include <array>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace crocusslip::replay {

/// Why a request found no loaded replica.
enum class ColdCause : std::uint8_t
{
  /// First request for the deployment in the trace.
  FirstRequest,
  /// Unloaded because its idle deadline had passed.
  IdleDeadline,
  /// Unloaded after its checkpoint had been staged.
  Staged,
  /// Evicted to make room for another deployment.
  Evicted,
  /// An earlier request or a warm-up had begun the load.
  AlreadyLoading,
  /// The last replica was lost with its server.
  ServerLost,
  /// Never loaded since the replay began.
  NotLoadedYet,
};
inline constexpr std::size_t kColdCauses = 7;

/// Part of the wait of one cold start.
enum class ColdPart : std::uint8_t
{
  /// Until the leader has decided the load.
  Decision,
  /// Until a server has the memory for it.
  Memory,
  /// In the queue of the load scheduler.
  Store,
  /// Load at the speed of the fastest server, by tier of the checkpoint.
  LoadMemory,
  LoadDisk,
  LoadRemote,
  /// Longer load because the server is not the fastest.
  SlowServer,
  /// From the loaded replica until an entry host forwards the request.
  Router,
  /// From forwarding until the first byte.
  Prompt,
  /// Refused or answered with an unknown outcome; the whole deadline counts.
  NoAnswer,
};
inline constexpr std::size_t kColdParts = 10;

std::string_view
Name(ColdCause aCause);
std::string_view
Name(ColdPart aPart);

struct ColdStart
{
  std::size_t request_ = 0;
  double waitSeconds_ = 0;
  ColdCause cause_ = ColdCause::FirstRequest;
  std::array<double, kColdParts> parts_{};
};

/// Follows loads, unloads and cold requests of one replay, and says for each
/// cold request why there was no replica and where its wait was spent.
class ColdStartLog
{
public:
  explicit ColdStartLog(const protocol::Trace& aTrace);

  void OnLoadDecided(const coordination::PlacementDecision& aDecision,
                     core::MonotonicTime aNow);
  void OnLoadStarted(const core::DeploymentId& aDeployment,
                     const core::ServerId& aServer,
                     core::MonotonicTime aNow);
  void OnLoaded(const core::DeploymentId& aDeployment,
                const core::ServerId& aServer,
                core::MonotonicTime aNow);
  void OnUnload(const coordination::PlacementDecision& aDecision);
  void OnReplicaLost(const core::DeploymentId& aDeployment);
  void OnUse(const core::DeploymentId& aDeployment);
  /// Call before the use is counted. aLoading: a replica is loading already.
  void OnColdArrival(std::size_t aRequest, bool aLoading);
  void OnForward(std::size_t aRequest,
                 const core::ServerId& aServer,
                 core::MonotonicTime aNow);
  /// The cold start of a request, nothing if it found a replica.
  std::optional<ColdStart> Finish(std::size_t aRequest,
                                  double aWaitSeconds,
                                  bool aAnswered) const;

private:
  struct Load
  {
    coordination::CheckpointTier tier_ = coordination::CheckpointTier::Remote;
    bool staged_ = false;
    core::MonotonicTime decided_;
    core::MonotonicTime started_;
    core::MonotonicTime loaded_;
  };
  struct Pending
  {
    ColdCause cause_ = ColdCause::FirstRequest;
    std::optional<core::MonotonicTime> forwarded_;
    /// Parts until the request was forwarded.
    std::array<double, kColdParts> parts_{};
  };
  using Key = std::pair<core::DeploymentId, core::ServerId>;

  const protocol::TraceDeployment* Deployment(
    const core::DeploymentId& aDeployment) const;
  /// Adds the parts of a load that lie between aFrom and aUntil; returns the
  /// end of the part that was attributed.
  core::MonotonicTime AddLoad(Pending& aPending,
                              const core::DeploymentId& aDeployment,
                              const core::ServerId& aServer,
                              core::MonotonicTime aFrom,
                              core::MonotonicTime aUntil) const;

  const protocol::Trace& trace_;
  std::map<core::DeploymentId, const protocol::TraceDeployment*> deployments_;
  std::map<core::ServerId, double> speeds_;
  double fastest_ = 1;
  std::set<core::DeploymentId> used_;
  std::map<core::DeploymentId, ColdCause> unloadedBy_;
  std::map<Key, Load> loads_;
  std::map<std::size_t, Pending> pending_;
};

/// Causes and parts of the waits at or above the percentile, as a table.
void
PrintColdStarts(const std::vector<ColdStart>& aColdStarts,
                double aPercentile,
                std::ostream& aOutput);

} // namespace crocusslip::replay
