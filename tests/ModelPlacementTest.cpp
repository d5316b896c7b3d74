#define BOOST_TEST_MODULE ModelPlacement
#include <boost/test/unit_test.hpp>

#include "coordination/ModelPlacement.hpp"

#include <string>

using namespace crocusslip;
using namespace crocusslip::coordination;
using namespace std::chrono_literals;

namespace {

constexpr core::MonotonicTime kStart{ 1h };
const ServiceName kService("writer");

core::ModelName
Model(const std::string& aName)
{
  return core::ModelName(aName);
}

core::ServerId
Server(int aNumber)
{
  return core::ServerId("s" + std::to_string(aNumber));
}

/// A placement for servers that have memory for two models each.
struct Fixture
{
  ModelPlacement placement_;
  core::MonotonicTime now_ = kStart;
  std::map<core::ModelName, ModelDemand> demand_;

  Fixture()
  {
    EngineLimits limits;
    limits.slots_ = 64;
    limits.weightsMb_ = 80;
    limits.adapterSlots_ = 2;
    limits.loadsPerSecond_ = 4;
    for (int i = 0; i < 40; ++i) {
      limits.models_[Model("m" + std::to_string(i))] = {
        34, 1, 6000ms, 1000ms, 700ms
      };
    }
    placement_.SetLimits({ { kService, limits } });
  }

  void AddServerWith(int aServer, const std::vector<std::string>& aModels)
  {
    placement_.AddServer(Server(aServer), kService);
    EngineContent content;
    CachedWeights copies;
    for (const std::string& model : aModels) {
      content.models_[Model(model)];
      copies.onDisk_.insert(Model(model));
    }
    placement_.SetCachedWeights(Server(aServer), copies);
    placement_.SetVerifiedContent(Server(aServer), content);
  }

  void AddWaiting(const std::string& aModel, std::uint32_t aCount = 1)
  {
    demand_[Model(aModel)].waiting_ += aCount;
    demand_[Model(aModel)].weight_ += aCount;
    demand_[Model(aModel)].arrivals_ += aCount;
  }

  void AddRunning(int aServer, const std::string& aModel, std::uint32_t aCount)
  {
    demand_[Model(aModel)].inFlight_ += aCount;
    placement_.OnActive(Server(aServer), { Model(aModel) }, aCount);
  }

  std::vector<PlacementOrder> Decide()
  {
    placement_.OnDemand(demand_, now_);
    return placement_.Decide(now_);
  }

  /// The load orders for one model and its adapters.
  static std::vector<PlacementOrder> LoadsOf(
    const std::vector<PlacementOrder>& aOrders,
    const std::string& aModel)
  {
    std::vector<PlacementOrder> loads;
    for (const PlacementOrder& order : aOrders) {
      if (order.model_ == Model(aModel) && order.verb_ == PlacementVerb::Load) {
        loads.push_back(order);
      }
    }
    return loads;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(AModelWithoutReplicas)

BOOST_FIXTURE_TEST_CASE(IsLoadedOnceForAsManyRequestsAsOneReplicaServes,
                        Fixture)
{
  AddServerWith(1, {});
  AddServerWith(2, {});
  AddWaiting("m3", 6);
  now_ += 1s;
  BOOST_TEST(LoadsOf(Decide(), "m3").size() == 1U);
  for (int step = 0; step < 20; ++step) {
    now_ += 100ms;
    BOOST_TEST(LoadsOf(Decide(), "m3").empty());
  }
}

BOOST_FIXTURE_TEST_CASE(IsLoadedWhereItsWeightsAreCached, Fixture)
{
  AddServerWith(1, {});
  AddServerWith(2, { "m1" });
  placement_.SetCachedWeights(Server(2), { {}, { Model("m3") } });
  AddWaiting("m3");
  const auto loads = LoadsOf(Decide(), "m3");
  BOOST_REQUIRE(loads.size() == 1U);
  BOOST_TEST(loads[0].server_.Value() == "s2");
  BOOST_TEST((loads[0].tier_ == WeightTier::Disk));
}

BOOST_FIXTURE_TEST_CASE(EvictsAnUnusedModel, Fixture)
{
  AddServerWith(1, { "m1", "m2" });
  AddRunning(1, "m1", 3);
  AddWaiting("m3");
  now_ += 1s;
  const auto first = Decide();
  BOOST_REQUIRE(first.size() == 1U);
  BOOST_TEST((first[0].verb_ == PlacementVerb::Unload));
  BOOST_TEST(first[0].model_.Value() == "m2");
  BOOST_TEST(!placement_.RoutableModels(Server(1)).contains(Model("m2")));
  placement_.OnOrderDone(first[0], true, now_);
  BOOST_TEST(LoadsOf(Decide(), "m3").size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(WaitsRatherThanEvictModelsInUse, Fixture)
{
  AddServerWith(1, { "m1", "m2" });
  placement_.OnActive(Server(1), { Model("m1"), Model("m2") }, 9);
  demand_[Model("m1")].inFlight_ = 4;
  demand_[Model("m2")].inFlight_ = 5;
  AddWaiting("m3");
  now_ += 1s;
  BOOST_TEST(Decide().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ABusyModel)

BOOST_FIXTURE_TEST_CASE(GetsReplicasInProportionToItsLoad, Fixture)
{
  AddServerWith(1, { "m1" });
  AddServerWith(2, {});
  AddServerWith(3, {});
  AddServerWith(4, {});
  AddRunning(1, "m1", 14);
  now_ += 2s;
  BOOST_TEST(LoadsOf(Decide(), "m1").size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(KeepsItsReplicasWhenARareModelIsRequested, Fixture)
{
  AddServerWith(1, { "m1", "m2" });
  AddServerWith(2, { "m1", "m4" });
  AddRunning(1, "m1", 5);
  AddRunning(2, "m1", 5);
  AddWaiting("m3");
  now_ += 1s;
  for (const PlacementOrder& order : Decide()) {
    BOOST_TEST(
      (order.verb_ == PlacementVerb::Load || order.model_.Value() != "m1"));
  }
}

// Guards against evicting all replicas of a model in use in one round, because
// each eviction counts on the other replicas.
BOOST_FIXTURE_TEST_CASE(DoesNotLoseAllItsReplicasAtOnce, Fixture)
{
  for (int i = 1; i <= 4; ++i) {
    AddServerWith(i, { "m1", "m" + std::to_string(10 + i) });
    placement_.OnActive(
      Server(i), { Model("m1"), Model("m" + std::to_string(10 + i)) }, 2);
    demand_[Model("m" + std::to_string(10 + i))].inFlight_ = 1;
  }
  demand_[Model("m1")].inFlight_ = 4;
  for (int i = 20; i < 24; ++i) {
    AddWaiting("m" + std::to_string(i));
  }
  now_ += 2s;
  int unloads = 0;
  for (const PlacementOrder& order : Decide()) {
    unloads += order.verb_ == PlacementVerb::Unload ? 1 : 0;
  }
  // Two of the four replicas of m1 may go: one alone would have more requests
  // than kScaleDownLoadPerReplica. The other models have no second replica.
  BOOST_TEST(unloads <= 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TheWeightStore)

BOOST_FIXTURE_TEST_CASE(LoadsTheMostWantedModelFirstAndFewAtOnce, Fixture)
{
  for (int i = 1; i <= 8; ++i) {
    AddServerWith(i, {});
  }
  now_ += 10s;
  Decide();
  for (int i = 0; i < 8; ++i) {
    AddWaiting("m" + std::to_string(i), 1U + static_cast<std::uint32_t>(i));
  }
  std::size_t loads = 0;
  for (int step = 0; step < 40; ++step) {
    now_ += 100ms;
    const auto orders = Decide();
    loads += orders.size();
    if (step == 0) {
      BOOST_TEST(LoadsOf(orders, "m7").size() == 1U);
    }
  }
  BOOST_TEST(loads <= 4U);
}

// The store serves two loads at full speed. With four at once each would take
// twice as long, and the first replica of a busy model would be ready twice as
// late.
BOOST_FIXTURE_TEST_CASE(GetsOnlyAsManyLoadsAsItServesAtFullSpeed, Fixture)
{
  constexpr std::size_t kFullSpeedLoads = 2;
  for (int i = 1; i <= 30; ++i) {
    AddServerWith(i, {});
    AddWaiting("m" + std::to_string(i));
  }
  std::map<core::ServerId, std::pair<PlacementOrder, double>> running;
  std::size_t maxRunning = 0;
  for (int step = 0; step < 1200; ++step) {
    now_ += 100ms;
    for (const PlacementOrder& order : Decide()) {
      running[order.server_] = { order, 6.0 };
    }
    const double share = running.size() <= kFullSpeedLoads
                           ? 1.0
                           : static_cast<double>(kFullSpeedLoads) /
                               static_cast<double>(running.size());
    for (auto next = running.begin(); next != running.end();) {
      next->second.second -= 0.1 * share;
      if (next->second.second > 0) {
        ++next;
        continue;
      }
      const PlacementOrder done = next->second.first;
      next = running.erase(next);
      demand_.erase(done.model_);
      placement_.OnOrderDone(done, true, now_);
    }
    maxRunning = step > 300 ? std::max(maxRunning, running.size()) : 0;
  }
  BOOST_TEST(maxRunning <= kFullSpeedLoads + 1);
}

// Two successive leaders together must not exceed the store's rate.
BOOST_FIXTURE_TEST_CASE(GetsLoadsAtALimitedRate, Fixture)
{
  for (int i = 1; i <= 30; ++i) {
    AddServerWith(i, {});
    AddWaiting("m" + std::to_string(i));
  }
  std::size_t started = 0;
  for (int step = 0; step < 100; ++step) {
    now_ += 50ms;
    for (const PlacementOrder& order : Decide()) {
      ++started;
      placement_.OnOrderDone(order, true, now_);
      demand_.erase(order.model_);
    }
  }
  // 5 s at 4 loads per second, plus the burst.
  BOOST_TEST(started <= 23U);
  BOOST_TEST(started > 10U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AServerWithUncertainContent)

// Guards against a new leader that plans from the lagging list and exceeds the
// memory of servers on which the previous leader has a load in progress.
BOOST_FIXTURE_TEST_CASE(GetsNoOrderBeforeItsOwnReport, Fixture)
{
  placement_.AddServer(Server(1), kService);
  placement_.OnListedContent(Server(1), {}, now_);
  AddWaiting("m3");
  now_ += 1s;
  BOOST_TEST(Decide().empty());
  BOOST_REQUIRE(placement_.UnverifiedServers().size() == 1U);
  placement_.SetVerifiedContent(Server(1), {});
  BOOST_TEST(LoadsOf(Decide(), "m3").size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(MustReportAgainAfterAFailedOrder, Fixture)
{
  AddServerWith(1, {});
  AddWaiting("m3");
  now_ += 1s;
  const auto orders = Decide();
  BOOST_REQUIRE(orders.size() == 1U);
  placement_.OnOrderDone(orders[0], false, now_);
  BOOST_TEST(Decide().empty());
  BOOST_TEST(placement_.UnverifiedServers().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(MustReportAgainWhenTheListDiffers, Fixture)
{
  AddServerWith(1, { "m1" });
  now_ += 10s;
  placement_.OnListedContent(Server(1), {}, now_);
  BOOST_TEST(placement_.UnverifiedServers().size() == 1U);
  BOOST_TEST(placement_.RoutableModels(Server(1)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TheWeightStore)

// A server that has the weights on its disk and is busy for a second has the
// model ready sooner than another server could load it from the store.
BOOST_FIXTURE_TEST_CASE(IsNotReadWhenABusyServerHasTheWeights, Fixture)
{
  AddServerWith(1, { "m1", "m2" });
  AddServerWith(2, {});
  CachedWeights copies;
  copies.onDisk_ = { Model("m1"), Model("m2"), Model("m3"), Model("m4") };
  placement_.SetCachedWeights(Server(1), copies);
  AddWaiting("m3");
  now_ += 10s;
  const auto first = LoadsOf(Decide(), "m3");
  // The server makes room first, so the load is not sent yet.
  BOOST_TEST(first.empty());
  AddWaiting("m4");
  now_ += 100ms;
  BOOST_TEST(LoadsOf(Decide(), "m4").empty());
  BOOST_TEST(placement_.ExpectedReadyTimes().contains(Model("m4")));
  BOOST_TEST((placement_.ExpectedReadyTimes().at(Model("m4")) < now_ + 6s));
}

// A load from the store blocks other orders to its server for seconds, so it
// goes to a server whose models are requested less.
BOOST_FIXTURE_TEST_CASE(IsReadByTheServerWithTheFewestExpectedRequests, Fixture)
{
  AddServerWith(1, { "m1" });
  AddServerWith(2, { "m2" });
  for (int step = 0; step < 20; ++step) {
    now_ += 500ms;
    demand_.clear();
    demand_[Model("m1")].arrivals_ = 2;
    placement_.OnDemand(demand_, now_);
  }
  AddWaiting("m3");
  now_ += 500ms;
  const auto loads = LoadsOf(Decide(), "m3");
  BOOST_REQUIRE(loads.size() == 1U);
  BOOST_TEST(loads[0].server_.Value() == "s2");
}

// A prefetch would block the orders to its server that requests wait for.
BOOST_FIXTURE_TEST_CASE(GetsNoPrefetchWhileRequestsRun, Fixture)
{
  AddServerWith(1, { "m1" });
  AddServerWith(2, {});
  AddRunning(1, "m1", 1);
  for (int step = 0; step < 40; ++step) {
    now_ += 40ms;
    BOOST_TEST(Decide().empty());
  }
}

BOOST_FIXTURE_TEST_CASE(GetsPrefetchesUpToItsLimitWithoutRequests, Fixture)
{
  for (int server = 1; server <= 6; ++server) {
    AddServerWith(server, {});
  }
  std::size_t loads = 0;
  for (int step = 0; step < 40; ++step) {
    now_ += 40ms;
    loads += Decide().size();
  }
  BOOST_TEST(loads == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Adapters)

BOOST_FIXTURE_TEST_CASE(AreLoadedWhereTheirModelIs, Fixture)
{
  AddServerWith(1, { "m2" });
  AddServerWith(2, { "m1" });
  AddWaiting("m1/a4");
  now_ += 1s;
  const auto loads = LoadsOf(Decide(), "m1");
  BOOST_REQUIRE(loads.size() == 1U);
  BOOST_TEST(loads[0].server_.Value() == "s2");
  BOOST_TEST(loads[0].adapter_ == "a4");
  placement_.OnOrderDone(loads[0], true, now_);
  BOOST_TEST(placement_.RoutableModels(Server(2)).contains(Model("m1/a4")));
}

BOOST_FIXTURE_TEST_CASE(EvictTheLeastRecentlyUsedAdapter, Fixture)
{
  AddServerWith(1, { "m1" });
  for (const char* adapter : { "m1/a1", "m1/a2", "m1/a3" }) {
    demand_.clear();
    AddWaiting(adapter);
    now_ += 1s;
    for (int step = 0; step < 2; ++step) {
      for (const PlacementOrder& order : Decide()) {
        if (order.verb_ == PlacementVerb::Unload) {
          BOOST_TEST(order.adapter_ == "a1");
        }
        placement_.OnOrderDone(order, true, now_);
      }
    }
    BOOST_TEST(placement_.RoutableModels(Server(1)).contains(Model(adapter)));
  }
  BOOST_TEST(!placement_.RoutableModels(Server(1)).contains(Model("m1/a1")));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnOrderThatTakesLong)

BOOST_FIXTURE_TEST_CASE(OfAnAdapterDoesNotKeepItFromOtherServers, Fixture)
{
  for (const int server : { 1, 2 }) {
    placement_.AddServer(Server(server), kService);
  }
  const EngineContent full{ { { Model("m1"), { "a1", "a2" } } } };
  placement_.SetVerifiedContent(Server(1), full);
  AddWaiting("m1/a3");
  now_ += 1s;
  const auto orders = Decide();
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_REQUIRE((orders[0].verb_ == PlacementVerb::Unload));
  // Requests still use the adapter, so that its unload waits.
  placement_.SetVerifiedContent(Server(2), { { { Model("m1"), {} } } });
  demand_.clear();
  AddWaiting("m1/" + orders[0].adapter_);
  now_ += 1s;
  const auto loads = LoadsOf(Decide(), "m1");
  BOOST_REQUIRE(loads.size() == 1U);
  BOOST_TEST((loads[0].server_ == Server(2)));
  BOOST_TEST(loads[0].adapter_ == orders[0].adapter_);
}

BOOST_FIXTURE_TEST_CASE(DoesNotKeepModelsFromOtherServers, Fixture)
{
  AddServerWith(1, { "m1", "m2" });
  placement_.SetCachedWeights(Server(1), { {}, { Model("m3") } });
  AddRunning(1, "m1", 1);
  AddWaiting("m3");
  now_ += 2s;
  const auto orders = Decide();
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_REQUIRE((orders[0].verb_ == PlacementVerb::Unload));
  // The unload waits for requests that the hosts had not reported.
  AddServerWith(2, {});
  AddWaiting("m4");
  placement_.SetCachedWeights(Server(1), { {}, { Model("m3"), Model("m4") } });
  now_ += 3s;
  const auto loads = LoadsOf(Decide(), "m4");
  BOOST_REQUIRE(loads.size() == 1U);
  BOOST_TEST((loads[0].server_ == Server(2)));
}

BOOST_FIXTURE_TEST_CASE(DoesNotEndAnOrderToTheServerAfterItsReturn, Fixture)
{
  AddServerWith(1, { "m1", "m2" });
  AddWaiting("m3");
  now_ += 2s;
  const auto first = Decide();
  BOOST_REQUIRE(first.size() == 1U);
  placement_.RemoveServer(Server(1));
  AddServerWith(1, { "m1", "m2" });
  now_ += 1s;
  const auto second = Decide();
  BOOST_REQUIRE(second.size() == 1U);
  BOOST_REQUIRE((second[0].verb_ == PlacementVerb::Unload));
  placement_.OnOrderDone(first[0], true, now_);
  BOOST_TEST(Decide().empty());
  placement_.OnOrderDone(second[0], true, now_);
  BOOST_TEST(LoadsOf(Decide(), "m3").size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LoadsThatMayStillBeCarriedOut)

BOOST_FIXTURE_TEST_CASE(KeepTheirMemoryFree, Fixture)
{
  AddServerWith(1, {});
  placement_.SetPossibleLoads({ { Server(1), { Model("m1") } } });
  AddWaiting("m2");
  AddWaiting("m3");
  now_ += 1s;
  const auto orders = Decide();
  BOOST_REQUIRE(orders.size() == 1U);
  placement_.OnOrderDone(orders[0], true, now_);
  now_ += 2s;
  BOOST_TEST(Decide().empty());
  // The model takes the memory that is kept for it.
  AddWaiting("m1");
  BOOST_TEST(LoadsOf(Decide(), "m1").size() == 1U);
}

// Guards against a model that is unloaded to make room, and loaded again by the
// late order.
// Guards against a restarted server that gets no order, since one before has
// the sequence of its next one: either of both is carried out.
BOOST_FIXTURE_TEST_CASE(LeaveTheirMemoryToTheNextOrderIfItReplacesThem, Fixture)
{
  AddServerWith(1, { "m1" });
  AddRunning(1, "m1", 1);
  AddWaiting("m4");
  placement_.SetPossibleLoads({ { Server(1), { Model("m3") } } });
  BOOST_TEST(Decide().empty());
  placement_.SetPossibleLoads({ { Server(1), { Model("m3") } } },
                              { { Server(1), { Model("m3") } } });
  BOOST_TEST(LoadsOf(Decide(), "m4").size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(DoNotLetTheirModelMakeRoom, Fixture)
{
  AddServerWith(1, { "m1", "m2" });
  placement_.SetPossibleLoads({ { Server(1), { Model("m1") } } });
  AddWaiting("m3");
  now_ += 2s;
  const auto orders = Decide();
  BOOST_REQUIRE(orders.size() == 1U);
  BOOST_TEST((orders[0].verb_ == PlacementVerb::Unload));
  BOOST_TEST((orders[0].model_ == Model("m2")));
}

BOOST_FIXTURE_TEST_CASE(KeepAdapterSlotsFree, Fixture)
{
  AddServerWith(1, { "m1" });
  placement_.SetPossibleLoads(
    { { Server(1), { Model("m1/a1"), Model("m1/a2") } } });
  AddWaiting("m1/a3");
  now_ += 1s;
  BOOST_TEST(Decide().empty());
  placement_.SetPossibleLoads({ { Server(1), { Model("m1/a1") } } });
  BOOST_TEST(LoadsOf(Decide(), "m1").size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ThatNobodyKnowsKeepTheServerFromOrders, Fixture)
{
  AddServerWith(1, { "m1" });
  AddWaiting("m1/a1");
  AddWaiting("m2");
  now_ += 1s;
  placement_.SetWithheld({ Server(1) });
  BOOST_TEST(Decide().empty());
  placement_.SetWithheld({});
  BOOST_TEST(!Decide().empty());
}

BOOST_AUTO_TEST_SUITE_END()
