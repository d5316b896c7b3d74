#include "coordination/ModelPlacement.hpp"

#include "core/Durations.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusslip::coordination {

namespace {

/// Delay after which the platform's list shows the effect of an order.
constexpr std::chrono::milliseconds kListLag{ 2500 };
/// Bounds of the number of concurrent loads from the store. How many it serves
/// at full speed is estimated from the duration of loads; more would only share
/// its bandwidth.
constexpr std::uint32_t kMinStoreLoads = 1;
constexpr std::uint32_t kMaxStoreLoads = 8;
/// Ratio of actual to expected load time above which a load is assumed to have
/// shared the store's bandwidth.
constexpr double kSharedLoadFactor = 1.25;
/// Ratio up to which a load is assumed to have had the full bandwidth.
constexpr double kFullSpeedFactor = 1.15;
/// Size of the token bucket: store loads that may start at the same moment.
constexpr double kStoreBurst = 3;
/// Share of the store's rate that is used, so that two successive leaders
/// together do not exceed it.
constexpr double kStoreRateShare = 0.85;
/// Half-life of the arrival rates, in seconds.
constexpr double kRateHalfLifeS = 10;

} // namespace

ModelParts
SplitModel(const core::ModelName& aName)
{
  const std::string& text = aName.Value();
  const auto slash = text.find('/');
  if (slash == std::string::npos) {
    return { aName, "" };
  }
  return { core::ModelName(text.substr(0, slash)), text.substr(slash + 1) };
}

void
ModelPlacement::SetLimits(std::map<ServiceName, EngineLimits> aLimits)
{
  limits_ = std::move(aLimits);
}

void
ModelPlacement::AddServer(const core::ServerId& aServer,
                          const ServiceName& aService)
{
  servers_[aServer].service_ = aService;
}

void
ModelPlacement::OnListedContent(const core::ServerId& aServer,
                                const EngineContent& aContent,
                                core::MonotonicTime aNow)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end() || !found->second.plan_.empty() ||
      aNow < found->second.lastOrderAt_ + kListLag) {
    return;
  }
  if (ReplaceContent(found->second, aContent)) {
    found->second.verified_ = false;
  }
}

bool
ModelPlacement::SetVerifiedContent(const core::ServerId& aServer,
                                   const EngineContent& aContent)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end() || found->second.orderInProgress_) {
    return false;
  }
  found->second.plan_.clear();
  ReplaceContent(found->second, aContent);
  found->second.verified_ = true;
  return true;
}

bool
ModelPlacement::IsVerified(const core::ServerId& aServer) const
{
  const auto found = servers_.find(aServer);
  return found != servers_.end() && found->second.verified_;
}

std::vector<core::ServerId>
ModelPlacement::UnverifiedServers() const
{
  std::vector<core::ServerId> unverified;
  for (const auto& [id, server] : servers_) {
    if (!server.verified_ && server.plan_.empty()) {
      unverified.push_back(id);
    }
  }
  return unverified;
}

bool
ModelPlacement::ReplaceContent(Server& aServer, const EngineContent& aContent)
{
  bool differs = aServer.models_.size() != aContent.models_.size();
  std::map<core::ModelName, LoadedModel> models;
  for (const auto& [model, adapters] : aContent.models_) {
    const auto before = aServer.models_.find(model);
    LoadedModel loaded =
      before == aServer.models_.end() ? LoadedModel{} : before->second;
    differs = differs || before == aServer.models_.end() ||
              loaded.adapters_ != adapters;
    loaded.adapters_ = adapters;
    models.emplace(model, std::move(loaded));
  }
  aServer.models_ = std::move(models);
  return differs;
}

void
ModelPlacement::SetCachedWeights(const core::ServerId& aServer,
                                 CachedWeights aCopies)
{
  const auto found = servers_.find(aServer);
  if (found != servers_.end()) {
    found->second.copies_ = std::move(aCopies);
  }
}

void
ModelPlacement::OnActive(const core::ServerId& aServer,
                         std::set<core::ModelName> aActive,
                         std::uint32_t aInFlight,
                         double aSlowness)
{
  const auto found = servers_.find(aServer);
  if (found != servers_.end()) {
    found->second.active_ = std::move(aActive);
    found->second.inFlight_ = aInFlight;
    found->second.slowness_ = aSlowness;
  }
}

void
ModelPlacement::SetPossibleLoads(
  std::map<core::ServerId, std::set<core::ModelName>> aLoads,
  std::map<core::ServerId, std::set<core::ModelName>> aRivals)
{
  possibleLoads_ = std::move(aLoads);
  rivalLoads_ = std::move(aRivals);
}

void
ModelPlacement::SetWithheld(std::set<core::ServerId> aServers)
{
  withheld_ = std::move(aServers);
}

void
ModelPlacement::OnLeaderChange(core::MonotonicTime aNow,
                               core::MonotonicTime aBurstFrom)
{
  storeTokens_ = 0;
  storeTokensAt_ = aNow;
  storeBurstFrom_ = aBurstFrom;
  storeTokensTaken_ = 0;
}

void
ModelPlacement::OnDemand(const std::map<core::ModelName, ModelDemand>& aDemand,
                         core::MonotonicTime aNow)
{
  const double elapsed =
    std::clamp(core::Seconds(aNow - demandAt_), 0.001, kRateHalfLifeS);
  demandAt_ = aNow;
  const double decay = std::exp2(-elapsed / kRateHalfLifeS);
  for (auto& [model, stats] : demandStats_) {
    stats.current_ = {};
    stats.rate_ *= decay;
  }
  for (const auto& [model, demand] : aDemand) {
    DemandStats& stats = demandStats_[model];
    stats.current_ = demand;
    // Exponential smoothing: in the steady state, decay x rate + (1 - decay) x
    // arrivals/s = rate.
    stats.rate_ += (1 - decay) * demand.arrivals_ / elapsed;
    if (demand.arrivals_ > 0 || demand.inFlight_ > 0 || demand.waiting_ > 0) {
      stats.lastUsed_ = aNow;
    }
  }
  demandByModel_.clear();
  for (const auto& [name, stats] : demandStats_) {
    if (stats.current_.waiting_ + stats.current_.inFlight_ > 0) {
      ModelDemand& total = demandByModel_[SplitModel(name).model_];
      total.waiting_ += stats.current_.waiting_;
      total.inFlight_ += stats.current_.inFlight_;
      total.weight_ += stats.current_.weight_;
    }
  }
}

const EngineLimits*
ModelPlacement::LimitsOf(const Server& aServer) const
{
  const auto found = limits_.find(aServer.service_);
  return found == limits_.end() ? nullptr : &found->second;
}

std::uint32_t
ModelPlacement::SizeMb(const EngineLimits& aLimits,
                       const core::ModelName& aModel,
                       const LoadedModel* aLoaded) const
{
  const auto size = aLimits.models_.find(aModel);
  // A model that the configuration does not list is taken to fill the server.
  if (size == aLimits.models_.end()) {
    return aLimits.weightsMb_;
  }
  const std::size_t adapters =
    aLoaded == nullptr ? 0 : aLoaded->adapters_.size();
  return size->second.weightsMb_ +
         static_cast<std::uint32_t>(adapters) * size->second.adapterMb_;
}

std::uint32_t
ModelPlacement::UsedMb(const Server& aServer, const EngineLimits& aLimits) const
{
  std::uint32_t used = 0;
  for (const auto& [model, loaded] : aServer.models_) {
    used += SizeMb(aLimits, model, &loaded);
  }
  return used;
}

std::set<core::ModelName>
ModelPlacement::OpenLoads(const core::ServerId& aId,
                          const Server& aServer) const
{
  std::set<core::ModelName> open;
  const auto found = possibleLoads_.find(aId);
  if (found == possibleLoads_.end()) {
    return open;
  }
  for (const core::ModelName& load : found->second) {
    const ModelParts parts = SplitModel(load);
    const auto model = aServer.models_.find(parts.model_);
    const bool loaded = model != aServer.models_.end() &&
                        (parts.adapter_.empty() ||
                         model->second.adapters_.contains(parts.adapter_));
    if (!loaded) {
      open.insert(load);
    }
  }
  return open;
}

std::uint32_t
ModelPlacement::LoadsMb(const std::set<core::ModelName>& aLoads,
                        const EngineLimits& aLimits) const
{
  std::uint32_t sum = 0;
  for (const core::ModelName& load : aLoads) {
    const ModelParts parts = SplitModel(load);
    const auto size = aLimits.models_.find(parts.model_);
    sum += parts.adapter_.empty() || size == aLimits.models_.end()
             ? SizeMb(aLimits, parts.model_, nullptr)
             : size->second.adapterMb_;
  }
  return sum;
}

WeightTier
ModelPlacement::TierOf(const Server& aServer,
                       const core::ModelName& aModel) const
{
  if (aServer.copies_.inMemory_.contains(aModel)) {
    return WeightTier::Memory;
  }
  return aServer.copies_.onDisk_.contains(aModel) ? WeightTier::Disk
                                                  : WeightTier::Store;
}

std::chrono::milliseconds
ModelPlacement::LoadTime(const EngineLimits& aLimits,
                         const core::ModelName& aModel,
                         WeightTier aTier) const
{
  const auto size = aLimits.models_.find(aModel);
  if (size == aLimits.models_.end()) {
    // Assumed for a model that the limits do not list.
    return std::chrono::seconds(60);
  }
  switch (aTier) {
    case WeightTier::Memory:
      return size->second.memoryLoad_;
    case WeightTier::Disk:
      return size->second.diskLoad_;
    case WeightTier::Store:
      break;
  }
  return size->second.storeLoad_;
}

void
ModelPlacement::CountReplicas()
{
  replicas_.clear();
  for (const auto& [id, server] : servers_) {
    std::set<core::ModelName> unloading;
    std::set<core::ModelName> loading;
    for (const PlacementOrder& order : server.plan_) {
      if (order.adapter_.empty()) {
        (order.verb_ == PlacementVerb::Load ? loading : unloading)
          .insert(order.model_);
      }
    }
    for (const auto& [model, loaded] : server.models_) {
      // A replica that is about to be unloaded must not justify unloading
      // another one.
      if (!unloading.contains(model)) {
        ++replicas_[model].loaded_;
      }
    }
    for (const core::ModelName& model : loading) {
      ++replicas_[model].planned_;
    }
  }
}

ModelPlacement::Replicas
ModelPlacement::ReplicasOf(const core::ModelName& aModel) const
{
  const auto found = replicas_.find(aModel);
  return found == replicas_.end() ? Replicas{} : found->second;
}

std::uint32_t
ModelPlacement::StoreLoads() const
{
  std::uint32_t loads = 0;
  for (const auto& [id, server] : servers_) {
    loads += static_cast<std::uint32_t>(
      std::ranges::count_if(server.plan_, [](const PlacementOrder& aOrder) {
        return aOrder.verb_ == PlacementVerb::Load && aOrder.adapter_.empty() &&
               aOrder.tier_ == WeightTier::Store;
      }));
  }
  return loads;
}

bool
ModelPlacement::TryTakeStoreToken(core::MonotonicTime aNow)
{
  double rate = 0;
  for (const auto& [name, limits] : limits_) {
    rate = std::max(rate, limits.loadsPerSecond_);
  }
  const double elapsed = std::max(0.0, core::Seconds(aNow - storeTokensAt_));
  storeTokensAt_ = aNow;
  storeTokens_ =
    std::min(kStoreBurst, storeTokens_ + elapsed * rate * kStoreRateShare);
  if (storeBurstFrom_ && aNow >= *storeBurstFrom_) {
    storeTokens_ = std::max(storeTokens_, kStoreBurst - storeTokensTaken_);
    storeBurstFrom_.reset();
  }
  if (storeTokens_ < 1) {
    return false;
  }
  storeTokens_ -= 1;
  storeTokensTaken_ += 1;
  return true;
}

ModelDemand
ModelPlacement::DemandOf(const core::ModelName& aModel) const
{
  const auto found = demandByModel_.find(aModel);
  return found == demandByModel_.end() ? ModelDemand{} : found->second;
}

std::vector<PlacementOrder>
ModelPlacement::Decide(core::MonotonicTime aNow)
{
  UpdateOrderRates(aNow);
  CountReplicas();
  PlanModels(aNow);
  PlanAdapters(aNow);
  PlanPrefetch(aNow);
  std::vector<PlacementOrder> orders;
  for (auto& [id, server] : servers_) {
    if (server.plan_.empty() || server.orderInProgress_) {
      continue;
    }
    PlacementOrder& order = server.plan_.front();
    order.id_ = ++lastOrderId_;
    server.orderInProgress_ = true;
    server.lastOrderAt_ = aNow;
    server.orderEndsAt_ = aNow + order.expected_;
    if (order.verb_ == PlacementVerb::Unload) {
      // From now on no requests may be sent to the server for this adapter.
      const auto loaded = server.models_.find(order.model_);
      if (loaded != server.models_.end() && !order.adapter_.empty()) {
        loaded->second.adapters_.erase(order.adapter_);
      }
    }
    orders.push_back(order);
  }
  return orders;
}

void
ModelPlacement::OnOrderDone(const PlacementOrder& aOrder,
                            bool aSucceeded,
                            core::MonotonicTime aNow)
{
  const auto found = servers_.find(aOrder.server_);
  if (found == servers_.end()) {
    return;
  }
  Server& server = found->second;
  if (!server.orderInProgress_ || server.plan_.front().id_ != aOrder.id_) {
    return;
  }
  const core::Duration duration = aNow - server.lastOrderAt_;
  server.orderInProgress_ = false;
  server.lastOrderAt_ = aNow;
  if (aSucceeded && aOrder.verb_ == PlacementVerb::Load &&
      aOrder.adapter_.empty() && aOrder.tier_ == WeightTier::Store) {
    UpdateStoreLoadLimit(duration, aOrder.expected_);
  }
  if (!aSucceeded) {
    // The rest of the plan relied on the effect of this order.
    server.plan_.clear();
    server.verified_ = false;
    return;
  }
  server.plan_.erase(server.plan_.begin());
  if (!aOrder.adapter_.empty()) {
    const auto loaded = server.models_.find(aOrder.model_);
    if (loaded != server.models_.end() && aOrder.verb_ == PlacementVerb::Load) {
      loaded->second.adapters_.insert(aOrder.adapter_);
    }
    return;
  }
  if (aOrder.verb_ == PlacementVerb::Unload) {
    server.models_.erase(aOrder.model_);
    return;
  }
  server.models_[aOrder.model_].loadedAt_ = aNow;
  server.copies_.inMemory_.insert(aOrder.model_);
  server.copies_.onDisk_.insert(aOrder.model_);
}

void
ModelPlacement::UpdateStoreLoadLimit(core::Duration aElapsed,
                                     core::Duration aUncontended)
{
  const double ratio =
    core::Seconds(aElapsed) / std::max(0.001, core::Seconds(aUncontended));
  if (ratio > kSharedLoadFactor) {
    const double fits = storeLoadLimit_ / ratio + 0.5;
    storeLoadLimit_ =
      std::max(kMinStoreLoads, static_cast<std::uint32_t>(fits));
  } else if (ratio < kFullSpeedFactor && StoreLoads() + 1 >= storeLoadLimit_) {
    storeLoadLimit_ = std::min(kMaxStoreLoads, storeLoadLimit_ + 1);
  }
}

std::set<core::ModelName>
ModelPlacement::RoutableModels(const core::ServerId& aServer) const
{
  std::set<core::ModelName> usable;
  const auto found = servers_.find(aServer);
  if (found == servers_.end()) {
    return usable;
  }
  std::set<core::ModelName> unloading;
  for (const PlacementOrder& order : found->second.plan_) {
    if (order.verb_ == PlacementVerb::Unload && order.adapter_.empty()) {
      unloading.insert(order.model_);
    }
  }
  for (const auto& [model, loaded] : found->second.models_) {
    if (unloading.contains(model)) {
      continue;
    }
    usable.insert(model);
    for (const std::string& adapter : loaded.adapters_) {
      usable.insert(core::ModelName(model.Value() + "/" + adapter));
    }
  }
  return usable;
}

std::string
ModelPlacement::Summary(std::size_t aModels) const
{
  std::vector<std::pair<std::uint32_t, core::ModelName>> busiest;
  for (const auto& [model, demand] : demandByModel_) {
    busiest.emplace_back(demand.waiting_ + demand.inFlight_, model);
  }
  std::ranges::sort(busiest, std::greater());
  std::string text;
  for (std::size_t i = 0; i < std::min(aModels, busiest.size()); ++i) {
    const core::ModelName& model = busiest[i].second;
    const ModelDemand demand = DemandOf(model);
    const Replicas replicas = ReplicasOf(model);
    text += (text.empty() ? "" : " ") + model.Value() + ":" +
            std::to_string(demand.waiting_) + "w" +
            std::to_string(demand.inFlight_) + "r" +
            std::to_string(replicas.loaded_) + "h" +
            std::to_string(replicas.planned_) + "c";
  }
  return text;
}

std::map<core::ModelName, core::MonotonicTime>
ModelPlacement::ExpectedReadyTimes() const
{
  std::map<core::ModelName, core::MonotonicTime> readyTimes = queuedReadyTimes_;
  for (const auto& [id, server] : servers_) {
    core::MonotonicTime ready = server.orderEndsAt_;
    for (const PlacementOrder& order : server.plan_) {
      if (&order != &server.plan_.front()) {
        ready += order.expected_;
      }
      if (order.verb_ == PlacementVerb::Load) {
        const std::string name =
          order.adapter_.empty() ? order.model_.Value()
                                 : order.model_.Value() + "/" + order.adapter_;
        const auto [entry, first] =
          readyTimes.emplace(core::ModelName(name), ready);
        entry->second = std::min(entry->second, ready);
      }
    }
  }
  return readyTimes;
}

} // namespace crocusslip::coordination
