#define BOOST_TEST_MODULE AgreedOrders
#include <boost/test/unit_test.hpp>

#include "coordination/UnansweredOrders.hpp"
#include "placement/RecordedOrders.hpp"
#include "support/GroupFixture.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace crocusslip;
using namespace crocusslip::tests;

namespace {

using control::OrderReply;
using coordination::PlacementVerb;

const coordination::ServiceName kService("llm");
constexpr std::uint32_t kModelMb = 34;
constexpr std::uint32_t kServerMb = 80;

core::MonotonicTime
Now()
{
  return core::SystemClock().Now();
}

/// Engines that don't check fencing numbers. They answer no order for some
/// models, carry such orders out when they are told to, and restart under their
/// ids.
class LateEngines final : public control::BackendPort
{
public:
  struct Order
  {
    coordination::PlacementOrder order_;
    std::int64_t sequence_ = 0;
    std::uint64_t term_ = 0;
    core::MonotonicTime sentAt_;
  };
  struct Engine
  {
    std::set<core::ModelName> models_;
    std::int64_t sequence_ = 0;
    std::int64_t startedAt_ = 1;
  };

  transport::Task<core::Result<std::vector<coordination::ListedServer>>>
  ReadList() override
  {
    std::vector<coordination::ListedServer> list;
    for (const auto& [id, engine] : engines_) {
      coordination::ListedServer& server = list.emplace_back();
      server.server_ = id;
      server.address_ = "127.0.0.1:" + id.Value().substr(1);
      server.service_ = kService;
      server.slots_ = 8;
      server.content_ = Content(engine);
    }
    co_return list;
  }
  transport::Task<core::Result<control::EngineReport>> ReadReport(
    std::string,
    core::ServerId aServer) override
  {
    const Engine& engine = engines_.at(aServer);
    control::EngineReport report;
    report.content_ = Content(engine);
    report.sequence_ = engine.sequence_;
    report.startedAt_ = engine.startedAt_;
    co_return report;
  }
  transport::Task<OrderReply> SendOrder(std::string,
                                        coordination::PlacementOrder aOrder,
                                        std::int64_t aSequence,
                                        control::OrderSender aSender) override
  {
    const Order order{ aOrder, aSequence, aSender.fencing_, Now() };
    sent_.push_back(order);
    if (unanswered_.contains(aOrder.model_.Value()) &&
        aOrder.verb_ == PlacementVerb::Load) {
      late_.push_back(order);
      co_return OrderReply::Unknown;
    }
    co_return Apply(order);
  }

  void CarryOutLateOrders()
  {
    for (const Order& order : late_) {
      Apply(order);
    }
  }
  void RestartEmpty(const core::ServerId& aServer)
  {
    Engine& engine = engines_.at(aServer);
    engine = { {}, 0, engine.startedAt_ + 1 };
  }
  bool Holds(const std::string& aServer, const std::string& aModel) const
  {
    return engines_.at(core::ServerId(aServer))
      .models_.contains(core::ModelName(aModel));
  }
  bool AnyHolds(const std::string& aModel) const
  {
    return std::ranges::any_of(engines_, [&](const auto& aEntry) {
      return aEntry.second.models_.contains(core::ModelName(aModel));
    });
  }

  std::map<core::ServerId, Engine> engines_;
  /// Of models that don't have kModelMb.
  std::map<std::string, std::uint32_t> sizes_;
  std::set<std::string> unanswered_;
  std::vector<Order> sent_;
  std::vector<Order> late_;
  bool overfull_ = false;

private:
  OrderReply Apply(const Order& aOrder)
  {
    Engine& engine = engines_.at(aOrder.order_.server_);
    if (aOrder.sequence_ != engine.sequence_) {
      return OrderReply::Conflict;
    }
    ++engine.sequence_;
    if (aOrder.order_.verb_ == PlacementVerb::Unload) {
      engine.models_.erase(aOrder.order_.model_);
    } else {
      engine.models_.insert(aOrder.order_.model_);
      std::uint32_t used = 0;
      for (const core::ModelName& model : engine.models_) {
        const auto size = sizes_.find(model.Value());
        used += size == sizes_.end() ? kModelMb : size->second;
      }
      overfull_ = overfull_ || used > kServerMb;
    }
    return OrderReply::Accepted;
  }

  static coordination::EngineContent Content(const Engine& aEngine)
  {
    coordination::EngineContent content;
    for (const core::ModelName& model : aEngine.models_) {
      content.models_[model];
    }
    return content;
  }
};

struct Fixture : GroupFixture
{
  LateEngines engines_;

  Fixture()
  {
    coordination::EngineLimits limits;
    limits.weightsMb_ = kServerMb;
    limits.loadsPerSecond_ = 10;
    for (int i = 1; i <= 6; ++i) {
      limits.models_[core::ModelName("m" + std::to_string(i))] = {
        kModelMb, 1, 50ms, 50ms, 50ms
      };
    }
    limits_[kService] = limits;
    engines_.engines_[core::ServerId("s1")] = { { core::ModelName("m1") }, 2 };
    backends_ = &engines_;
  }

  void SetSize(const std::string& aModel, std::uint32_t aMb)
  {
    engines_.sizes_[aModel] = aMb;
    limits_[kService].models_[core::ModelName(aModel)].weightsMb_ = aMb;
  }

  void StartGroup(std::size_t aMembers = 1)
  {
    Start(aMembers);
    BOOST_REQUIRE(
      Await([&] { return Leader() != nullptr && Voters() == aMembers; }));
    Leader()->controller_->Start();
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
    wire::SyncReply reply;
    if (Member* leader = Leader()) {
      leader->loop_.run_for(20ms);
      Report(*leader, aModels, reply);
    }
    return reply;
  }

  static void Report(Member& aMember,
                     const std::vector<std::string>& aModels,
                     wire::SyncReply& aReply)
  {
    wire::SyncRequest request;
    request.host = "e1";
    for (const std::string& model : aModels) {
      wire::ModelUse& use = request.models.emplace_back();
      use.model = model;
      use.waiting = 1;
      use.worth = 1;
    }
    aMember.controller_->Sync(request, aReply);
  }

  void AskFor(std::chrono::milliseconds aTime,
              const std::vector<std::string>& aModels)
  {
    const auto until = std::chrono::steady_clock::now() + aTime;
    while (std::chrono::steady_clock::now() < until) {
      Ask(aModels);
    }
  }

  bool AwaitLoaded(const std::string& aModel)
  {
    return Await([&] {
      Ask({ aModel });
      return engines_.AnyHolds(aModel);
    });
  }

  std::size_t OpenOrders(Member& aMember)
  {
    const auto group = aMember.group_->Current();
    return group ? group->WithState([](const auto& aState) {
      std::size_t open = 0;
      for (const auto& [id, server] : aState.OrdersToServers().Servers()) {
        open += server.open_.size();
      }
      return open;
    })
                 : 0;
  }

  /// Runs the leader until an order is recorded that it has not sent.
  Member& RecordWithoutSending(const std::string& aModel)
  {
    Ask({});
    engines_.sent_.clear();
    Member& leader = *Leader();
    wire::SyncReply reply;
    BOOST_REQUIRE(Await([&] {
      Report(leader, { aModel }, reply);
      // The commit takes effect on the group's thread, the send on the loop.
      for (int i = 0; i < 50 && OpenOrders(leader) == 0; ++i) {
        leader.loop_.run_one_for(5ms);
        std::this_thread::sleep_for(5ms);
      }
      return OpenOrders(leader) == 1;
    }));
    BOOST_REQUIRE(engines_.sent_.empty());
    return leader;
  }

  /// An order of the leader is sent and not answered.
  void LoseAnOrder(const std::string& aModel)
  {
    engines_.unanswered_.insert(aModel);
    const std::size_t before = engines_.late_.size();
    BOOST_REQUIRE(Await([&] {
      Ask({ aModel });
      return engines_.late_.size() > before;
    }));
  }

  const core::ServerId server_{ "s1" };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(A_new_leader, Fixture)

// Guards against an order that leaves late, since its leader was frozen or
// replaced between the commit and the send: the next leader knows of it.
BOOST_AUTO_TEST_CASE(knows_an_order_that_was_recorded_and_not_sent)
{
  StartGroup();
  RecordWithoutSending("m3");
  ReplaceLeader();
  engines_.RestartEmpty(server_);
  AskFor(5s, { "m4", "m5" });
  BOOST_TEST(engines_.AnyHolds("m4") != engines_.AnyHolds("m5"));
  engines_.late_.push_back({ { server_,
                               PlacementVerb::Load,
                               core::ModelName("m3"),
                               "",
                               coordination::WeightTier::Store,
                               50ms },
                             2,
                             1,
                             Now() });
  for (std::int64_t sequence = 0; sequence < 4; ++sequence) {
    engines_.late_.back().sequence_ = sequence;
    engines_.CarryOutLateOrders();
  }
  BOOST_TEST(!engines_.overfull_);
}

// Guards against the loss of all orders for 15 s after a change of leader, and
// against an order that is carried out late in the next run of the server.
BOOST_AUTO_TEST_CASE(orders_restarted_servers_and_keeps_memory_free)
{
  StartGroup();
  LoseAnOrder("m3");
  engines_.RestartEmpty(server_);
  ReplaceLeader();
  const core::MonotonicTime begin = Now();
  BOOST_TEST(AwaitLoaded("m4"));
  BOOST_TEST((Now() - begin < 6s));
  AskFor(2s, { "m5" });
  engines_.CarryOutLateOrders();
  BOOST_TEST(!engines_.overfull_);
}

BOOST_AUTO_TEST_CASE(knows_the_orders_of_two_leaders_before_it)
{
  StartGroup();
  LoseAnOrder("m3");
  engines_.RestartEmpty(server_);
  ReplaceLeader();
  LoseAnOrder("m5");
  ReplaceLeader();
  engines_.RestartEmpty(server_);
  BOOST_TEST(AwaitLoaded("m4"));
  AskFor(2s, { "m4", "m2" });
  engines_.CarryOutLateOrders();
  BOOST_TEST(!engines_.overfull_);
}

// Guards against orders to a restarted server by a leader whose state doesn't
// have all orders before it, as after a release without records.
BOOST_AUTO_TEST_CASE(withholds_orders_without_a_complete_record)
{
  fleet_.fencingEnforced_ = true;
  StartGroup();
  LoseAnOrder("m3");
  engines_.RestartEmpty(server_);
  engines_.engines_[server_].startedAt_ =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count();
  engines_.sent_.clear();
  fleet_.fencingEnforced_ = false;
  ReplaceLeader();
  AskFor(6s, { "m4", "m5" });
  BOOST_TEST(engines_.sent_.empty());
  engines_.CarryOutLateOrders();
  BOOST_TEST(!engines_.overfull_);
}

// Guards against two holders that order one server within the holders' lease,
// and against servers without orders that wait for it.
BOOST_AUTO_TEST_CASE(waits_only_at_servers_that_had_an_order_lately)
{
  StartGroup();
  BOOST_REQUIRE(AwaitLoaded("m2"));
  const std::uint64_t term = engines_.sent_.back().term_;
  const core::MonotonicTime last = engines_.sent_.back().sentAt_;
  engines_.engines_[core::ServerId("s2")];
  ReplaceLeader();
  const core::MonotonicTime begin = Now();
  BOOST_TEST(AwaitLoaded("m3"));
  BOOST_TEST(engines_.Holds("s2", "m3"));
  // All would wait for 3.2 s.
  BOOST_TEST((Now() - begin < 3100ms));
  const auto isOrdered = [&](const LateEngines::Order& aOrder) {
    return aOrder.term_ > term && aOrder.order_.server_ == server_;
  };
  BOOST_TEST(Await([&] {
    Ask({ "m4", "m5", "m6" });
    return std::ranges::any_of(engines_.sent_, isOrdered);
  }));
  const auto first = std::ranges::find_if(engines_.sent_, isOrdered);
  BOOST_REQUIRE(first != engines_.sent_.end());
  BOOST_TEST((first->sentAt_ - last >= 3s));
}

// Guards against a table that a member loses with the log that its snapshot
// replaces.
BOOST_AUTO_TEST_CASE(knows_the_orders_from_a_snapshot)
{
  group_.snapshotEvery_ = 1;
  StartGroup();
  LoseAnOrder("m3");
  engines_.RestartEmpty(server_);
  ReplaceLeader();
  BOOST_TEST(OpenOrders(*Leader()) == 1U);
  AskFor(5s, { "m4", "m5" });
  engines_.CarryOutLateOrders();
  BOOST_TEST(!engines_.overfull_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(A_leader, Fixture)

// Guards against a send by a leader that another one may have replaced.
BOOST_AUTO_TEST_CASE(that_is_deposed_after_the_commit_does_not_send)
{
  StartGroup(3);
  Member& old = RecordWithoutSending("m3");
  for (auto& member : members_) {
    if (member.get() != &old) {
      member.reset();
    }
  }
  BOOST_REQUIRE(Await([&] { return !old.group_->MayDecide(); }));
  old.loop_.run_for(500ms);
  BOOST_TEST(engines_.sent_.empty());
}

BOOST_AUTO_TEST_CASE(that_is_cut_off_sends_nothing_new)
{
  StartGroup(3);
  BOOST_REQUIRE(AwaitLoaded("m2"));
  AskFor(1s, {});
  engines_.sent_.clear();
  Member& old = *Leader();
  for (auto& member : members_) {
    if (member.get() != &old) {
      member.reset();
    }
  }
  BOOST_TEST(old.group_->MayDecide());
  for (int i = 0; i < 50; ++i) {
    wire::SyncReply reply;
    Report(old, { "m3" }, reply);
    old.loop_.run_for(20ms);
  }
  BOOST_TEST(engines_.sent_.empty());
}

// Guards against an order that is sent although the group refused to record it,
// and against one that is never planned again.
BOOST_AUTO_TEST_CASE(whose_order_is_refused_does_not_send_it)
{
  StartGroup();
  state::RecordOrders record;
  record.orders_.assign(state::kMaxOpenServerOrders,
                        { server_, 1, 90, true, "m6" });
  const auto recorded = Leader()->group_->Current()->ProposeAndWait(record, 2s);
  BOOST_REQUIRE(recorded.Ok());
  AskFor(2s, { "m3" });
  BOOST_TEST(engines_.sent_.empty());
  state::EndOrders end;
  end.ended_ = std::get<state::OrdersAnswer>(recorded.Value()).numbers_;
  BOOST_REQUIRE(Leader()->group_->Current()->ProposeAndWait(end, 2s).Ok());
  BOOST_TEST(AwaitLoaded("m3"));
}

// Guards against two late orders that are carried out one after the other in
// the next run of the server, though the second was planned on a content
// without the first.
BOOST_AUTO_TEST_CASE(plans_for_all_orders_that_may_be_carried_out_together)
{
  engines_.engines_[server_] = {};
  SetSize("m3", 50);
  SetSize("m4", 20);
  SetSize("m5", 40);
  StartGroup();
  LoseAnOrder("m3");
  BOOST_TEST(AwaitLoaded("m4"));
  engines_.unanswered_.insert("m5");
  AskFor(4s, { "m4", "m5" });
  engines_.RestartEmpty(server_);
  engines_.CarryOutLateOrders();
  BOOST_TEST(!engines_.overfull_);
}

// Guards against a table that keeps answered orders, whose memory the next
// leader would keep free.
BOOST_AUTO_TEST_CASE(ends_answered_orders)
{
  StartGroup();
  BOOST_REQUIRE(AwaitLoaded("m2"));
  BOOST_TEST(Await([&] {
    Ask({});
    return OpenOrders(*Leader()) == 0;
  }));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against an order that ends while one of its sends may still be carried
// out.
BOOST_AUTO_TEST_CASE(An_order_ends_once_all_sends_are_answered_or_too_old)
{
  const core::MonotonicTime now(1h);
  placement::RecordedOrders orders;
  orders.OnRecorded(1);
  orders.OnSent(1, now);
  orders.OnSent(1, now + 1s);
  orders.OnAnswered(1);
  BOOST_TEST(!orders.AnyEnded(now + 1h));
  orders.OnFinished(1);
  const core::MonotonicTime late = now + 1s + coordination::kLateOrderTime;
  BOOST_TEST(!orders.AnyEnded(late - 1ms));
  BOOST_TEST(orders.TakeEnded(late).size() == 1U);
  BOOST_TEST(orders.TakeEnded(late).empty());
  orders.OnEndLost({ 1 });
  BOOST_TEST(orders.TakeEnded(late).size() == 1U);
}
