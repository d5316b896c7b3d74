#define BOOST_TEST_MODULE ServerOrders
#include <boost/test/unit_test.hpp>

#include "core/Hash.hpp"
#include "state/SnapshotCodec.hpp"
#include "state/StateMachine.hpp"

#include <cstring>

using namespace crocusslip;
using namespace crocusslip::state;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds kLease{ 3200 };
const core::ServerId kServer("s1");

struct Fixture
{
  StateMachine state_;
  std::uint64_t index_ = 0;
  core::Term term_{ 1 };

  std::vector<std::uint64_t> Record(std::chrono::milliseconds aNow,
                                    const std::vector<std::string>& aServers,
                                    std::vector<std::uint64_t> aEnded = {})
  {
    RecordOrders record{ { aNow, kLease, true, std::move(aEnded) }, {} };
    for (const std::string& server : aServers) {
      record.orders_.push_back({ core::ServerId(server), 7, 2, true, "m/a" });
    }
    return Apply(record);
  }
  std::vector<std::uint64_t> Apply(const Command& aCommand)
  {
    return std::get<OrdersAnswer>(
             state_.Apply(core::LogIndex(++index_), term_, aCommand))
      .numbers_;
  }
  const std::map<core::ServerId, OrdersOfServer>& Servers() const
  {
    return state_.OrdersToServers().Servers();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(The_orders_to_servers, Fixture)

// Guards against a server that a new leader orders within the holders' lease,
// because its last order has been answered.
BOOST_AUTO_TEST_CASE(keep_a_server_until_the_holders_lease_is_over)
{
  const auto numbers = Record(1s, { "s1", "s2" });
  BOOST_REQUIRE(numbers.size() == 2U);
  Record(2s, {}, { numbers[0] });
  BOOST_TEST(Servers().at(kServer).open_.empty());
  BOOST_TEST((Servers().at(kServer).lastAt_ == 2s));
  Record(5s, {});
  BOOST_TEST(Servers().contains(kServer));
  Record(5200ms, {});
  BOOST_TEST(!Servers().contains(kServer));
  // An open order stays however old it is.
  BOOST_TEST(Servers().at(core::ServerId("s2")).open_.size() == 1U);
}

// Guards against clocks of two leaders that are compared.
BOOST_AUTO_TEST_CASE(take_the_first_command_of_a_term_as_the_time_of_all)
{
  const auto numbers = Record(900s, { "s1" });
  Record(900s, {}, numbers);
  term_ = core::Term(2);
  Record(10s, {});
  BOOST_TEST((Servers().at(kServer).lastAt_ == 10s));
  Record(13s, {});
  BOOST_TEST(Servers().contains(kServer));
  Record(14s, {});
  BOOST_TEST(Servers().empty());
}

// Guards against a table that grows with orders that nobody ends.
BOOST_AUTO_TEST_CASE(are_bounded_for_each_server)
{
  for (std::size_t i = 0; i < kMaxOpenServerOrders; ++i) {
    BOOST_TEST(Record(1s, { "s1" })[0] == i + 1);
  }
  const auto numbers = Record(1s, { "s1", "s2" });
  BOOST_TEST(numbers[0] == 0U);
  BOOST_TEST(numbers[1] == kMaxOpenServerOrders + 1);
  BOOST_TEST(Servers().at(kServer).open_.size() == kMaxOpenServerOrders);
}

BOOST_AUTO_TEST_CASE(are_part_of_the_snapshot)
{
  Record(1s, { "s1" });
  StateMachine restored;
  BOOST_REQUIRE(restored.Restore(state_.Snapshot()).Ok());
  const ServerOrders& orders = restored.OrdersToServers();
  BOOST_TEST(orders.Complete());
  BOOST_REQUIRE(orders.Servers().contains(kServer));
  const OpenServerOrder& open = orders.Servers().at(kServer).open_.front();
  BOOST_TEST(open.number_ == 1U);
  BOOST_TEST((open.order_ == ServerOrder{ kServer, 7, 2, true, "m/a" }));
}

// Guards against a member that can't start from a snapshot of the release
// before, and against one that takes its missing table for complete.
BOOST_AUTO_TEST_CASE(are_not_complete_in_a_snapshot_of_the_release_before)
{
  state_.Apply(
    core::LogIndex(1), core::Term(1), PublishRoutes{ 3, "table of routes" });
  std::string snapshot = state_.Snapshot();
  SnapshotWriter none;
  ServerOrders().Write(none);
  const std::size_t header = SnapshotWriter().Finish().size();
  snapshot.resize(snapshot.size() - (none.Finish().size() - header));
  const std::string values = snapshot.substr(header);
  const std::uint32_t version = kOldestSnapshotVersion;
  const std::uint64_t size = values.size();
  const std::uint64_t hash = core::Hash64(values);
  std::memcpy(snapshot.data() + 4, &version, sizeof version);
  std::memcpy(snapshot.data() + 8, &size, sizeof size);
  std::memcpy(snapshot.data() + 16, &hash, sizeof hash);
  StateMachine restored;
  BOOST_REQUIRE(restored.Restore(snapshot).Ok());
  BOOST_TEST(restored.Routes().Version() == 3U);
  BOOST_TEST(!restored.OrdersToServers().Complete());
  BOOST_TEST((restored.StateDigest() == state_.StateDigest()));
}

BOOST_AUTO_TEST_SUITE_END()
