// The decisions of ModelPlacement: what is worth loading, where, and in place
// of what. ModelPlacement.cpp keeps the books that these read.
#include "coordination/ModelPlacement.hpp"
#include "core/Durations.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusslip::coordination {

namespace {

/// Time that a model stays after its load, for the requests that waited.
constexpr std::chrono::milliseconds kLeastStay{ 1500 };
constexpr std::chrono::milliseconds kAdapterLoad{ 20 };
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
/// Rates of requests have a half-life of seconds.
constexpr std::chrono::milliseconds kShareInterval{ 300 };
/// Cost, in seconds, of a server that is slower by the whole mean.
constexpr double kSlownessCostS = 0.5;

} // namespace

// The requests of a model that are expected at each server that has its
// weights.
void
ModelPlacement::ShareRates(core::MonotonicTime aNow)
{
  if (aNow < sharedAt_ + kShareInterval) {
    return;
  }
  sharedAt_ = aNow;
  std::map<core::ModelName, double> rates;
  for (const auto& [name, need] : needs_) {
    rates[SplitModel(name).model_] += need.rate_;
  }
  struct Homes
  {
    double servers_ = 0;
    bool held_ = false;
  };
  std::map<core::ModelName, Homes> homes;
  // Each model that a server holds or has on its disk, once.
  const auto forEach = [](const Server& aServer, const auto& aVisit) {
    for (const auto& [model, held] : aServer.models_) {
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
      homes[aModel].servers_ += 1;
    });
    for (const auto& [model, held] : server.models_) {
      homes[model].held_ = true;
    }
  }
  for (auto& [id, server] : servers_) {
    server.homeRate_ = 0;
    forEach(server, [&, &own = server](const core::ModelName& aModel) {
      const auto rate = rates.find(aModel);
      if (rate != rates.end()) {
        const Homes& all = homes[aModel];
        // A model that is held needs no order until it is given up.
        own.homeRate_ +=
          (all.held_ ? kHeldShare : 1.0) * rate->second / all.servers_;
      }
    });
  }
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
  const double idle = core::Seconds(aNow - need->second.lastUsed_);
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
  const double load = core::Seconds(LoadTime(*limits, aModel, candidate.tier_));
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

} // namespace crocusslip::coordination
