#define BOOST_TEST_MODULE Copies
#include <boost/test/unit_test.hpp>

#include "coordination/ModelPlacement.hpp"
#include "placement/ReplicaLoad.hpp"

#include <string>

using namespace crocusslip;
using namespace crocusslip::coordination;
using namespace std::chrono_literals;

namespace {

const ServiceName kService("writer");

core::ModelName
Model(const std::string& aName)
{
  return core::ModelName(aName);
}

/// Servers with memory for two models each.
struct Fixture
{
  ModelPlacement placement_;
  core::MonotonicTime now_{ 1h };

  void SetSlots(std::uint32_t aSlots)
  {
    EngineLimits limits;
    limits.slots_ = aSlots;
    limits.weightsMb_ = 80;
    limits.diskMb_ = 200;
    limits.loadsPerSecond_ = 1;
    for (int i = 1; i <= 6; ++i) {
      limits.models_[Model("m" + std::to_string(i))] = {
        34, 1, 8000ms, 1000ms, 700ms
      };
    }
    placement_.SetLimits({ { kService, limits } });
  }

  void AddServer(const std::string& aServer,
                 const std::set<std::string>& aModels,
                 const std::set<std::string>& aOnDisk = {})
  {
    const core::ServerId server(aServer);
    placement_.AddServer(server, kService);
    EngineContent content;
    CachedWeights copies;
    for (const std::string& model : aModels) {
      content.models_[Model(model)];
      copies.onDisk_.insert(Model(model));
    }
    for (const std::string& model : aOnDisk) {
      copies.onDisk_.insert(Model(model));
    }
    placement_.SetCachedWeights(server, copies);
    placement_.SetVerifiedContent(server, content);
  }

  /// Loads decided while so many requests for the models run.
  std::string LoadsWhile(const std::map<std::string, std::uint32_t>& aRunning)
  {
    std::map<core::ModelName, ModelDemand> demand;
    for (const auto& [model, running] : aRunning) {
      demand[Model(model)].inFlight_ = running;
      demand[Model(model)].arrivals_ = running;
    }
    now_ += 1s;
    placement_.OnDemand(demand, now_);
    std::string loads;
    for (const PlacementOrder& order : placement_.Decide(now_)) {
      if (order.verb_ == PlacementVerb::Load) {
        loads += order.model_.Value() + "@" + order.server_.Value() + " ";
      }
    }
    return loads;
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(Few_slots_take_fewer_requests_of_one_model)
{
  BOOST_TEST(placement::LoadPerReplica(0) == 6);
  BOOST_TEST(placement::LoadPerReplica(64) == 6);
  BOOST_TEST(placement::LoadPerReplica(48) == 6);
  BOOST_TEST(placement::LoadPerReplica(24) == 6);
  BOOST_TEST(placement::LoadPerReplica(16) == 4);
  BOOST_TEST(placement::LoadPerReplica(12) == 3);
  BOOST_TEST(placement::LoadPerReplica(1) == 3);
}

BOOST_FIXTURE_TEST_SUITE(A_busy_model, Fixture)

BOOST_AUTO_TEST_CASE(gets_a_replica_by_slots_where_its_weights_are)
{
  SetSlots(12);
  AddServer("s1", { "m1" });
  AddServer("s2", {}, { "m1" });
  BOOST_TEST(LoadsWhile({ { "m1", 3 } }).empty());
  BOOST_TEST(LoadsWhile({ { "m1", 4 } }) == "m1@s2 ");
}

// Guards against a scarce store that is busy with further replicas when a model
// without any is asked for.
BOOST_AUTO_TEST_CASE(gets_one_from_the_store_at_the_load_of_large_servers)
{
  SetSlots(12);
  AddServer("s1", { "m1" });
  AddServer("s2", {});
  BOOST_TEST(LoadsWhile({ { "m1", 6 } }).empty());
  BOOST_TEST(LoadsWhile({ { "m1", 7 } }) == "m1@s2 ");
}

BOOST_AUTO_TEST_CASE(is_served_as_before_by_large_servers)
{
  SetSlots(48);
  AddServer("s1", { "m1" });
  AddServer("s2", {}, { "m1" });
  BOOST_TEST(LoadsWhile({ { "m1", 6 } }).empty());
  BOOST_TEST(LoadsWhile({ { "m1", 7 } }) == "m1@s2 ");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(A_server_that_leaves, Fixture)

// Guards against callers that wait for a load of 8 to 15 s although the notice
// came before.
BOOST_AUTO_TEST_CASE(has_the_models_in_use_that_it_alone_has_loaded_elsewhere)
{
  SetSlots(16);
  AddServer("s1", { "m1", "m2" });
  AddServer("s2", { "m3" });
  AddServer("s3", { "m2" });
  BOOST_TEST(LoadsWhile({ { "m1", 1 }, { "m2", 1 } }).empty());
  placement_.RemoveServer(core::ServerId("s1"));
  BOOST_TEST(LoadsWhile({ { "m1", 1 }, { "m2", 1 } }).starts_with("m1@"));
  BOOST_TEST(LoadsWhile({ { "m1", 1 }, { "m2", 1 } }).empty());
}

BOOST_AUTO_TEST_CASE(is_no_reason_to_load_models_that_nobody_uses)
{
  SetSlots(16);
  AddServer("s1", { "m1" });
  AddServer("s2", { "m3" });
  now_ += 1min;
  placement_.RemoveServer(core::ServerId("s1"));
  BOOST_TEST(LoadsWhile({ { "m3", 1 } }).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(In_calm, Fixture)

// Guards against a model with demand whose only copy is lost with its server.
BOOST_AUTO_TEST_CASE(the_most_wanted_model_of_one_server_gets_a_second_copy)
{
  SetSlots(16);
  AddServer("s1", { "m1", "m2" });
  AddServer("s2", { "m3" }, { "m4", "m5", "m6" });
  LoadsWhile({ { "m2", 3 }, { "m3", 1 } });
  BOOST_TEST(LoadsWhile({}) == "m2@s2 ");
}

// Guards against a copy that pushes another one off a full disk, or a model off
// its server that is asked for more often.
BOOST_AUTO_TEST_CASE(no_copy_costs_another_one)
{
  SetSlots(16);
  AddServer("s1", { "m1" });
  AddServer("s2", { "m3", "m4" }, { "m2", "m5", "m6" });
  LoadsWhile({ { "m1", 3 } });
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(LoadsWhile({}).find("m1@s2") == std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(large_servers_get_none)
{
  SetSlots(64);
  AddServer("s1", { "m1", "m2" });
  AddServer("s2", { "m3" }, { "m4", "m5", "m6" });
  LoadsWhile({ { "m2", 3 }, { "m3", 1 } });
  BOOST_TEST(LoadsWhile({}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
