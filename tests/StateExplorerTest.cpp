#define BOOST_TEST_MODULE StateExplorer
#include <boost/test/unit_test.hpp>

#include "tests/support/ClaimModel.hpp"
#include "tests/support/Explorer.hpp"
#include "tests/support/OrderModel.hpp"
#include "tests/support/ServerOrdersModel.hpp"
#include "tests/support/SettingsModel.hpp"

using namespace crocusslip;
using namespace crocusslip::tests;

namespace {

constexpr std::uint64_t kSeeds = 20;
// A disabled rule must be found within this many seeds.
constexpr std::uint64_t kSearchSeeds = 300;

/// The first fault within a number of seeds, or nothing.
template<typename Make>
std::string
FirstFault(Make aMake, std::uint64_t aSeeds)
{
  for (std::uint64_t seed = 1; seed <= aSeeds; ++seed) {
    ExplorerOptions options;
    options.seed_ = seed;
    options.makeModel_ = aMake;
    const ExplorerReport report = Explore(options);
    if (report.violation_) {
      return "seed " + std::to_string(seed) + ": " + *report.violation_;
    }
  }
  return {};
}

std::string
FirstOrderFault(state::EngineKind aKind,
                coordination::OrderRules aRules,
                std::uint64_t aSeeds)
{
  return FirstFault([=] { return std::make_unique<OrderModel>(aKind, aRules); },
                    aSeeds);
}

} // namespace

BOOST_AUTO_TEST_SUITE(A_group_under_faults)

// Guards against a non-idempotent request that runs twice (I6).
BOOST_AUTO_TEST_CASE(runs_each_key_for_one_request)
{
  BOOST_TEST(FirstFault([] { return std::make_unique<ClaimModel>(true); },
                        kSeeds) == "");
}

// Guards against a check that takes slow flow control for a member that is
// stuck: both runs end with a backlog that one entry an append takes longer
// than the settling time to deliver.
BOOST_AUTO_TEST_CASE(drains_a_backlog_with_one_entry_an_append)
{
  for (const std::uint64_t seed : { 622, 974 }) {
    ExplorerOptions options;
    options.seed_ = seed;
    options.members_ = 5;
    options.makeModel_ = [] { return std::make_unique<ClaimModel>(true); };
    BOOST_TEST(Explore(options).violation_.value_or("") == "");
  }
}

// Guards against a history check that notices no second run.
BOOST_AUTO_TEST_CASE(runs_a_key_twice_without_claim_before_call)
{
  BOOST_TEST(FirstFault([] { return std::make_unique<ClaimModel>(false); },
                        kSearchSeeds) != "");
}

// Guards against settings that revert (I9), and changes with two winners.
BOOST_AUTO_TEST_CASE(keeps_settings_linearizable)
{
  BOOST_TEST(
    FirstFault([] { return std::make_unique<SettingsModel>(); }, kSeeds) == "");
}

// Guards against more replicas or memory than the log decided (I1, I2).
BOOST_AUTO_TEST_CASE(keeps_replicas_and_memory_within_the_decisions)
{
  BOOST_TEST(FirstOrderFault(state::EngineKind::Ignores, {}, kSeeds) == "");
  BOOST_TEST(FirstOrderFault(state::EngineKind::Checks, {}, kSeeds) == "");
}

// Guards against a schedule too tame to notice memory freed too early.
BOOST_AUTO_TEST_CASE(exceeds_them_when_unknown_outcomes_free_their_memory)
{
  coordination::OrderRules rules;
  rules.memoryHeldOnUnknown_ = false;
  BOOST_TEST(FirstOrderFault(state::EngineKind::Ignores, rules, kSearchSeeds) !=
             "");
}

// Guards against a schedule too tame to notice late orders of old leaders.
BOOST_AUTO_TEST_CASE(exceeds_them_without_the_lease_wait)
{
  coordination::OrderRules rules;
  rules.leaseWait_ = false;
  BOOST_TEST(FirstOrderFault(state::EngineKind::Ignores, rules, kSearchSeeds) !=
             "");
}

// Guards against a leader that doesn't know of orders that earlier leaders
// sent.
BOOST_AUTO_TEST_CASE(tells_each_leader_of_all_open_orders_to_servers)
{
  BOOST_TEST(FirstFault([] { return std::make_unique<ServerOrdersModel>(); },
                        kSeeds) == "");
}

// Guards against a schedule too tame to notice a leader that decides before it
// has applied what earlier leaders recorded.
BOOST_AUTO_TEST_CASE(tells_some_leader_too_late_without_its_own_commit)
{
  std::string fault;
  for (std::uint64_t seed = 1; seed <= kSearchSeeds && fault.empty(); ++seed) {
    ExplorerOptions options;
    options.seed_ = seed;
    options.rules_.readAfterOwnCommit_ = false;
    options.makeModel_ = [] { return std::make_unique<ServerOrdersModel>(); };
    fault = Explore(options).violation_.value_or("");
  }
  BOOST_TEST(fault.find("doesn't know of it") != std::string::npos, fault);
}

BOOST_AUTO_TEST_SUITE_END()
