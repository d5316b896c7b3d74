#define BOOST_TEST_MODULE FleetTable
#include <boost/test/unit_test.hpp>

#include "coordination/FleetTable.hpp"
#include "coordination/MemberRepair.hpp"
#include "coordination/ReportTimes.hpp"
#include "coordination/SharedRetryBudget.hpp"

#include <string>

using namespace crocusslip;
using namespace crocusslip::coordination;
using namespace std::chrono_literals;

namespace {

constexpr core::MonotonicTime kStart{ 1h };
const core::HostId kFirstHost("h1");
const core::HostId kSecondHost("h2");

ListedServer
Listed(const std::string& aId, BackendState aState = BackendState::Ready)
{
  ListedServer server;
  server.server_ = core::ServerId(aId);
  server.address_ = "10.0.0.1:80";
  server.service_ = ServiceName("desk");
  server.slots_ = 6;
  server.state_ = aState;
  return server;
}

std::map<core::ServerId, HostUsage>
UsageOf(const std::string& aId, std::uint32_t aInFlight)
{
  std::map<core::ServerId, HostUsage> uses;
  uses[core::ServerId(aId)].inFlight_ = aInFlight;
  return uses;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerList)

BOOST_AUTO_TEST_CASE(SendsHostsOnlyChangedRows)
{
  FleetTable table;
  table.OnList({ Listed("s1"), Listed("s2") }, kStart);
  BOOST_TEST(table.RowsFor(kFirstHost, 0).size() == 2U);
  const std::uint64_t seen = table.Version();
  table.OnList({ Listed("s1"), Listed("s2") }, kStart + 1s);
  BOOST_TEST(table.RowsFor(kFirstHost, seen).empty());
  table.OnList({ Listed("s1", BackendState::Leaving), Listed("s2") },
               kStart + 2s);
  const auto rows = table.RowsFor(kFirstHost, seen);
  BOOST_REQUIRE(rows.size() == 1U);
  BOOST_TEST((rows[0].state_ == BackendState::Leaving));
}

BOOST_AUTO_TEST_CASE(MarksAMissingServerGone)
{
  FleetTable table;
  table.OnList({ Listed("s1"), Listed("s2") }, kStart);
  const std::uint64_t seen = table.Version();
  table.OnList({ Listed("s2") }, kStart + 1s);
  const auto rows = table.RowsFor(kFirstHost, seen);
  BOOST_REQUIRE(rows.size() == 1U);
  BOOST_TEST((rows[0].state_ == BackendState::Gone));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ServerSpeed)

// Each run takes a constant 60 ms plus the time for its prompt tokens; only the
// latter may count as time per token.
BOOST_AUTO_TEST_CASE(IsSeparatedFromTheConstantTimePerRun)
{
  FleetTable table;
  table.OnList({ Listed("fast"), Listed("slow") }, kStart);
  const std::map<std::string, double> microsPerToken = { { "fast", 50 },
                                                         { "slow", 100 } };
  for (int step = 0; step < 100; ++step) {
    std::map<core::ServerId, HostUsage> uses;
    for (const auto& [name, micros] : microsPerToken) {
      const double tokens = 300 + 40.0 * (step % 50);
      const double time = 60'000 + micros * tokens;
      uses[core::ServerId(name)].prompts_ = {
        1, tokens, time, tokens * tokens, tokens * time
      };
    }
    table.OnUsage(kFirstHost, uses, kStart + step * 100ms);
  }
  const BackendRow& fast = table.Rows().at(core::ServerId("fast")).row_;
  const BackendRow& slow = table.Rows().at(core::ServerId("slow")).row_;
  BOOST_TEST(slow.slowness_ > fast.slowness_);
  BOOST_TEST(fast.tokenTime_.count() > 40'000);
  BOOST_TEST(fast.tokenTime_.count() < 65'000);
  BOOST_TEST(slow.tokenTime_.count() > 85'000);
  BOOST_TEST(slow.tokenTime_.count() < 115'000);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RowsForHosts)

BOOST_AUTO_TEST_CASE(LeaveOutFactsThatTheHostHas)
{
  FleetTable table;
  table.OnList({ Listed("s1") }, kStart);
  table.SetModels(core::ServerId("s1"), { core::ModelName("m1") });
  const std::uint64_t seen = table.Version();
  table.OnUsage(kSecondHost, UsageOf("s1", 7), kStart);
  const auto rows = table.RowsFor(kFirstHost, seen);
  BOOST_REQUIRE(rows.size() == 1U);
  BOOST_TEST(rows[0].loadOnly_);
  BOOST_TEST(rows[0].models_.empty());
  BOOST_TEST(rows[0].othersInFlight_ == 7U);
  BOOST_TEST(!table.RowsFor(kFirstHost, 0)[0].loadOnly_);
}

// A host that was answered "no such model" has dropped the model.
BOOST_AUTO_TEST_CASE(AreWholeAgainOnceAHostFoundThemWrong)
{
  FleetTable table;
  table.OnList({ Listed("s1") }, kStart);
  const std::uint64_t seen = table.Version();
  table.Republish(core::ServerId("s1"));
  const auto rows = table.RowsFor(kFirstHost, seen);
  BOOST_REQUIRE(rows.size() == 1U);
  BOOST_TEST(!rows[0].loadOnly_);
}

BOOST_AUTO_TEST_SUITE_END()

/// The load: 300 hosts, of which two wait for a model, and some 50 changes of
/// loaded models a second.
BOOST_AUTO_TEST_SUITE(NoticesToManyHosts)

BOOST_AUTO_TEST_CASE(GoOnlyToThoseThatWaitForTheModel)
{
  FleetTable table;
  table.OnList({ Listed("s1") }, kStart);
  std::map<core::ModelName, ModelDemand> waits;
  waits[core::ModelName("m1")].waiting_ = 1;
  constexpr int kHosts = 300;
  for (int i = 0; i < kHosts; ++i) {
    const core::HostId host("h" + std::to_string(i));
    table.OnUsage(host, {}, kStart);
    table.OnDemand(host, i < 2 ? waits : decltype(waits){}, kStart);
  }
  const std::uint64_t sent = table.UrgentVersion();
  const auto notified = [&] {
    int count = 0;
    for (int i = 0; i < kHosts; ++i) {
      count += table.MustNotify(core::HostId("h" + std::to_string(i)), sent);
    }
    return count;
  };
  table.SetModels(core::ServerId("s1"), { core::ModelName("other") });
  BOOST_TEST(notified() == 0);
  table.SetModels(core::ServerId("s1"), { core::ModelName("m1") });
  BOOST_TEST(notified() == 2);
}

BOOST_AUTO_TEST_CASE(GoToAllOfFewHosts)
{
  FleetTable table;
  table.OnUsage(kFirstHost, {}, kStart);
  const std::uint64_t sent = table.UrgentVersion();
  table.OnList({ Listed("s1") }, kStart);
  BOOST_TEST(table.MustNotify(kFirstHost, sent));
  BOOST_TEST(!table.MustNotify(kFirstHost, table.UrgentVersion()));
}

BOOST_AUTO_TEST_CASE(KeepTheReportsOfAllHostsBounded)
{
  constexpr double kMaxReportsPerSecond = 700;
  for (const std::uint32_t hosts : { 1U, 9U, 70U, 295U }) {
    const ReportTimes idle = ReportTimesFor(hosts, false);
    const std::chrono::duration<double> cycle = idle.hold_ + idle.pause_;
    BOOST_TEST(hosts / cycle.count() < kMaxReportsPerSecond);
    // A leaving server and a new configuration are known in time.
    BOOST_TEST((idle.hold_ + idle.pause_ < 1s));
  }
}

BOOST_AUTO_TEST_CASE(HoldNoCallOfAHostOfManyWithoutWaitingRequests)
{
  BOOST_TEST((ReportTimesFor(295, false).hold_ == 0ms));
  BOOST_TEST((ReportTimesFor(295, true).hold_ > 0ms));
  BOOST_TEST((ReportTimesFor(295, false).minPause_ < 200ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FleetLoad)

BOOST_AUTO_TEST_CASE(ExcludesTheReceivingHostsOwnRequests)
{
  FleetTable table;
  table.OnList({ Listed("s1") }, kStart);
  table.OnUsage(kFirstHost, UsageOf("s1", 5), kStart);
  table.OnUsage(kSecondHost, UsageOf("s1", 7), kStart);
  BOOST_TEST(table.RowsFor(kFirstHost, 0)[0].othersInFlight_ == 7U);
  BOOST_TEST(table.RowsFor(kSecondHost, 0)[0].othersInFlight_ == 5U);
}

BOOST_AUTO_TEST_CASE(ExcludesHostsThatStoppedReporting)
{
  FleetTable table;
  table.OnList({ Listed("s1") }, kStart);
  table.OnUsage(kFirstHost, UsageOf("s1", 5), kStart);
  table.OnUsage(kSecondHost, UsageOf("s1", 7), kStart + 3s);
  table.Expire(kStart + 4s);
  BOOST_TEST(table.HostCount() == 1U);
  BOOST_TEST(table.RowsFor(kFirstHost, 0)[0].othersInFlight_ == 7U);
}

BOOST_AUTO_TEST_CASE(CountsArrivalsOnce)
{
  FleetTable table;
  const core::ModelName model("m1");
  std::map<core::ModelName, ModelDemand> demand;
  demand[model].arrivals_ = 3;
  demand[model].waiting_ = 2;
  table.OnDemand(kFirstHost, demand, kStart);
  table.OnDemand(kFirstHost, demand, kStart);
  const auto first = table.TakeDemand();
  BOOST_TEST(first.at(model).arrivals_ == 6U);
  BOOST_TEST(first.at(model).waiting_ == 2U);
  BOOST_TEST(table.TakeDemand().at(model).arrivals_ == 0U);
}

BOOST_AUTO_TEST_CASE(MarksAServerSuspectOnlyWhenSeveralHostsSeeFailures)
{
  FleetTable table;
  table.OnList({ Listed("s1") }, kStart);
  auto failing = UsageOf("s1", 0);
  failing[core::ServerId("s1")].failures_ = 5;
  table.OnUsage(kFirstHost, failing, kStart);
  BOOST_TEST(!table.RowsFor(kFirstHost, 0)[0].suspect_);
  table.OnUsage(kSecondHost, failing, kStart);
  BOOST_TEST(table.RowsFor(kFirstHost, 0)[0].suspect_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RetriesAcrossHosts)

BOOST_AUTO_TEST_CASE(StayWithinTheSharedBound)
{
  RetryBound bound;
  bound.ratio_ = 0.2;
  bound.extra_ = 40;
  std::vector<SharedRetryBudget> hosts(8, SharedRetryBudget(bound));
  std::uint32_t taken = 0;
  std::uint32_t requests = 0;
  for (int step = 0; step < 100; ++step) {
    for (SharedRetryBudget& host : hosts) {
      host.SetHosts(8);
      host.OnRequest(kStart + step * 100ms);
      ++requests;
      for (int i = 0; i < 3; ++i) {
        taken += host.TryTake(kStart + step * 100ms) ? 1 : 0;
      }
    }
  }
  BOOST_TEST(taken <= 0.2 * requests + 40);
  BOOST_TEST(taken > 0U);
}

BOOST_AUTO_TEST_CASE(BecomeAvailableAgainWithTime)
{
  SharedRetryBudget budget({ 0.0, 10, 10s });
  budget.SetHosts(1);
  int taken = 0;
  while (budget.TryTake(kStart)) {
    ++taken;
  }
  // A host uses only kUsedShare of the 10 in the budget.
  BOOST_TEST(taken == 7);
  BOOST_TEST(!budget.TryTake(kStart + 9s));
  BOOST_TEST(budget.TryTake(kStart + 12s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(MemberRepair)

namespace {

struct Group
{
  state::GroupMembers members_;
  std::map<core::MemberId, MemberContact> contacts_;

  void Add(std::uint32_t aId, state::MemberRole aRole, core::Duration aSilence)
  {
    const core::MemberId id(aId);
    members_.members_.push_back({ id, "", {}, aRole, "" });
    members_.highestId_ = id;
    contacts_[id] = { kStart - aSilence, core::LogIndex(100) };
  }

  std::optional<state::MemberChange> Next() const
  {
    return NextMemberChange(
      members_, core::MemberId(1), core::LogIndex(100), contacts_, {}, kStart);
  }
};

constexpr auto kVoter = state::MemberRole::Voter;
constexpr auto kLearner = state::MemberRole::Learner;

} // namespace

BOOST_AUTO_TEST_CASE(PromotesLearnersWhileThereAreFewerThanFiveVoters)
{
  Group group;
  group.Add(1, kVoter, 0s);
  group.Add(2, kVoter, 0s);
  group.Add(3, kVoter, 0s);
  group.Add(4, kLearner, 0s);
  const auto change = group.Next();
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST((change->kind_ == state::MemberChangeKind::Promote));
  BOOST_TEST(change->member_.id_.Value() == 4U);
}

BOOST_AUTO_TEST_CASE(KeepsAnUnreachableVoterWithoutReplacement)
{
  Group group;
  group.Add(1, kVoter, 0s);
  group.Add(2, kVoter, 0s);
  group.Add(3, kVoter, 60s);
  BOOST_TEST(!group.Next().has_value());
}

BOOST_AUTO_TEST_CASE(RemovesAnUnreachableVoterThatALearnerCanReplace)
{
  Group group;
  group.Add(1, kVoter, 0s);
  group.Add(2, kVoter, 0s);
  group.Add(3, kVoter, 0s);
  group.Add(4, kVoter, 0s);
  group.Add(5, kVoter, 5s);
  group.Add(6, kLearner, 0s);
  const auto change = group.Next();
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST((change->kind_ == state::MemberChangeKind::Remove));
  BOOST_TEST(change->member_.id_.Value() == 5U);
}

BOOST_AUTO_TEST_CASE(KeepsUnreachableVotersWithoutALiveMajority)
{
  Group group;
  group.Add(1, kVoter, 0s);
  group.Add(2, kVoter, 0s);
  group.Add(3, kVoter, 9s);
  group.Add(4, kVoter, 9s);
  group.Add(5, kVoter, 9s);
  group.Add(6, kLearner, 0s);
  BOOST_TEST(!group.Next().has_value());
}

BOOST_AUTO_TEST_CASE(RemovesALearnerWithoutContact)
{
  Group group;
  group.Add(1, kVoter, 0s);
  group.Add(2, kLearner, 30s);
  const auto change = group.Next();
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST((change->kind_ == state::MemberChangeKind::Remove));
}

BOOST_AUTO_TEST_SUITE_END()
