#define BOOST_TEST_MODULE FleetOrders
#include <boost/test/unit_test.hpp>

#include "support/GroupFixture.hpp"

#include <set>
#include <string>

using namespace crocusslip;
using namespace crocusslip::tests;

namespace {

constexpr std::uint32_t kAdapterSlots = 2;
const core::ModelName kModel("m1");
const core::ServerId kServer("s1");

/// An engine with one model and its adapters.
class OneEngine final : public control::BackendPort
{
public:
  transport::Task<core::Result<std::vector<coordination::ListedServer>>>
  ReadList() override
  {
    coordination::ListedServer server;
    server.server_ = kServer;
    server.address_ = "127.0.0.1:1";
    server.service_ = coordination::ServiceName("llm");
    server.slots_ = 8;
    server.content_ = oldReport_ ? oldReport_->content_ : Content();
    co_return std::vector{ server };
  }
  transport::Task<core::Result<control::EngineReport>> ReadReport(
    std::string,
    core::ServerId) override
  {
    control::EngineReport report;
    report.content_ = Content();
    report.sequence_ = sequence_;
    co_return oldReport_ ? *oldReport_ : report;
  }
  transport::Task<control::OrderReply> SendOrder(
    std::string,
    coordination::PlacementOrder aOrder,
    std::int64_t aSequence,
    control::OrderSender) override
  {
    if (aSequence != sequence_) {
      ++conflicts_;
      co_return control::OrderReply::Conflict;
    }
    ++sequence_;
    if (aOrder.verb_ == coordination::PlacementVerb::Load) {
      adapters_.insert(aOrder.adapter_);
      overfull_ = overfull_ || adapters_.size() > kAdapterSlots;
      co_return control::OrderReply::Accepted;
    }
    unloading_ = aOrder.adapter_;
    if (requestsRun_) {
      co_return control::OrderReply::Accepted;
    }
    adapters_.erase(aOrder.adapter_);
    co_return control::OrderReply::Holds;
  }
  /// Ends the requests that use the adapters.
  void EndRequests()
  {
    requestsRun_ = false;
    adapters_.erase(unloading_);
  }
  coordination::EngineContent Content() const
  {
    return { { { kModel, adapters_ } } };
  }

  std::set<std::string> adapters_{ "a1", "a2" };
  std::int64_t sequence_ = 5;
  /// Given instead of the current one.
  std::optional<control::EngineReport> oldReport_;
  int conflicts_ = 0;
  std::string unloading_;
  bool requestsRun_ = true;
  bool overfull_ = false;
};

struct Fixture : GroupFixture
{
  OneEngine engine_;

  Fixture()
  {
    coordination::EngineLimits limits;
    limits.weightsMb_ = 100;
    limits.adapterSlots_ = kAdapterSlots;
    limits.models_[kModel] = { 34, 1, 6000ms, 1000ms, 700ms };
    limits_[coordination::ServiceName("llm")] = limits;
    backends_ = &engine_;
    Start(1);
    BOOST_REQUIRE(Await([&] { return Leader() != nullptr; }));
    Leader()->controller_->Start();
    BOOST_REQUIRE(Await([&] { return Report("").leader; }));
    BOOST_REQUIRE(Publish(1));
  }

  /// A host's report, with a request that waits for an adapter, or one that
  /// the engine refused for lack of its adapter.
  wire::SyncReply Report(const std::string& aAdapter, bool aMissing = false)
  {
    wire::SyncRequest request;
    request.host = "e1";
    if (aMissing) {
      wire::ServerUse& use = request.uses.emplace_back();
      use.server = kServer.Value();
      use.missing = { kModel.Value() + "/" + aAdapter };
    }
    if (!aAdapter.empty()) {
      wire::ModelUse& use = request.models.emplace_back();
      use.model = kModel.Value() + "/" + aAdapter;
      use.waiting = 1;
      use.worth = 1;
    }
    Leader()->loop_.run_for(20ms);
    wire::SyncReply reply;
    Leader()->controller_->Sync(request, reply);
    return reply;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(AnAdapterSlot)

// An engine that is ordered to load more adapters than it has slots crashes.
BOOST_FIXTURE_TEST_CASE(IsNotFilledWhileRequestsUseTheUnloadedAdapter, Fixture)
{
  BOOST_REQUIRE(Await([&] {
    Report("a3");
    return !engine_.unloading_.empty();
  }));
  for (int i = 0; i < 25; ++i) {
    Report("a3");
  }
  BOOST_TEST(!engine_.overfull_);
  engine_.EndRequests();
  BOOST_TEST(Await([&] {
    Report("a3");
    return engine_.adapters_.contains("a3");
  }));
  BOOST_TEST(!engine_.overfull_);
}

// An order counts on what the engine held when its sequence was read.
BOOST_FIXTURE_TEST_CASE(IsNotFilledOnAnOldReport, Fixture)
{
  control::EngineReport old;
  old.content_ = { { { kModel, { "a1" } } } };
  old.sequence_ = engine_.sequence_ - 1;
  engine_.oldReport_ = old;
  // The controller reads a report at most once a second.
  const auto until = std::chrono::steady_clock::now() + 1500ms;
  while (std::chrono::steady_clock::now() < until) {
    Report("");
  }
  BOOST_REQUIRE(Await([&] {
    Report("a3");
    return engine_.conflicts_ > 0;
  }));
  engine_.oldReport_.reset();
  engine_.requestsRun_ = false;
  BOOST_TEST(Await([&] {
    Report("a3", true);
    return engine_.adapters_.contains("a3");
  }));
  BOOST_TEST(!engine_.overfull_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AReportFromBeforeTheLastOrder)

BOOST_FIXTURE_TEST_CASE(DoesNotUndoWhatTheOrderDid, Fixture)
{
  engine_.requestsRun_ = false;
  control::EngineReport old;
  old.content_ = engine_.Content();
  old.sequence_ = engine_.sequence_;
  BOOST_REQUIRE(Await([&] {
    Report("a3");
    return engine_.adapters_.contains("a3");
  }));
  engine_.oldReport_ = old;
  const auto until = std::chrono::steady_clock::now() + 1500ms;
  while (std::chrono::steady_clock::now() < until) {
    Report("a3", true);
  }
  BOOST_TEST(Await([&] {
    Report("a4");
    return engine_.adapters_.contains("a4");
  }));
  BOOST_TEST(engine_.conflicts_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ManyHostsWithoutRows)

// Encoding the rows for each host kept the leader from acknowledging
// configurations.
BOOST_FIXTURE_TEST_CASE(GetATableThatIsEncodedOnce, Fixture)
{
  constexpr int kHosts = 100;
  const auto join = [&](int aHost) {
    wire::SyncRequest request;
    request.host = "e" + std::to_string(aHost);
    request.takesTable = true;
    wire::SyncReply reply;
    Leader()->controller_->Sync(request, reply);
    return reply;
  };
  BOOST_REQUIRE(Await([&] {
    Report("");
    return join(0).complete;
  }));
  const auto encoded = [&] {
    const std::string text = Leader()->metrics_.Text();
    const std::string name = "\ncrocusslip_server_tables_encoded_total ";
    return std::stoi(text.substr(text.find(name) + name.size()));
  };
  const int before = encoded();
  for (int host = 1; host <= kHosts; ++host) {
    const wire::SyncReply reply = join(host);
    const auto table = protocol::DecodeTable(
      reply.compressedTable, static_cast<std::size_t>(reply.tableBytes));
    BOOST_REQUIRE(table.Ok());
    BOOST_TEST(table.Value().rows.size() == 1U);
    BOOST_TEST(reply.rows.empty());
  }
  BOOST_TEST(encoded() - before <= 2);
}

BOOST_AUTO_TEST_SUITE_END()
