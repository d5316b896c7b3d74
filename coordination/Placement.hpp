#pragma once

#include "coordination/CapacityView.hpp"
#include "coordination/DemandTable.hpp"
#include "coordination/WaitCost.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusslip::coordination {

class KeepAlive;

enum class PlacementAction : std::uint8_t
{
  /// Load deployment_ on server_, which has enough free memory now.
  Load,
  /// Unload deployment_ from server_ to free memory for onBehalfOf_.
  Evict,
  /// Unload deployment_ from server_ because its idle deadline has passed or
  /// it has more than the maximum number of replicas.
  Unload,
  /// Nothing to do now; reason_ says why.
  Wait,
};

enum class PlacementReason : std::uint8_t
{
  FirstReplica,
  MoreReplicas,
  MinimumReplicas,
  WarmUp,
  /// Load and unload again so that the checkpoint is cached in main memory.
  StageCheckpoint,
  BaseOfAdapter,
  MakeRoom,
  IdleDeadlinePassed,
  AboveMaximum,
  EnoughReplicas,
  MaximumReplicas,
  AwaitingLoad,
  AwaitingUnload,
  AwaitingBase,
  NoEligibleServer,
  NoMemory,
  UnknownDeployment,
};

std::string_view
Name(PlacementAction aAction);
std::string_view
Name(PlacementReason aReason);
std::string_view
Name(CheckpointTier aTier);

/// A server that was considered for a load, with its cost terms. loadSeconds_
/// is a time; the costs are costs of waits (WaitCost). For a staging decision
/// totalCost_ is the negative gain.
struct PlacementCandidate
{
  core::ServerId server_;
  CheckpointTier tier_ = CheckpointTier::Remote;
  double loadSeconds_ = 0;
  double expectedReloadCost_ = 0;
  double displacementCost_ = 0;
  double spreadCost_ = 0;
  double totalCost_ = 0;
  core::Bytes free_;
};

/// Inputs of a decision, shown by `crocusslip why`.
struct PlacementFigures
{
  std::uint32_t waiting_ = 0;
  std::uint32_t inFlight_ = 0;
  std::uint32_t replicas_ = 0;
  std::uint32_t wantedReplicas_ = 0;
  std::uint32_t maxReplicas_ = 0;
  core::Bytes needed_;
  /// Set for evictions and unloads.
  double reloadSeconds_ = 0;
  double useProbability_ = 0;
  double idleSeconds_ = 0;
  /// The candidates of lowest cost, the selected one first.
  std::vector<PlacementCandidate> candidates_;
};

struct PlacementDecision
{
  PlacementAction action_ = PlacementAction::Wait;
  PlacementReason reason_ = PlacementReason::EnoughReplicas;
  core::DeploymentId deployment_;
  core::ServerId server_;
  core::DeploymentId onBehalfOf_;
  core::Bytes memory_;
  CheckpointTier tier_ = CheckpointTier::Remote;
  core::Duration expectedLoad_{};
  std::optional<core::MonotonicTime> earliestDeadline_;
  PlacementFigures figures_;

  /// Describes the decision and its inputs in one line for operators.
  std::string Explain() const;
};

struct PlacementSettings
{
  /// Cost of a wait for a load, either now or later because of an eviction or
  /// a displaced checkpoint.
  WaitCost waitCost_;
  /// Added cost of a server whose failure domain already holds a replica.
  double spreadCost_ = 0.5;
  /// Horizon of the probability of use from which the expected reload cost of
  /// an eviction is computed.
  core::Duration regretHorizon_ = std::chrono::minutes(10);
  /// Horizon in which the use of displaced checkpoints counts, and the weight
  /// of displacement in the cost of a server. A displaced checkpoint is one
  /// that a load removes from a server's memory cache.
  core::Duration stageHorizon_ = std::chrono::hours(6);
  double displacementWeight_ = 4.0;
  /// Minimum expected saving in wait cost for staging a checkpoint.
  double stageGainSeconds_ = 0.002;
  /// Another replica is loaded when working off the queue would take longer
  /// than this multiple of the expected load time.
  double queueToLoadRatio_ = 1.0;
  /// Expected duration of an unload that a load has to wait for.
  double unloadSeconds_ = 0.2;
  /// Idle time after which a replica beyond the first is unloaded.
  core::Duration surplusKeepAlive_ = std::chrono::seconds(60);
  std::uint32_t candidatesShown_ = 4;
};

/// Decides loads, evictions and unloads. Keeps no state between calls: earlier
/// decisions appear in the view as replicas in phase Loading or Unloading.
class Placement
{
public:
  Placement(PlacementSettings aSettings, const KeepAlive& aKeepAlive);

  /// Returns one decision for each demand, preceded by the evictions that it
  /// needs; a repeated demand for a deployment yields none. An adapter that
  /// waits for its base is followed by a decision for the base. Demands are
  /// processed in the given order; memory reserved for an earlier one is not
  /// available to later ones.
  std::vector<PlacementDecision> Decide(
    const CapacityView& aView,
    const std::vector<DeploymentDemand>& aDemand,
    core::MonotonicTime aNow) const;

  /// Returns the load that saves the most expected load time later by bringing
  /// a checkpoint into a server's main memory, or nothing if no load saves
  /// enough. The replica is unloaded at its idle deadline. Call only while no
  /// request waits for a load.
  std::optional<PlacementDecision> Stage(const CapacityView& aView,
                                         core::MonotonicTime aNow) const;

  /// Returns unloads of idle replicas and of replicas above the maximum. The
  /// idle deadline of a deployment with requests waiting or in flight in
  /// aDemand is ignored.
  std::vector<PlacementDecision> Unloads(const CapacityView& aView,
                                         const DemandTable& aDemand,
                                         core::MonotonicTime aNow) const;

private:
  PlacementSettings settings_;
  const KeepAlive& keepAlive_;
};

} // namespace crocusslip::coordination
