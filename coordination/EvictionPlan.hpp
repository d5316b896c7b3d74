#pragma once

#include "coordination/CapacityView.hpp"
#include "coordination/WaitCost.hpp"

#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace crocusslip::coordination {

class KeepAlive;

using EvictedReplica = std::pair<core::DeploymentId, core::ServerId>;

struct Eviction
{
  core::DeploymentId deployment_;
  core::Bytes memory_;
  double reloadSeconds_ = 0;
  double useProbability_ = 0;
  /// Expected cost of waiting for the reload: cost times use probability.
  double expectedReloadCost_ = 0;
  double idleSeconds_ = 0;
};

/// Replicas to unload to free memory on one server.
struct EvictionPlan
{
  std::vector<Eviction> evictions_;
  /// Expected cost of reloading the evicted replicas.
  double expectedReloadCost_ = 0;
};

struct EvictionRequest
{
  const CapacityView& view_;
  const KeepAlive& keepAlive_;
  /// Deployments whose replicas must not be evicted.
  const std::set<core::DeploymentId>& protected_;
  core::MonotonicTime now_;
  core::Duration horizon_;
  WaitCost cost_;
  core::ServerId server_;
  /// Base model of the adapter to be loaded; it must not be evicted.
  std::optional<core::DeploymentId> keptBase_;
};

/// Selects evictions in order of expected regret per byte freed until aNeeded
/// bytes will be free once all pending unloads have finished. Returns nothing
/// if that is impossible. A base model is evicted together with its adapters.
std::optional<EvictionPlan>
PlanEvictions(const EvictionRequest& aRequest,
              core::Bytes aNeeded,
              const std::set<EvictedReplica>& aAlreadyEvicted);

} // namespace crocusslip::coordination
