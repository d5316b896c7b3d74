#pragma once

#include "coordination/PrefixCacheView.hpp"
#include "coordination/RouterTypes.hpp"
#include "coordination/ServerTable.hpp"
#include "core/Random.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace crocusslip::coordination {

/// Chooses the backend server for a request, using only what this router has
/// observed. It compares a few candidates by expected completion time:
/// service time x (1 + load / slots) + network round trip - time saved by
/// cached prefix blocks. The cost of a decision does not depend on the number
/// of known servers and deployments. A plain service is handled as a single
/// deployment.
///
/// Unproven requests: a request may only be sent to two servers until an
/// identical request has recently completed. These are the candidates with the
/// highest rendezvous hash for its fingerprint and for its first prefix block.
/// Routers with the same candidates select the same pair. A quarantine entry
/// blocks a request that crashed its servers. A failed server remains a pair
/// candidate until every entry host that may serve knows the quarantine entry,
/// so that the request cannot reach a third server meanwhile. For an isolated
/// request (one that was in flight when a server crashed), it remains one for
/// as long as CrashGuard remembers the request, unless both servers of the pair
/// have failed.
class Router
{
public:
  explicit Router(RouterSettings aSettings);
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Adds or updates a server. Updating a known server keeps its statistics.
  ServerHandle SetServer(const ServerInfo& aInfo);
  void SetServerState(ServerHandle aServer,
                      ServerState aState,
                      core::MonotonicTime aNow);
  /// Removes a server permanently.
  void RemoveServer(ServerHandle aServer);
  std::optional<ServerHandle> FindServer(const core::ServerId& aId) const;

  /// Replaces the replicas of a deployment. New ones begin in slow start.
  void SetReplicas(const core::DeploymentId& aDeployment,
                   std::span<const ServerHandle> aServers,
                   core::MonotonicTime aNow);
  /// Whether there is state for the deployment: SetReplicas was called, and
  /// DropIdle has not dropped it since.
  bool Tracks(const core::DeploymentId& aDeployment) const;
  RouteResult Choose(const core::DeploymentId& aDeployment,
                     const RouteRequest& aRequest,
                     core::MonotonicTime aNow,
                     core::Random& aRandom);
  void OnStart(const core::DeploymentId& aDeployment,
               const RouteRequest& aRequest,
               ServerHandle aServer,
               core::MonotonicTime aNow);
  /// The first byte of a streamed answer has arrived. The request no longer
  /// counts toward the slow-start limit of its replica, and the limit rises by
  /// one; otherwise long streams would hold the limit down until they end.
  void OnAnswerStarted(const core::DeploymentId& aDeployment,
                       ServerHandle aServer);
  /// Records the end of an attempt; aTook is the time since its start.
  void OnFinish(const core::DeploymentId& aDeployment,
                const RouteRequest& aRequest,
                ServerHandle aServer,
                RequestOutcome aOutcome,
                core::Duration aTook,
                core::MonotonicTime aNow);
  void OnReport(ServerHandle aServer,
                const LoadReport& aReport,
                core::MonotonicTime aNow);
  CacheEventResult OnCacheEvent(ServerHandle aServer, const CacheEvent& aEvent);

  RouteCapacity CapacityOf(const core::DeploymentId& aDeployment,
                           core::MonotonicTime aNow);
  /// Drops the state of idle deployments. Call it every few seconds.
  void DropIdle(core::MonotonicTime aNow);
  std::size_t Deployments() const;
  std::size_t MemoryBytes() const;

private:
  struct Candidate
  {
    ServerHandle server_;
    std::uint64_t hash_ = 0;
    std::uint32_t ownInFlight_ = 0;
    /// Own requests in flight whose answer has started (OnAnswerStarted).
    std::uint32_t answersStarted_ = 0;
    /// During slow start, limit on own requests whose answer has not started;
    /// 0 after slow start.
    std::uint32_t slowStartLimit_ = 0;
    core::MonotonicTime joinedAt_{};
    /// Time of the server's failure; max while it has not failed.
    core::MonotonicTime failedAt_ = core::MonotonicTime::max();
    /// Whether SetReplicas still lists the server.
    bool listed_ = true;
    /// Whether the server may be in the pair for an unproven request.
    bool pairable_ = true;
    /// Whether the server may be in the pair for an isolated request.
    bool isolatedPairable_ = true;
  };
  struct Deployment
  {
    /// The first eligibleCount_ candidates may receive requests.
    std::vector<Candidate> candidates_;
    std::size_t eligibleCount_ = 0;
    /// ServerTable::Epoch() at the last refresh; 0 forces a refresh.
    std::uint64_t epoch_ = 0;
    /// Time at which the eligible candidates must be recomputed.
    core::MonotonicTime refreshAt_{};
    core::MonotonicTime lastUse_{};
    double serviceNanos_ = 0.0;
    std::uint32_t nextRoundRobin_ = 0;

    std::span<const Candidate> Eligible() const
    {
      return { candidates_.data(), eligibleCount_ };
    }
  };
  struct Pair
  {
    const Candidate* first_ = nullptr;
    const Candidate* second_ = nullptr;
  };
  struct Scored
  {
    const Candidate* candidate_ = nullptr;
    RouteFigures figures_;
    /// Parts of the expected completion time, in nanoseconds: from data that
    /// all routers have, and from data that only this router has.
    double sharedCost_ = 0.0;
    double ownCost_ = 0.0;
    std::uint32_t slots_ = 0;
  };
  /// Arguments of one Choose call.
  struct Query
  {
    Deployment& deployment_;
    const RouteRequest& request_;
    core::MonotonicTime now_;
    core::Random& random_;
  };
  struct PolicyVisitor;

  std::vector<ServerHandle> Subset(
    const core::DeploymentId& aDeployment,
    std::span<const ServerHandle> aServers) const;
  static void RaiseSlowStartLimit(Candidate& aCandidate,
                                  const RoutedServer& aServer);
  static Candidate* FindCandidate(Deployment& aDeployment,
                                  ServerHandle aServer);
  /// Recomputes the eligible candidates if a server's state has changed or
  /// refreshAt_ is reached.
  void Refresh(Deployment& aDeployment, core::MonotonicTime aNow) const;
  void RefreshCandidate(Candidate& aCandidate) const;
  /// Whether the candidate's server failed less than aDelay ago.
  static bool FailedWithin(const Candidate& aCandidate,
                           core::Duration aDelay,
                           core::MonotonicTime aNow);
  /// Sets the given flag on candidates that are live or failed less than aDelay
  /// ago. Replicas that joined after the first such failure are only added if
  /// the pair would be incomplete.
  void MarkPairable(Deployment& aDeployment,
                    core::Duration aDelay,
                    bool Candidate::*aPairable,
                    core::MonotonicTime aNow) const;
  void SortEligible(Deployment& aDeployment, core::MonotonicTime aNow) const;

  RouteResult ChooseForQuery(const Query& aQuery);
  RouteResult ChooseFromPair(const Query& aQuery);
  RouteResult ChooseFromAll(const Query& aQuery) const;
  Pair PairFor(const Query& aQuery) const;
  static Pair PairAmong(const Query& aQuery, bool Candidate::*aPairable);
  NoRoute PairUnavailable(const Query& aQuery,
                          const Pair& aPair,
                          bool aAwaitsIsolation);
  const Candidate* Sample(const Query& aQuery) const;
  const Candidate* AnyUsable(const Query& aQuery) const;
  Scored BestSample(const Query& aQuery) const;
  void AddCacheHolders(const Query& aQuery, Scored& aBest) const;

  /// Whether the candidate is listed and its server live, ejected or not.
  bool Selectable(const Candidate& aCandidate) const;
  /// Whether the limits on own requests and on isolated requests let the
  /// request start on the server now.
  bool HasFreeSlot(const Candidate& aCandidate,
                   const RouteRequest& aRequest,
                   std::uint32_t aOvercommit,
                   core::MonotonicTime aNow) const;
  /// Whether the server has a free slot and is not avoided.
  bool Usable(const Query& aQuery, const Candidate& aCandidate) const;
  /// Whether the request's avoid_ or avoidDomain_ excludes the server.
  bool Avoided(const RouteRequest& aRequest, const Candidate& aCandidate) const;
  Scored Score(const Query& aQuery, const Candidate& aCandidate) const;
  /// Whether the left candidate is the better choice. All routers see nearly
  /// the same load reports and service times. If each sent all its requests to
  /// the better server, that server would be overloaded before the next report
  /// (herding). Under load, the shared cost is therefore used only with a
  /// probability proportional to its relative difference, which divides the
  /// requests in inverse proportion to the expected completion time; otherwise
  /// only this router's own cost is compared.
  static bool Better(const Scored& aLeft,
                     const Scored& aRight,
                     core::Random& aRandom);
  void ReplaceIfBetter(const Query& aQuery,
                       const Candidate& aCandidate,
                       Scored& aBest) const;
  RouteResult ToResult(const Scored& aScored) const;
  double ServiceNanos(const Deployment& aDeployment) const;

  const RouterSettings settings_;
  ServerTable servers_;
  PrefixCacheView cache_;
  std::unordered_map<core::DeploymentId, Deployment> deployments_;
};

} // namespace crocusslip::coordination
