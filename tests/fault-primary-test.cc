/// Faults of the primary and of the way to it, under a checked load.
#include <boost/test/unit_test.hpp>

#include "load.h"

namespace cardamomchute::testing {
namespace {

constexpr int kLoadSeconds = 6;

struct Fixture {
  Cluster cluster{"fault-primary"};
  Fixture() { cluster.Start(); }

  EndpointProcess& Primary() {
    return cluster.Endpoint(cluster.PrimaryOf("tickets"));
  }

  /// Cuts the endpoint off from everybody: callers' side and replication.
  void CutOff(EndpointProcess& endpoint) {
    cluster.Fault(endpoint, "cut");
    EndpointProcess replication;
    replication.route = endpoint.route + 1;
    cluster.Fault(replication, "cut");
  }

  void WaitForOtherPrimary(const std::string& old_primary) {
    for (int i = 0; i < kGiveUpSeconds * 10; ++i) {
      if (cluster.PrimaryOf("tickets") != old_primary) return;
      Sleep(100);
    }
    BOOST_FAIL("the primary stays " + old_primary);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(primary_killed_and_back, Fixture) {
  EndpointProcess& old_primary = Primary();
  RunUnderLoad(cluster, kLoadSeconds, 11, [&] {
    old_primary.process->Kill();
    WaitForOtherPrimary(old_primary.id);
    // Comes back as it began: a primary of the first term, and empty.
    cluster.StartEndpoint(old_primary);
  });
  BOOST_TEST(cluster.PrimaryOf("tickets") != old_primary.id);
}

BOOST_FIXTURE_TEST_CASE(primary_cut_off_from_all, Fixture) {
  EndpointProcess& old_primary = Primary();
  RunUnderLoad(cluster, kLoadSeconds, 12, [&] {
    CutOff(old_primary);
    WaitForOtherPrimary(old_primary.id);
    cluster.Fault(old_primary, "restore");
  });
  BOOST_TEST(cluster.PrimaryOf("tickets") != old_primary.id);
}

BOOST_FIXTURE_TEST_CASE(primary_answers_are_lost_one_way, Fixture) {
  EndpointProcess& old_primary = Primary();
  RunUnderLoad(cluster, kLoadSeconds, 13, [&] {
    cluster.Fault(old_primary, "drop?direction=to_client");
    WaitForOtherPrimary(old_primary.id);
    cluster.Fault(old_primary, "restore");
  });
}

BOOST_FIXTURE_TEST_CASE(two_failovers_in_a_row, Fixture) {
  RunUnderLoad(cluster, kLoadSeconds, 14, [&] {
    EndpointProcess& first = Primary();
    first.process->Kill();
    WaitForOtherPrimary(first.id);
    RequireWritable(cluster);
    EndpointProcess& second = Primary();
    second.process->Kill();
    WaitForOtherPrimary(second.id);
    // Of three members one is left, so nothing can be acknowledged as
    // replicated before another is back, following the new primary.
    cluster.StartFollowing(first, Primary());
  });
}

BOOST_FIXTURE_TEST_CASE(silent_connections_are_not_a_dead_primary, Fixture) {
  EndpointProcess& primary = Primary();
  RunUnderLoad(cluster, kLoadSeconds, 15,
               [&] { cluster.Fault(primary, "silence"); });
  BOOST_TEST(cluster.PrimaryOf("tickets") == primary.id);
}

BOOST_FIXTURE_TEST_CASE(a_stall_of_half_a_second_is_no_failover, Fixture) {
  EndpointProcess& primary = Primary();
  RunUnderLoad(cluster, kLoadSeconds, 16, [&] {
    primary.process->Freeze();
    Sleep(500);
    primary.process->Thaw();
  });
  BOOST_TEST(cluster.PrimaryOf("tickets") == primary.id);
}

BOOST_FIXTURE_TEST_CASE(primary_killed_with_replicas_behind, Fixture) {
  EndpointProcess& old_primary = Primary();
  for (EndpointProcess& endpoint : cluster.endpoints) {
    if (endpoint.id != old_primary.id) cluster.Direct(endpoint, "lag?ms=10000");
  }
  RunUnderLoad(cluster, kLoadSeconds, 17, [&] {
    Sleep(1000);
    old_primary.process->Kill();
    WaitForOtherPrimary(old_primary.id);
  });
}

}  // namespace cardamomchute::testing
