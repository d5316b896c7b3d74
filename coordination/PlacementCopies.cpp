// Copies of models that survive the loss of a server: those that only one
// server has are loaded elsewhere, at once when it leaves, and in calm.
#include "coordination/ModelPlacement.hpp"
#include "placement/ReplicaLoad.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace crocusslip::coordination {

namespace {

/// Time since its last request for which a model is loaded elsewhere when its
/// server leaves.
constexpr std::chrono::seconds kInUseTime{ 20 };
/// Interval at which second copies are looked for.
constexpr std::chrono::seconds kCopyInterval{ 1 };

} // namespace

bool
ModelPlacement::FewSlots(const EngineLimits& aLimits)
{
  return aLimits.slots_ > 0 && aLimits.slots_ < placement::kManySlots;
}

std::uint32_t
ModelPlacement::SlotsFor(const core::ModelName& aModel) const
{
  for (const auto& [service, limits] : limits_) {
    if (limits.models_.contains(aModel)) {
      return limits.slots_;
    }
  }
  return 0;
}

ModelPlacement::ModelUse
ModelPlacement::UseOf(const core::ModelName& aModel) const
{
  ModelUse use;
  const auto add = [&use](const DemandStats& aStats) {
    use.rate_ += aStats.rate_;
    use.lastUsed_ = std::max(use.lastUsed_, aStats.lastUsed_);
  };
  if (const auto own = demandStats_.find(aModel); own != demandStats_.end()) {
    add(own->second);
  }
  const std::string prefix = aModel.Value() + "/";
  for (auto next = demandStats_.lower_bound(core::ModelName(prefix));
       next != demandStats_.end() && next->first.Value().starts_with(prefix);
       ++next) {
    add(next->second);
  }
  return use;
}

void
ModelPlacement::RemoveServer(const core::ServerId& aServer)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end()) {
    return;
  }
  const EngineLimits* limits = LimitsOf(found->second);
  if (limits != nullptr && FewSlots(*limits)) {
    for (const auto& [model, loaded] : found->second.models_) {
      lostModels_.insert(model);
    }
  }
  servers_.erase(found);
}

std::vector<core::ModelName>
ModelPlacement::TakeLostModels(core::MonotonicTime aNow)
{
  std::erase_if(lostModels_, [&](const core::ModelName& aModel) {
    return ReplicasOf(aModel).loaded_ > 0 ||
           aNow > UseOf(aModel).lastUsed_ + kInUseTime;
  });
  std::vector<core::ModelName> wanted;
  std::ranges::copy_if(
    lostModels_, std::back_inserter(wanted), [&](const auto& aModel) {
      // Requests that wait for it ask for it themselves.
      return ReplicasOf(aModel).planned_ == 0 && DemandOf(aModel).waiting_ == 0;
    });
  return wanted;
}

std::vector<core::ModelName>
ModelPlacement::LoneModels(const EngineLimits& aLimits) const
{
  std::map<core::ModelName, std::size_t> copies;
  for (const auto& [id, server] : servers_) {
    std::set<core::ModelName> here = server.copies_.onDisk_;
    here.insert(server.copies_.inMemory_.begin(),
                server.copies_.inMemory_.end());
    for (const auto& [model, loaded] : server.models_) {
      here.insert(model);
    }
    for (const PlacementOrder& order : server.plan_) {
      here.insert(order.model_);
    }
    for (const core::ModelName& model : here) {
      ++copies[model];
    }
  }
  std::vector<std::pair<double, core::ModelName>> lone;
  for (const auto& [model, size] : aLimits.models_) {
    const auto found = copies.find(model);
    if (found != copies.end() && found->second == 1) {
      lone.emplace_back(UseOf(model).rate_, model);
    }
  }
  std::ranges::sort(lone, std::greater());
  std::vector<core::ModelName> models;
  models.reserve(lone.size());
  for (auto& [rate, model] : lone) {
    models.push_back(std::move(model));
  }
  return models;
}

std::optional<ModelPlacement::Candidate>
ModelPlacement::CopyServer(const EngineLimits& aLimits,
                           const core::ModelName& aModel,
                           core::MonotonicTime aNow) const
{
  const double rate = UseOf(aModel).rate_;
  std::optional<Candidate> best;
  for (const auto& [id, server] : servers_) {
    std::uint32_t onDisk = SizeMb(aLimits, aModel, nullptr);
    for (const core::ModelName& model : server.copies_.onDisk_) {
      onDisk += SizeMb(aLimits, model, nullptr);
    }
    // Beyond the disk's size another copy would be lost.
    if (aLimits.diskMb_ > 0 && onDisk > aLimits.diskMb_) {
      continue;
    }
    const auto candidate = MakeCandidate(id, server, aModel, aNow, false);
    // A model that is asked for as often must not make room.
    const bool worth =
      candidate && candidate->tier_ == WeightTier::Store &&
      std::ranges::none_of(candidate->evict_, [&](const auto& aVictim) {
        return UseOf(aVictim).rate_ >= rate;
      });
    if (worth && (!best || candidate->cost_ < best->cost_)) {
      best = candidate;
    }
  }
  return best;
}

void
ModelPlacement::PlanSecondCopies(core::MonotonicTime aNow)
{
  if (aNow < secondCopiesAt_ + kCopyInterval) {
    return;
  }
  secondCopiesAt_ = aNow;
  for (const auto& [service, limits] : limits_) {
    if (!FewSlots(limits)) {
      continue;
    }
    for (const core::ModelName& model : LoneModels(limits)) {
      const auto candidate = CopyServer(limits, model, aNow);
      if (candidate) {
        if (TryTakeStoreToken(aNow)) {
          PlanLoad(*candidate, model);
        }
        return;
      }
    }
  }
}

} // namespace crocusslip::coordination
