#pragma once

#include "coordination/RateGrants.hpp"
#include "coordination/RouteTable.hpp"
#include "core/Clock.hpp"
#include "core/Ids.hpp"
#include "core/Random.hpp"
#include "routing/ServerChoice.hpp"
#include "routing/ServerEstimate.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocusslip::coordination {

enum class BackendState : std::uint8_t
{
  Ready = 0,
  /// Finishes its requests and receives no new ones.
  Leaving = 1,
  Gone = 2,
};

/// State of one backend server as published by the control group.
struct BackendRow
{
  core::ServerId server_;
  std::string address_;
  ServiceName service_;
  core::FailureDomainId failureDomain_;
  BackendState state_ = BackendState::Ready;
  std::uint32_t slots_ = 0;
  /// Token capacity of its memory; 0 when it runs no models.
  std::uint64_t memoryTokens_ = 0;
  /// MODEL or MODEL/ADAPTER.
  std::set<core::ModelName> models_;
  /// Requests in flight, and their tokens, from all other hosts.
  std::uint32_t othersInFlight_ = 0;
  std::uint64_t othersTokens_ = 0;
  /// Time to start a run, relative to the mean server of its service.
  double slowness_ = 1;
  /// Prefill time per prompt token; 0 when unknown.
  std::chrono::nanoseconds tokenTime_{ 0 };
  /// Prompt tokens of other hosts whose prefill is not finished.
  std::uint64_t othersPrefillTokens_ = 0;
  /// Several hosts recently had failures on it.
  bool suspect_ = false;
  /// Requests per second that it takes from all hosts together, if limited.
  std::optional<double> rateLimit_;
  /// Mean time that work takes there against the usual time (100); 0 when the
  /// server names no pace.
  std::uint32_t pacePercent_ = 0;
  /// Requests that wait there, as it said last.
  std::uint32_t queued_ = 0;
  /// Only the server's id and its figures of load, speed and suspicion are set;
  /// the rest is as in the row before.
  bool loadOnly_ = false;
};

/// Sums over started runs, for a linear regression of prefill time on prompt
/// tokens.
struct PromptTimeSums
{
  double runs_ = 0;
  double tokens_ = 0;
  double micros_ = 0;
  double tokensSquared_ = 0;
  double tokensMicros_ = 0;

  void Add(const PromptTimeSums& aOther);
  void Scale(double aFactor);
};

/// What one request requires of a server.
struct BackendRequirements
{
  ServiceName service_;
  /// Empty when any server of the service can run the request.
  core::ModelName model_;
  std::uint64_t tokens_ = 0;
  std::uint64_t promptTokens_ = 0;
  /// Longest pause between events that the caller accepts; 0 for no limit.
  core::Duration longestPause_{ 0 };
  /// The request has waited so long (half of its latency target) that it can no
  /// longer be expected to meet the target even on a fast server. The pause
  /// limit is waived and more slots may be used, as a slow server is better
  /// than none.
  bool overdue_ = false;
  /// More urgent requests that wait for the model at other hosts. Free places
  /// at servers that name their pace are left to them.
  std::uint32_t moreUrgentElsewhere_ = 0;
  /// All requests that wait for the model at other hosts. They fill the places
  /// that become free.
  std::uint32_t waitingElsewhere_ = 0;
  /// Servers that were already tried.
  std::set<core::ServerId> tried_;
};

/// Outcome of one attempt at a server.
enum class SendOutcome : std::uint8_t
{
  Served,
  /// The server reported that it did not run the request.
  Refused,
  /// The server answered with an error, or the connection broke.
  Failed,
  /// No connection, or no answer within the time limit.
  Unreachable,
  /// Does not reflect on the server, e.g. the caller disconnected.
  Neutral,
};

enum class BackendChoiceStatus : std::uint8_t
{
  Found,
  /// Servers that could run the request have no free capacity.
  Full,
  /// No ready server of the service has the model.
  NoModel,
  /// The service has no ready server.
  NoServer,
};

struct BackendChoice
{
  BackendChoiceStatus status_ = BackendChoiceStatus::NoServer;
  core::ServerId server_;
  std::string address_;
  /// A server that suits better than the chosen one, but needs a grant first;
  /// empty if there is none.
  core::ServerId needsGrant_;
  /// What the choice was made from; only set for servers that name their pace.
  std::optional<routing::LoadEstimate> estimate_;
  /// Runs of which callers bear the pauses there, and servers chosen from.
  double usableSlots_ = 0;
  std::uint32_t candidates_ = 0;
};

/// One host's view of the backend servers: the state published by the control
/// group, and the host's own requests in flight and their outcomes. Balances
/// requests over slots and token memory, and ejects failing servers for a
/// limited time.
class BackendView
{
public:
  explicit BackendView(core::FailureDomainId aOwnDomain);

  void Update(BackendRow aRow);
  void Remove(const core::ServerId& aServer);
  std::vector<core::ServerId> Ids() const;

  BackendChoice Choose(const BackendRequirements& aRequirements,
                       core::MonotonicTime aNow,
                       core::Random& aRandom) const;
  void OnStart(const core::ServerId& aServer,
               const BackendRequirements& aRequirements);
  void OnFinish(const core::ServerId& aServer,
                std::uint64_t aTokens,
                SendOutcome aOutcome,
                core::MonotonicTime aNow);
  /// A run that OnStart counted has finished its prefill, or ended before
  /// finishing it.
  void OnPrefillDone(const core::ServerId& aServer,
                     std::uint64_t aPromptTokens);
  /// Records the prefill time of a run. Ignored unless the server is nearly
  /// idle.
  void OnPromptTime(const core::ServerId& aServer,
                    std::uint64_t aTokens,
                    core::Duration aTime);
  /// Records the time from sending a request to the head of its answer.
  void OnLatency(const core::ServerId& aServer, core::Duration aTime);
  /// The server reported that it does not have the model. The model counts as
  /// missing there until the next Update that lists it.
  void OnModelMissing(const core::ServerId& aServer,
                      const core::ModelName& aModel);
  /// Takes over what an answer of the server said about its rate limit. Returns
  /// whether that changes the limit.
  bool OnRateSighting(const core::ServerId& aServer,
                      const RateSighting& aSighting);
  /// Takes over what an answer of the server said about its load.
  void OnLoadSighting(const core::ServerId& aServer,
                      const routing::LoadSighting& aSighting);
  /// Expected load of a server that names its pace.
  std::optional<routing::LoadEstimate> EstimateOf(
    const core::ServerId& aServer,
    core::MonotonicTime aNow) const;
  /// The server said in an answer that it leaves. It gets no requests until it
  /// is published as ready after it was published as leaving.
  void OnLeaving(const core::ServerId& aServer);
  /// The server wants no requests of this host until aUntil.
  void OnRetryAfter(const core::ServerId& aServer, core::MonotonicTime aUntil);
  /// The control group allows this many more requests to a limited server.
  void OnGrants(const core::ServerId& aServer,
                std::uint32_t aCount,
                core::MonotonicTime aNow);
  /// A request to the server begins: uses up one of its grants.
  void SpendGrant(const core::ServerId& aServer, core::MonotonicTime aNow);
  /// The control group has answered, and knows this many hosts.
  void OnControlContact(std::uint32_t aHosts, core::MonotonicTime aNow);
  /// The rate that a server is limited to.
  std::optional<double> RateLimitOf(const core::ServerId& aServer,
                                    core::MonotonicTime aNow) const;

  /// Own use of a server: current requests and tokens, and counts since the
  /// last TakeUsage.
  struct Usage
  {
    std::uint32_t inFlight_ = 0;
    std::uint64_t tokens_ = 0;
    std::uint32_t failures_ = 0;
    std::uint32_t successes_ = 0;
    std::uint32_t unreachable_ = 0;
    PromptTimeSums prompts_;
    std::uint64_t prefillTokens_ = 0;
    std::vector<core::ModelName> missing_;
    /// The last sighting, while it concerns a limit.
    std::optional<RateSighting> sighting_;
    /// The newest sighting of the load since the last TakeUsage.
    std::optional<routing::LoadSighting> load_;
  };
  /// Whether the ready servers that could run the request have in all as many
  /// requests as slots, or more.
  bool SlotsTaken(const BackendRequirements& aRequirements) const;
  /// Returns the usage of servers that have any; resets outcomes, prompt times
  /// and missing models.
  std::map<core::ServerId, Usage> TakeUsage();
  /// Whether all ready servers with the model name their pace, and there is
  /// one.
  bool HoldersNamePace(const BackendRequirements& aRequirements) const;
  /// Requests of all hosts in flight on a server.
  std::uint32_t LoadOf(const core::ServerId& aServer) const;
  const BackendRow* Find(const core::ServerId& aServer) const;
  /// Own use of a server; null if it is not known.
  const Usage* UsageOf(const core::ServerId& aServer) const;
  std::size_t Size() const { return servers_.size(); }

private:
  struct Server
  {
    BackendRow row_;
    Usage usage_;
    /// Own requests in prefill.
    std::uint32_t prefilling_ = 0;
    double latencyMs_ = 0;
    std::uint32_t failuresInRow_ = 0;
    std::optional<core::MonotonicTime> ejectedUntil_;
    core::Duration ejectionTime_{ 0 };
    bool saidLeaving_ = false;
    core::MonotonicTime closedUntil_;
    std::uint32_t grants_ = 0;
    core::MonotonicTime grantsUntil_;
    /// Start of the last request without a grant.
    core::MonotonicTime startedWithoutGrant_;
    routing::ServerEstimate estimate_;
  };
  /// A server that could take the request now.
  struct Option
  {
    const Server* server_ = nullptr;
    /// The score without an estimate.
    double score_ = 0;
  };

  /// Whether the server is an engine that names its pace.
  static bool UsesEstimate(const Server& aServer);
  bool Ejected(const Server& aServer, core::MonotonicTime aNow) const;
  /// Whether the prefill of this prompt, added to those already in progress,
  /// would stall the streams on the server for longer than callers accept.
  static bool WouldStallStreams(const Server& aServer,
                                const BackendRequirements& aRequirements);
  bool HasCapacity(const Server& aServer,
                   const BackendRequirements& aRequirements,
                   core::MonotonicTime aNow) const;
  double Score(const Server& aServer, core::MonotonicTime aNow) const;
  /// Factor of the cost of a server that answers less surely or from afar.
  double PenaltyOf(const Server& aServer) const;
  routing::LoadEstimate Estimate(const Server& aServer,
                                 core::MonotonicTime aNow,
                                 std::uint32_t aWaitingElsewhere) const;
  routing::ServerCandidate MakeCandidate(
    const Server& aServer,
    const BackendRequirements& aRequirements,
    core::MonotonicTime aNow) const;
  /// Whether a server that names its pace has a place for the request.
  bool HasPlace(const Server& aServer,
                const BackendRequirements& aRequirements,
                core::MonotonicTime aNow) const;
  void UpdateUsualLoads();
  /// The option to use; fills in what it was chosen from.
  const Option& ChooseByEstimate(const std::vector<Option>& aOptions,
                                 const BackendRequirements& aRequirements,
                                 core::MonotonicTime aNow,
                                 core::Random& aRandom,
                                 BackendChoice& aChoice) const;
  static std::optional<double> RateLimitOf(const Server& aServer,
                                           core::MonotonicTime aNow);
  static bool HasGrant(const Server& aServer, core::MonotonicTime aNow);
  /// Whether the server's rate limit allows another request now.
  bool MayStart(const Server& aServer, core::MonotonicTime aNow) const;

  const core::FailureDomainId ownDomain_;
  std::map<core::ServerId, Server> servers_;
  /// Number of hosts, and time of the last answer of the control group.
  std::uint32_t hosts_ = 1;
  core::MonotonicTime controlContact_;
  /// Mean number of other hosts' requests at the servers of each service that
  /// name their pace.
  std::map<ServiceName, double> usualLoads_;
};

} // namespace crocusslip::coordination
