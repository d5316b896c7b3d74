#pragma once

#include "coordination/RouteTable.hpp"
#include "core/Clock.hpp"
#include "core/Ids.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocusslip::coordination {

/// Where a server would take a model's weights from.
enum class WeightTier : std::uint8_t
{
  Memory,
  Disk,
  Store,
};

enum class PlacementVerb : std::uint8_t
{
  Load,
  Unload,
};

/// An order that a server is to get now.
struct PlacementOrder
{
  core::ServerId server_;
  PlacementVerb verb_ = PlacementVerb::Load;
  core::ModelName model_;
  /// Empty for the model itself.
  std::string adapter_;
  WeightTier tier_ = WeightTier::Store;
  /// How long it should take.
  std::chrono::milliseconds expected_{ 0 };
};

/// What a server holds, as it or the platform's list says.
struct EngineContent
{
  /// Adapters by model.
  std::map<core::ModelName, std::set<std::string>> models_;
};

/// Copies of weights that a server keeps beside what it holds.
struct EngineCopies
{
  std::set<core::ModelName> inMemory_;
  std::set<core::ModelName> onDisk_;
};

/// Demand for one model, or one adapter of it, over all hosts.
struct ModelDemand
{
  std::uint32_t waiting_ = 0;
  std::uint32_t inFlight_ = 0;
  std::uint32_t arrivals_ = 0;
  /// Sum over the waiting requests, by urgency and size.
  double weight_ = 0;
};

/// Splits "MODEL/ADAPTER".
struct ModelParts
{
  core::ModelName model_;
  std::string adapter_;
};
ModelParts
SplitModel(const core::ModelName& aName);

/// Decides which runners hold which models and adapters. Answers the load of
/// many rarely used models on few runners: what is waited for is loaded where
/// its weights are nearest, in place of what is missed least; the weight store
/// serves few loads at once, the most wanted first. Deterministic.
class ModelPlacement
{
public:
  void SetLimits(std::map<ServiceName, EngineLimits> aLimits);
  /// A server that may be given orders.
  void AddServer(const core::ServerId& aServer, const ServiceName& aService);
  /// A server that leaves or is gone.
  void RemoveServer(const core::ServerId& aServer);
  /// What the platform's list says that the server holds; it lags, so that it
  /// isn't taken while an order is under way there or was lately.
  void OnListedContent(const core::ServerId& aServer,
                       const EngineContent& aContent,
                       core::MonotonicTime aNow);
  /// What the server certainly holds now; drops what was planned there.
  void SetVerifiedContent(const core::ServerId& aServer,
                          const EngineContent& aContent);
  void OnCopies(const core::ServerId& aServer, EngineCopies aCopies);
  /// Models that run on the server at present.
  void OnActive(const core::ServerId& aServer,
                std::set<core::ModelName> aActive,
                std::uint32_t aInFlight,
                double aSlowness = 1);
  /// Replaces the demand for all models.
  void OnDemand(const std::map<core::ModelName, ModelDemand>& aDemand,
                core::MonotonicTime aNow);

  /// The orders to send now. Each must be followed by OnOrderDone.
  std::vector<PlacementOrder> Decide(core::MonotonicTime aNow);
  /// The order was carried out, or will certainly not be.
  void OnOrderDone(const PlacementOrder& aOrder,
                   bool aCarriedOut,
                   core::MonotonicTime aNow);

  /// Servers whose own report has to be read before they may get orders.
  std::vector<core::ServerId> UnverifiedServers() const;
  /// Models and adapters that requests may be sent to, "MODEL/ADAPTER".
  std::set<core::ModelName> RoutableModels(const core::ServerId& aServer) const;
  /// The models with most requests, with their requests and replicas, for logs.
  std::string Summary(std::size_t aModels) const;
  /// When each model that is being loaded, or waits for the weight store,
  /// should be there.
  std::map<core::ModelName, core::MonotonicTime> ExpectedReadyTimes() const;

private:
  struct Held
  {
    std::set<std::string> adapters_;
    std::map<std::string, core::MonotonicTime> adapterUsed_;
    core::MonotonicTime since_;
  };
  struct Server
  {
    ServiceName service_;
    std::map<core::ModelName, Held> models_;
    std::set<core::ModelName> active_;
    std::uint32_t inFlight_ = 0;
    double slowness_ = 1;
    EngineCopies copies_;
    /// Requests a second that may need an order there.
    double homeRate_ = 0;
    /// Orders that must follow each other; the first is under way.
    std::vector<PlacementOrder> plan_;
    bool underWay_ = false;
    /// What it holds was read from the server itself and nothing has cast doubt
    /// on it since. Only then may it get orders: one that overfills a server
    /// crashes it.
    bool known_ = false;
    core::MonotonicTime changedAt_;
    core::MonotonicTime readyAt_;
  };
  struct Need
  {
    ModelDemand now_;
    /// Arrivals a second, smoothed.
    double rate_ = 0;
    core::MonotonicTime lastUsed_;
  };
  struct Candidate
  {
    core::ServerId server_;
    WeightTier tier_ = WeightTier::Store;
    std::vector<core::ModelName> evict_;
    double cost_ = 0;
  };

  /// Whether it differed from what was assumed.
  static bool Take(Server& aServer, const EngineContent& aContent);
  const EngineLimits* LimitsOf(const Server& aServer) const;
  std::uint32_t UsedMb(const Server& aServer,
                       const EngineLimits& aLimits) const;
  std::uint32_t SizeMb(const EngineLimits& aLimits,
                       const core::ModelName& aModel,
                       const Held* aHeld) const;
  WeightTier TierOf(const Server& aServer, const core::ModelName& aModel) const;
  std::chrono::milliseconds LoadTime(const EngineLimits& aLimits,
                                     const core::ModelName& aModel,
                                     WeightTier aTier) const;
  std::chrono::milliseconds StoreLoadTime(const core::ModelName& aModel) const;
  std::uint32_t Holders(const core::ModelName& aModel) const;
  std::uint32_t ComingTo(const core::ModelName& aModel) const;
  ModelDemand DemandOf(const core::ModelName& aModel) const;
  std::optional<double> Regret(const Server& aServer,
                               const core::ModelName& aModel,
                               core::MonotonicTime aNow) const;
  /// When a server that has a copy of the weights could have loaded them, after
  /// what it does now; nothing when none has a copy, or could make room.
  std::optional<core::MonotonicTime> HomeReady(const core::ModelName& aModel,
                                               core::MonotonicTime aNow) const;
  std::optional<Candidate> BestServer(const core::ModelName& aModel,
                                      core::MonotonicTime aNow,
                                      bool aUrgent) const;
  std::optional<Candidate> Fill(const core::ServerId& aId,
                                const Server& aServer,
                                const core::ModelName& aModel,
                                core::MonotonicTime aNow,
                                bool aUrgent) const;
  void Plan(const Candidate& aCandidate, const core::ModelName& aModel);
  void ShareRates(core::MonotonicTime aNow);
  void PlanModels(core::MonotonicTime aNow);
  void PlanAdapters(core::MonotonicTime aNow);
  void PlanAdapter(const ModelParts& aParts, core::MonotonicTime aNow);
  void PlanPrefetch(core::MonotonicTime aNow);
  /// Whether only the store has a model's weights.
  bool OnlyInStore(const core::ModelName& aModel) const;
  std::uint32_t StoreLoads() const;
  /// A load from the store took this long, alone it would take aAlone.
  void LearnStore(core::Duration aTook, core::Duration aAlone);
  bool TakeStoreLoad(core::MonotonicTime aNow);

  std::map<ServiceName, EngineLimits> limits_;
  std::map<core::ServerId, Server> servers_;
  std::map<core::ModelName, Need> needs_;
  /// Models in use, with their adapters' requests.
  std::map<core::ModelName, ModelDemand> byModel_;
  core::MonotonicTime demandAt_;
  core::MonotonicTime sharedAt_;
  /// When models that wait for the weight store should be there.
  std::map<core::ModelName, core::MonotonicTime> queued_;
  /// Loads that the store is believed to serve at once at full speed.
  std::uint32_t storeLimit_ = 4;
  /// Store loads that may begin now.
  double storeTokens_ = 0;
  core::MonotonicTime storeTokensAt_;
};

} // namespace crocusslip::coordination
