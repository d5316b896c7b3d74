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

/// The fastest tier from which a server can load a model's weights.
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

/// An order to a server to load or unload a model or an adapter.
struct PlacementOrder
{
  core::ServerId server_;
  PlacementVerb verb_ = PlacementVerb::Load;
  core::ModelName model_;
  /// Empty when the order is for the model itself.
  std::string adapter_;
  /// Only meaningful for loads of models.
  WeightTier tier_ = WeightTier::Store;
  /// Expected duration.
  std::chrono::milliseconds expected_{ 0 };
  /// Set by Decide.
  std::uint64_t id_ = 0;
};

/// Models loaded on a server, as reported by itself or by the platform's list.
struct EngineContent
{
  /// Loaded adapters by model.
  std::map<core::ModelName, std::set<std::string>> models_;
};

/// Weights that a server caches in memory and on disk, apart from the loaded
/// models.
struct CachedWeights
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
  /// Sum of the waiting requests' weights, which grow with urgency and size.
  double weight_ = 0;
};

/// The parts of a name "MODEL/ADAPTER"; a plain model has no adapter.
struct ModelParts
{
  core::ModelName model_;
  std::string adapter_;
};
ModelParts
SplitModel(const core::ModelName& aName);

/// Decides which models and adapters each backend server loads and evicts, for
/// many rarely used models on few servers. A model with waiting requests is
/// loaded where that costs least: by the tier of its weights, the load of the
/// server and the models to evict. Concurrent loads from the weight store are
/// limited, and models with the highest demand are loaded first. The decisions
/// depend only on the inputs.
class ModelPlacement
{
public:
  void SetLimits(std::map<ServiceName, EngineLimits> aLimits);
  /// Adds a server that may be given orders.
  void AddServer(const core::ServerId& aServer, const ServiceName& aService);
  /// Removes a server that is leaving or gone.
  void RemoveServer(const core::ServerId& aServer);
  /// Takes the server's content from the platform's list. The list lags, so it
  /// is ignored while orders are planned for the server and for a short time
  /// after the last order.
  void OnListedContent(const core::ServerId& aServer,
                       const EngineContent& aContent,
                       core::MonotonicTime aNow);
  /// Takes the content that the server itself reported, and drops its planned
  /// orders. Ignored while an order is in progress there; returns whether it
  /// was taken.
  bool SetVerifiedContent(const core::ServerId& aServer,
                          const EngineContent& aContent);
  /// Replaces the copies of weights that the server caches.
  void SetCachedWeights(const core::ServerId& aServer, CachedWeights aCopies);
  /// The models and the number of requests that run on the server at present.
  /// aSlowness: time to start a request relative to the service's mean server.
  void OnActive(const core::ServerId& aServer,
                std::set<core::ModelName> aActive,
                std::uint32_t aInFlight,
                double aSlowness = 1);
  /// Replaces what is known of loads that servers may still carry out although
  /// nobody waits for them: models, and "MODEL/ADAPTER". Their memory and
  /// adapter slots stay free. aRivals: those that the server accepts only
  /// instead of its next order; a load that needs no other order before it may
  /// take their memory.
  void SetPossibleLoads(
    std::map<core::ServerId, std::set<core::ModelName>> aLoads,
    std::map<core::ServerId, std::set<core::ModelName>> aRivals = {});
  /// Replaces the servers that get no orders, because loads that nobody here
  /// knows of may reach them.
  void SetWithheld(std::set<core::ServerId> aServers);
  /// Another leader may have used the store's rate until now: its loads begin
  /// one by one at that rate, and at the burst only from aBurstFrom on.
  void OnLeaderChange(core::MonotonicTime aNow, core::MonotonicTime aBurstFrom);
  /// Replaces the demand for all models.
  void OnDemand(const std::map<core::ModelName, ModelDemand>& aDemand,
                core::MonotonicTime aNow);

  /// Returns the orders to send now. OnOrderDone must follow for each.
  std::vector<PlacementOrder> Decide(core::MonotonicTime aNow);
  /// Reports the result of an order: it was carried out, or certainly will not
  /// be. Not to be called while the outcome is uncertain. Ignored when the
  /// server has been removed since.
  void OnOrderDone(const PlacementOrder& aOrder,
                   bool aSucceeded,
                   core::MonotonicTime aNow);

  bool IsVerified(const core::ServerId& aServer) const;
  /// Servers whose content must be queried and passed to SetVerifiedContent
  /// before they can get orders.
  std::vector<core::ServerId> UnverifiedServers() const;
  /// Models and adapters ("MODEL/ADAPTER") on the server that requests may be
  /// sent to.
  std::set<core::ModelName> RoutableModels(const core::ServerId& aServer) const;
  /// The models with most requests, for logs: each with its number of waiting
  /// requests (w), running requests (r), replicas (h: servers that have it
  /// loaded) and planned loads (c).
  std::string Summary(std::size_t aModels) const;
  /// When each model should be ready that is being loaded or waits for the
  /// weight store or a busy server.
  std::map<core::ModelName, core::MonotonicTime> ExpectedReadyTimes() const;

private:
  struct LoadedModel
  {
    std::set<std::string> adapters_;
    std::map<std::string, core::MonotonicTime> adapterUsed_;
    core::MonotonicTime loadedAt_;
  };
  struct Server
  {
    ServiceName service_;
    std::map<core::ModelName, LoadedModel> models_;
    std::set<core::ModelName> active_;
    std::uint32_t inFlight_ = 0;
    double slowness_ = 1;
    CachedWeights copies_;
    /// Expected requests per second that may need a load order here.
    double orderRate_ = 0;
    /// Orders to be sent one after the other; the first may be in progress.
    std::vector<PlacementOrder> plan_;
    bool orderInProgress_ = false;
    /// The content was read from the server itself, and neither a failed order
    /// nor a differing list has put it in doubt since. Only then may the server
    /// get orders: one that exceeds its memory crashes it.
    bool verified_ = false;
    /// Last time at which an order started or ended, or an adapter load was
    /// planned.
    core::MonotonicTime lastOrderAt_;
    /// Expected end of the order that was started last.
    core::MonotonicTime orderEndsAt_;
  };
  struct DemandStats
  {
    ModelDemand current_;
    /// Arrivals per second, exponentially smoothed.
    double rate_ = 0;
    core::MonotonicTime lastUsed_;
  };
  struct ModelUse
  {
    /// Requests a second.
    double rate_ = 0;
    core::MonotonicTime lastUsed_;
  };
  struct Replicas
  {
    /// Servers that have the model loaded and do not plan to unload it.
    std::uint32_t loaded_ = 0;
    /// Servers with a load of the model planned or in progress.
    std::uint32_t planned_ = 0;
  };
  /// A server on which a model could be loaded, and the evictions that needs.
  struct Candidate
  {
    core::ServerId server_;
    WeightTier tier_ = WeightTier::Store;
    std::vector<core::ModelName> evict_;
    /// In seconds.
    double cost_ = 0;
  };

  /// Returns whether the content differed from the recorded one.
  static bool ReplaceContent(Server& aServer, const EngineContent& aContent);
  const EngineLimits* LimitsOf(const Server& aServer) const;
  std::uint32_t UsedMb(const Server& aServer,
                       const EngineLimits& aLimits) const;
  /// Loads of possibleLoads_ whose model or adapter is not loaded.
  std::set<core::ModelName> OpenLoads(const core::ServerId& aId,
                                      const Server& aServer) const;
  /// Memory that the loads may take.
  std::uint32_t LoadsMb(const std::set<core::ModelName>& aLoads,
                        const EngineLimits& aLimits) const;
  /// Whether an adapter of the model fits without unloading another one.
  bool HasRoomForAdapter(const core::ServerId& aId,
                         const Server& aServer,
                         const core::ModelName& aModel) const;
  /// Size of a model with its loaded adapters; aLoaded may be null.
  std::uint32_t SizeMb(const EngineLimits& aLimits,
                       const core::ModelName& aModel,
                       const LoadedModel* aLoaded) const;
  WeightTier TierOf(const Server& aServer, const core::ModelName& aModel) const;
  std::chrono::milliseconds LoadTime(const EngineLimits& aLimits,
                                     const core::ModelName& aModel,
                                     WeightTier aTier) const;
  std::chrono::milliseconds StoreLoadTime(const core::ModelName& aModel) const;
  /// Counts the replicas of all models.
  void CountReplicas();
  Replicas ReplicasOf(const core::ModelName& aModel) const;
  ModelDemand DemandOf(const core::ModelName& aModel) const;
  /// The expected cost of unloading the model, in seconds on the scale of
  /// Candidate::cost_; nothing when it must stay.
  std::optional<double> EvictionCost(const Server& aServer,
                                     const core::ModelName& aModel,
                                     core::MonotonicTime aNow) const;
  /// The earliest time at which a busy server with a cached copy of the weights
  /// could have loaded them, after its planned orders; nothing when there is no
  /// such server.
  std::optional<core::MonotonicTime> EarliestCopyReady(
    const core::ModelName& aModel,
    core::MonotonicTime aNow) const;
  /// The candidate with the lowest cost. Only an urgent load may evict models
  /// that are in use.
  std::optional<Candidate> BestServer(const core::ModelName& aModel,
                                      core::MonotonicTime aNow,
                                      bool aUrgent) const;
  /// The server as a candidate; nothing when it cannot make room.
  std::optional<Candidate> MakeCandidate(const core::ServerId& aId,
                                         const Server& aServer,
                                         const core::ModelName& aModel,
                                         core::MonotonicTime aNow,
                                         bool aUrgent) const;
  /// Adds the candidate's evictions and the load to the server's plan.
  void PlanLoad(const Candidate& aCandidate, const core::ModelName& aModel);
  /// Recomputes orderRate_ of all servers.
  void UpdateOrderRates(core::MonotonicTime aNow);
  void PlanModels(core::MonotonicTime aNow);
  void PlanAdapters(core::MonotonicTime aNow);
  void PlanAdapter(const ModelParts& aParts, core::MonotonicTime aNow);
  void PlanPrefetch(core::MonotonicTime aNow);
  /// Whether the servers have so few slots that each model's share counts.
  static bool FewSlots(const EngineLimits& aLimits);
  /// Slots of the servers that may have the model.
  std::uint32_t SlotsFor(const core::ModelName& aModel) const;
  /// Requests for the model and its adapters.
  ModelUse UseOf(const core::ModelName& aModel) const;
  /// Models in use that no server has loaded since one has left, and that
  /// nobody asks for yet.
  std::vector<core::ModelName> TakeLostModels(core::MonotonicTime aNow);
  /// Models that lie with one server only, the most wanted first.
  std::vector<core::ModelName> LoneModels(const EngineLimits& aLimits) const;
  /// The best server for a second copy of the model.
  std::optional<Candidate> CopyServer(const EngineLimits& aLimits,
                                      const core::ModelName& aModel,
                                      core::MonotonicTime aNow) const;
  /// While the store is idle and nobody asks for anything.
  void PlanSecondCopies(core::MonotonicTime aNow);
  /// Whether no server has a copy of the model's weights.
  bool OnlyInStore(const core::ModelName& aModel) const;
  /// Loads from the store that are planned or in progress.
  std::uint32_t StoreLoads() const;
  /// Adapts storeLoadLimit_ to a store load that took aElapsed, and would have
  /// taken aUncontended at the store's full bandwidth.
  void UpdateStoreLoadLimit(core::Duration aElapsed,
                            core::Duration aUncontended);
  /// Takes a token of the bucket that limits the rate of store loads.
  bool TryTakeStoreToken(core::MonotonicTime aNow);

  std::map<ServiceName, EngineLimits> limits_;
  std::map<core::ServerId, Server> servers_;
  std::map<core::ServerId, std::set<core::ModelName>> possibleLoads_;
  std::map<core::ServerId, std::set<core::ModelName>> rivalLoads_;
  std::set<core::ServerId> withheld_;
  /// Models of servers that have left.
  std::set<core::ModelName> lostModels_;
  core::MonotonicTime secondCopiesAt_;
  std::map<core::ModelName, DemandStats> demandStats_;
  /// Demand per model, with that for its adapters; only models with requests.
  std::map<core::ModelName, ModelDemand> demandByModel_;
  /// Kept up to date while Decide plans.
  std::map<core::ModelName, Replicas> replicas_;
  std::uint64_t lastOrderId_ = 0;
  core::MonotonicTime demandAt_;
  core::MonotonicTime orderRatesAt_;
  /// Expected ready times of models whose load is not planned yet: they wait
  /// for the weight store or for a busy server with a copy.
  std::map<core::ModelName, core::MonotonicTime> queuedReadyTimes_;
  /// Estimate of how many concurrent loads the store serves at full speed.
  std::uint32_t storeLoadLimit_ = 4;
  /// Store loads that may start now.
  double storeTokens_ = 0;
  core::MonotonicTime storeTokensAt_;
  /// After a change of leader: from when on the burst is allowed, and how many
  /// tokens have been taken of it before.
  std::optional<core::MonotonicTime> storeBurstFrom_;
  double storeTokensTaken_ = 0;
};

} // namespace crocusslip::coordination
