#include "cardamomchute/fleet/primary_lease_server.h"

#include <boost/test/unit_test.hpp>

#include "replacement_fixture.h"

namespace cardamomchute {
namespace {

BOOST_AUTO_TEST_SUITE(primary_lease_server)

/// Runs until another primary than the first is in use. Returns whether the
/// relay never had a lease on the first one then.
bool NoLeaseOnFormer(Succession* s) {
  bool overlap = false;
  bool replaced = s->cluster.RunUntil([&] {
    bool other = s->LeadIs("g1-1") || s->LeadIs("g1-2");
    overlap = overlap || (other && s->listener->HasLease("g1-0"));
    s->listener->RenewLease();
    return other &&
           (s->listener->HasLease("g1-1") || s->listener->HasLease("g1-2"));
  });
  return replaced && !overlap;
}

BOOST_AUTO_TEST_CASE(no_relay_may_use_a_replaced_primary_that_goes_on) {
  Succession s;
  s.group.SetReplacedGoesOn();
  auto leased = [&] {
    s.listener->RenewLease();
    return s.listener->HasLease("g1-0");
  };
  BOOST_REQUIRE(s.cluster.RunUntil(leased));
  // The control members cannot reach it, the relay may.
  s.group.member(0).silent = true;
  s.cluster.RunUntil(
      [&] {
        s.listener->RenewLease();
        return false;
      },
      Millis(500));
  s.Complain(EndpointProblem::kSilent);
  BOOST_TEST(NoLeaseOnFormer(&s));
  BOOST_TEST(s.group.member(0).is_primary);
}

BOOST_AUTO_TEST_CASE(
    leases_are_granted_by_all_members_until_they_lose_contact) {
  Succession s;
  size_t follower = (*s.cluster.Leader() + 1) % 3;
  Listener relay(&s.cluster, "relay-b", follower);
  auto leased = [&] {
    relay.RenewLease();
    return relay.HasLease("g1-0");
  };
  BOOST_REQUIRE(s.cluster.RunUntil(leased));
  for (size_t i = 0; i < 3; ++i) {
    if (i != follower) s.cluster.Stop(i);
  }
  Time lost = Now();
  BOOST_TEST(s.cluster.RunUntil([&] { return !leased(); }));
  s.cluster.RunUntil([&] { return leased(); }, Seconds(1));
  BOOST_TEST(!relay.HasLease("g1-0"));
  BOOST_TEST((relay.lease.until < lost + kPrimaryLease + Millis(1)));
}

/// A control leader that has confirmed a primary need not reach a replica
/// again: only that leader could have replaced it.
BOOST_AUTO_TEST_CASE(a_confirmed_primary_is_leased_again_without_its_replicas) {
  Succession s;
  auto leased = [&] {
    s.listener->RenewLease();
    return s.listener->HasLease("g1-0");
  };
  BOOST_REQUIRE(s.cluster.RunUntil(leased));
  s.cluster.RunUntil([] { return false; }, Millis(500));
  s.group.member(1).silent = true;
  s.group.member(2).silent = true;
  s.Complain(EndpointProblem::kSilent);
  // No lease is granted while the primary is in doubt.
  BOOST_TEST(s.cluster.RunUntil([&] { return !leased(); }, Seconds(3)));
  BOOST_TEST(s.cluster.RunUntil(leased));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
