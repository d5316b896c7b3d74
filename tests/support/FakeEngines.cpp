#include "tests/support/FakeEngines.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::tests {

using namespace coordination;

namespace {

constexpr double kLoadFailureProbability = 0.05;

} // namespace

FakeEngines::FakeEngines(state::EngineKind aKind,
                         bool aFencingSurvivesRestart,
                         core::Duration aMaxLoadTime,
                         core::Random& aRandom,
                         Schedule aSchedule)
  : kind_(aKind)
  , fencingSurvivesRestart_(aFencingSurvivesRestart)
  , maxLoadTime_(aMaxLoadTime)
  , random_(aRandom)
  , schedule_(std::move(aSchedule))
{
}

void
FakeEngines::Add(const core::ServerId& aServer)
{
  ++changes_;
  engines_.emplace(aServer, Engine{});
}

void
FakeEngines::Remove(const core::ServerId& aServer)
{
  ++changes_;
  engines_.erase(aServer);
}

void
FakeEngines::Restart(const core::ServerId& aServer)
{
  ++changes_;
  Engine& engine = engines_.at(aServer);
  engine.replicas_.clear();
  ++engine.instance_;
  if (!fencingSurvivesRestart_) {
    engine.highestFencingNumber_ = {};
  }
  ++restarts_;
}

void
FakeEngines::AddUnmanagedReplica(const core::ServerId& aServer,
                                 const core::DeploymentId& aDeployment,
                                 core::Bytes aMemory)
{
  ++changes_;
  engines_.at(aServer).replicas_.try_emplace(
    aDeployment, EngineReplica{ ListedPhase::Loaded, aMemory });
}

core::ServerId
FakeEngines::PickRandomServer() const
{
  auto place = engines_.begin();
  std::advance(place, random_.Below(engines_.size()));
  return place->first;
}

void
FakeEngines::Deliver(const SendOrder& aOrder, const Reply& aReply)
{
  const auto found = engines_.find(aOrder.server_);
  if (found == engines_.end()) {
    aReply(OrderReply::None);
    return;
  }
  Engine& engine = found->second;
  if (kind_ == state::EngineKind::Checks) {
    if (aOrder.fencing_ < engine.highestFencingNumber_) {
      aReply(OrderReply::Fenced);
      return;
    }
    engine.highestFencingNumber_ = aOrder.fencing_;
  }
  if (aOrder.kind_ == state::OrderKind::Load) {
    Load(aOrder, aReply);
  } else {
    Unload(aOrder, aReply);
  }
}

void
FakeEngines::Load(const SendOrder& aOrder, const Reply& aReply)
{
  ++changes_;
  Engine& engine = engines_.at(aOrder.server_);
  const auto [place, added] = engine.replicas_.try_emplace(
    aOrder.deployment_, EngineReplica{ ListedPhase::Loading, aOrder.memory_ });
  if (!added) {
    aReply(OrderReply::Done);
    return;
  }
  const bool fails = random_.Chance(kLoadFailureProbability);
  const core::Duration time(static_cast<core::Duration::rep>(
    random_.Uniform() * static_cast<double>(maxLoadTime_.count())));
  schedule_(time, [=, this, instance = engine.instance_] {
    FinishLoad(aOrder, instance, fails, aReply);
  });
}

void
FakeEngines::FinishLoad(const SendOrder& aOrder,
                        std::uint64_t aInstance,
                        bool aFails,
                        const Reply& aReply)
{
  const auto found = engines_.find(aOrder.server_);
  if (found == engines_.end() || found->second.instance_ != aInstance) {
    aReply(OrderReply::None);
    return;
  }
  ++changes_;
  if (aFails) {
    found->second.replicas_.erase(aOrder.deployment_);
    aReply(OrderReply::Refused);
    return;
  }
  found->second.replicas_.at(aOrder.deployment_).phase_ = ListedPhase::Loaded;
  ++loadsDone_;
  aReply(OrderReply::Done);
}

void
FakeEngines::Unload(const SendOrder& aOrder, const Reply& aReply)
{
  Engine& engine = engines_.at(aOrder.server_);
  const auto found = engine.replicas_.find(aOrder.deployment_);
  if (found != engine.replicas_.end() &&
      found->second.phase_ == ListedPhase::Loading) {
    aReply(OrderReply::Refused);
    return;
  }
  ++changes_;
  engine.replicas_.erase(aOrder.deployment_);
  aReply(OrderReply::Done);
}

std::optional<ServerListed>
FakeEngines::List(const RequestReplicaList& aAction) const
{
  const auto found = engines_.find(aAction.server_);
  if (found == engines_.end()) {
    return std::nullopt;
  }
  ServerListed list{ aAction.server_,
                     aAction.listRequest_,
                     std::to_string(found->second.instance_),
                     {} };
  for (const auto& [deployment, replica] : found->second.replicas_) {
    list.replicas_.push_back({ deployment, replica.memory_, replica.phase_ });
  }
  return list;
}

std::optional<FencingNumberAnswered>
FakeEngines::UpdateFencing(const SendFencingNumber& aAction)
{
  const auto found = engines_.find(aAction.server_);
  if (found == engines_.end()) {
    return std::nullopt;
  }
  const bool accepted = aAction.term_ >= found->second.highestFencingNumber_;
  found->second.highestFencingNumber_ =
    std::max(found->second.highestFencingNumber_, aAction.term_);
  return FencingNumberAnswered{ aAction.server_,
                                aAction.fencingRequest_,
                                accepted };
}

std::string
FakeEngines::FindExcess(const state::OrderTable& aTable,
                        core::Bytes aCapacity,
                        std::uint32_t aMaximum) const
{
  std::map<core::DeploymentId, std::uint32_t> loaded;
  for (const auto& [server, engine] : engines_) {
    core::Bytes used;
    for (const auto& [deployment, replica] : engine.replicas_) {
      ++loaded[deployment];
      used += replica.memory_;
    }
    if (used > aCapacity || aTable.HeldOn(server) > aCapacity) {
      return "memory above capacity on " + server.Value();
    }
  }
  for (const auto& [deployment, count] : loaded) {
    if (count > aTable.ReplicasOf(deployment) || count > aMaximum) {
      return "more replicas than decided of " + deployment.Value();
    }
  }
  return {};
}

std::string
FakeEngines::FindDifference(const state::OrderTable& aTable) const
{
  for (const auto& [key, replica] : aTable.Replicas()) {
    const auto engine = engines_.find(key.server_);
    const bool there = engine != engines_.end() &&
                       engine->second.replicas_.contains(key.deployment_);
    if (replica.Outstanding() || replica.adopted_ || !there) {
      return "not settled: " + key.deployment_.Value() + " on " +
             key.server_.Value() + ' ' + std::string(Name(replica.phase_));
    }
  }
  for (const auto& [server, engine] : engines_) {
    for (const auto& [deployment, replica] : engine.replicas_) {
      if (aTable.Find({ deployment, server }) == nullptr) {
        return "replica missing in the order table: " + deployment.Value();
      }
    }
  }
  return {};
}

} // namespace crocusslip::tests
