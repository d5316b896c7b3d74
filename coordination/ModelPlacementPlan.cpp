// The decisions of ModelPlacement: which models to load, on which servers, and
// which ones to evict. ModelPlacement.cpp maintains the state that they read.
#include "coordination/ModelPlacement.hpp"
#include "core/Durations.hpp"
#include "placement/ReplicaLoad.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusslip::coordination {

namespace {

/// Time that a model stays loaded at least, to serve the requests that waited.
constexpr std::chrono::milliseconds kMinResidence{ 1500 };
/// Eviction cost of a model in use: the unload has to wait for its requests.
constexpr double kActiveEvictionCostS = 2.5;
/// Eviction cost of a model that was never used, and the surcharge for one used
/// recently, which falls with the time since its last use.
constexpr double kUnusedEvictionCostS = 0.02;
constexpr double kRecentUseEvictionCostS = 0.05;
/// Share of the load per replica up to which one may be given up; lower, since
/// demand fluctuates.
constexpr double kScaleDownShare = 0.5;
/// Weight of a model's first replica relative to that of an additional one.
constexpr double kFirstReplicaWeight = 20;
/// Cost, in seconds, per request running at a candidate.
constexpr double kInFlightCostS = 0.05;
/// Cost, in seconds, per request whose model or adapter has to wait until the
/// load ends, since a server carries out one order at a time.
constexpr double kBlockedRequestCostS = 3;
/// Share of the requests for loaded models that still need an order, for an
/// adapter or because the model has been evicted meanwhile.
constexpr double kLoadedOrderShare = 0.1;
/// Interval at which order rates are recomputed. Request rates change slowly,
/// with a half-life of seconds.
constexpr std::chrono::milliseconds kOrderRateInterval{ 300 };
/// Time beyond its expected end after which an order counts as overdue.
constexpr std::chrono::milliseconds kOverdueOrderTime{ 500 };
/// Cost, in seconds, per unit of slowness; a server of mean speed has 1.
constexpr double kSlownessCostS = 0.5;

} // namespace

// Splits the request rate of each model evenly among the servers that have its
// weights.
void
ModelPlacement::UpdateOrderRates(core::MonotonicTime aNow)
{
  if (aNow < orderRatesAt_ + kOrderRateInterval) {
    return;
  }
  orderRatesAt_ = aNow;
  std::map<core::ModelName, double> rates;
  for (const auto& [name, stats] : demandStats_) {
    rates[SplitModel(name).model_] += stats.rate_;
  }
  struct ModelCopies
  {
    double servers_ = 0;
    bool loaded_ = false;
  };
  std::map<core::ModelName, ModelCopies> copies;
  // Visits each model that a server has loaded or on its disk once.
  const auto forEach = [](const Server& aServer, const auto& aVisit) {
    for (const auto& [model, loaded] : aServer.models_) {
      aVisit(model);
    }
    for (const core::ModelName& model : aServer.copies_.onDisk_) {
      if (!aServer.models_.contains(model)) {
        aVisit(model);
      }
    }
  };
  for (const auto& [id, server] : servers_) {
    forEach(server, [&](const core::ModelName& aModel) {
      copies[aModel].servers_ += 1;
    });
    for (const auto& [model, loaded] : server.models_) {
      copies[model].loaded_ = true;
    }
  }
  for (auto& [id, server] : servers_) {
    server.orderRate_ = 0;
    forEach(server, [&, &own = server](const core::ModelName& aModel) {
      const auto rate = rates.find(aModel);
      if (rate != rates.end()) {
        const ModelCopies& all = copies[aModel];
        // Most requests for a loaded model need no order until it is evicted.
        own.orderRate_ +=
          (all.loaded_ ? kLoadedOrderShare : 1.0) * rate->second / all.servers_;
      }
    });
  }
}

std::optional<double>
ModelPlacement::EvictionCost(const Server& aServer,
                             const core::ModelName& aModel,
                             core::MonotonicTime aNow) const
{
  const ModelDemand demand = DemandOf(aModel);
  const std::uint32_t replicas = ReplicasOf(aModel).loaded_;
  // A model in use is evicted only if its other replicas can take its load.
  if (aServer.active_.contains(aModel) || demand.waiting_ > 0) {
    const double load = demand.waiting_ + demand.inFlight_;
    if (replicas <= 1 ||
        load / (replicas - 1) >
          kScaleDownShare * placement::LoadPerReplica(SlotsFor(aModel))) {
      return std::nullopt;
    }
    return kActiveEvictionCostS;
  }
  const auto stats = demandStats_.find(aModel);
  if (stats == demandStats_.end()) {
    return replicas <= 1 ? kUnusedEvictionCostS : kUnusedEvictionCostS / 2;
  }
  // Without the last replica the next request waits for a load; without one of
  // several, only capacity is lost, which counts a quarter of the rate per
  // replica. Among equals the least recently used one is
  // the cheapest.
  const double idle = core::Seconds(aNow - stats->second.lastUsed_);
  const double rate = stats->second.rate_;
  return (replicas <= 1 ? kUnusedEvictionCostS + rate
                        : rate / (4.0 * replicas)) +
         kRecentUseEvictionCostS / (1.0 + std::max(0.0, idle));
}

std::optional<ModelPlacement::Candidate>
ModelPlacement::MakeCandidate(const core::ServerId& aId,
                              const Server& aServer,
                              const core::ModelName& aModel,
                              core::MonotonicTime aNow,
                              bool aUrgent) const
{
  const EngineLimits* limits = LimitsOf(aServer);
  if (limits == nullptr || !aServer.verified_ || !aServer.plan_.empty() ||
      withheld_.contains(aId) || aServer.models_.contains(aModel) ||
      !limits->models_.contains(aModel)) {
    return std::nullopt;
  }
  Candidate candidate;
  candidate.server_ = aId;
  candidate.tier_ = TierOf(aServer, aModel);
  const double load = core::Seconds(LoadTime(*limits, aModel, candidate.tier_));
  candidate.cost_ = load + kInFlightCostS * aServer.inFlight_ +
                    kSlownessCostS * aServer.slowness_ +
                    kBlockedRequestCostS * load * aServer.orderRate_;
  std::set<core::ModelName> open = OpenLoads(aId, aServer);
  open.erase(aModel);
  const std::uint32_t wanted =
    SizeMb(*limits, aModel, nullptr) + LoadsMb(open, *limits);
  std::uint32_t used = UsedMb(aServer, *limits);
  if (const auto rivals = rivalLoads_.find(aId); rivals != rivalLoads_.end()) {
    std::set<core::ModelName> others = open;
    for (const core::ModelName& rival : rivals->second) {
      others.erase(rival);
    }
    if (used + SizeMb(*limits, aModel, nullptr) + LoadsMb(others, *limits) <=
        limits->weightsMb_) {
      return candidate;
    }
  }
  const auto possible = possibleLoads_.find(aId);
  std::vector<std::pair<double, core::ModelName>> victims;
  for (const auto& [model, loaded] : aServer.models_) {
    const auto evictionCost = EvictionCost(aServer, model, aNow);
    // Its memory could be taken again.
    const bool reloaded =
      possible != possibleLoads_.end() && possible->second.contains(model);
    const bool stays = reloaded || aNow < loaded.loadedAt_ + kMinResidence ||
                       (!aUrgent && aServer.active_.contains(model));
    if (evictionCost && !stays) {
      victims.emplace_back(*evictionCost, model);
    }
  }
  std::ranges::sort(victims);
  for (const auto& [evictionCost, model] : victims) {
    if (used + wanted <= limits->weightsMb_) {
      break;
    }
    used -= SizeMb(*limits, model, &aServer.models_.at(model));
    candidate.evict_.push_back(model);
    candidate.cost_ += evictionCost;
  }
  if (used + wanted > limits->weightsMb_) {
    return std::nullopt;
  }
  return candidate;
}

std::optional<core::MonotonicTime>
ModelPlacement::EarliestCopyReady(const core::ModelName& aModel,
                                  core::MonotonicTime aNow) const
{
  std::optional<core::MonotonicTime> earliest;
  for (const auto& [id, server] : servers_) {
    const EngineLimits* limits = LimitsOf(server);
    const WeightTier tier = TierOf(server, aModel);
    // An idle server is a candidate itself if it can make room.
    // How much longer an overdue order takes is not known.
    const bool overdue =
      server.orderInProgress_ && aNow > server.orderEndsAt_ + kOverdueOrderTime;
    if (limits == nullptr || tier == WeightTier::Store ||
        server.plan_.empty() || server.models_.contains(aModel) || overdue) {
      continue;
    }
    core::MonotonicTime ready = std::max(aNow, server.orderEndsAt_);
    for (std::size_t next = 1; next < server.plan_.size(); ++next) {
      ready += server.plan_[next].expected_;
    }
    ready += LoadTime(*limits, aModel, tier);
    earliest = earliest ? std::min(*earliest, ready) : ready;
  }
  return earliest;
}

std::optional<ModelPlacement::Candidate>
ModelPlacement::BestServer(const core::ModelName& aModel,
                           core::MonotonicTime aNow,
                           bool aUrgent) const
{
  std::optional<Candidate> best;
  for (const auto& [id, server] : servers_) {
    const auto candidate = MakeCandidate(id, server, aModel, aNow, aUrgent);
    if (candidate && (!best || candidate->cost_ < best->cost_)) {
      best = candidate;
    }
  }
  return best;
}

void
ModelPlacement::PlanLoad(const Candidate& aCandidate,
                         const core::ModelName& aModel)
{
  Server& server = servers_.at(aCandidate.server_);
  const EngineLimits& limits = *LimitsOf(server);
  for (const core::ModelName& victim : aCandidate.evict_) {
    --replicas_[victim].loaded_;
    server.plan_.push_back({ aCandidate.server_,
                             PlacementVerb::Unload,
                             victim,
                             "",
                             WeightTier::Memory,
                             std::chrono::milliseconds(0) });
  }
  ++replicas_[aModel].planned_;
  server.plan_.push_back({ aCandidate.server_,
                           PlacementVerb::Load,
                           aModel,
                           "",
                           aCandidate.tier_,
                           LoadTime(limits, aModel, aCandidate.tier_) });
}

void
ModelPlacement::PlanModels(core::MonotonicTime aNow)
{
  struct WantedReplica
  {
    core::ModelName model_;
    double weight_;
    bool urgent_;
    bool mayUseStore_;
  };
  std::vector<WantedReplica> wantedReplicas;
  for (const auto& [model, demand] : demandByModel_) {
    const auto [replicas, plannedLoads] = ReplicasOf(model);
    const double load = demand.waiting_ + demand.inFlight_;
    const auto replicasFor = [load](std::uint32_t aSlots) {
      return static_cast<std::uint32_t>(
        std::ceil(load / placement::LoadPerReplica(aSlots)));
    };
    const std::uint32_t desired = replicasFor(SlotsFor(model));
    // A load from the store holds up others for longer than one from a disk.
    const std::uint32_t worthStore = replicasFor(placement::kManySlots);
    const bool first = replicas + plannedLoads == 0 && demand.waiting_ > 0;
    if (first) {
      wantedReplicas.push_back(
        { model, kFirstReplicaWeight * demand.weight_, true, true });
    } else if (demand.waiting_ + demand.inFlight_ > 0) {
      for (std::uint32_t has = replicas + plannedLoads; has < desired; ++has) {
        wantedReplicas.push_back(
          { model, load / (1.0 + has), false, has < worthStore });
      }
    }
  }
  for (const core::ModelName& model : TakeLostModels(aNow)) {
    std::erase_if(wantedReplicas, [&](const WantedReplica& aReplica) {
      return aReplica.model_ == model;
    });
    // Ahead of further replicas.
    wantedReplicas.push_back(
      { model, kFirstReplicaWeight * (1 + UseOf(model).rate_), false, true });
  }
  std::ranges::sort(
    wantedReplicas,
    [](const WantedReplica& aLeft, const WantedReplica& aRight) {
      return aLeft.weight_ > aRight.weight_;
    });
  queuedReadyTimes_.clear();
  std::uint32_t ahead = StoreLoads();
  for (const WantedReplica& replica : wantedReplicas) {
    const auto candidate = BestServer(replica.model_, aNow, replica.urgent_);
    const auto copyReady = EarliestCopyReady(replica.model_, aNow);
    const bool fromStore = !candidate || candidate->tier_ == WeightTier::Store;
    if (fromStore && copyReady &&
        *copyReady < aNow + StoreLoadTime(replica.model_)) {
      // The busy server has the model ready sooner than another server could
      // load it from the store.
      if (replica.urgent_) {
        queuedReadyTimes_[replica.model_] = *copyReady;
      }
      continue;
    }
    const bool store = candidate ? candidate->tier_ == WeightTier::Store
                                 : OnlyInStore(replica.model_);
    if (store && !replica.mayUseStore_) {
      continue;
    }
    if (candidate && (!store || (StoreLoads() < storeLoadLimit_ &&
                                 TryTakeStoreToken(aNow)))) {
      PlanLoad(*candidate, replica.model_);
      ahead += store ? 1 : 0;
      continue;
    }
    if (!store) {
      continue;
    }
    if (replica.urgent_ && OnlyInStore(replica.model_)) {
      // The loads ahead share the store. The current ones are half done on
      // average, hence 0.5.
      const double rounds = 0.5 + static_cast<double>(ahead) / storeLoadLimit_;
      queuedReadyTimes_[replica.model_] =
        aNow + std::chrono::duration_cast<core::Duration>(
                 rounds * StoreLoadTime(replica.model_));
    }
    ++ahead;
  }
}

bool
ModelPlacement::OnlyInStore(const core::ModelName& aModel) const
{
  return std::ranges::none_of(servers_, [&](const auto& aEntry) {
    return TierOf(aEntry.second, aModel) != WeightTier::Store;
  });
}

std::chrono::milliseconds
ModelPlacement::StoreLoadTime(const core::ModelName& aModel) const
{
  for (const auto& [service, limits] : limits_) {
    const auto size = limits.models_.find(aModel);
    if (size != limits.models_.end()) {
      return size->second.storeLoad_;
    }
  }
  return std::chrono::milliseconds(0);
}

// While the store is idle, loads models of which no server has a copy, so that
// their first request does not wait for the store.
void
ModelPlacement::PlanPrefetch(core::MonotonicTime aNow)
{
  // A load from the store blocks other orders to its server for seconds, so
  // prefetches start only while there are no requests for models.
  if (!demandByModel_.empty() || StoreLoads() >= storeLoadLimit_) {
    return;
  }
  std::set<core::ModelName> present;
  for (const auto& [id, server] : servers_) {
    present.insert(server.copies_.onDisk_.begin(),
                   server.copies_.onDisk_.end());
    present.insert(server.copies_.inMemory_.begin(),
                   server.copies_.inMemory_.end());
    for (const auto& [model, loaded] : server.models_) {
      present.insert(model);
    }
    for (const PlacementOrder& order : server.plan_) {
      present.insert(order.model_);
    }
  }
  const core::ModelName* wanted = nullptr;
  double bestRate = -1;
  for (const auto& [service, limits] : limits_) {
    for (const auto& [model, size] : limits.models_) {
      const auto stats = demandStats_.find(model);
      const double rate = stats == demandStats_.end() ? 0 : stats->second.rate_;
      if (!present.contains(model) && rate > bestRate) {
        wanted = &model;
        bestRate = rate;
      }
    }
  }
  if (wanted == nullptr) {
    PlanSecondCopies(aNow);
    return;
  }
  const auto candidate = BestServer(*wanted, aNow, false);
  if (candidate && candidate->tier_ == WeightTier::Store &&
      TryTakeStoreToken(aNow)) {
    PlanLoad(*candidate, *wanted);
  }
}

} // namespace crocusslip::coordination
