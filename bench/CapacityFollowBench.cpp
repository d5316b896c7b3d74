// How the leader's view follows settings and orders: by differences, and by
// reading all anew as before, at 84,000 deployments.

#include "control/OrderFollower.hpp"
#include "control/SettingsFollower.hpp"
#include "coordination/CapacityView.hpp"

#include <benchmark/benchmark.h>

#include <limits>
#include <map>
#include <string>

namespace {

namespace control = crocusslip::control;
namespace coordination = crocusslip::coordination;
namespace core = crocusslip::core;
namespace state = crocusslip::state;

constexpr std::size_t kAdapters = 84000;
constexpr std::size_t kModels = 140;
constexpr std::size_t kServers = 100;
/// 18% of the deployments are awake.
constexpr std::size_t kReplicas = kAdapters * 18 / 100;
constexpr std::size_t kAnyPage = std::numeric_limits<std::size_t>::max();

std::string
Adapter(std::size_t aIndex)
{
  return "adapter-" + std::to_string(aIndex);
}

std::string
AdapterText(std::size_t aIndex, std::size_t aVersion)
{
  return "parent = \"adapters\"\nbase = \"m" +
         std::to_string(aIndex % kModels) + "\"\nversion = \"" +
         std::to_string(aVersion) + "\"\n";
}

class Table
{
public:
  Table()
  {
    std::vector<state::NodeEdit> edits;
    edits.push_back({ "root", "queue_limit = 100\n", false });
    edits.push_back(
      { "group.adapters", "kind = \"adapter\"\nmemory = \"64MiB\"\n", false });
    for (std::size_t i = 0; i < kServers; ++i) {
      edits.push_back({ "server.s" + std::to_string(i),
                        "address = \"10.0.0.1:80\"\nfailure_domain = "
                        "\"a\"\nmemory = \"320GiB\"\n",
                        false });
    }
    for (std::size_t i = 0; i < kModels; ++i) {
      const std::string name = "m" + std::to_string(i);
      edits.push_back({ "model." + name, "memory = \"14GiB\"\n", false });
      edits.push_back({ "deployment." + name, "callers = [\"*\"]\n", false });
    }
    for (std::size_t i = 0; i < kAdapters; ++i) {
      edits.push_back({ "deployment." + Adapter(i), AdapterText(i, i), false });
    }
    constexpr std::size_t kPerChange = 4000;
    for (std::size_t i = 0; i < edits.size(); i += kPerChange) {
      const auto end = std::min(i + kPerChange, edits.size());
      Change({ edits.begin() + static_cast<std::ptrdiff_t>(i),
               edits.begin() + static_cast<std::ptrdiff_t>(end) });
    }
  }

  void Change(std::vector<state::NodeEdit> aEdits)
  {
    state::ChangeSettings change;
    change.change_ = core::ChangeId("c" + std::to_string(++changes_));
    change.expected_ = settings_.CurrentRevision();
    change.edits_ = std::move(aEdits);
    settings_.Change(change, state::AgreedTime());
  }
  void ChangeOne()
  {
    const std::size_t chosen = changes_ * 7919 % kAdapters;
    Change(
      { { "deployment." + Adapter(chosen), AdapterText(chosen, changes_) } });
  }

  state::SettingsTable settings_;

private:
  std::size_t changes_ = 0;
};

void
SetDeployment(coordination::CapacityView& aView,
              const state::SettingsTree& aTree,
              const core::DeploymentId& aId)
{
  const auto settings = aTree.Deployment(aId);
  if (!settings) {
    return;
  }
  coordination::CapacityDeployment capacity;
  capacity.id_ = settings->id_;
  capacity.memory_ = settings->memory_;
  capacity.minReplicas_ = settings->minReplicas_;
  capacity.maxReplicas_ = settings->maxReplicas_;
  aView.SetDeployment(std::move(capacity));
}

// One change of one deployment, as before: nodes copied, tree and view anew.
// Leaves out that each deployment went through all servers.
void
ReloadSettings(benchmark::State& aState)
{
  Table table;
  state::SettingsTree tree;
  for (auto _ : aState) {
    aState.PauseTiming();
    table.ChangeOne();
    aState.ResumeTiming();
    state::SettingsNodes nodes;
    for (const auto& [path, node] : table.settings_.Nodes()) {
      nodes.emplace(path, node.toml_);
    }
    tree.Load(nodes);
    coordination::CapacityView view;
    for (const core::DeploymentId& id : tree.Deployments()) {
      SetDeployment(view, tree, id);
    }
    benchmark::DoNotOptimize(view);
  }
}
BENCHMARK(ReloadSettings)->Unit(benchmark::kMicrosecond);

// The same change, by its difference.
void
FollowSettings(benchmark::State& aState)
{
  Table table;
  state::SettingsTree tree;
  coordination::CapacityView view;
  core::Revision revision;
  const auto follow = [&] {
    const auto difference = table.settings_.Difference(revision, kAnyPage);
    revision = difference.through_;
    return control::FollowDifference(tree, difference);
  };
  follow();
  for (auto _ : aState) {
    aState.PauseTiming();
    table.ChangeOne();
    aState.ResumeTiming();
    for (const core::DeploymentId& id : follow().deployments_) {
      SetDeployment(view, tree, id);
    }
  }
}
BENCHMARK(FollowSettings)->Unit(benchmark::kMicrosecond);

/// A state machine with replicas on 1,200 servers.
class Orders
{
public:
  Orders()
  {
    for (std::size_t i = 0; i < kReplicas; ++i) {
      Load(i);
    }
  }

  /// One replica is unloaded, another is loaded.
  void Change()
  {
    state::DecideUnload unload;
    unload.deployment_ = core::DeploymentId(Adapter(next_ % kReplicas));
    unload.server_ = Server(next_ % kReplicas);
    const auto answer = std::get<state::DecisionAnswer>(Apply(unload));
    Apply(state::ObserveOrder{ answer.order_, state::OrderOutcome::Done });
    Load(next_ % kReplicas);
    ++next_;
  }

  state::StateMachine state_;

private:
  static core::ServerId Server(std::size_t aIndex)
  {
    constexpr std::size_t kRunners = 1200;
    return core::ServerId("runner-" + std::to_string(aIndex % kRunners));
  }
  state::Answer Apply(const state::Command& aCommand)
  {
    return state_.Apply(core::LogIndex(++index_), core::Term(1), aCommand);
  }
  void Load(std::size_t aIndex)
  {
    state::DecideLoad load;
    load.deployment_ = core::DeploymentId(Adapter(aIndex));
    load.server_ = Server(aIndex);
    load.memory_ = core::Bytes(1);
    load.capacity_ = core::Bytes(1000000);
    load.maximumReplicas_ = 2;
    const auto answer = std::get<state::DecisionAnswer>(Apply(load));
    Apply(state::ObserveOrder{ answer.order_, state::OrderOutcome::Done });
  }

  std::uint64_t index_ = 0;
  std::size_t next_ = 0;
};

void
SetReplica(coordination::CapacityView& aView,
           const state::ReplicaKey& aKey,
           const state::Replica& aReplica)
{
  coordination::HeldReplica held;
  held.deployment_ = aKey.deployment_;
  held.server_ = aKey.server_;
  held.phase_ = coordination::HeldReplicaPhase::Loaded;
  held.memory_ = aReplica.memory_;
  aView.SetReplica(std::move(held));
}

// One step of the controller after one replica came and went, as before.
void
CopyOrders(benchmark::State& aState)
{
  Orders orders;
  coordination::CapacityView view;
  for (auto _ : aState) {
    aState.PauseTiming();
    orders.Change();
    aState.ResumeTiming();
    const std::map<state::ReplicaKey, state::Replica> replicas =
      orders.state_.Orders().Replicas();
    for (const auto& [key, replica] : replicas) {
      SetReplica(view, key, replica);
    }
  }
}
BENCHMARK(CopyOrders)->Unit(benchmark::kMicrosecond);

// The same step, by what changed.
void
FollowOrders(benchmark::State& aState)
{
  Orders orders;
  coordination::CapacityView view;
  control::OrderFollower follower;
  follower.Follow(orders.state_);
  for (auto _ : aState) {
    aState.PauseTiming();
    orders.Change();
    aState.ResumeTiming();
    for (const auto& [key, replica] :
         follower.Follow(orders.state_).replicas_) {
      if (replica) {
        SetReplica(view, key, *replica);
      } else {
        view.RemoveReplica(key.deployment_, key.server_);
      }
    }
  }
}
BENCHMARK(FollowOrders)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
