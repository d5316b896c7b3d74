#define BOOST_TEST_MODULE SettingsLease
#include <boost/test/unit_test.hpp>

#include "coordination/SettingsLease.hpp"
#include "coordination/SettingsLeaseGranter.hpp"
#include "core/Random.hpp"

#include <deque>

using namespace crocusslip;
using namespace crocusslip::coordination;
using namespace std::chrono_literals;

namespace {

core::MonotonicTime
At(core::Duration aTime)
{
  return core::MonotonicTime(aTime);
}

/// Time on a host whose clock is slow by the maximum drift.
core::MonotonicTime
Slow(core::MonotonicTime aTime)
{
  return core::MonotonicTime(aTime.time_since_epoch() * 100 / 101);
}

LeaseGrant
Grant(std::uint64_t aRevision)
{
  return { kSettingsLease, core::Revision(aRevision) };
}

} // namespace

BOOST_AUTO_TEST_SUITE(A_settings_lease)

// Guards against a host that serves before it has received settings.
BOOST_AUTO_TEST_CASE(does_not_allow_serving_before_the_first_grant)
{
  SettingsLease lease(core::Revision(4));
  BOOST_TEST(!lease.MayServe(At(0s)));
  const std::uint64_t poll = lease.OnPollSent(At(0s));
  lease.OnPollReply(poll, LeaseGrant{});
  BOOST_TEST(!lease.MayServe(At(0s)));
}

// Guards against a lease that starts at the arrival of the reply, which may
// have been delayed for long.
BOOST_AUTO_TEST_CASE(starts_when_the_poll_was_sent)
{
  SettingsLease lease(core::Revision(1));
  const std::uint64_t poll = lease.OnPollSent(At(10s));
  lease.OnPollReply(poll, Grant(1));
  BOOST_TEST(lease.MayServe(At(13s - 1ns)));
  BOOST_TEST(!lease.MayServe(At(13s)));
}

// Guards against a duplicate or unknown reply that extends the lease.
BOOST_AUTO_TEST_CASE(accepts_each_reply_only_once)
{
  SettingsLease lease(core::Revision(1));
  const std::uint64_t poll = lease.OnPollSent(At(0s));
  lease.OnPollReply(poll, Grant(1));
  BOOST_TEST(
    std::holds_alternative<LeaseIgnored>(lease.OnPollReply(poll, Grant(1))));
  BOOST_TEST(std::holds_alternative<LeaseIgnored>(
    lease.OnPollReply(poll + 1, Grant(1))));
}

BOOST_AUTO_TEST_SUITE(given_a_higher_revision)

// Guards against serving a revision that is not yet on disk: after a restart
// the host would not know that it had served it.
BOOST_AUTO_TEST_CASE(serves_it_only_after_it_is_persisted)
{
  SettingsLease lease(core::Revision(1));
  lease.OnPollReply(lease.OnPollSent(At(0s)), Grant(1));
  const LeaseAction action =
    lease.OnPollReply(lease.OnPollSent(At(1s)), Grant(2));
  BOOST_REQUIRE(std::holds_alternative<PersistRevision>(action));
  BOOST_TEST(std::get<PersistRevision>(action).revision_.Value() == 2U);
  BOOST_TEST(lease.Serving().Value() == 1U);
  BOOST_TEST(!lease.MayServe(At(3s)));
  lease.OnPersisted(core::Revision(2));
  BOOST_TEST(lease.Serving().Value() == 2U);
  BOOST_TEST(lease.MayServe(At(4s - 1ns)));
  BOOST_TEST(!lease.MayServe(At(4s)));
}

// Guards against settings that go back to a lower revision after a late reply,
// a reply of a deposed leader or a restart.
BOOST_AUTO_TEST_CASE(never_goes_back_to_a_lower_one)
{
  SettingsLease lease(core::Revision(5));
  BOOST_TEST(std::holds_alternative<LeaseRefused>(
    lease.OnPollReply(lease.OnPollSent(At(0s)), Grant(4))));
  BOOST_TEST(!lease.MayServe(At(0s)));
  const std::uint64_t first = lease.OnPollSent(At(1s));
  const std::uint64_t second = lease.OnPollSent(At(2s));
  lease.OnPollReply(second, Grant(7));
  BOOST_TEST(
    std::holds_alternative<LeaseRefused>(lease.OnPollReply(first, Grant(6))));
  lease.OnPersisted(core::Revision(7));
  BOOST_TEST(lease.Highest().Value() == 7U);
  lease.OnPersisted(core::Revision(6));
  BOOST_TEST(lease.Serving().Value() == 7U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(A_settings_lease_granter)

// Guards against reporting a revision as in force while a host may still serve
// the previous one, with delays, lost messages and a slow clock.
BOOST_AUTO_TEST_CASE(
  reports_a_revision_in_force_only_when_no_host_serves_an_older_one)
{
  struct Message
  {
    core::MonotonicTime at_;
    std::uint64_t poll_;
    LeaseGrant grant_;
  };
  const core::HostId host("entry-1");
  std::size_t inForce = 0;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    core::Random random(seed);
    SettingsLease lease;
    SettingsLeaseGranter granter;
    core::Revision current;
    core::MonotonicTime changedAt;
    std::deque<Message> replies;
    for (core::MonotonicTime now; now < At(120s); now += 50ms) {
      if (random.Chance(0.01)) {
        current = current.Next();
        changedAt = now;
      }
      if (random.Chance(0.1)) {
        const std::uint64_t poll = lease.OnPollSent(Slow(now));
        const auto delay = std::chrono::milliseconds(random.Below(1500));
        if (random.Chance(0.7)) {
          granter.OnServing(host, lease.Highest());
          replies.push_back(
            { now + delay, poll, granter.Grant(host, current, now) });
        }
      }
      for (const Message& reply : replies) {
        if (reply.at_ == now) {
          lease.OnPollReply(reply.poll_, reply.grant_);
          if (random.Chance(0.8)) {
            lease.OnPersisted(reply.grant_.revision_);
          }
        }
      }
      const bool servesOld =
        lease.MayServe(Slow(now)) && lease.Serving() < current;
      BOOST_REQUIRE((!servesOld || !granter.InForce(current, now)));
      BOOST_REQUIRE((!servesOld || now - changedAt <= 3030ms));
      inForce += granter.InForce(current, now) ? 1 : 0;
    }
  }
  BOOST_TEST(inForce > 0U);
}

// Guards against a new leader that ignores the leases of the previous one.
BOOST_AUTO_TEST_CASE(waits_for_the_leases_of_an_earlier_leader)
{
  SettingsLeaseGranter granter;
  granter.OnLeadershipGained(At(10s));
  BOOST_TEST(!granter.InForce(core::Revision(1), At(13s)));
  BOOST_TEST(granter.InForce(core::Revision(1), At(13030ms)));
}

// Guards against an operator who can't see which hosts delay a change.
BOOST_AUTO_TEST_CASE(lists_the_hosts_that_may_serve_an_older_revision)
{
  SettingsLeaseGranter granter;
  const core::HostId host("entry-1");
  granter.Grant(host, core::Revision(1), At(10s));
  BOOST_TEST(granter.HostsBehind(core::Revision(2), At(11s)).size() == 1U);
  granter.Grant(host, core::Revision(2), At(11s));
  BOOST_TEST(granter.HostsBehind(core::Revision(2), At(11s)).size() == 1U);
  granter.OnServing(host, core::Revision(2));
  BOOST_TEST(granter.HostsBehind(core::Revision(2), At(11s)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
