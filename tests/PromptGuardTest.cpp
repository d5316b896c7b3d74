#define BOOST_TEST_MODULE PromptGuard
#include <boost/test/unit_test.hpp>

#include "coordination/PromptGuard.hpp"

#include <string>

using namespace crocusslip;
using namespace crocusslip::coordination;
using namespace std::chrono_literals;

namespace {

constexpr PromptPart kDeadly = 1;
constexpr PromptPart kShared = 2;

struct Fixture
{
  PromptGuard guard_{ PromptGuardSettings{} };
  core::MonotonicTime now_ = core::MonotonicTime(1h);
  std::uint64_t requests_ = 0;

  void Crash(std::vector<PromptPart> aParts)
  {
    ++requests_;
    guard_.OnCrash({ { requests_, requests_ },
                     core::ServerId("s" + std::to_string(requests_)),
                     std::move(aParts),
                     now_ },
                   now_);
  }
  /// Crashes of different servers, a second apart.
  void Crashes(int aCount, const std::vector<PromptPart>& aParts)
  {
    for (int i = 0; i < aCount; ++i) {
      Crash(aParts);
      now_ += 1s;
    }
  }
  void OthersStart(std::uint32_t aRequests = 20)
  {
    guard_.OnStarted({}, aRequests, now_);
  }
  void Start(PromptPart aPart)
  {
    guard_.OnStarted(std::vector<PromptPart>{ aPart }, 1, now_);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TheSharedPartsOfAPrompt)

BOOST_AUTO_TEST_CASE(AreAllButTheLast)
{
  BOOST_TEST(SharedPartsOf("5c1e07a2:800,91bd3f06:410,e4402b7d:250").size() ==
             2U);
  BOOST_TEST(SharedPartsOf("5c1e07a2:800").empty());
  BOOST_TEST(SharedPartsOf("").empty());
}

BOOST_AUTO_TEST_CASE(AreKnownByTheirNamesWhateverTheirLengths)
{
  BOOST_TEST(SharedPartsOf("a:1,x:1") == SharedPartsOf("a:2,y:1"));
  BOOST_TEST(SharedPartsOf("a:1,x:1") != SharedPartsOf("b:1,x:1"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(APartOfPrompts, Fixture)

BOOST_AUTO_TEST_CASE(IsHeldAfterThreeCrashesWhileOthersBegin)
{
  Crashes(2, { kDeadly });
  OthersStart();
  BOOST_TEST(guard_.Decide(now_).empty());
  Crashes(1, { kDeadly });
  OthersStart();
  BOOST_TEST(guard_.Decide(now_) == std::vector{ kDeadly });
  BOOST_TEST(guard_.IsHeld(kDeadly));
  BOOST_TEST(guard_.Decide(now_).empty());
}

BOOST_AUTO_TEST_CASE(IsHeldWhileCrashesGoOn)
{
  for (int i = 0; i < 10; ++i) {
    Crash({ kDeadly, kShared });
    now_ += 150ms;
    Start(kShared);
    OthersStart(5);
    guard_.Decide(now_);
  }
  BOOST_TEST(guard_.Held() == std::vector{ kDeadly });
}

BOOST_AUTO_TEST_CASE(IsNotHeldWhenItBeginsElsewhere)
{
  for (int i = 0; i < 20; ++i) {
    Crashes(2, { kShared });
    Start(kShared);
    OthersStart();
    guard_.Decide(now_);
  }
  BOOST_TEST(guard_.Held().empty());
}

BOOST_AUTO_TEST_CASE(IsNotHeldAfterManyServersFailAtOnce)
{
  for (int i = 0; i < 15; ++i) {
    Crash({ kShared });
    now_ += 2ms;
  }
  now_ += 1s;
  OthersStart(100);
  BOOST_TEST(guard_.Decide(now_).empty());
}

BOOST_AUTO_TEST_CASE(IsNotHeldWhileNothingBegins)
{
  Crashes(10, { kShared });
  BOOST_TEST(guard_.Decide(now_).empty());
}

BOOST_AUTO_TEST_CASE(IsHeldAfterMoreCrashesWhenFewServersAreLeft)
{
  Crashes(4, { kDeadly });
  OthersStart(6);
  BOOST_TEST(guard_.Decide(now_).empty());
  Crashes(2, { kDeadly });
  BOOST_TEST(guard_.Decide(now_) == std::vector{ kDeadly });
}

BOOST_AUTO_TEST_CASE(IsNotHeldWhileHardlyAnythingBegins)
{
  Crashes(10, { kShared });
  OthersStart(1);
  BOOST_TEST(guard_.Decide(now_).empty());
}

BOOST_AUTO_TEST_CASE(IsNotHeldForOneRepeatedRequest)
{
  for (int i = 0; i < 10; ++i) {
    guard_.OnCrash(
      { { 7, 7 }, core::ServerId("s" + std::to_string(i)), { kShared }, now_ },
      now_);
    now_ += 1s;
  }
  OthersStart();
  BOOST_TEST(guard_.Decide(now_).empty());
}

BOOST_AUTO_TEST_CASE(IsNotHeldForCrashesOfOneServer)
{
  for (std::uint64_t i = 1; i <= 10; ++i) {
    guard_.OnCrash({ { i, i }, core::ServerId("s1"), { kShared }, now_ }, now_);
    now_ += 1s;
  }
  OthersStart();
  now_ += 1s;
  BOOST_TEST(guard_.Decide(now_).empty());
}

BOOST_AUTO_TEST_CASE(IsNotHeldForOneCrashThatIsReportedAgain)
{
  const core::MonotonicTime at = now_;
  for (int i = 0; i < 5; ++i) {
    // The age of a report does not count the time of its call.
    guard_.OnCrash({ { 1, 1 }, core::ServerId("s1"), { kShared }, at }, now_);
    guard_.OnCrash(
      { { 2, 2 }, core::ServerId("s2"), { kShared }, at + i * 5ms }, now_);
    now_ += 1s;
  }
  OthersStart();
  now_ += 1s;
  BOOST_TEST(guard_.Decide(now_).empty());
}

BOOST_AUTO_TEST_CASE(IsNotHeldForLateReportsOfCrashesBeforeItBegan)
{
  const core::MonotonicTime before = now_;
  now_ += 8s;
  Start(kShared);
  now_ += 1s;
  for (std::uint64_t i = 1; i <= 3; ++i) {
    guard_.OnCrash({ { i, i },
                     core::ServerId("s" + std::to_string(i)),
                     { kShared },
                     before + i * 1s },
                   now_);
  }
  OthersStart();
  now_ += 2s;
  BOOST_TEST(guard_.Decide(now_).empty());
}

BOOST_AUTO_TEST_CASE(IsHeldWhenItsCrashesAreReportedNewestFirst)
{
  const core::MonotonicTime newest = now_;
  for (std::uint64_t i = 1; i <= 3; ++i) {
    guard_.OnCrash({ { i, i },
                     core::ServerId("s" + std::to_string(i)),
                     { kDeadly },
                     newest - i * 1s },
                   now_);
  }
  OthersStart();
  now_ += 1s;
  BOOST_TEST(guard_.Decide(now_) == std::vector{ kDeadly });
}

BOOST_AUTO_TEST_CASE(IsNotHeldBeforeAllHostsHaveReported)
{
  Crashes(3, { kShared });
  OthersStart();
  now_ -= 400ms;
  BOOST_TEST(guard_.Decide(now_).empty());
  Start(kShared);
  now_ += 1s;
  BOOST_TEST(guard_.Decide(now_).empty());
}

BOOST_AUTO_TEST_CASE(IsNotTakenFromAnEarlierLeaderOnceItHasBegun)
{
  const std::vector<PromptPart> held = { kShared };
  Start(kShared);
  guard_.Adopt(held, now_);
  BOOST_TEST(guard_.Held().empty());
}

BOOST_AUTO_TEST_CASE(IsReleasedWhenItBeginsAfterAll)
{
  Crashes(3, { kDeadly });
  OthersStart();
  guard_.Decide(now_);
  Start(kDeadly);
  BOOST_TEST(guard_.Held().empty());
}

BOOST_AUTO_TEST_CASE(IsReleasedTenMinutesAfterItsLastCrash)
{
  Crashes(3, { kDeadly });
  OthersStart();
  guard_.Decide(now_);
  now_ += 9min;
  Crash({ kDeadly });
  now_ += 9min;
  guard_.Decide(now_);
  BOOST_TEST(guard_.IsHeld(kDeadly));
  now_ += 1min;
  guard_.Decide(now_);
  BOOST_TEST(guard_.Held().empty());
}

BOOST_AUTO_TEST_CASE(StaysHeldUnderANewLeader)
{
  const std::vector<PromptPart> held = { kDeadly };
  guard_.Adopt(held, now_);
  guard_.Decide(now_ + 9min);
  BOOST_TEST(guard_.Held() == held);
}

BOOST_AUTO_TEST_CASE(IsForgottenAMinuteAfterItsLastCrash)
{
  Crashes(2, { kDeadly });
  now_ += 1min;
  guard_.Decide(now_);
  Crashes(1, { kDeadly });
  OthersStart();
  BOOST_TEST(guard_.Decide(now_).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_CASE(TheNumberOfSuspectsIsBounded, Fixture)
{
  for (PromptPart part = 0; part < 5000; ++part) {
    Crash({ part });
    now_ += 1ms;
  }
  BOOST_TEST(guard_.Suspects() == PromptGuardSettings{}.maxParts_);
}
