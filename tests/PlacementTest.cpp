#define BOOST_TEST_MODULE Placement
#include <boost/test/unit_test.hpp>

#include "coordination/KeepAlive.hpp"
#include "coordination/Placement.hpp"
#include "core/Random.hpp"

#include <algorithm>
#include <chrono>

using namespace crocusslip::coordination;
using namespace std::chrono_literals;
namespace core = crocusslip::core;

namespace {

core::Bytes
Gib(std::uint64_t aCount)
{
  return core::Bytes(aCount * core::kGibi);
}

core::DeploymentId
Model(const std::string& aName)
{
  return core::DeploymentId(aName);
}

/// Two failure domains with two servers of 8 GiB each.
struct Fixture
{
  KeepAlive keepAlive_{ LearnedKeepAlive{}, core::MonotonicTime{} };
  Placement placement_{ PlacementSettings{}, keepAlive_ };
  CapacityView view_;
  core::MonotonicTime now_ = core::MonotonicTime{} + 1h;

  Fixture()
  {
    AddServer("s1", "a");
    AddServer("s2", "a");
    AddServer("s3", "b");
    AddServer("s4", "b");
  }

  void AddServer(const std::string& aId,
                 const std::string& aDomain,
                 ServerStanding aStanding = ServerStanding::Live)
  {
    view_.SetServer({ core::ServerId(aId),
                      core::FailureDomainId(aDomain),
                      Gib(8),
                      1.0,
                      core::Bytes(),
                      aStanding });
  }

  void SetStanding(const std::string& aId, ServerStanding aStanding)
  {
    CapacityServer server = *view_.Server(core::ServerId(aId));
    server.standing_ = aStanding;
    view_.SetServer(server);
  }

  CapacityDeployment AddModel(const std::string& aId,
                              std::uint64_t aGib = 4,
                              std::uint32_t aMaxReplicas = 2)
  {
    CapacityDeployment deployment;
    deployment.id_ = Model(aId);
    deployment.memory_ = Gib(aGib);
    deployment.maxReplicas_ = aMaxReplicas;
    deployment.loadTime_ = { 200ms, 800ms, 2s };
    view_.SetDeployment(deployment);
    keepAlive_.SetDeployment(deployment.id_, {}, { 0.5, 2s });
    return deployment;
  }

  void Hold(const std::string& aId,
            const std::string& aServer,
            HeldReplicaPhase aPhase = HeldReplicaPhase::Loaded,
            std::uint32_t aInFlight = 0)
  {
    const CapacityDeployment* deployment = view_.Deployment(Model(aId));
    view_.SetReplica({ Model(aId),
                       core::ServerId(aServer),
                       aPhase,
                       deployment->memory_,
                       aInFlight,
                       now_ - 1min,
                       now_ });
  }

  std::vector<PlacementDecision> Decide(const std::string& aId,
                                        std::uint32_t aWaiting = 1) const
  {
    DeploymentDemand demand;
    demand.deployment_ = Model(aId);
    demand.waiting_ = aWaiting;
    return placement_.Decide(view_, { demand }, now_);
  }
};

const PlacementDecision*
Find(const std::vector<PlacementDecision>& aDecisions, PlacementAction aAction)
{
  const auto found = std::find_if(
    aDecisions.begin(), aDecisions.end(), [&](const PlacementDecision& aOne) {
      return aOne.action_ == aAction;
    });
  return found == aDecisions.end() ? nullptr : &*found;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Placement_of_a_model, Fixture)

// Guards against loading from the store while a server has the checkpoint.
BOOST_AUTO_TEST_CASE(prefers_the_server_with_the_fastest_checkpoint_tier)
{
  AddModel("m");
  view_.SetTier(Model("m"), core::ServerId("s2"), CheckpointTier::Disk);
  view_.SetTier(Model("m"), core::ServerId("s4"), CheckpointTier::Memory);
  const auto decisions = Decide("m");
  BOOST_REQUIRE(decisions.size() == 1U);
  BOOST_TEST(decisions[0].server_.Value() == "s4");
  BOOST_TEST((decisions[0].tier_ == CheckpointTier::Memory));
  BOOST_TEST(decisions[0].figures_.candidates_.size() == 4U);
  BOOST_TEST(decisions[0].Explain().find("tier=memory") != std::string::npos);
}

// Guards against loads on servers that are not live, such as those about to
// disappear.
BOOST_AUTO_TEST_CASE(loads_nothing_on_leaving_drained_suspect_or_gone_servers)
{
  AddModel("m");
  SetStanding("s1", ServerStanding::Leaving);
  SetStanding("s2", ServerStanding::Drained);
  SetStanding("s3", ServerStanding::Suspect);
  SetStanding("s4", ServerStanding::Gone);
  const auto decisions = Decide("m");
  BOOST_REQUIRE(decisions.size() == 1U);
  BOOST_TEST((decisions[0].reason_ == PlacementReason::NoEligibleServer));
}

// Guards against having all replicas of a model in one failure domain.
BOOST_AUTO_TEST_CASE(spreads_replicas_over_failure_domains)
{
  AddModel("m");
  Hold("m", "s1");
  const auto decisions = Decide("m", 40);
  const PlacementDecision* load = Find(decisions, PlacementAction::Load);
  BOOST_REQUIRE(load != nullptr);
  BOOST_TEST((load->reason_ == PlacementReason::MoreReplicas));
  BOOST_TEST(view_.Server(load->server_)->failureDomain_.Value() == "b");
}

// Guards against more replicas than the maximum: an order with unknown outcome
// counts as a replica.
BOOST_AUTO_TEST_CASE(never_exceeds_the_maximum_replicas)
{
  AddModel("m");
  Hold("m", "s1");
  Hold("m", "s2", HeldReplicaPhase::Unknown);
  const auto decisions = Decide("m", 1000);
  BOOST_REQUIRE(decisions.size() == 1U);
  BOOST_TEST((decisions[0].reason_ == PlacementReason::MaximumReplicas));
}

// Guards against a separate load for each entry host that received a request
// for a model that isn't loaded.
BOOST_AUTO_TEST_CASE(decides_one_load_for_a_burst_at_nine_entry_hosts)
{
  AddModel("m");
  DemandTable table;
  for (int host = 0; host < 9; ++host) {
    HostDemand report;
    report.host_ = core::HostId("e" + std::to_string(host));
    report.deployment_ = Model("m");
    report.waiting_ = 1;
    table.Report(report, now_);
  }
  const auto demand = table.Waiting(now_);
  BOOST_REQUIRE(demand.size() == 1U);
  BOOST_TEST(demand[0].waiting_ == 9U);
  const auto decisions = placement_.Decide(view_, demand, now_);
  BOOST_REQUIRE(decisions.size() == 1U);
  Hold("m", decisions[0].server_.Value(), HeldReplicaPhase::Loading);
  const auto again = Decide("m", 1);
  BOOST_REQUIRE(again.size() == 1U);
  BOOST_TEST((again[0].reason_ == PlacementReason::AwaitingLoad));
}

// Guards against losing the demand of a host that keeps polling without a
// change, and against keeping the demand of a host that stopped polling.
BOOST_AUTO_TEST_CASE(keeps_demand_only_of_hosts_that_keep_polling)
{
  DemandTable table;
  HostDemand report;
  report.host_ = core::HostId("e");
  report.deployment_ = Model("m");
  report.waiting_ = 1;
  table.Report(report, now_);
  table.Renew(core::HostId("e"), now_ + kDemandReportLifetime);
  table.Renew(core::HostId("other"), now_ + 2 * kDemandReportLifetime);
  BOOST_TEST(table.Waiting(now_ + 2 * kDemandReportLifetime).size() == 1U);
  BOOST_TEST(table.Active(Model("m"), now_ + 2 * kDemandReportLifetime) == 1U);
  BOOST_TEST(table.Waiting(now_ + 3 * kDemandReportLifetime).empty());
}

// Guards against loading an adapter on a server without its base model.
BOOST_AUTO_TEST_CASE(loads_an_adapter_on_a_server_with_its_base_model)
{
  AddModel("base");
  CapacityDeployment adapter = AddModel("adapter", 1);
  adapter.kind_ = DeploymentKind::Adapter;
  adapter.base_ = Model("base");
  view_.SetDeployment(adapter);
  auto decisions = Decide("adapter");
  const PlacementDecision* base = Find(decisions, PlacementAction::Load);
  BOOST_REQUIRE(base != nullptr);
  BOOST_TEST(base->deployment_.Value() == "base");
  Hold("base", "s3");
  decisions = Decide("adapter");
  const PlacementDecision* load = Find(decisions, PlacementAction::Load);
  BOOST_REQUIRE(load != nullptr);
  BOOST_TEST(load->deployment_.Value() == "adapter");
  BOOST_TEST(load->server_.Value() == "s3");
}

BOOST_AUTO_TEST_SUITE(on_full_servers)

// Guards against overcommitted memory: the load waits for the unload, and an
// order with unknown outcome keeps its memory reserved.
BOOST_AUTO_TEST_CASE(evicts_first_and_loads_once_the_memory_is_free)
{
  for (const char* id : { "s2", "s3", "s4" }) {
    SetStanding(id, ServerStanding::Leaving);
  }
  AddModel("old");
  AddModel("unknown");
  AddModel("m");
  Hold("old", "s1");
  Hold("unknown", "s1", HeldReplicaPhase::Unknown);
  auto decisions = Decide("m");
  BOOST_REQUIRE(decisions.size() == 2U);
  BOOST_TEST((decisions[0].action_ == PlacementAction::Evict));
  BOOST_TEST(decisions[0].deployment_.Value() == "old");
  BOOST_TEST((decisions[1].reason_ == PlacementReason::AwaitingUnload));
  Hold("old", "s1", HeldReplicaPhase::Unloading);
  decisions = Decide("m");
  BOOST_REQUIRE(decisions.size() == 1U);
  BOOST_TEST((decisions[0].reason_ == PlacementReason::AwaitingUnload));
  view_.RemoveReplica(Model("old"), core::ServerId("s1"));
  decisions = Decide("m");
  BOOST_REQUIRE(decisions.size() == 1U);
  BOOST_TEST((decisions[0].action_ == PlacementAction::Load));
}

// Guards against evicting a replica with running or waiting requests.
BOOST_AUTO_TEST_CASE(never_evicts_a_replica_that_is_in_use)
{
  for (const char* id : { "s2", "s3", "s4" }) {
    SetStanding(id, ServerStanding::Leaving);
  }
  AddModel("busy");
  AddModel("awaited");
  AddModel("m");
  Hold("busy", "s1", HeldReplicaPhase::Loaded, 1);
  Hold("awaited", "s1");
  DeploymentDemand awaited;
  awaited.deployment_ = Model("awaited");
  awaited.waiting_ = 1;
  DeploymentDemand demand;
  demand.deployment_ = Model("m");
  demand.waiting_ = 1;
  const auto decisions = placement_.Decide(view_, { demand, awaited }, now_);
  BOOST_TEST(Find(decisions, PlacementAction::Evict) == nullptr);
  BOOST_TEST((decisions[0].reason_ == PlacementReason::NoMemory));
}

// Guards against evicting a model that is likely to be used soon.
BOOST_AUTO_TEST_CASE(evicts_the_replica_with_the_least_expected_regret)
{
  for (const char* id : { "s2", "s3", "s4" }) {
    SetStanding(id, ServerStanding::Leaving);
  }
  AddModel("frequent");
  AddModel("rare");
  AddModel("m");
  for (int i = 0; i < 60; ++i) {
    keepAlive_.OnUse(Model("frequent"), now_ - 1h + i * 1min);
  }
  keepAlive_.OnUse(Model("rare"), now_ - 1h);
  keepAlive_.OnUse(Model("rare"), now_ - 1min);
  Hold("frequent", "s1");
  Hold("rare", "s1");
  const auto decisions = Decide("m");
  const PlacementDecision* evict = Find(decisions, PlacementAction::Evict);
  BOOST_REQUIRE(evict != nullptr);
  BOOST_TEST(evict->deployment_.Value() == "rare");
}

// Guards against preferring one long reload over several short ones of the same
// total length.
BOOST_AUTO_TEST_CASE(evicts_two_replicas_with_short_reloads_before_a_long_one)
{
  SetStanding("s3", ServerStanding::Leaving);
  SetStanding("s4", ServerStanding::Leaving);
  CapacityDeployment longReload = AddModel("long", 8);
  longReload.loadTime_ = { 1200ms, 2s, 3s };
  view_.SetDeployment(longReload);
  Hold("long", "s1");
  for (const char* id : { "short1", "short2" }) {
    CapacityDeployment shortReload = AddModel(id);
    shortReload.loadTime_ = { 600ms, 2s, 3s };
    view_.SetDeployment(shortReload);
    Hold(id, "s2");
  }
  for (const char* id : { "long", "short1", "short2" }) {
    for (int i = 0; i < 60; ++i) {
      keepAlive_.OnUse(Model(id), now_ - 1h + i * 1min);
    }
  }
  AddModel("m", 8);
  const auto decisions = Decide("m");
  const PlacementDecision* evict = Find(decisions, PlacementAction::Evict);
  BOOST_REQUIRE(evict != nullptr);
  BOOST_TEST(evict->server_.Value() == "s2");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(staging_of_checkpoints)

// Guards against displacing a cached checkpoint whose only other copy is on a
// slow server.
BOOST_AUTO_TEST_CASE(weighs_a_displaced_checkpoint_by_its_next_best_copy)
{
  AddServer("slow", "b");
  CapacityServer slow = *view_.Server(core::ServerId("slow"));
  slow.speed_ = 0.25;
  view_.SetServer(slow);
  for (const char* id : { "s1", "s2" }) {
    CapacityServer server = *view_.Server(core::ServerId(id));
    server.cacheMemory_ = Gib(4);
    view_.SetServer(server);
  }
  for (const char* id : { "copy_slow", "copy_fast" }) {
    AddModel(id);
    for (int i = 0; i < 60; ++i) {
      keepAlive_.OnUse(Model(id), now_ - 1h + i * 1min);
    }
  }
  const auto memory = CheckpointTier::Memory;
  view_.SetTier(Model("copy_slow"), core::ServerId("s1"), memory);
  view_.SetTier(Model("copy_slow"), core::ServerId("slow"), memory);
  view_.SetTier(Model("copy_fast"), core::ServerId("s2"), memory);
  view_.SetTier(Model("copy_fast"), core::ServerId("s3"), memory);
  CapacityDeployment model = AddModel("m");
  model.servers_ = { core::ServerId("s1"), core::ServerId("s2") };
  view_.SetDeployment(model);
  const auto decisions = Decide("m");
  BOOST_REQUIRE(decisions.size() == 1U);
  BOOST_TEST(decisions[0].server_.Value() == "s2");
}

// Guards against slow loads from the store that staging in idle time would have
// avoided, and against staging checkpoints of models without expected use.
BOOST_AUTO_TEST_CASE(caches_a_checkpoint_with_expected_use_in_main_memory)
{
  CapacityServer server = *view_.Server(core::ServerId("s3"));
  server.cacheMemory_ = Gib(16);
  view_.SetServer(server);
  AddModel("used");
  AddModel("unused");
  BOOST_TEST(!placement_.Stage(view_, now_).has_value());
  for (int i = 0; i < 30; ++i) {
    keepAlive_.OnUse(Model("used"), now_ - 1h + i * 2min);
  }
  const auto decision = placement_.Stage(view_, now_);
  BOOST_REQUIRE(decision.has_value());
  BOOST_TEST((decision->reason_ == PlacementReason::StageCheckpoint));
  BOOST_TEST(decision->deployment_.Value() == "used");
  BOOST_TEST(decision->server_.Value() == "s3");
  view_.SetTier(Model("used"), core::ServerId("s3"), CheckpointTier::Memory);
  BOOST_TEST(!placement_.Stage(view_, now_).has_value());
}

// Guards against a load that displaces the checkpoint of a frequently used
// model while another server has free cache memory.
BOOST_AUTO_TEST_CASE(avoids_servers_where_a_load_displaces_a_used_checkpoint)
{
  for (const char* id : { "s1", "s2", "s3", "s4" }) {
    CapacityServer server = *view_.Server(core::ServerId(id));
    server.cacheMemory_ = Gib(6);
    view_.SetServer(server);
  }
  AddModel("used");
  AddModel("m");
  for (int i = 0; i < 30; ++i) {
    keepAlive_.OnUse(Model("used"), now_ - 1h + i * 2min);
  }
  view_.SetTier(Model("used"), core::ServerId("s1"), CheckpointTier::Memory);
  const auto decisions = Decide("m");
  BOOST_REQUIRE(decisions.size() == 1U);
  BOOST_TEST(decisions[0].server_.Value() != "s1");
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against overcommitted memory and excess replicas in random sequences
// of decisions, replica phase changes and demand.
BOOST_AUTO_TEST_CASE(keeps_memory_and_replicas_in_bounds_over_random_histories)
{
  constexpr int kModels = 12;
  core::Random random(7);
  for (int i = 0; i < kModels; ++i) {
    AddModel("m" + std::to_string(i), 1 + random.Below(5), 1 + i % 3);
  }
  std::size_t loads = 0;
  for (int step = 0; step < 3000; ++step) {
    now_ += 100ms;
    std::vector<DeploymentDemand> demand(1 + random.Below(4));
    for (DeploymentDemand& one : demand) {
      one.deployment_ = Model("m" + std::to_string(random.Below(kModels)));
      one.waiting_ = 1 + random.Below(20);
    }
    for (const auto& one : placement_.Decide(view_, demand, now_)) {
      if (one.action_ == PlacementAction::Load) {
        ++loads;
        Hold(one.deployment_.Value(),
             one.server_.Value(),
             HeldReplicaPhase::Loading);
      }
      if (one.action_ == PlacementAction::Evict) {
        const HeldReplica* replica =
          view_.Replica(one.deployment_, one.server_);
        BOOST_REQUIRE(replica != nullptr);
        BOOST_TEST(replica->inFlight_ == 0U);
        Hold(one.deployment_.Value(),
             one.server_.Value(),
             HeldReplicaPhase::Unloading);
      }
    }
    for (const HeldReplica* replica : view_.Replicas()) {
      const HeldReplica copy = *replica;
      if (copy.phase_ == HeldReplicaPhase::Unloading && random.Chance(0.5)) {
        view_.RemoveReplica(copy.deployment_, copy.server_);
      } else if (copy.phase_ == HeldReplicaPhase::Loading &&
                 random.Chance(0.5)) {
        Hold(copy.deployment_.Value(),
             copy.server_.Value(),
             random.Chance(0.1) ? HeldReplicaPhase::Unknown
                                : HeldReplicaPhase::Loaded,
             random.Below(2));
      } else if (copy.phase_ != HeldReplicaPhase::Unloading &&
                 random.Chance(0.2)) {
        Hold(copy.deployment_.Value(), copy.server_.Value());
      }
    }
    for (const auto& [id, server] : view_.Servers()) {
      BOOST_REQUIRE(view_.UsedMemory(id) <= server.memory_);
    }
    for (const auto& [id, deployment] : view_.Deployments()) {
      BOOST_REQUIRE(view_.ReplicasOf(id).size() <= deployment.maxReplicas_);
    }
  }
  BOOST_TEST(loads > 100U);
}

BOOST_AUTO_TEST_SUITE_END()
