#include "coordination/ModelPlacement.hpp"

#include "core/Durations.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusslip::coordination {

namespace {

/// The platform's list shows an order's effect this much later.
constexpr std::chrono::milliseconds kListLag{ 2500 };
/// Bounds of the loads from the store at once. How many it serves at full speed
/// is learned from the time that loads take; more only share its bandwidth.
constexpr std::uint32_t kFewestStoreLoads = 1;
constexpr std::uint32_t kMostStoreLoads = 8;
/// A load that takes longer than its time by this factor shared the bandwidth;
/// one within the smaller factor had it for itself.
constexpr double kSharedLoad = 1.25;
constexpr double kFullSpeedLoad = 1.15;
/// Store loads that may begin in the same moment.
constexpr double kStoreBurst = 3;
/// Share of the store's rate that is used, so that a change of leader does not
/// exceed it.
constexpr double kStoreShare = 0.85;
/// Half-life of the arrival rates.
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
ModelPlacement::RemoveServer(const core::ServerId& aServer)
{
  servers_.erase(aServer);
}

void
ModelPlacement::OnListedContent(const core::ServerId& aServer,
                                const EngineContent& aContent,
                                core::MonotonicTime aNow)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end() || !found->second.plan_.empty() ||
      aNow < found->second.changedAt_ + kListLag) {
    return;
  }
  if (Take(found->second, aContent)) {
    found->second.known_ = false;
  }
}

void
ModelPlacement::SetVerifiedContent(const core::ServerId& aServer,
                                   const EngineContent& aContent)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end() || found->second.underWay_) {
    return;
  }
  found->second.plan_.clear();
  Take(found->second, aContent);
  found->second.known_ = true;
}

std::vector<core::ServerId>
ModelPlacement::UnverifiedServers() const
{
  std::vector<core::ServerId> unknown;
  for (const auto& [id, server] : servers_) {
    if (!server.known_ && server.plan_.empty()) {
      unknown.push_back(id);
    }
  }
  return unknown;
}

bool
ModelPlacement::Take(Server& aServer, const EngineContent& aContent)
{
  bool differs = aServer.models_.size() != aContent.models_.size();
  std::map<core::ModelName, Held> models;
  for (const auto& [model, adapters] : aContent.models_) {
    const auto before = aServer.models_.find(model);
    Held held = before == aServer.models_.end() ? Held{} : before->second;
    differs =
      differs || before == aServer.models_.end() || held.adapters_ != adapters;
    held.adapters_ = adapters;
    models.emplace(model, std::move(held));
  }
  aServer.models_ = std::move(models);
  return differs;
}

void
ModelPlacement::OnCopies(const core::ServerId& aServer, EngineCopies aCopies)
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
ModelPlacement::OnDemand(const std::map<core::ModelName, ModelDemand>& aDemand,
                         core::MonotonicTime aNow)
{
  const double elapsed =
    std::clamp(core::Seconds(aNow - demandAt_), 0.001, kRateHalfLifeS);
  demandAt_ = aNow;
  const double kept = std::exp2(-elapsed / kRateHalfLifeS);
  for (auto& [model, need] : needs_) {
    need.now_ = {};
    need.rate_ *= kept;
  }
  for (const auto& [model, demand] : aDemand) {
    Need& need = needs_[model];
    need.now_ = demand;
    // In the steady state kept x rate + (1 - kept) x arrivals/s = rate.
    need.rate_ += (1 - kept) * demand.arrivals_ / elapsed;
    if (demand.arrivals_ > 0 || demand.inFlight_ > 0 || demand.waiting_ > 0) {
      need.lastUsed_ = aNow;
    }
  }
  byModel_.clear();
  for (const auto& [name, need] : needs_) {
    if (need.now_.waiting_ + need.now_.inFlight_ > 0) {
      ModelDemand& total = byModel_[SplitModel(name).model_];
      total.waiting_ += need.now_.waiting_;
      total.inFlight_ += need.now_.inFlight_;
      total.weight_ += need.now_.weight_;
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
                       const Held* aHeld) const
{
  const auto size = aLimits.models_.find(aModel);
  // A model that the configuration does not name fills the whole server.
  if (size == aLimits.models_.end()) {
    return aLimits.weightsMb_;
  }
  const std::size_t adapters = aHeld == nullptr ? 0 : aHeld->adapters_.size();
  return size->second.weightsMb_ +
         static_cast<std::uint32_t>(adapters) * size->second.adapterMb_;
}

std::uint32_t
ModelPlacement::UsedMb(const Server& aServer, const EngineLimits& aLimits) const
{
  std::uint32_t used = 0;
  for (const auto& [model, held] : aServer.models_) {
    used += SizeMb(aLimits, model, &held);
  }
  return used;
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

std::uint32_t
ModelPlacement::Holders(const core::ModelName& aModel) const
{
  return static_cast<std::uint32_t>(
    std::ranges::count_if(servers_, [&](const auto& aEntry) {
      // One that is to be unloaded must not justify another unload.
      return aEntry.second.models_.contains(aModel) &&
             std::ranges::none_of(
               aEntry.second.plan_, [&](const PlacementOrder& aOrder) {
                 return aOrder.verb_ == PlacementVerb::Unload &&
                        aOrder.adapter_.empty() && aOrder.model_ == aModel;
               });
    }));
}

std::uint32_t
ModelPlacement::ComingTo(const core::ModelName& aModel) const
{
  return static_cast<std::uint32_t>(
    std::ranges::count_if(servers_, [&](const auto& aEntry) {
      return std::ranges::any_of(
        aEntry.second.plan_, [&](const PlacementOrder& aOrder) {
          return aOrder.verb_ == PlacementVerb::Load &&
                 aOrder.adapter_.empty() && aOrder.model_ == aModel;
        });
    }));
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
ModelPlacement::TakeStoreLoad(core::MonotonicTime aNow)
{
  double rate = 0;
  for (const auto& [name, limits] : limits_) {
    rate = std::max(rate, limits.loadsPerSecond_);
  }
  const double elapsed = std::max(0.0, core::Seconds(aNow - storeTokensAt_));
  storeTokensAt_ = aNow;
  storeTokens_ =
    std::min(kStoreBurst, storeTokens_ + elapsed * rate * kStoreShare);
  if (storeTokens_ < 1) {
    return false;
  }
  storeTokens_ -= 1;
  return true;
}

ModelDemand
ModelPlacement::DemandOf(const core::ModelName& aModel) const
{
  const auto found = byModel_.find(aModel);
  return found == byModel_.end() ? ModelDemand{} : found->second;
}

std::vector<PlacementOrder>
ModelPlacement::Decide(core::MonotonicTime aNow)
{
  ShareRates(aNow);
  PlanModels(aNow);
  PlanAdapters(aNow);
  PlanPrefetch(aNow);
  std::vector<PlacementOrder> orders;
  for (auto& [id, server] : servers_) {
    if (server.plan_.empty() || server.underWay_) {
      continue;
    }
    const PlacementOrder& order = server.plan_.front();
    server.underWay_ = true;
    server.changedAt_ = aNow;
    server.readyAt_ = aNow + order.expected_;
    if (order.verb_ == PlacementVerb::Unload) {
      // Requests must not be sent there from now on.
      const auto held = server.models_.find(order.model_);
      if (held != server.models_.end() && !order.adapter_.empty()) {
        held->second.adapters_.erase(order.adapter_);
      }
    }
    orders.push_back(order);
  }
  return orders;
}

void
ModelPlacement::OnOrderDone(const PlacementOrder& aOrder,
                            bool aCarriedOut,
                            core::MonotonicTime aNow)
{
  const auto found = servers_.find(aOrder.server_);
  if (found == servers_.end()) {
    return;
  }
  Server& server = found->second;
  const core::Duration took = aNow - server.changedAt_;
  server.underWay_ = false;
  server.changedAt_ = aNow;
  if (aCarriedOut && aOrder.verb_ == PlacementVerb::Load &&
      aOrder.adapter_.empty() && aOrder.tier_ == WeightTier::Store) {
    LearnStore(took, aOrder.expected_);
  }
  if (!aCarriedOut) {
    // What follows was planned on its effect.
    server.plan_.clear();
    server.known_ = false;
    return;
  }
  if (!server.plan_.empty()) {
    server.plan_.erase(server.plan_.begin());
  }
  if (!aOrder.adapter_.empty()) {
    const auto held = server.models_.find(aOrder.model_);
    if (held != server.models_.end() && aOrder.verb_ == PlacementVerb::Load) {
      held->second.adapters_.insert(aOrder.adapter_);
    }
    return;
  }
  if (aOrder.verb_ == PlacementVerb::Unload) {
    server.models_.erase(aOrder.model_);
    return;
  }
  server.models_[aOrder.model_].since_ = aNow;
  server.copies_.inMemory_.insert(aOrder.model_);
  server.copies_.onDisk_.insert(aOrder.model_);
}

void
ModelPlacement::LearnStore(core::Duration aTook, core::Duration aAlone)
{
  const double ratio =
    core::Seconds(aTook) / std::max(0.001, core::Seconds(aAlone));
  if (ratio > kSharedLoad) {
    const double fits = storeLimit_ / ratio + 0.5;
    storeLimit_ = std::max(kFewestStoreLoads, static_cast<std::uint32_t>(fits));
  } else if (ratio < kFullSpeedLoad && StoreLoads() + 1 >= storeLimit_) {
    storeLimit_ = std::min(kMostStoreLoads, storeLimit_ + 1);
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
  std::set<core::ModelName> leaving;
  for (const PlacementOrder& order : found->second.plan_) {
    if (order.verb_ == PlacementVerb::Unload && order.adapter_.empty()) {
      leaving.insert(order.model_);
    }
  }
  for (const auto& [model, held] : found->second.models_) {
    if (leaving.contains(model)) {
      continue;
    }
    usable.insert(model);
    for (const std::string& adapter : held.adapters_) {
      usable.insert(core::ModelName(model.Value() + "/" + adapter));
    }
  }
  return usable;
}

std::string
ModelPlacement::Summary(std::size_t aModels) const
{
  std::vector<std::pair<std::uint32_t, core::ModelName>> busiest;
  for (const auto& [model, demand] : byModel_) {
    busiest.emplace_back(demand.waiting_ + demand.inFlight_, model);
  }
  std::ranges::sort(busiest, std::greater());
  std::string text;
  for (std::size_t i = 0; i < std::min(aModels, busiest.size()); ++i) {
    const core::ModelName& model = busiest[i].second;
    const ModelDemand demand = DemandOf(model);
    text += (text.empty() ? "" : " ") + model.Value() + ":" +
            std::to_string(demand.waiting_) + "w" +
            std::to_string(demand.inFlight_) + "r" +
            std::to_string(Holders(model)) + "h" +
            std::to_string(ComingTo(model)) + "c";
  }
  return text;
}

std::map<core::ModelName, core::MonotonicTime>
ModelPlacement::ExpectedReadyTimes() const
{
  std::map<core::ModelName, core::MonotonicTime> coming = queued_;
  for (const auto& [id, server] : servers_) {
    core::MonotonicTime ready = server.readyAt_;
    for (const PlacementOrder& order : server.plan_) {
      if (&order != &server.plan_.front()) {
        ready += order.expected_;
      }
      if (order.verb_ == PlacementVerb::Load) {
        const std::string name =
          order.adapter_.empty() ? order.model_.Value()
                                 : order.model_.Value() + "/" + order.adapter_;
        const auto [entry, first] =
          coming.emplace(core::ModelName(name), ready);
        entry->second = std::min(entry->second, ready);
      }
    }
  }
  return coming;
}

} // namespace crocusslip::coordination
