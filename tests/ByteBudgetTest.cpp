#define BOOST_TEST_MODULE ByteBudgetTest
#include <boost/test/unit_test.hpp>

#include "admission/ByteBudget.hpp"

namespace {

using namespace crocusslip;
using namespace crocusslip::admission;
using namespace std::chrono_literals;

struct Holder : ByteHolder
{
  using ByteHolder::ByteHolder;
  void OnRoom() override { ++granted_; }
  void OnYield(YieldReason aReason) override { reason_ = aReason; }

  int granted_ = 0;
  std::optional<YieldReason> reason_;
};

struct Fixture
{
  static ByteLimits SmallLimits()
  {
    ByteLimits limits;
    limits.total_ = 1000;
    limits.reserve_ = 100;
    limits.answers_ = 200;
    limits.largestAnswers_ = 400;
    limits.small_ = 50;
    return limits;
  }

  core::MonotonicTime now_{ 100s };
  const ByteLimits limits_ = SmallLimits();
  ByteBudget budget_{ limits_ };
  Holder first_{ budget_, HolderKind::Body, 1 };
  Holder second_{ budget_, HolderKind::Body, 1 };
  Holder other_{ budget_, HolderKind::Body, 2 };
  Holder waiting_{ budget_, HolderKind::Body, 3 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TheByteBudget, Fixture)

BOOST_AUTO_TEST_CASE(IsNotNoticedWithoutALimit)
{
  ByteBudget unlimited;
  Holder body(unlimited, HolderKind::Body, 1);
  BOOST_TEST(body.TryTake(1ULL << 40U));
}

BOOST_AUTO_TEST_CASE(KeepsAReserveForSmallHoldersAndAShareForAnswers)
{
  BOOST_TEST(first_.TryTake(700));
  BOOST_TEST(!second_.TryTake(51));
  BOOST_TEST(second_.TryTake(50));
  Holder answer(budget_, HolderKind::Answer, 0);
  BOOST_TEST(answer.TryTake(150));
  BOOST_TEST(!answer.TryTake(51));
  first_.GiveBackAll();
  BOOST_TEST(answer.TryTake(250));
  BOOST_TEST(!answer.TryTake(1));
}

BOOST_AUTO_TEST_CASE(GivesEverythingBackWithItsHolder)
{
  {
    Holder body(budget_, HolderKind::Body, 1);
    BOOST_TEST(body.TryTake(300));
    body.Complete();
    BOOST_TEST(budget_.HeldBy(HolderKind::Request) == 300U);
  }
  BOOST_TEST(budget_.Held() == 0U);
}

BOOST_AUTO_TEST_CASE(GivesRoomInTurnAsItComesBack)
{
  BOOST_TEST(first_.TryTake(600));
  second_.Await(200, now_);
  other_.Await(100, now_);
  BOOST_TEST(second_.granted_ + other_.granted_ == 0);
  // One that asks later does not overtake.
  BOOST_TEST(!waiting_.TryTake(100));
  first_.GiveBack(100);
  BOOST_TEST(second_.granted_ == 1);
  BOOST_TEST(other_.granted_ == 0);
  first_.GiveBack(100);
  BOOST_TEST(other_.granted_ == 1);
}

BOOST_AUTO_TEST_CASE(LetsAStalledBodyYieldFirst)
{
  BOOST_TEST(first_.TryTake(400));
  BOOST_TEST(other_.TryTake(300));
  first_.OnProgress(now_);
  other_.OnProgress(now_ - 1s);
  waiting_.Await(100, now_);
  BOOST_TEST((other_.reason_ == YieldReason::Stalled));
  BOOST_TEST(!first_.Yields());
  other_.GiveBackAll();
  BOOST_TEST(waiting_.granted_ == 1);
}

BOOST_AUTO_TEST_CASE(LetsTheLargestOfTheLargestAddressYieldAfterAWait)
{
  BOOST_TEST(first_.TryTake(210));
  BOOST_TEST(second_.TryTake(200));
  BOOST_TEST(other_.TryTake(290));
  for (Holder* holder : { &first_, &second_, &other_ }) {
    holder->OnProgress(now_);
  }
  waiting_.Await(100, now_);
  BOOST_TEST(!first_.Yields());
  budget_.Relieve(now_ + limits_.patience_);
  BOOST_TEST((first_.reason_ == YieldReason::Largest));
  BOOST_TEST(!second_.Yields());
  BOOST_TEST(!other_.Yields());
}

BOOST_AUTO_TEST_CASE(NeverLetsACompleteRequestYield)
{
  BOOST_TEST(first_.TryTake(700));
  first_.OnProgress(now_);
  first_.Complete();
  waiting_.Await(100, now_);
  budget_.Relieve(now_ + limits_.longestWait_ - 1ms);
  BOOST_TEST(!first_.Yields());
  BOOST_TEST(!waiting_.Yields());
  // The wait has an end.
  budget_.Relieve(now_ + limits_.longestWait_);
  BOOST_TEST((waiting_.reason_ == YieldReason::Waited));
  BOOST_TEST(!waiting_.Waiting());
  BOOST_TEST(budget_.Yields(YieldReason::Waited) == 1U);
}

// Guards against bodies that yield for an answer that other answers hold up.
BOOST_AUTO_TEST_CASE(LetsNobodyYieldInVain)
{
  Holder answer(budget_, HolderKind::Answer, 0);
  Holder next(budget_, HolderKind::Answer, 0);
  BOOST_TEST(answer.TryTake(400));
  BOOST_TEST(first_.TryTake(300));
  next.Await(100, now_);
  budget_.Relieve(now_ + limits_.longestWait_);
  BOOST_TEST(!first_.Yields());
  BOOST_TEST(next.Waiting());
  answer.GiveBackAll();
  BOOST_TEST(next.granted_ == 1);
}

BOOST_AUTO_TEST_CASE(HasRoomForTheLargestBodyInTheSmallestMachine)
{
  ByteBudget budget(ByteLimits::ForMemory(core::Bytes(112 * core::kMebi)));
  Holder body(budget, HolderKind::Body, 1);
  // The last doubling of a body of 4 MiB.
  BOOST_TEST(body.TryTake(2 * core::kMebi));
  BOOST_TEST(body.TryTake(4 * core::kMebi));
}

BOOST_AUTO_TEST_SUITE_END()
