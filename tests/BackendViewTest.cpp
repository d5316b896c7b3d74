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

  BackendRequirements Need(const std::string& aModel = "") const
  {
    BackendRequirements need;
    need.service_ = kService;
    need.model_ = core::ModelName(aModel);
    return need;
  }

  static BackendRequirements Tokens(std::uint64_t aTokens)
  {
    BackendRequirements need;
    need.tokens_ = aTokens;
    return need;
  }

  BackendChoice Choose(const BackendRequirements& aNeed)
  {
    return view_.Choose(aNeed, now_, random_);
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

BOOST_FIXTURE_TEST_CASE(TakesOnlyServersOfTheServiceThatAreReady, Fixture)
{
  BackendRow leaving = Row("s1");
  leaving.state_ = BackendState::Leaving;
  view_.Update(leaving);
  BackendRow other = Row("s2");
  other.service_ = ServiceName("writer");
  view_.Update(other);
  BOOST_TEST((Choose(Need()).status_ == BackendChoiceStatus::NoServer));
  view_.Update(Row("s3"));
  BOOST_TEST(Choose(Need()).server_.Value() == "s3");
}

BOOST_FIXTURE_TEST_CASE(SpreadsOverPlacesOfAllHosts, Fixture)
{
  BackendRow busy = Row("s1");
  busy.othersInFlight_ = 3;
  view_.Update(busy);
  view_.Update(Row("s2"));
  std::uint32_t given = 0;
  while (true) {
    const BackendChoice choice = Choose(Need());
    if (choice.status_ != BackendChoiceStatus::Found) {
      BOOST_TEST((choice.status_ == BackendChoiceStatus::Full));
      break;
    }
    view_.OnStart(choice.server_, {});
    ++given;
  }
  BOOST_TEST(given == 5U);
}

BOOST_FIXTURE_TEST_CASE(FindsTheModel, Fixture)
{
  BackendRow row = Row("s1", 64);
  row.memoryTokens_ = 1000;
  row.models_ = { core::ModelName("m1") };
  view_.Update(row);
  BOOST_TEST((Choose(Need("m2")).status_ == BackendChoiceStatus::NoModel));
  BOOST_TEST((Choose(Need("m1")).status_ == BackendChoiceStatus::Found));
  view_.OnModelMissing(core::ServerId("s1"), core::ModelName("m1"));
  BOOST_TEST((Choose(Need("m1")).status_ == BackendChoiceStatus::NoModel));
}

BOOST_FIXTURE_TEST_CASE(DoesNotOverfillTokenMemory, Fixture)
{
  BackendRow row = Row("s1", 64);
  row.memoryTokens_ = 1000;
  row.models_ = { core::ModelName("m1") };
  view_.Update(row);
  BackendRequirements need = Need("m1");
  need.tokens_ = 600;
  BOOST_TEST((Choose(need).status_ == BackendChoiceStatus::Found));
  view_.OnStart(core::ServerId("s1"), Tokens(600));
  BOOST_TEST((Choose(need).status_ == BackendChoiceStatus::Full));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnEngine)

// Three prompts of 1,500 tokens at 100 us each take 450 ms, in which no run on
// the server goes on; callers accept 300 ms.
BOOST_FIXTURE_TEST_CASE(ReadsNoMorePromptsAtOnceThanItsRunsCanWaitFor, Fixture)
{
  BackendRow row = Row("s1", 64);
  row.memoryTokens_ = 100'000;
  row.models_ = { core::ModelName("m1") };
  row.tokenTime_ = 100us;
  view_.Update(row);
  BackendRequirements need = Need("m1");
  need.tokens_ = 1'600;
  need.promptTokens_ = 1'500;
  need.longestPause_ = 300ms;
  BOOST_TEST((Choose(need).status_ == BackendChoiceStatus::Found));
  view_.OnStart(row.server_, need);
  BOOST_TEST((Choose(need).status_ == BackendChoiceStatus::Full));
  // One that has waited for long is no longer held back.
  need.overdue_ = true;
  BOOST_TEST((Choose(need).status_ == BackendChoiceStatus::Found));
  need.overdue_ = false;
  view_.OnPrefillDone(row.server_, need.promptTokens_);
  BOOST_TEST((Choose(need).status_ == BackendChoiceStatus::Found));
  // Prompts of other hosts count as well.
  row.othersUnreadTokens_ = 1'500;
  view_.Update(row);
  BOOST_TEST((Choose(need).status_ == BackendChoiceStatus::Full));
}

// With all places taken, the streams of all runs pause for too long; a request
// that can't be in time any more still gets one.
BOOST_FIXTURE_TEST_CASE(KeepsPlacesForThoseThatHaveWaited, Fixture)
{
  BackendRow row = Row("s1", 10);
  row.memoryTokens_ = 1000;
  row.models_ = { core::ModelName("m1") };
  row.othersInFlight_ = 4;
  view_.Update(row);
  DispatchQueue queue;
  queue.Add({ Need("m1"), 0, kStart, kStart + 10s, kStart + 1s });
  BOOST_TEST(queue.Assign(view_, kStart, random_).empty());
  BOOST_TEST(queue.Assign(view_, kStart + 1s, random_).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(IsChosenBySpeedAndLoad, Fixture)
{
  for (const char* id : { "s1", "s2" }) {
    BackendRow row = Row(id, 64);
    row.memoryTokens_ = 100000;
    row.models_ = { core::ModelName("m1") };
    row.slowness_ = std::string(id) == "s1" ? 2.0 : 0.7;
    view_.Update(row);
  }
  BOOST_TEST(Choose(Need("m1")).server_.Value() == "s2");
  for (int i = 0; i < 20; ++i) {
    view_.OnStart(core::ServerId("s2"), Tokens(10));
  }
  BOOST_TEST(Choose(Need("m1")).server_.Value() == "s1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AFailingServer)

BOOST_FIXTURE_TEST_CASE(IsLeftOutAndComesBack, Fixture)
{
  view_.Update(Row("s1"));
  view_.Update(Row("s2"));
  Fail("s1", SendOutcome::Failed, 2);
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(Choose(Need()).server_.Value() == "s2");
  }
  now_ += 10s;
  Fail("s2", SendOutcome::Failed, 2);
  BOOST_TEST(Choose(Need()).server_.Value() == "s1");
}

// A common cause, such as a broken zone link, must not stop the service.
BOOST_FIXTURE_TEST_CASE(IsUsedWhenAllFail, Fixture)
{
  view_.Update(Row("s1"));
  view_.Update(Row("s2"));
  Fail("s1", SendOutcome::Unreachable);
  Fail("s2", SendOutcome::Unreachable);
  BOOST_TEST((Choose(Need()).status_ == BackendChoiceStatus::Found));
}

BOOST_FIXTURE_TEST_CASE(KeepsItsCountsWhenItsRowChanges, Fixture)
{
  view_.Update(Row("s1", 1));
  view_.OnStart(core::ServerId("s1"), {});
  view_.Update(Row("s1", 1));
  BOOST_TEST((Choose(Need()).status_ == BackendChoiceStatus::Full));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WaitingRequests)

BOOST_FIXTURE_TEST_CASE(GetPlacesByUrgencyThenByAge, Fixture)
{
  view_.Update(Row("s1", 2));
  DispatchQueue queue;
  queue.Add({ Need(), 2, kStart, kStart + 10s });
  const auto urgentLate = queue.Add({ Need(), 0, kStart + 2s, kStart + 10s });
  const auto urgentEarly = queue.Add({ Need(), 0, kStart + 1s, kStart + 10s });
  const auto grants = queue.Assign(view_, now_, random_);
  BOOST_REQUIRE(grants.size() == 2U);
  BOOST_TEST(grants[0].id_ == urgentEarly);
  BOOST_TEST(grants[1].id_ == urgentLate);
  BOOST_TEST(queue.Size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(DoNotHoldUpThoseForOtherModels, Fixture)
{
  BackendRow row = Row("s1", 64);
  row.memoryTokens_ = 1000;
  row.models_ = { core::ModelName("m1") };
  view_.Update(row);
  DispatchQueue queue;
  queue.Add({ Need("m2"), 0, kStart, kStart + 10s });
  const auto other = queue.Add({ Need("m1"), 5, kStart, kStart + 10s });
  const auto grants = queue.Assign(view_, now_, random_);
  BOOST_REQUIRE(grants.size() == 1U);
  BOOST_TEST(grants[0].id_ == other);
}

BOOST_AUTO_TEST_SUITE_END()
