#define BOOST_TEST_MODULE AdapterRoom
#include <boost/test/unit_test.hpp>

#include "coordination/ModelPlacement.hpp"
#include "placement/AdapterRoom.hpp"

using namespace crocusslip;
using namespace crocusslip::coordination;
using namespace std::chrono_literals;

namespace {

constexpr core::MonotonicTime kStart{ 1h };
const core::ServerId kServer("s1");

placement::UnusedAdapter
Adapter(const std::string& aName, std::uint32_t aMb, int aUsedAt)
{
  return { core::ModelName("m"),
           aName,
           aMb,
           core::MonotonicTime(std::chrono::seconds(aUsedAt)) };
}

std::string
NamesOf(const std::optional<std::vector<placement::UnusedAdapter>>& aChosen)
{
  std::string names;
  for (const auto& adapter :
       aChosen.value_or(std::vector{ Adapter("none", 0, 0) })) {
    names += adapter.adapter_;
  }
  return names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Room_for_an_adapter)

BOOST_AUTO_TEST_CASE(is_made_by_the_least_recently_used_ones)
{
  const std::vector unused{ Adapter("c", 300, 3),
                            Adapter("a", 100, 1),
                            Adapter("b", 100, 2) };
  BOOST_TEST(NamesOf(placement::AdaptersToUnload(unused, 0, 0)).empty());
  BOOST_TEST(NamesOf(placement::AdaptersToUnload(unused, 0, 1)) == "a");
  BOOST_TEST(NamesOf(placement::AdaptersToUnload(unused, 150, 0)) == "ab");
  BOOST_TEST(NamesOf(placement::AdaptersToUnload(unused, 250, 0)) == "c");
  BOOST_TEST(NamesOf(placement::AdaptersToUnload(unused, 250, 2)) == "ac");
  BOOST_TEST(NamesOf(placement::AdaptersToUnload(unused, 501, 0)) == "none");
  BOOST_TEST(NamesOf(placement::AdaptersToUnload(unused, 0, 4)) == "none");
}

// Guards against a server that is ordered to hold more than its memory, since
// the adapter that was unloaded is smaller than the one to load (review/3).
BOOST_AUTO_TEST_CASE(never_exceeds_the_memory_of_the_server)
{
  EngineLimits limits;
  limits.slots_ = 24;
  limits.weightsMb_ = 51'000;
  limits.adapterSlots_ = 8;
  limits.loadsPerSecond_ = 4;
  const core::ModelName small("small");
  const core::ModelName large("large");
  limits.models_[small] = { 25'000, 140, 6000ms, 1000ms, 700ms };
  limits.models_[large] = { 25'440, 420, 6000ms, 1000ms, 700ms };
  ModelPlacement placement;
  placement.SetLimits({ { ServiceName("llm"), limits } });
  placement.AddServer(kServer, ServiceName("llm"));
  EngineContent content;
  content.models_[small] = { "a1", "a2", "a3", "a4" };
  content.models_[large] = {};
  placement.SetVerifiedContent(kServer, content);
  std::map<core::ModelName, ModelDemand> demand;
  demand[core::ModelName("large/a9")].waiting_ = 1;
  demand[core::ModelName("large/a9")].weight_ = 1;
  core::MonotonicTime now = kStart;
  std::uint32_t used = 25'000 + 25'440 + 4 * 140;
  bool loaded = false;
  for (int i = 0; i < 10 && !loaded; ++i) {
    now += 50ms;
    placement.OnDemand(demand, now);
    for (const PlacementOrder& order : placement.Decide(now)) {
      const bool load = order.verb_ == PlacementVerb::Load;
      used = load ? used + 420 : used - 140;
      loaded = loaded || load;
      BOOST_TEST(used <= limits.weightsMb_);
      placement.OnOrderDone(order, true, now);
    }
  }
  BOOST_TEST(loaded);
}

BOOST_AUTO_TEST_SUITE_END()
