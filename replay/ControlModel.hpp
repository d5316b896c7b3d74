#pragma once

#include "coordination/CapacityView.hpp"
#include "coordination/DemandTable.hpp"
#include "coordination/KeepAlive.hpp"
#include "coordination/LoadScheduler.hpp"
#include "coordination/Placement.hpp"
#include "replay/BackendStandIn.hpp"
#include "replay/EventQueue.hpp"
#include "replay/Recorder.hpp"
#include "replay/ReplayPolicy.hpp"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace crocusslip::replay {

/// The leader's decisions on capacity, driven in virtual time.
class ControlModel
{
public:
  /// Called when the loaded replicas of a deployment change.
  using OnReplicas = std::function<void(const core::DeploymentId&)>;

  ControlModel(const protocol::TraceSettings& aSettings,
               const ReplayPolicy& aPolicy,
               EventQueue& aEvents,
               BackendStandIn& aBackend,
               Recorder& aRecorder,
               OnReplicas aOnReplicas);

  /// Loads minimum replicas and starts the periodic work.
  void Start();
  /// Teaches the arrival statistics; an adapter's use is its base's too.
  void OnUse(const core::DeploymentId& aDeployment, core::MonotonicTime aNow);
  void Report(const coordination::HostDemand& aDemand);
  void OnInFlight(const core::DeploymentId& aDeployment,
                  const core::ServerId& aServer,
                  int aChange);
  void SetStanding(const core::ServerId& aServer,
                   coordination::ServerStanding aStanding);
  /// The server is known to be gone; its replicas no longer exist.
  void OnServerGone(const core::ServerId& aServer);
  void OnServerRestored(const protocol::TraceServer& aServer);

  /// Loaded replicas on servers that take new requests.
  std::vector<core::ServerId> Loaded(
    const core::DeploymentId& aDeployment) const;
  /// Expected time of the first loaded replica.
  core::MonotonicTime ExpectedReady(
    const core::DeploymentId& aDeployment) const;
  const coordination::CapacityView& View() const { return view_; }

private:
  using HeldReplicaPhase = coordination::HeldReplicaPhase;

  void RequestDecide();
  void Decide();
  std::vector<coordination::DeploymentDemand> DemandWithWarmUps();
  void Apply(const coordination::PlacementDecision& aDecision);
  void ApplyLoad(const coordination::PlacementDecision& aDecision);
  void ApplyUnload(const coordination::PlacementDecision& aDecision);
  void LoadMinimum(const coordination::CapacityDeployment& aDeployment);
  void StartLoads();
  void OnLoaded(const core::DeploymentId& aDeployment,
                const core::ServerId& aServer);
  void CheckIdle();
  void ScheduleIdleCheck(core::MonotonicTime aTime);
  void ScheduleIdleChecks();
  void CheckWarmUps();
  void StageCheckpoint();
  void UpdateTiers(const core::ServerId& aServer);
  void CheckInvariants(const core::DeploymentId& aDeployment,
                       const core::ServerId& aServer);
  double ShareOf(const core::DeploymentId& aDeployment,
                 const core::ServerId& aServer) const;

  const protocol::TraceSettings& settings_;
  EventQueue& events_;
  BackendStandIn& backend_;
  Recorder& recorder_;
  OnReplicas onReplicas_;
  bool staging_;
  core::MonotonicTime nextStage_;
  coordination::KeepAlive keepAlive_;
  coordination::Placement placement_;
  coordination::LoadScheduler scheduler_;
  coordination::CapacityView view_;
  coordination::DemandTable demand_;
  /// Warm-ups that are not loaded yet, and until when they are wanted.
  std::map<core::DeploymentId, core::MonotonicTime> warmUps_;
  bool decideScheduled_ = false;
  std::optional<core::MonotonicTime> nextIdleCheck_;
};

} // namespace crocusslip::replay
