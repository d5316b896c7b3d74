#define BOOST_TEST_MODULE BackendView
#include <boost/test/unit_test.hpp>

#include "coordination/BackendView.hpp"
#include "coordination/DispatchQueue.hpp"

#include <string>

using namespace crocusslip;
using namespace crocusslip::coordination;
using namespace std::chrono_literals;

namespace {

constexpr core::MonotonicTime kStart{ 1h };
const ServiceName kService("desk");

struct Fixture
{
  BackendView view_{ core::FailureDomainId("a") };
  core::Random random_{ 5 };
  core::MonotonicTime now_ = kStart;

  BackendRow Row(const std::string& aId, std::uint32_t aSlots = 4) const
  {
    BackendRow row;
    row.server_ = core::ServerId(aId);
    row.address_ = "10.0.0.1:80";
    row.service_ = kService;
    row.failureDomain_ = core::FailureDomainId("a");
    row.slots_ = aSlots;
    return row;
  }

  BackendRequirements Requirements(const std::string& aModel = "") const
  {
    BackendRequirements requirements;
    requirements.service_ = kService;
    requirements.model_ = core::ModelName(aModel);
    return requirements;
  }

  static BackendRequirements Tokens(std::uint64_t aTokens)
  {
    BackendRequirements requirements;
    requirements.tokens_ = aTokens;
    return requirements;
  }

  BackendChoice Choose(const BackendRequirements& aRequirements)
  {
    return view_.Choose(aRequirements, now_, random_);
  }

  void Fail(const std::string& aId, SendOutcome aOutcome, int aTimes = 1)
  {
    for (int i = 0; i < aTimes; ++i) {
      view_.OnStart(core::ServerId(aId), {});
      view_.OnFinish(core::ServerId(aId), 0, aOutcome, now_);
    }
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(AChoice)

BOOST_FIXTURE_TEST_CASE(ConsidersOnlyReadyServersOfTheService, Fixture)
{
  BackendRow leaving = Row("s1");
  leaving.state_ = BackendState::Leaving;
  view_.Update(leaving);
  BackendRow other = Row("s2");
  other.service_ = ServiceName("writer");
  view_.Update(other);
  BOOST_TEST((Choose(Requirements()).status_ == BackendChoiceStatus::NoServer));
  view_.Update(Row("s3"));
  BOOST_TEST(Choose(Requirements()).server_.Value() == "s3");
}

BOOST_FIXTURE_TEST_CASE(CountsTheRequestsOfOtherHostsAgainstTheSlots, Fixture)
{
  BackendRow busy = Row("s1");
  busy.othersInFlight_ = 3;
  view_.Update(busy);
  view_.Update(Row("s2"));
  std::uint32_t given = 0;
  while (true) {
    const BackendChoice choice = Choose(Requirements());
    if (choice.status_ != BackendChoiceStatus::Found) {
      BOOST_TEST((choice.status_ == BackendChoiceStatus::Full));
      break;
    }
    view_.OnStart(choice.server_, {});
    ++given;
  }
  BOOST_TEST(given == 5U);
}

BOOST_FIXTURE_TEST_CASE(NeedsAServerThatHasTheModel, Fixture)
{
  BackendRow row = Row("s1", 64);
  row.memoryTokens_ = 1000;
  row.models_ = { core::ModelName("m1") };
  view_.Update(row);
  BOOST_TEST(
    (Choose(Requirements("m2")).status_ == BackendChoiceStatus::NoModel));
  BOOST_TEST(
    (Choose(Requirements("m1")).status_ == BackendChoiceStatus::Found));
  view_.OnModelMissing(core::ServerId("s1"), core::ModelName("m1"));
  BOOST_TEST(
    (Choose(Requirements("m1")).status_ == BackendChoiceStatus::NoModel));
}

BOOST_FIXTURE_TEST_CASE(KeepsTheFactsOfARowWhenOnlyItsLoadChanges, Fixture)
{
  BackendRow row = Row("s1");
  row.models_ = { core::ModelName("m1") };
  view_.Update(row);
  BackendRow load;
  load.server_ = row.server_;
  load.loadOnly_ = true;
  load.othersInFlight_ = 3;
  view_.Update(load);
  BOOST_TEST(view_.Find(row.server_)->address_ == row.address_);
  BOOST_TEST(view_.Find(row.server_)->models_.size() == 1U);
  BOOST_TEST(view_.LoadOf(row.server_) == 3U);
  load.server_ = core::ServerId("unknown");
  view_.Update(load);
  BOOST_TEST(view_.Size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(IsRefusedWhenTheTokenMemoryWouldOverflow, Fixture)
{
  BackendRow row = Row("s1", 64);
  row.memoryTokens_ = 1000;
  row.models_ = { core::ModelName("m1") };
  view_.Update(row);
  BackendRequirements requirements = Requirements("m1");
  requirements.tokens_ = 600;
  BOOST_TEST((Choose(requirements).status_ == BackendChoiceStatus::Found));
  view_.OnStart(core::ServerId("s1"), Tokens(600));
  BOOST_TEST((Choose(requirements).status_ == BackendChoiceStatus::Full));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnEngine)

// Two prompts of 1,500 tokens at 100 us per token take 300 ms of prefill, which
// stalls all runs on the server; prefill may take 80% of the accepted pause of
// 300 ms.
BOOST_FIXTURE_TEST_CASE(LimitsConcurrentPrefillByTheLongestAcceptedPause,
                        Fixture)
{
  BackendRow row = Row("s1", 64);
  row.memoryTokens_ = 100'000;
  row.models_ = { core::ModelName("m1") };
  row.tokenTime_ = 100us;
  view_.Update(row);
  BackendRequirements requirements = Requirements("m1");
  requirements.tokens_ = 1'600;
  requirements.promptTokens_ = 1'500;
  requirements.longestPause_ = 300ms;
  BOOST_TEST((Choose(requirements).status_ == BackendChoiceStatus::Found));
  view_.OnStart(row.server_, requirements);
  BOOST_TEST((Choose(requirements).status_ == BackendChoiceStatus::Full));
  // The limit does not apply to an overdue request.
  requirements.overdue_ = true;
  BOOST_TEST((Choose(requirements).status_ == BackendChoiceStatus::Found));
  requirements.overdue_ = false;
  view_.OnPrefillDone(row.server_, requirements.promptTokens_);
  BOOST_TEST((Choose(requirements).status_ == BackendChoiceStatus::Found));
  // Prefill for other hosts counts as well.
  row.othersPrefillTokens_ = 1'500;
  view_.Update(row);
  BOOST_TEST((Choose(requirements).status_ == BackendChoiceStatus::Full));
}

// With all slots in use, the streams of all runs pause for too long, so some
// are kept free; a request that can no longer meet its latency target may use
// one of these.
BOOST_FIXTURE_TEST_CASE(KeepsSlotsForOverdueRequests, Fixture)
{
  BackendRow row = Row("s1", 10);
  row.memoryTokens_ = 1000;
  row.models_ = { core::ModelName("m1") };
  row.othersInFlight_ = 4;
  view_.Update(row);
  DispatchQueue queue;
  queue.Add({ Requirements("m1"), 0, kStart, kStart + 10s, kStart + 1s });
  BOOST_TEST(queue.Assign(view_, kStart, random_).empty());
  BOOST_TEST(queue.Assign(view_, kStart + 1s, random_).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(IsChosenByItsSpeedAndLoad, Fixture)
{
  for (const char* id : { "s1", "s2" }) {
    BackendRow row = Row(id, 64);
    row.memoryTokens_ = 100000;
    row.models_ = { core::ModelName("m1") };
    row.slowness_ = std::string(id) == "s1" ? 2.0 : 0.7;
    view_.Update(row);
  }
  BOOST_TEST(Choose(Requirements("m1")).server_.Value() == "s2");
  for (int i = 0; i < 20; ++i) {
    view_.OnStart(core::ServerId("s2"), Tokens(10));
  }
  BOOST_TEST(Choose(Requirements("m1")).server_.Value() == "s1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AFailingServer)

BOOST_FIXTURE_TEST_CASE(IsEjectedForALimitedTime, Fixture)
{
  view_.Update(Row("s1"));
  view_.Update(Row("s2"));
  Fail("s1", SendOutcome::Failed, 2);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(Choose(Requirements()).server_.Value() == "s2");
  }
  now_ += 10s;
  Fail("s2", SendOutcome::Failed, 2);
  BOOST_TEST(Choose(Requirements()).server_.Value() == "s1");
}

// A common cause, such as a broken zone link, must not stop the service.
BOOST_FIXTURE_TEST_CASE(IsUsedWhenAllServersAreEjected, Fixture)
{
  view_.Update(Row("s1"));
  view_.Update(Row("s2"));
  Fail("s1", SendOutcome::Unreachable);
  Fail("s2", SendOutcome::Unreachable);
  BOOST_TEST((Choose(Requirements()).status_ == BackendChoiceStatus::Found));
}

// No server fails here: an update of the row keeps the host's own counts.
BOOST_FIXTURE_TEST_CASE(KeepsItsRequestsInFlightWhenItsRowIsUpdated, Fixture)
{
  view_.Update(Row("s1", 1));
  view_.OnStart(core::ServerId("s1"), {});
  view_.Update(Row("s1", 1));
  BOOST_TEST((Choose(Requirements()).status_ == BackendChoiceStatus::Full));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WaitingRequests)

BOOST_FIXTURE_TEST_CASE(AreServedByPriorityThenByAge, Fixture)
{
  view_.Update(Row("s1", 2));
  DispatchQueue queue;
  queue.Add({ Requirements(), 2, kStart, kStart + 10s });
  const auto urgentLate =
    queue.Add({ Requirements(), 0, kStart + 2s, kStart + 10s });
  const auto urgentEarly =
    queue.Add({ Requirements(), 0, kStart + 1s, kStart + 10s });
  const auto grants = queue.Assign(view_, now_, random_);
  BOOST_REQUIRE(grants.size() == 2U);
  BOOST_TEST(grants[0].id_ == urgentEarly);
  BOOST_TEST(grants[1].id_ == urgentLate);
  BOOST_TEST(queue.Size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(DoNotBlockRequestsForOtherModels, Fixture)
{
  BackendRow row = Row("s1", 64);
  row.memoryTokens_ = 1000;
  row.models_ = { core::ModelName("m1") };
  view_.Update(row);
  DispatchQueue queue;
  queue.Add({ Requirements("m2"), 0, kStart, kStart + 10s });
  const auto other = queue.Add({ Requirements("m1"), 5, kStart, kStart + 10s });
  const auto grants = queue.Assign(view_, now_, random_);
  BOOST_REQUIRE(grants.size() == 1U);
  BOOST_TEST(grants[0].id_ == other);
}

BOOST_AUTO_TEST_SUITE_END()
