#include "coordination/ModelPlacement.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusslip::coordination {

namespace {

/// The platform's list shows an order's effect this much later.
constexpr std::chrono::milliseconds kListLag{ 2500 };
/// Time that a model stays after its load, for the requests that waited.
constexpr std::chrono::milliseconds kLeastStay{ 1500 };
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
constexpr std::chrono::milliseconds kAdapterLoad{ 20 };
/// Half-life of the arrival rates.
constexpr double kRateHalfLifeS = 10;
/// Runs that an unload has to wait for, when the model is in use.
constexpr double kActiveEvictionS = 2.5;
/// Regret of a model that nobody has used, and added for recent use.
constexpr double kUnusedRegret = 0.02;
constexpr double kRecentRegret = 0.05;
/// Requests that run or wait for each replica of a busy model.
constexpr double kLoadPerHolder = 6;
/// The same for giving one up; lower, since demand comes in waves.
constexpr double kSpareLoadPerHolder = 3;
/// Weight of a want without any replica against one for one more replica.
constexpr double kFirstReplicaWeight = 20;
/// Cost, in seconds, of each request that runs at a candidate.
constexpr double kLoadCostS = 0.05;
/// Cost, in seconds, of each request whose model or adapter has to wait for the
/// end of the load: a server carries out one order at a time.
constexpr double kHeldUpCostS = 3;
/// Share of the requests for models that are held which need an order all the
/// same, for an adapter or because the model was given up meanwhile.
constexpr double kHeldShare = 0.1;
/// Cost, in seconds, of a server that is slower by the whole mean.
constexpr double kSlownessCostS = 0.5;

double
Seconds(core::Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

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
ModelPlacement::OnContent(const core::ServerId& aServer,
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
ModelPlacement::SetContent(const core::ServerId& aServer,
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
ModelPlacement::Unknown() const
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
    std::clamp(Seconds(aNow - demandAt_), 0.001, kRateHalfLifeS);
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

// The requests of a model that are expected at each server that has its
// weights.
void
ModelPlacement::ShareRates()
{
  std::map<core::ModelName, double> rates;
  for (const auto& [name, need] : needs_) {
    rates[SplitModel(name).model_] += need.rate_;
  }
  const auto has = [](const Server& aServer, const core::ModelName& aModel) {
    return aServer.models_.contains(aModel) ||
           aServer.copies_.onDisk_.contains(aModel);
  };
  for (auto& [id, server] : servers_) {
    server.homeRate_ = 0;
  }
  for (const auto& [model, rate] : rates) {
    std::vector<Server*> homes;
    bool held = false;
    for (auto& [id, server] : servers_) {
      held = held || server.models_.contains(model);
      if (has(server, model)) {
        homes.push_back(&server);
      }
    }
    // A model that is held needs no order until it is given up.
    const double share = (held ? kHeldShare : 1.0) * rate;
    for (Server* server : homes) {
      server->homeRate_ += share / static_cast<double>(homes.size());
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
  const double elapsed = std::max(0.0, Seconds(aNow - storeTokensAt_));
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

// What is lost, in request seconds, when the server no longer has the model;
// nothing when it must stay.
std::optional<double>
ModelPlacement::Regret(const Server& aServer,
                       const core::ModelName& aModel,
                       core::MonotonicTime aNow) const
{
  const ModelDemand demand = DemandOf(aModel);
  const std::uint32_t holders = Holders(aModel);
  // A model in use is given up only where the other replicas can carry it.
  if (aServer.active_.contains(aModel) || demand.waiting_ > 0) {
    const double load = demand.waiting_ + demand.inFlight_;
    if (holders <= 1 || load / (holders - 1) > kSpareLoadPerHolder) {
      return std::nullopt;
    }
    return kActiveEvictionS;
  }
  const auto need = needs_.find(aModel);
  if (need == needs_.end()) {
    return holders <= 1 ? kUnusedRegret : kUnusedRegret / 2;
  }
  // The last replica's absence delays the next request by a load; that of one
  // of several only costs places. Among equals the longest unused goes first.
  const double idle = Seconds(aNow - need->second.lastUsed_);
  const double rate = need->second.rate_;
  return (holders <= 1 ? kUnusedRegret + rate : rate / (4.0 * holders)) +
         kRecentRegret / (1.0 + std::max(0.0, idle));
}

std::optional<ModelPlacement::Candidate>
ModelPlacement::Fill(const core::ServerId& aId,
                     const Server& aServer,
                     const core::ModelName& aModel,
                     core::MonotonicTime aNow,
                     bool aUrgent) const
{
  const EngineLimits* limits = LimitsOf(aServer);
  if (limits == nullptr || !aServer.known_ || !aServer.plan_.empty() ||
      aServer.models_.contains(aModel) || !limits->models_.contains(aModel)) {
    return std::nullopt;
  }
  Candidate candidate;
  candidate.server_ = aId;
  candidate.tier_ = TierOf(aServer, aModel);
  const double load = Seconds(LoadTime(*limits, aModel, candidate.tier_));
  candidate.cost_ = load + kLoadCostS * aServer.inFlight_ +
                    kSlownessCostS * aServer.slowness_ +
                    kHeldUpCostS * load * aServer.homeRate_;
  const std::uint32_t wanted = SizeMb(*limits, aModel, nullptr);
  std::uint32_t used = UsedMb(aServer, *limits);
  std::vector<std::pair<double, core::ModelName>> victims;
  for (const auto& [model, held] : aServer.models_) {
    const auto regret = Regret(aServer, model, aNow);
    const bool stays = aNow < held.since_ + kLeastStay ||
                       (!aUrgent && aServer.active_.contains(model));
    if (regret && !stays) {
      victims.emplace_back(*regret, model);
    }
  }
  std::ranges::sort(victims);
  for (const auto& [regret, model] : victims) {
    if (used + wanted <= limits->weightsMb_) {
      break;
    }
    used -= SizeMb(*limits, model, &aServer.models_.at(model));
    candidate.evict_.push_back(model);
    candidate.cost_ += regret;
  }
  if (used + wanted > limits->weightsMb_) {
    return std::nullopt;
  }
  return candidate;
}

std::optional<core::MonotonicTime>
ModelPlacement::HomeReady(const core::ModelName& aModel,
                          core::MonotonicTime aNow) const
{
  std::optional<core::MonotonicTime> earliest;
  for (const auto& [id, server] : servers_) {
    const EngineLimits* limits = LimitsOf(server);
    const WeightTier tier = TierOf(server, aModel);
    // One that does nothing now would be a candidate if it could make room.
    if (limits == nullptr || tier == WeightTier::Store ||
        server.plan_.empty() || server.models_.contains(aModel)) {
      continue;
    }
    core::MonotonicTime ready = std::max(aNow, server.readyAt_);
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
    const auto candidate = Fill(id, server, aModel, aNow, aUrgent);
    if (candidate && (!best || candidate->cost_ < best->cost_)) {
      best = candidate;
    }
  }
  return best;
}

void
ModelPlacement::Plan(const Candidate& aCandidate, const core::ModelName& aModel)
{
  Server& server = servers_.at(aCandidate.server_);
  const EngineLimits& limits = *LimitsOf(server);
  for (const core::ModelName& victim : aCandidate.evict_) {
    server.plan_.push_back({ aCandidate.server_,
                             PlacementVerb::Unload,
                             victim,
                             "",
                             WeightTier::Memory,
                             std::chrono::milliseconds(0) });
  }
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
  struct Want
  {
    core::ModelName model_;
    double weight_;
    bool urgent_;
  };
  std::vector<Want> wants;
  for (const auto& [model, demand] : byModel_) {
    const std::uint32_t holders = Holders(model);
    const std::uint32_t coming = ComingTo(model);
    const double load = demand.waiting_ + demand.inFlight_;
    const auto desired =
      static_cast<std::uint32_t>(std::ceil(load / kLoadPerHolder));
    const bool first = holders + coming == 0 && demand.waiting_ > 0;
    if (first) {
      wants.push_back({ model, kFirstReplicaWeight * demand.weight_, true });
    } else if (demand.waiting_ + demand.inFlight_ > 0) {
      for (std::uint32_t has = holders + coming; has < desired; ++has) {
        wants.push_back({ model, load / (1.0 + has), false });
      }
    }
  }
  std::ranges::sort(wants, [](const Want& aLeft, const Want& aRight) {
    return aLeft.weight_ > aRight.weight_;
  });
  queued_.clear();
  std::uint32_t ahead = StoreLoads();
  for (const Want& want : wants) {
    const auto candidate = BestServer(want.model_, aNow, want.urgent_);
    const auto home = HomeReady(want.model_, aNow);
    const bool fromStore = !candidate || candidate->tier_ == WeightTier::Store;
    if (fromStore && home && *home < aNow + StoreLoadTime(want.model_)) {
      // Sooner there than from the store by another server.
      if (want.urgent_) {
        queued_[want.model_] = *home;
      }
      continue;
    }
    const bool store = candidate ? candidate->tier_ == WeightTier::Store
                                 : OnlyInStore(want.model_);
    if (candidate &&
        (!store || (StoreLoads() < storeLimit_ && TakeStoreLoad(aNow)))) {
      Plan(*candidate, want.model_);
      ahead += store ? 1 : 0;
      continue;
    }
    if (!store) {
      continue;
    }
    if (want.urgent_ && OnlyInStore(want.model_)) {
      // Those ahead share the store; on average half of a load has passed.
      const double rounds = 0.5 + static_cast<double>(ahead) / storeLimit_;
      queued_[want.model_] = aNow + std::chrono::duration_cast<core::Duration>(
                                      rounds * StoreLoadTime(want.model_));
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

void
ModelPlacement::PlanAdapters(core::MonotonicTime aNow)
{
  for (const auto& [name, need] : needs_) {
    const ModelParts parts = SplitModel(name);
    if (!parts.adapter_.empty() && need.now_.waiting_ > 0) {
      PlanAdapter(parts, aNow);
    }
  }
}

void
ModelPlacement::PlanAdapter(const ModelParts& aParts, core::MonotonicTime aNow)
{
  Server* best = nullptr;
  core::ServerId bestId;
  std::size_t fewest = 0;
  for (auto& [id, server] : servers_) {
    const auto held = server.models_.find(aParts.model_);
    if (held == server.models_.end()) {
      continue;
    }
    const bool there = held->second.adapters_.contains(aParts.adapter_);
    const bool planned =
      std::ranges::any_of(server.plan_, [&](const PlacementOrder& aOrder) {
        return aOrder.model_ == aParts.model_ &&
               aOrder.adapter_ == aParts.adapter_;
      });
    if (there || planned) {
      return;
    }
    std::size_t adapters = 0;
    for (const auto& [model, other] : server.models_) {
      adapters += other.adapters_.size();
    }
    if (server.known_ && server.plan_.empty() &&
        (best == nullptr || adapters < fewest)) {
      best = &server;
      bestId = id;
      fewest = adapters;
    }
  }
  const EngineLimits* limits = best == nullptr ? nullptr : LimitsOf(*best);
  if (limits == nullptr) {
    return;
  }
  const auto size = limits->models_.find(aParts.model_);
  if (size == limits->models_.end()) {
    return;
  }
  // The adapter that was used least recently makes room.
  const bool slotsFull = fewest >= limits->adapterSlots_;
  const bool memoryFull =
    UsedMb(*best, *limits) + size->second.adapterMb_ > limits->weightsMb_;
  if (slotsFull || memoryFull) {
    const core::ModelName* model = nullptr;
    const std::string* adapter = nullptr;
    core::MonotonicTime oldest = core::MonotonicTime::max();
    for (const auto& [name, held] : best->models_) {
      for (const std::string& other : held.adapters_) {
        const auto use =
          needs_.find(core::ModelName(name.Value() + "/" + other));
        const bool needed =
          use != needs_.end() &&
          (use->second.now_.inFlight_ > 0 || use->second.now_.waiting_ > 0);
        const core::MonotonicTime used =
          use == needs_.end() ? core::MonotonicTime() : use->second.lastUsed_;
        if (!needed && used < oldest) {
          oldest = used;
          model = &name;
          adapter = &other;
        }
      }
    }
    if (adapter == nullptr) {
      return;
    }
    best->plan_.push_back({ bestId,
                            PlacementVerb::Unload,
                            *model,
                            *adapter,
                            WeightTier::Memory,
                            std::chrono::milliseconds(0) });
  }
  best->plan_.push_back({ bestId,
                          PlacementVerb::Load,
                          aParts.model_,
                          aParts.adapter_,
                          WeightTier::Store,
                          kAdapterLoad });
  best->changedAt_ = aNow;
}

// The store is idle: models of which no server has a copy are fetched, so that
// the first request does not wait for the store.
void
ModelPlacement::PlanPrefetch(core::MonotonicTime aNow)
{
  // A load from the store keeps its server from other orders for seconds, so
  // that this waits until nobody asks for anything.
  if (!byModel_.empty() || StoreLoads() >= storeLimit_) {
    return;
  }
  std::set<core::ModelName> known;
  for (const auto& [id, server] : servers_) {
    known.insert(server.copies_.onDisk_.begin(), server.copies_.onDisk_.end());
    known.insert(server.copies_.inMemory_.begin(),
                 server.copies_.inMemory_.end());
    for (const auto& [model, held] : server.models_) {
      known.insert(model);
    }
    for (const PlacementOrder& order : server.plan_) {
      known.insert(order.model_);
    }
  }
  const core::ModelName* wanted = nullptr;
  double bestRate = -1;
  for (const auto& [service, limits] : limits_) {
    for (const auto& [model, size] : limits.models_) {
      const auto need = needs_.find(model);
      const double rate = need == needs_.end() ? 0 : need->second.rate_;
      if (!known.contains(model) && rate > bestRate) {
        wanted = &model;
        bestRate = rate;
      }
    }
  }
  if (wanted == nullptr) {
    return;
  }
  const auto candidate = BestServer(*wanted, aNow, false);
  if (candidate && candidate->tier_ == WeightTier::Store &&
      TakeStoreLoad(aNow)) {
    Plan(*candidate, *wanted);
  }
}

std::vector<PlacementOrder>
ModelPlacement::Decide(core::MonotonicTime aNow)
{
  ShareRates();
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
  const double ratio = Seconds(aTook) / std::max(0.001, Seconds(aAlone));
  if (ratio > kSharedLoad) {
    const double fits = storeLimit_ / ratio + 0.5;
    storeLimit_ = std::max(kFewestStoreLoads, static_cast<std::uint32_t>(fits));
  } else if (ratio < kFullSpeedLoad && StoreLoads() + 1 >= storeLimit_) {
    storeLimit_ = std::min(kMostStoreLoads, storeLimit_ + 1);
  }
}

std::set<core::ModelName>
ModelPlacement::Usable(const core::ServerId& aServer) const
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
ModelPlacement::Coming() const
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
