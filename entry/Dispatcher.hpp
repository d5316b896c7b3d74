#pragma once

#include "coordination/AdmissionQueue.hpp"
#include "coordination/CrashGuard.hpp"
#include "coordination/RetryPolicy.hpp"
#include "coordination/Router.hpp"
#include "coordination/SettingsLease.hpp"
#include "core/Random.hpp"
#include "entry/ControlLink.hpp"
#include "entry/EntryMetrics.hpp"
#include "entry/RelayedStream.hpp"
#include "entry/Request.hpp"
#include "entry/RevisionFile.hpp"
#include "protocol/PollSender.hpp"
#include "protocol/Problem.hpp"
#include "state/Command.hpp"
#include "state/SettingsTree.hpp"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace crocusslip::entry {

/// Result of authorizing a caller for a deployment: the deployment's settings
/// and the caller, or the refusal.
struct Access
{
  std::shared_ptr<const state::DeploymentSettings> settings_;
  core::CallerId caller_;
  std::int32_t priority_ = 0;
  std::optional<protocol::Problem> refused_;
};

struct Continuation;

/// Handles requests from arrival to answer: admission, routing, attempts,
/// retries, idempotency claims and crash protection. The coordination layer
/// makes all decisions under one lock; answers and calls are sent after it is
/// released.
class Dispatcher
{
public:
  Dispatcher(const state::ProcessSettings& aSettings,
             transport::HttpClient& aClient,
             const core::Clock& aClock,
             core::MetricsRegistry& aRegistry,
             RevisionFile& aRevisions,
             core::Revision aHighest,
             std::uint64_t aSeed);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  void Start();
  void Stop();
  /// Refuses all new requests from now on.
  void Drain();
  bool Ready() const;
  std::size_t InProgress() const;

  /// aApiKeySha256 is empty when the caller sent no API key.
  Access FindDeployment(const core::DeploymentId& aDeployment,
                        const std::string& aApiKeySha256) const;
  Access FindService(const std::string& aPath,
                     const std::string& aApiKeySha256) const;
  /// Deployments of models and adapters that the caller may use. Returns
  /// nullopt when the key belongs to no caller.
  std::optional<std::vector<core::DeploymentId>> ModelsFor(
    const std::string& aApiKeySha256) const;

  void Submit(const std::shared_ptr<Request>& aRequest);
  /// Called when the caller has disconnected.
  void Cancel(const std::shared_ptr<Request>& aRequest);
  /// Counts a refusal that is made before a Request exists, and builds its
  /// response.
  protocol::HttpResponse Refuse(const protocol::Problem& aProblem);

  void OnAnswered(const std::shared_ptr<Request>& aRequest,
                  std::uint32_t aAttempt,
                  protocol::HttpResponse aAnswer);
  void OnStreamEnded(const std::shared_ptr<Request>& aRequest,
                     std::uint32_t aAttempt);
  void OnFirstByte(const std::shared_ptr<Request>& aRequest);
  void OnStreamStarted(const std::shared_ptr<Request>& aRequest,
                       std::uint32_t aAttempt);
  /// The stream ended without its closing event. Continues it, or ends it with
  /// an error event.
  void OnStreamBroken(const std::shared_ptr<Request>& aRequest,
                      std::uint32_t aAttempt,
                      const std::shared_ptr<RelayedStream>& aStream,
                      StreamBreak aBreak);
  std::optional<protocol::StreamOffer> ReadStreamHead(
    const protocol::HttpResponse& aHead) const;
  void OnAttemptFailed(const std::shared_ptr<Request>& aRequest,
                       std::uint32_t aAttempt,
                       coordination::FailureKind aKind,
                       bool aMayHaveRun,
                       std::string aDetail);
  void CountLateAnswer() { metrics_.lateAnswers_.Add(); }

private:
  using RequestPtr = std::shared_ptr<Request>;
  /// Calls to make after the lock is released.
  using Effects = std::vector<std::function<void()>>;

  struct Deployment
  {
    explicit Deployment(
      std::shared_ptr<const coordination::AdmissionSettings> aAdmission)
      : queue_(std::move(aAdmission))
    {
    }

    coordination::AdmissionQueue queue_;
    std::shared_ptr<const state::DeploymentSettings> settings_;
    core::MonotonicTime lastUse_;
    /// When a tick next expires and dispatches the queued requests.
    core::MonotonicTime nextQueueCheck_ = core::MonotonicTime::max();
    /// Arrival counter reported in polls. It starts at the arrival counter of
    /// the process, so that the reported value doesn't decrease when an idle
    /// deployment is removed and added again.
    std::uint64_t arrivals_ = 0;
    /// Initial value of arrivals_.
    std::uint64_t arrivalsBase_ = 0;
    /// Servers with a loaded replica, from the last poll reply.
    std::vector<core::ServerId> loaded_;
    /// When the first replica that is still loading is expected to be ready.
    core::MonotonicTime readyAt_ = core::MonotonicTime::max();
    /// Lower bound on the slots available once the first replica is loaded:
    /// the fewest slots of any server that may get it.
    std::uint32_t slotsWhenReady_ = 1;
  };
  struct Server
  {
    state::ServerSettings settings_;
    coordination::ServerHandle handle_;
    /// Server state last reported by the control group.
    std::int8_t reportedState_ = 0;
    core::MonotonicTime failedUntil_;
    std::uint32_t connectFailures_ = 0;
    std::uint32_t failures_ = 0;
    std::uint32_t leavingAnswers_ = 0;
    std::uint32_t successes_ = 0;
  };
  /// Requests whose connection to one server broke. They wait for a probe that
  /// tells whether the server failed.
  struct LostRequests
  {
    std::vector<RequestPtr> requests_;
  };

  /// Requests of one deployment that have left the queue and wait for a
  /// replica.
  struct ParkedDemand
  {
    std::uint32_t requests_ = 0;
    core::MonotonicTime earliest_ = core::MonotonicTime::max();
  };
  using ParkedDemands = std::unordered_map<core::DeploymentId, ParkedDemand>;

  void RunTicks();
  void Tick();
  /// Calls aWork under the lock, then runs the effects that it added after
  /// releasing the lock.
  template<typename Work>
  void RunLocked(Work aWork);

  Access CheckAccess(const core::DeploymentId& aDeployment,
                     const std::string& aApiKeySha256) const;
  Deployment& DeploymentFor(
    const std::shared_ptr<const state::DeploymentSettings>& aSettings,
    core::MonotonicTime aNow);
  std::shared_ptr<const coordination::AdmissionSettings> AdmissionFor(
    const state::DeploymentSettings& aSettings) const;
  void UpdateCapacity(Deployment& aDeployment, core::MonotonicTime aNow);
  void DispatchQueued(Deployment& aDeployment,
                      core::MonotonicTime aNow,
                      Effects& aEffects);
  void Expire(Deployment& aDeployment,
              core::MonotonicTime aNow,
              Effects& aEffects);
  void StartRequest(const RequestPtr& aRequest,
                    core::MonotonicTime aNow,
                    Effects& aEffects);
  /// Routes the request, after claiming its idempotency key if it has one.
  void ClaimOrRoute(const RequestPtr& aRequest,
                    core::MonotonicTime aNow,
                    Effects& aEffects);
  void StartClaim(const RequestPtr& aRequest,
                  core::MonotonicTime aNow,
                  Effects& aEffects);
  void OnClaim(const RequestPtr& aRequest, const wire::ClaimAnswer* aAnswer);
  /// Parks a request while another one with its key is in progress. Returns
  /// false once its waiting time is used up.
  bool AwaitOutcome(const RequestPtr& aRequest, core::MonotonicTime aNow);
  void Route(const RequestPtr& aRequest,
             core::MonotonicTime aNow,
             Effects& aEffects);
  void StartAttempt(const RequestPtr& aRequest,
                    const coordination::RouteChoice& aChoice,
                    core::MonotonicTime aNow,
                    Effects& aEffects);
  /// Registers a new attempt with the router and returns its number.
  std::uint32_t RegisterAttempt(const RequestPtr& aRequest,
                                coordination::ServerHandle aHandle,
                                const state::ServerSettings& aServer,
                                core::MonotonicTime aNow);
  void SendAttempt(const RequestPtr& aRequest,
                   std::uint32_t aAttempt,
                   protocol::HttpRequest aForwarded,
                   std::shared_ptr<transport::HttpSink> aSink,
                   Effects& aEffects);
  /// Continues a broken stream, on the same server or another, or ends it with
  /// an error event. May first ask the engine of the broken attempt to export
  /// the generation; aExport is empty unless it has done so. aReachable tells
  /// whether that engine still accepts connections.
  void ContinueOrEndStream(const RequestPtr& aRequest,
                           bool aReachable,
                           const protocol::KvExport& aExport,
                           core::MonotonicTime aNow,
                           Effects& aEffects);
  void FetchExport(const RequestPtr& aRequest, Effects& aEffects);
  /// Chooses another server to import the generation.
  std::optional<coordination::RouteChoice> ImportServer(
    const RequestPtr& aRequest,
    core::MonotonicTime aNow);
  void StartContinuation(const RequestPtr& aRequest,
                         const core::ServerId& aServer,
                         coordination::ServerHandle aHandle,
                         protocol::HttpRequest aForwarded,
                         const Continuation& aContinuation,
                         core::MonotonicTime aNow,
                         Effects& aEffects);
  void EndBrokenStream(const RequestPtr& aRequest,
                       const coordination::EndStream& aEnd,
                       core::MonotonicTime aNow,
                       Effects& aEffects);
  void Park(const RequestPtr& aRequest, core::MonotonicTime aUntil);
  /// Ends the running attempt and reports its outcome to the router.
  void EndAttempt(const RequestPtr& aRequest,
                  coordination::RequestOutcome aOutcome,
                  core::MonotonicTime aNow);
  void Finish(const RequestPtr& aRequest,
              coordination::ServiceResult aResult,
              core::MonotonicTime aNow,
              Effects& aEffects);
  void RefuseRequest(const RequestPtr& aRequest,
                     const protocol::Problem& aProblem,
                     core::MonotonicTime aNow,
                     Effects& aEffects);
  void RefuseAdmission(const coordination::AdmissionRefusal& aRefusal,
                       core::MonotonicTime aNow,
                       Effects& aEffects);
  void DecideRetry(const RequestPtr& aRequest,
                   coordination::FailureKind aKind,
                   core::MonotonicTime aNow,
                   Effects& aEffects);
  void AddLostRequest(const RequestPtr& aRequest, Effects& aEffects);
  void ProbeServer(const core::ServerId& aServer);
  void OnServerProbed(const core::ServerId& aServer, bool aServerFailed);
  void RetryLostRequests(const std::vector<RequestPtr>& aRequests,
                         bool aServerFailed);
  void RecordOutcome(const RequestPtr& aRequest,
                     state::ClaimOutcome aOutcome,
                     const protocol::HttpResponse* aAnswer,
                     Effects& aEffects);
  void LogRefusal(const Request& aRequest,
                  const protocol::Problem& aProblem) const;

  void FillPoll(wire::PollRequest& aRequest);
  void OnPollReply(const wire::PollReply& aReply);
  void OnPollFailed();
  UrgentDemands UrgentDemand();
  /// Counts the parked requests of all deployments in one pass.
  ParkedDemands CountParked() const;
  wire::Demand DemandOf(const core::DeploymentId& aId,
                        const Deployment& aDeployment,
                        const ParkedDemands& aParked,
                        core::MonotonicTime aNow) const;
  /// Returns and resets what this host has observed of each server, such as
  /// failures and successes.
  std::vector<wire::ServerSign> TakeSigns();
  void ApplySettings(const std::vector<state::NodeEdit>& aEdits,
                     bool aComplete,
                     core::MonotonicTime aNow);
  void ApplyView(const wire::PollReply& aReply, core::MonotonicTime aNow);
  void ApplyReplicas(const wire::PollReply& aReply, core::MonotonicTime aNow);
  void ApplyServers(const wire::PollReply& aReply, core::MonotonicTime aNow);
  void SetReplicas(const core::DeploymentId& aId,
                   Deployment& aDeployment,
                   core::MonotonicTime aNow);
  std::uint32_t SlotsWhenReady(
    const state::DeploymentSettings& aSettings) const;
  std::vector<core::ServerId> PoolServers(
    const state::DeploymentSettings& aSettings) const;
  void DropIdle(core::MonotonicTime aNow);

  const state::ProcessSettings& settings_;
  transport::HttpClient& client_;
  const core::Clock& clock_;
  EntryMetrics metrics_;
  RevisionFile& revisions_;
  const protocol::EngineDialect dialect_;
  ControlLink link_;

  /// Taken before the lock of link_. Guards the members below up to tickMutex_.
  mutable std::mutex mutex_;
  core::Random random_;
  state::SettingsTree tree_;
  coordination::SettingsLease lease_;
  std::uint64_t pollNumber_ = 0;
  protocol::PollSender polls_;
  /// Requests received for all deployments.
  std::uint64_t arrivals_ = 0;
  /// Servers that the control group last reported as not live, including
  /// servers that are not yet in this host's settings.
  std::map<core::ServerId, std::int8_t> serverStates_;
  /// Settings revision sent in the next poll.
  core::Revision settingsRevision_;
  /// Position of the next page, sent in the next poll; 0 if no page is
  /// outstanding.
  core::Revision pageFloor_;
  bool pageComplete_ = false;
  /// Settings can arrive in several pages, one per poll. The pages are
  /// collected here and applied together with the last one.
  std::vector<state::NodeEdit> pages_;
  coordination::Router router_;
  coordination::RetryPolicy retries_;
  coordination::CrashGuard crashes_;
  std::map<core::ServerId, Server> servers_;
  std::map<core::DeploymentId, Deployment> deployments_;
  std::unordered_map<coordination::Ticket, RequestPtr> requests_;
  std::set<coordination::Ticket> parked_;
  std::set<std::pair<core::MonotonicTime, coordination::Ticket>> deadlines_;
  std::map<core::ServerId, LostRequests> lostRequests_;
  std::set<core::DeploymentId> urgent_;
  std::uint64_t nextTicket_ = 1;
  core::MonotonicTime nextIdleCheck_;
  bool draining_ = false;
  bool drainedByOperator_ = false;

  std::mutex tickMutex_;
  std::condition_variable tickStop_;
  bool stopping_ = false;
  std::thread ticks_;
};

template<typename Work>
void
Dispatcher::RunLocked(Work aWork)
{
  Effects effects;
  {
    const std::lock_guard lock(mutex_);
    aWork(clock_.Now(), effects);
  }
  for (const auto& effect : effects) {
    effect();
  }
}

} // namespace crocusslip::entry
