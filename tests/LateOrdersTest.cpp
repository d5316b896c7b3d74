#define BOOST_TEST_MODULE LateOrders
#include <boost/test/unit_test.hpp>

#include "coordination/UnansweredOrders.hpp"
#include "support/GroupFixture.hpp"

#include <algorithm>
#include <set>
#include <string>

using namespace crocusslip;
using namespace crocusslip::tests;

namespace {

using control::OrderReply;
using coordination::PlacementVerb;

const core::ServerId kServer("s1");
const coordination::ServiceName kService("llm");
const core::ModelName kUnanswered("m3");
constexpr std::uint32_t kModelMb = 34;
constexpr std::uint32_t kServerMb = 80;
/// The most models that fit.
constexpr std::size_t kMostModels = kServerMb / kModelMb;

std::int64_t
UnixMilliseconds()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/// An engine that answers no order for one model, carries such an order out
/// when it is told to, and restarts under its id.
class LateEngine final : public control::BackendPort
{
public:
  transport::Task<core::Result<std::vector<coordination::ListedServer>>>
  ReadList() override
  {
    coordination::ListedServer server;
    server.server_ = kServer;
    server.address_ = "127.0.0.1:1";
    server.service_ = kService;
    server.slots_ = 8;
    server.content_ = Content();
    co_return std::vector{ server };
  }
  transport::Task<core::Result<control::EngineReport>> ReadReport(
    std::string,
    core::ServerId) override
  {
    control::EngineReport report;
    report.content_ = Content();
    report.sequence_ = sequence_;
    report.startedAt_ = startedAt_;
    co_return report;
  }
  transport::Task<OrderReply> SendOrder(std::string,
                                        coordination::PlacementOrder aOrder,
                                        std::int64_t aSequence,
                                        control::OrderSender aSender) override
  {
    if (aOrder.model_ == kUnanswered && aOrder.verb_ == PlacementVerb::Load) {
      late_.push_back({ aOrder, aSequence, aSender.fencing_ });
      co_return OrderReply::Unknown;
    }
    co_return Apply({ aOrder, aSequence, aSender.fencing_ });
  }

  void CarryOutLateOrders()
  {
    for (const Order& order : late_) {
      Apply(order);
    }
  }

  void RestartEmpty()
  {
    models_.clear();
    sequence_ = 0;
    fence_ = 0;
    startedAt_ = UnixMilliseconds();
  }

  bool Holds(const std::string& aModel) const
  {
    return models_.contains(core::ModelName(aModel));
  }

  struct Order
  {
    coordination::PlacementOrder order_;
    std::int64_t sequence_ = 0;
    std::uint64_t fencing_ = 0;
  };

  bool enforcesFencing_ = false;
  std::set<core::ModelName> models_{ core::ModelName("m1") };
  std::int64_t sequence_ = 2;
  std::uint64_t fence_ = 0;
  std::int64_t startedAt_ = UnixMilliseconds() - 3'600'000;
  std::vector<Order> late_;
  bool overfull_ = false;

private:
  OrderReply Apply(const Order& aOrder)
  {
    if (enforcesFencing_ && aOrder.fencing_ < fence_) {
      return OrderReply::Fenced;
    }
    if (aOrder.sequence_ != sequence_) {
      return OrderReply::Conflict;
    }
    fence_ = std::max(fence_, aOrder.fencing_);
    ++sequence_;
    if (aOrder.order_.verb_ == PlacementVerb::Unload) {
      models_.erase(aOrder.order_.model_);
    } else {
      models_.insert(aOrder.order_.model_);
      overfull_ = overfull_ || models_.size() > kMostModels;
    }
    return OrderReply::Accepted;
  }

  coordination::EngineContent Content() const
  {
    coordination::EngineContent content;
    for (const core::ModelName& model : models_) {
      content.models_[model];
    }
    return content;
  }
};

struct Fixture : GroupFixture
{
  LateEngine engine_;

  Fixture()
  {
    coordination::EngineLimits limits;
    limits.weightsMb_ = kServerMb;
    limits.loadsPerSecond_ = 10;
    for (int i = 1; i <= 5; ++i) {
      limits.models_[core::ModelName("m" + std::to_string(i))] = {
        kModelMb, 1, 50ms, 50ms, 50ms
      };
    }
    limits_[kService] = limits;
    backends_ = &engine_;
  }

  void StartGroup()
  {
    Start(1);
    BOOST_REQUIRE(Await([&] { return Leader() != nullptr; }));
    Leader()->controller_->Start();
    // The leader's term has begun before there are services.
    BOOST_REQUIRE(Await([&] { return Ask({}).leader; }));
    BOOST_REQUIRE(Publish(1));
  }

  void ReplaceLeader()
  {
    Restart(0, false);
    BOOST_REQUIRE(Await([&] { return Leader() != nullptr; }));
    Leader()->controller_->Start();
  }

  /// A host's report with requests that wait for the models.
  wire::SyncReply Ask(const std::vector<std::string>& aModels)
  {
    wire::SyncRequest request;
    request.host = "e1";
    for (const std::string& model : aModels) {
      wire::ModelUse& use = request.models.emplace_back();
      use.model = model;
      use.waiting = 1;
      use.worth = 1;
    }
    Leader()->loop_.run_for(20ms);
    wire::SyncReply reply;
    Leader()->controller_->Sync(request, reply);
    return reply;
  }

  void AskFor(std::chrono::milliseconds aTime,
              const std::vector<std::string>& aModels)
  {
    const auto until = std::chrono::steady_clock::now() + aTime;
    while (std::chrono::steady_clock::now() < until) {
      Ask(aModels);
    }
  }

  /// Asks for the models until the engine holds one of aAwaited.
  bool AwaitAny(const std::vector<std::string>& aModels,
                const std::vector<std::string>& aAwaited)
  {
    return Await([&] {
      Ask(aModels);
      return std::ranges::any_of(aAwaited, [this](const std::string& aModel) {
        return engine_.Holds(aModel);
      });
    });
  }

  /// An order gets no answer, and the engine restarts.
  void LoseAnOrder()
  {
    BOOST_REQUIRE(Await([&] {
      Ask({ kUnanswered.Value() });
      return !engine_.late_.empty();
    }));
    engine_.RestartEmpty();
  }
};

coordination::PlacementOrder
LoadOrder(const std::string& aModel, const std::string& aAdapter = "")
{
  coordination::PlacementOrder order;
  order.server_ = kServer;
  order.model_ = core::ModelName(aModel);
  order.adapter_ = aAdapter;
  return order;
}

std::set<core::ModelName>
Names(const std::set<std::string>& aNames)
{
  std::set<core::ModelName> names;
  for (const std::string& name : aNames) {
    names.insert(core::ModelName(name));
  }
  return names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AnOrderWithoutAnAnswer)

// Guards against a server that gets more than its memory: the order is carried
// out after the server has restarted under its id and counts the same sequence
// again.
BOOST_FIXTURE_TEST_CASE(DoesNotOverfillAServerThatRestarts, Fixture)
{
  StartGroup();
  LoseAnOrder();
  BOOST_TEST(AwaitAny({ "m4", "m5" }, { "m4", "m5" }));
  AskFor(2s, { "m4", "m5" });
  engine_.CarryOutLateOrders();
  BOOST_TEST(!engine_.overfull_);
}

BOOST_FIXTURE_TEST_CASE(DoesNotOverfillAServerThatRestartsTwice, Fixture)
{
  StartGroup();
  LoseAnOrder();
  BOOST_TEST(AwaitAny({ "m4" }, { "m4" }));
  engine_.RestartEmpty();
  BOOST_TEST(AwaitAny({ "m4", "m5" }, { "m4", "m5" }));
  AskFor(2s, { "m4", "m5" });
  engine_.CarryOutLateOrders();
  BOOST_TEST(!engine_.overfull_);
}

// Guards against a new leader, which has never heard of the order.
BOOST_FIXTURE_TEST_CASE(DoesNotOverfillAServerUnderTheNextLeader, Fixture)
{
  StartGroup();
  LoseAnOrder();
  ReplaceLeader();
  AskFor(6s, { "m4", "m5" });
  engine_.CarryOutLateOrders();
  BOOST_TEST(!engine_.overfull_);
}

BOOST_FIXTURE_TEST_CASE(LeavesServersThatDidNotRestartToTheNextLeader, Fixture)
{
  StartGroup();
  BOOST_REQUIRE(Await([&] {
    Ask({ kUnanswered.Value() });
    return !engine_.late_.empty();
  }));
  ReplaceLeader();
  BOOST_TEST(AwaitAny({ "m4" }, { "m4" }));
  engine_.CarryOutLateOrders();
  BOOST_TEST(!engine_.overfull_);
}

BOOST_FIXTURE_TEST_CASE(LeavesServersThatEnforceFencingToTheNextLeader, Fixture)
{
  fleet_.fencingEnforced_ = true;
  engine_.enforcesFencing_ = true;
  StartGroup();
  LoseAnOrder();
  ReplaceLeader();
  BOOST_TEST(AwaitAny({ "m4", "m5" }, { "m4" }));
  BOOST_TEST(AwaitAny({ "m4", "m5" }, { "m5" }));
  engine_.CarryOutLateOrders();
  BOOST_TEST(!engine_.overfull_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UnansweredOrders)

BOOST_AUTO_TEST_CASE(CountUntilTheirSequenceIsPast)
{
  const core::MonotonicTime now(1h);
  coordination::UnansweredOrders orders;
  orders.OnSent(LoadOrder("m1"), 2, now);
  orders.OnSent(LoadOrder("m2", "a1"), 4, now);
  BOOST_TEST((orders.LoadsAfter(kServer, 1) == Names({ "m1", "m2/a1" })));
  BOOST_TEST((orders.LoadsAfter(kServer, 2) == Names({ "m2/a1" })));
  BOOST_TEST(orders.LoadsAfter(kServer, 4).empty());
  BOOST_TEST(orders.LoadsAfter(core::ServerId("s2"), 0).empty());
  BOOST_TEST((orders.Loads(kServer) == Names({ "m1", "m2/a1" })));
  BOOST_TEST((orders.LoadsAt(kServer, 2) == Names({ "m1" })));
  orders.OnSent(LoadOrder("m1"), 3, now);
  BOOST_TEST(orders.LoadsAt(kServer, 2).empty());
}

BOOST_AUTO_TEST_CASE(AreForgottenOnceTheyCannotBeCarriedOut)
{
  const core::MonotonicTime now(1h);
  coordination::UnansweredOrders orders;
  const auto first = orders.OnSent(LoadOrder("m1"), 2, now);
  orders.OnSent(LoadOrder("m1"), 2, now + 1s);
  orders.OnAnswered(kServer, first);
  BOOST_TEST(orders.LoadsAfter(kServer, 0).size() == 1U);
  orders.Expire(now + coordination::kLateOrderTime);
  BOOST_TEST(orders.LoadsAfter(kServer, 0).size() == 1U);
  orders.Expire(now + coordination::kLateOrderTime + 1s);
  BOOST_TEST(orders.LoadsAfter(kServer, 0).empty());
  BOOST_TEST(orders.Servers().empty());
}

BOOST_AUTO_TEST_CASE(ToUnloadNeedNoMemory)
{
  coordination::UnansweredOrders orders;
  coordination::PlacementOrder unload = LoadOrder("m1");
  unload.verb_ = PlacementVerb::Unload;
  orders.OnSent(unload, 2, core::MonotonicTime(1h));
  BOOST_TEST(orders.Servers().empty());
}

BOOST_AUTO_TEST_SUITE_END()
