#include "state/OrderTable.hpp"

#include "state/SnapshotCodec.hpp"

#include <utility>

namespace crocusslip::state {

std::string_view
Name(ReplicaPhase aPhase)
{
  switch (aPhase) {
    case ReplicaPhase::Loading:
      return "loading";
    case ReplicaPhase::Loaded:
      return "loaded";
    case ReplicaPhase::Unloading:
      return "unloading";
    case ReplicaPhase::Unknown:
      break;
  }
  return "unknown";
}

DecisionAnswer
OrderTable::Decide(core::LogIndex aIndex,
                   core::Term aTerm,
                   const DecideLoad& aDecision)
{
  const ReplicaKey key{ aDecision.deployment_, aDecision.server_ };
  if (key.deployment_.Empty() || key.server_.Empty()) {
    return { DecisionResult::Invalid, {} };
  }
  if (replicas_.contains(key)) {
    return { DecisionResult::AlreadyPresent, {} };
  }
  if (ReplicasOf(key.deployment_) >= aDecision.maximumReplicas_) {
    return { DecisionResult::MaximumReached, {} };
  }
  // Written so that the sum can't overflow.
  if (aDecision.memory_ > aDecision.capacity_ ||
      HeldOn(key.server_) > aDecision.capacity_ - aDecision.memory_) {
    return { DecisionResult::NoMemory, {} };
  }
  const core::OrderId order(aIndex.Value());
  Insert(key,
         { .phase_ = ReplicaPhase::Loading,
           .memory_ = aDecision.memory_,
           .engine_ = aDecision.engine_,
           .kind_ = OrderKind::Load,
           .order_ = order,
           .term_ = aTerm,
           .timeout_ = aDecision.timeout_ });
  return { DecisionResult::Decided, order };
}

DecisionAnswer
OrderTable::Decide(core::LogIndex aIndex,
                   core::Term aTerm,
                   const DecideUnload& aDecision)
{
  const auto found =
    replicas_.find({ aDecision.deployment_, aDecision.server_ });
  if (found == replicas_.end()) {
    return { DecisionResult::NoSuchReplica, {} };
  }
  Replica& replica = found->second;
  if (replica.Outstanding()) {
    return { DecisionResult::OrderOutstanding, {} };
  }
  orders_.erase(replica.order_);
  replica.phase_ = ReplicaPhase::Unloading;
  replica.kind_ = OrderKind::Unload;
  replica.order_ = core::OrderId(aIndex.Value());
  replica.term_ = aTerm;
  replica.timeout_ = aDecision.timeout_;
  orders_.emplace(replica.order_, found->first);
  touched_.push_back(found->first);
  return { DecisionResult::Decided, replica.order_ };
}

ObservationAnswer
OrderTable::Observe(const ObserveOrder& aObservation)
{
  const ReplicaKey* found = FindOrder(aObservation.order_);
  if (found == nullptr) {
    return { ObservationResult::Superseded };
  }
  const ReplicaKey key = *found;
  Replica& replica = replicas_.at(key);
  if (!replica.Outstanding()) {
    return { ObservationResult::Superseded };
  }
  touched_.push_back(key);
  if (aObservation.outcome_ == OrderOutcome::Unknown) {
    replica.phase_ = ReplicaPhase::Unknown;
    return { ObservationResult::Recorded };
  }
  const bool done = aObservation.outcome_ == OrderOutcome::Done;
  const bool loaded = done == (replica.kind_ == OrderKind::Load);
  if (loaded) {
    replica.phase_ = ReplicaPhase::Loaded;
  } else {
    Remove(key);
  }
  return { ObservationResult::Recorded };
}

ObservationAnswer
OrderTable::Adopt(core::LogIndex aIndex,
                  core::Term aTerm,
                  const AdoptReplica& aFound)
{
  const ReplicaKey key{ aFound.deployment_, aFound.server_ };
  if (replicas_.contains(key)) {
    return { ObservationResult::Superseded };
  }
  Insert(key,
         { .phase_ = ReplicaPhase::Loaded,
           .memory_ = aFound.memory_,
           .engine_ = aFound.engine_,
           .adopted_ = true,
           .order_ = core::OrderId(aIndex.Value()),
           .term_ = aTerm });
  return { ObservationResult::Recorded };
}

ObservationAnswer
OrderTable::Lose(const LoseReplica& aLost)
{
  const ReplicaKey key{ aLost.deployment_, aLost.server_ };
  const Replica* replica = Find(key);
  if (replica == nullptr || replica->Outstanding() ||
      replica->order_ != aLost.order_) {
    return { ObservationResult::Superseded };
  }
  Remove(key);
  return { ObservationResult::Recorded };
}

ObservationAnswer
OrderTable::Forget(const ForgetServer& aGone)
{
  const auto usage = servers_.find(aGone.server_);
  if (usage == servers_.end()) {
    return { ObservationResult::Superseded };
  }
  const std::set<core::DeploymentId> deployments = usage->second.deployments_;
  for (const core::DeploymentId& deployment : deployments) {
    Remove({ deployment, aGone.server_ });
  }
  return { ObservationResult::Recorded };
}

const Replica*
OrderTable::Find(const ReplicaKey& aKey) const
{
  const auto found = replicas_.find(aKey);
  return found == replicas_.end() ? nullptr : &found->second;
}

const ReplicaKey*
OrderTable::FindOrder(core::OrderId aOrder) const
{
  const auto found = orders_.find(aOrder);
  return found == orders_.end() ? nullptr : &found->second;
}

std::uint32_t
OrderTable::ReplicasOf(const core::DeploymentId& aDeployment) const
{
  const auto found = counts_.find(aDeployment);
  return found == counts_.end() ? 0 : found->second;
}

core::Bytes
OrderTable::HeldOn(const core::ServerId& aServer) const
{
  const auto found = servers_.find(aServer);
  return found == servers_.end() ? core::Bytes() : found->second.held_;
}

void
OrderTable::Insert(const ReplicaKey& aKey, const Replica& aReplica)
{
  touched_.push_back(aKey);
  replicas_.emplace(aKey, aReplica);
  orders_.emplace(aReplica.order_, aKey);
  ++counts_[aKey.deployment_];
  ServerUsage& usage = servers_[aKey.server_];
  usage.held_ += aReplica.memory_;
  usage.deployments_.insert(aKey.deployment_);
}

void
OrderTable::Remove(const ReplicaKey& aKey)
{
  touched_.push_back(aKey);
  const auto found = replicas_.find(aKey);
  const auto usage = servers_.find(aKey.server_);
  const auto count = counts_.find(aKey.deployment_);
  orders_.erase(found->second.order_);
  usage->second.held_ = usage->second.held_ - found->second.memory_;
  usage->second.deployments_.erase(aKey.deployment_);
  if (usage->second.deployments_.empty()) {
    servers_.erase(usage);
  }
  if (--count->second == 0) {
    counts_.erase(count);
  }
  replicas_.erase(found);
}

void
OrderTable::Write(SnapshotWriter& aWriter) const
{
  aWriter.Number(replicas_.size());
  for (const auto& [key, replica] : replicas_) {
    aWriter.Id(key.deployment_);
    aWriter.Id(key.server_);
    aWriter.Number(static_cast<std::uint64_t>(replica.phase_));
    aWriter.Number(replica.memory_.Count());
    aWriter.Number(static_cast<std::uint64_t>(replica.engine_));
    aWriter.Flag(replica.adopted_);
    aWriter.Number(static_cast<std::uint64_t>(replica.kind_));
    aWriter.Id(replica.order_);
    aWriter.Id(replica.term_);
    aWriter.Number(static_cast<std::uint64_t>(replica.timeout_.count()));
  }
}

void
OrderTable::Read(SnapshotReader& aReader)
{
  for (std::size_t left = aReader.Count(); left > 0; --left) {
    ReplicaKey key;
    key.deployment_ = aReader.Id<core::DeploymentId>();
    key.server_ = aReader.Id<core::ServerId>();
    Replica replica;
    replica.phase_ = aReader.Enum(ReplicaPhase::Unknown);
    replica.memory_ = core::Bytes(aReader.Number());
    replica.engine_ = aReader.Enum(EngineKind::Ignores);
    replica.adopted_ = aReader.Flag();
    replica.kind_ = aReader.Enum(OrderKind::Unload);
    replica.order_ = aReader.Id<core::OrderId>();
    replica.term_ = aReader.Id<core::Term>();
    replica.timeout_ = std::chrono::milliseconds(
      static_cast<std::chrono::milliseconds::rep>(aReader.Number()));
    if (replicas_.contains(key) || orders_.contains(replica.order_)) {
      aReader.Fail("replica or order twice in the snapshot");
      return;
    }
    Insert(key, replica);
  }
}

} // namespace crocusslip::state
