// The decisions of ModelPlacement about adapters.
#include "coordination/ModelPlacement.hpp"
#include "placement/AdapterRoom.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::coordination {

namespace {

/// Expected duration of loading an adapter.
constexpr std::chrono::milliseconds kAdapterLoadTime{ 20 };

} // namespace

void
ModelPlacement::PlanAdapters(core::MonotonicTime aNow)
{
  for (const auto& [name, stats] : demandStats_) {
    const ModelParts parts = SplitModel(name);
    if (!parts.adapter_.empty() && stats.current_.waiting_ > 0) {
      PlanAdapter(parts, aNow);
    }
  }
}

bool
ModelPlacement::HasRoomForAdapter(const core::ServerId& aId,
                                  const Server& aServer,
                                  const core::ModelName& aModel) const
{
  const EngineLimits* limits = LimitsOf(aServer);
  if (limits == nullptr || !limits->models_.contains(aModel)) {
    return false;
  }
  std::size_t slots = 1;
  for (const auto& [model, loaded] : aServer.models_) {
    slots += loaded.adapters_.size();
  }
  const std::set<core::ModelName> open = OpenLoads(aId, aServer);
  slots += static_cast<std::size_t>(
    std::ranges::count_if(open, [](const core::ModelName& aLoad) {
      return !SplitModel(aLoad).adapter_.empty();
    }));
  const std::uint32_t used = UsedMb(aServer, *limits) + LoadsMb(open, *limits) +
                             limits->models_.at(aModel).adapterMb_;
  return slots <= limits->adapterSlots_ && used <= limits->weightsMb_;
}

void
ModelPlacement::PlanAdapter(const ModelParts& aParts, core::MonotonicTime aNow)
{
  Server* best = nullptr;
  core::ServerId bestId;
  std::size_t fewest = 0;
  for (auto& [id, server] : servers_) {
    const auto loaded = server.models_.find(aParts.model_);
    if (loaded == server.models_.end()) {
      continue;
    }
    const bool alreadyLoaded =
      loaded->second.adapters_.contains(aParts.adapter_);
    const bool planned =
      std::ranges::any_of(server.plan_, [&](const PlacementOrder& aOrder) {
        return aOrder.verb_ == PlacementVerb::Load &&
               aOrder.model_ == aParts.model_ &&
               aOrder.adapter_ == aParts.adapter_;
      });
    if (alreadyLoaded || planned) {
      return;
    }
    std::size_t adapters = 0;
    for (const auto& [model, other] : server.models_) {
      adapters += other.adapters_.size();
    }
    const bool mayTake = server.verified_ && server.plan_.empty() &&
                         !withheld_.contains(id) &&
                         (OpenLoads(id, server).empty() ||
                          HasRoomForAdapter(id, server, aParts.model_));
    if (mayTake && (best == nullptr || adapters < fewest)) {
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
  // Their slots could be taken again.
  const auto reloaded = possibleLoads_.find(bestId);
  std::vector<placement::UnusedAdapter> unused;
  for (const auto& [name, loaded] : best->models_) {
    const auto other = limits->models_.find(name);
    for (const std::string& adapter : loaded.adapters_) {
      const core::ModelName full(name.Value() + "/" + adapter);
      const auto use = demandStats_.find(full);
      const bool needed =
        (use != demandStats_.end() && (use->second.current_.inFlight_ > 0 ||
                                       use->second.current_.waiting_ > 0)) ||
        (reloaded != possibleLoads_.end() && reloaded->second.contains(full));
      if (!needed) {
        unused.push_back(
          { name,
            adapter,
            other == limits->models_.end() ? 0 : other->second.adapterMb_,
            use == demandStats_.end() ? core::MonotonicTime()
                                      : use->second.lastUsed_ });
      }
    }
  }
  const std::uint32_t used = UsedMb(*best, *limits) + size->second.adapterMb_;
  const auto unloads = placement::AdaptersToUnload(
    std::move(unused),
    used > limits->weightsMb_ ? used - limits->weightsMb_ : 0,
    fewest >= limits->adapterSlots_ ? fewest + 1 - limits->adapterSlots_ : 0);
  if (!unloads) {
    return;
  }
  for (const placement::UnusedAdapter& adapter : *unloads) {
    best->plan_.push_back({ bestId,
                            PlacementVerb::Unload,
                            adapter.model_,
                            adapter.adapter_,
                            WeightTier::Memory,
                            std::chrono::milliseconds(0) });
  }
  best->plan_.push_back({ bestId,
                          PlacementVerb::Load,
                          aParts.model_,
                          aParts.adapter_,
                          WeightTier::Store,
                          kAdapterLoadTime });
  best->lastOrderAt_ = aNow;
}

} // namespace crocusslip::coordination
