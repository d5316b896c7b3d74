#define BOOST_TEST_MODULE LogBudget
#include <boost/test/unit_test.hpp>

#include "core/LogBudget.hpp"

using namespace crocusslip::core;
using namespace std::chrono_literals;

namespace {

const LogBudget::Time kStart{ 1h };

int
Written(LogBudget& aBudget, LogBudget::Time aNow, int aLines)
{
  int written = 0;
  for (int line = 0; line < aLines; ++line) {
    written += aBudget.Admit(aNow).write_ ? 1 : 0;
  }
  return written;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ALogBudget)

BOOST_AUTO_TEST_CASE(WritesABurstOfOneSecondAndNoMore)
{
  LogBudget budget(100);
  BOOST_TEST(Written(budget, kStart, 1000) == 100);
  BOOST_TEST(Written(budget, kStart + 500ms, 1000) == 50);
}

BOOST_AUTO_TEST_CASE(TellsOnceHowManyLinesWereLeftOut)
{
  LogBudget budget(10);
  BOOST_TEST(Written(budget, kStart, 25) == 10);
  const auto next = budget.Admit(kStart + 1s);
  BOOST_TEST(next.write_);
  BOOST_TEST(next.leftOut_ == 15U);
  BOOST_TEST(budget.Admit(kStart + 1s).leftOut_ == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
