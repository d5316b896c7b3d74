#define BOOST_TEST_MODULE LeadershipFollower
#include <boost/test/unit_test.hpp>

#include "coordination/LeadershipFollower.hpp"

using crocusslip::coordination::LeadershipFollower;
using crocusslip::coordination::LeadershipStep;
using crocusslip::core::Term;

BOOST_AUTO_TEST_SUITE(A_leader)

// A slow sync can let the lease expire briefly. Guards against a leader that
// then treats its own orders as those of an earlier leader and waits for their
// deadline.
BOOST_AUTO_TEST_CASE(pauses_while_its_lease_has_expired_in_the_same_term)
{
  LeadershipFollower leadership;
  BOOST_TEST((leadership.Follow(false, Term(1)) == LeadershipStep::Idle));
  BOOST_TEST((leadership.Follow(true, Term(2)) == LeadershipStep::Gained));
  BOOST_TEST((leadership.Follow(true, Term(2)) == LeadershipStep::Leading));
  BOOST_TEST((leadership.Follow(false, Term(2)) == LeadershipStep::Paused));
  BOOST_TEST((leadership.Follow(true, Term(2)) == LeadershipStep::Leading));
}

// Guards against a leader that continues with the state of an earlier term.
BOOST_AUTO_TEST_CASE(starts_over_in_another_term)
{
  LeadershipFollower leadership;
  BOOST_TEST((leadership.Follow(true, Term(2)) == LeadershipStep::Gained));
  BOOST_TEST((leadership.Follow(true, Term(3)) == LeadershipStep::Lost));
  BOOST_TEST((leadership.Follow(true, Term(3)) == LeadershipStep::Gained));
  BOOST_TEST((leadership.Follow(false, Term(3)) == LeadershipStep::Paused));
  BOOST_TEST((leadership.Follow(false, Term(4)) == LeadershipStep::Lost));
  BOOST_TEST((leadership.Follow(false, Term(4)) == LeadershipStep::Idle));
}

BOOST_AUTO_TEST_SUITE_END()
