#pragma once

#include "coordination/AdmissionQueue.hpp"
#include "coordination/CrashGuard.hpp"
#include "coordination/RetryPolicy.hpp"
#include "coordination/Router.hpp"
#include "replay/ControlModel.hpp"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocusslip::replay {

/// What an entry host needs of the replay around it.
struct EntryHostContext
{
  const protocol::Trace& trace_;
  EventQueue& events_;
  BackendStandIn& backend_;
  ControlModel& control_;
  Recorder& recorder_;
  /// A request that crashes its server has begun to run there.
  std::function<void(const core::ServerId&)> onCrash_;
  std::function<void(const std::vector<coordination::CrashEvidence>&)>
    onEvidence_;
};

/// The path of requests through one entry host: admission, routing, retries
/// and crash protection, driven in virtual time.
class EntryHostModel
{
public:
  EntryHostModel(std::uint32_t aIndex,
                 EntryHostContext aContext,
                 std::uint64_t aSeed);

  void Arrive(std::size_t aRequest);
  void OnReplicas(const core::DeploymentId& aDeployment);
  void SetServerState(const core::ServerId& aServer,
                      coordination::ServerState aState);
  void OnServerKilled(const core::ServerId& aServer);
  void SetQuarantine(
    const std::vector<coordination::QuarantineEntry>& aEntries);

private:
  using Ticket = coordination::Ticket;
  struct Waiting
  {
    coordination::AdmissionQueue queue_;
    /// Admitted, but no server could take them yet.
    std::vector<Ticket> unrouted_;
    core::MonotonicTime expireAt_ = core::MonotonicTime::max();
    core::MonotonicTime retryAt_ = core::MonotonicTime::max();
  };
  struct Attempt
  {
    std::size_t request_ = 0;
    core::ServerId server_;
    coordination::ServerHandle handle_;
    coordination::RouteRequest route_;
    core::MonotonicTime startedAt_;
    /// The server began to run it, as against only queueing it.
    bool ran_ = false;
  };
  struct Tried
  {
    std::uint32_t attempts_ = 0;
    bool mayHaveRun_ = false;
  };

  Waiting& WaitingFor(const core::DeploymentId& aDeployment);
  const protocol::TraceRequest& Traced(std::size_t aRequest) const;
  core::Digest Fingerprint(std::size_t aRequest) const;
  core::MonotonicTime Deadline(std::size_t aRequest) const;
  void Offer(std::size_t aRequest);
  /// Starts what may start, refuses what is hopeless and reports demand.
  void Pump(const core::DeploymentId& aDeployment);
  void Route(Waiting& aWaiting, Ticket aTicket);
  void RouteAgain(Waiting& aWaiting);
  void Forward(std::size_t aRequest,
               const coordination::RouteChoice& aChoice,
               const coordination::RouteRequest& aRoute);
  void OnFinished(std::uint64_t aAttempt);
  void OnFailed(const Attempt& aAttempt);
  void Refuse(Waiting& aWaiting,
              Ticket aTicket,
              core::RefusalReason aReason,
              core::Ran aRan);
  void Expire(const core::DeploymentId& aDeployment, Waiting& aWaiting);
  void SchedulePump(const core::DeploymentId& aDeployment,
                    core::MonotonicTime aTime,
                    core::MonotonicTime& aScheduled);
  void ReportDemand(const core::DeploymentId& aDeployment, Waiting& aWaiting);

  core::HostId id_;
  EntryHostContext context_;
  core::Random random_;
  coordination::Router router_;
  coordination::CrashGuard guard_;
  coordination::RetryPolicy retries_;
  std::shared_ptr<const coordination::AdmissionSettings> admission_;
  std::unordered_map<core::DeploymentId, Waiting> waiting_;
  std::unordered_map<std::uint64_t, Attempt> attempts_;
  std::unordered_map<std::size_t, Tried> tried_;
  std::uint64_t nextAttempt_ = 0;
};

} // namespace crocusslip::replay
