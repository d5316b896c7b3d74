#pragma once

#include "control/DecisionLog.hpp"
#include "control/Group.hpp"
#include "control/OrderFollower.hpp"
#include "control/ServerTracker.hpp"
#include "control/SettingsFollower.hpp"
#include "coordination/CapacityView.hpp"
#include "coordination/DemandTable.hpp"
#include "coordination/KeepAlive.hpp"
#include "coordination/LeadershipFollower.hpp"
#include "coordination/LoadScheduler.hpp"
#include "coordination/OrderManager.hpp"
#include "coordination/Placement.hpp"
#include "core/Metrics.hpp"
#include "state/SettingsTree.hpp"
#include "transport/HttpClient.hpp"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace crocusslip::control {

struct CapacitySettings
{
  core::Duration scrapeInterval_ = std::chrono::milliseconds(500);
  coordination::PlacementSettings placement_;
  coordination::OrderSettings orders_;
};

/// Demand of one entry host on one deployment, with the requests that arrived
/// since its last report.
struct ReportedDemand
{
  coordination::HostDemand demand_;
  std::uint64_t arrivals_ = 0;
};

/// How the settings' word for an engine's fencing reads in the order table.
state::EngineKind
ToEngineKind(state::Fencing aFencing);

/// The leader's decisions on loads and unloads: joins demand, settings and the
/// order table, runs placement, and carries out what the order manager asks
/// for. A follower's controller is idle.
class CapacityController
{
public:
  CapacityController(Group& aGroup,
                     ServerTracker& aServers,
                     transport::HttpClient& aClient,
                     const core::Clock& aClock,
                     DecisionLog& aLog,
                     core::MetricsRegistry& aMetrics,
                     const CapacitySettings& aSettings);
  ~CapacityController();
  CapacityController(const CapacityController&) = delete;
  CapacityController& operator=(const CapacityController&) = delete;

  void Start();
  void Stop();

  void ReportDemand(const std::vector<ReportedDemand>& aDemand);
  /// The host polled: its earlier reports still hold.
  void RenewDemand(const core::HostId& aHost);
  /// Called by the group after each applied command.
  void OnApplied(core::LogIndex aIndex,
                 const state::Command& aCommand,
                 const state::Answer& aAnswer);
  /// Expected time until a loading replica is ready.
  std::optional<core::Duration> ReadyIn(const state::ReplicaKey& aKey) const;

private:
  enum class PlannedPhase : std::uint8_t
  {
    Queued,
    Proposed,
  };
  /// A load that was decided here and is not in the order table yet.
  struct Planned
  {
    PlannedPhase phase_ = PlannedPhase::Queued;
    core::Bytes memory_;
    core::MonotonicTime since_;
    bool demanded_ = false;
  };
  struct Loading
  {
    core::MonotonicTime since_;
    core::Duration expected_{};
  };

  void Run();
  void Step(core::MonotonicTime aNow);
  void NoteUse(const core::DeploymentId& aDeployment, core::MonotonicTime aNow);
  coordination::LeadershipStep FollowLeadership(core::MonotonicTime aNow);
  /// The engines that the deployments of a pool may use.
  struct Pool
  {
    std::vector<core::ServerId> servers_;
    std::uint32_t slots_ = 1;
  };

  void FollowSettings();
  void FollowNews(const SettingsNews& aNews);
  void FollowServers();
  void FollowStandings();
  void FollowStore();
  void FollowDeployment(const core::DeploymentId& aId);
  void FollowReplicas(core::MonotonicTime aNow);
  void TakeReplica(const state::ReplicaKey& aKey,
                   const state::Replica& aReplica,
                   core::MonotonicTime aNow);
  void EndLoads(core::MonotonicTime aNow);
  /// Requests in flight and last use of one deployment's replicas.
  void RefreshUse(const core::DeploymentId& aDeployment,
                  core::MonotonicTime aNow);
  void RefreshAllUse(core::MonotonicTime aNow);
  void SetCapacityDeployment(const state::DeploymentSettings& aDeployment);
  void DecideLoads(core::MonotonicTime aNow);
  void StartLoads(core::MonotonicTime aNow);
  void DecideUnloads(core::MonotonicTime aNow);
  void PlanLoad(const coordination::PlacementDecision& aDecision,
                core::MonotonicTime aNow);
  void WantUnload(const coordination::PlacementDecision& aDecision,
                  core::MonotonicTime aNow);
  void Feed(const coordination::OrderEvent& aEvent, core::MonotonicTime aNow);
  void CarryOut(const coordination::OrderAction& aAction,
                core::MonotonicTime aNow);
  void On(const coordination::ProposeCommand& aAction, core::MonotonicTime);
  void On(const coordination::SendOrder& aAction, core::MonotonicTime aNow);
  void On(const coordination::RequestReplicaList& aAction, core::MonotonicTime);
  void On(const coordination::SendFencingNumber& aAction, core::MonotonicTime);
  void On(const coordination::DecisionDropped& aAction, core::MonotonicTime);
  void Post(coordination::OrderEvent aEvent);
  std::optional<std::string> AddressOf(const core::ServerId& aServer) const;
  bool InWarmWindow(const state::DeploymentSettings& aDeployment) const;
  void ProposeTime(core::MonotonicTime aNow);

  Group& group_;
  ServerTracker& servers_;
  transport::HttpClient& client_;
  const core::Clock& clock_;
  DecisionLog& log_;
  const CapacitySettings settings_;
  protocol::EngineDialect dialect_;
  core::Counter& loads_;
  core::Counter& unloads_;
  core::Counter& ordersSent_;
  core::Counter& ordersUnclear_;
  core::DurationHistogram& loadTime_;

  /// Lock order 1. Guards what follows up to events_; held during a step.
  mutable std::mutex mutex_;
  coordination::OrderManager orders_;
  coordination::CapacityView view_;
  coordination::DemandTable demand_;
  coordination::KeepAlive keepAlive_;
  coordination::Placement placement_;
  std::optional<coordination::LoadScheduler> scheduler_;
  state::SettingsTree tree_;
  core::Revision revision_;
  /// Engines by pool; those of the empty name are all engines.
  std::map<std::string, Pool> pools_;
  /// Deployments that have replicas without demand at some time of the week.
  std::set<core::DeploymentId> kept_;
  OrderFollower orderFollower_;
  /// Deployments with reports since the last step.
  std::set<core::DeploymentId> reported_;
  std::uint64_t serversVersion_ = 0;
  coordination::LeadershipFollower leadership_;
  std::map<state::ReplicaKey, Planned> planned_;
  std::map<state::ReplicaKey, Loading> loading_;
  std::map<core::DeploymentId, core::MonotonicTime> lastUse_;
  core::MonotonicTime unloadsNext_;
  core::MonotonicTime timeNext_;

  /// Lock order 6; guards the events and the wake-up.
  std::mutex eventsMutex_;
  std::condition_variable eventsReady_;
  std::deque<coordination::OrderEvent> events_;
  bool wake_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace crocusslip::control
