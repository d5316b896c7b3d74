#define BOOST_TEST_MODULE FairSharesManyHosts
#include <boost/test/unit_test.hpp>

#include "support/FairSharesModel.hpp"

using namespace crocusslip;
using namespace crocusslip::tests;

// The target of FairSharesTest with as many hosts as a large deployment has: a
// tenant at 7.5 times its usual takes at most 0.03 of the served share of each
// other tenant.
BOOST_AUTO_TEST_CASE(TakesLittleFromTheOthersWithAHundredHosts)
{
  const double calm = AfterRun(100, 18, 1).MeanServedShareOfOthers();
  const Model hot = AfterRun(100, 18, kHotFactor);
  for (std::size_t i = 1; i < kTenants; ++i) {
    BOOST_TEST(hot.ServedShare(i) >= calm - 0.03);
  }
}
