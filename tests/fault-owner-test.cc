/// Faults of the VM that owns the group, under a checked load.
#include <boost/test/unit_test.hpp>

#include "load.h"

namespace cardamomchute::testing {
namespace {

constexpr int kLoadSeconds = 6;
/// Longer than any lease: by then another VM owns the group.
constexpr int kPastLeaseMs = 4000;
constexpr int kDrainSeconds = 25;

struct Fixture {
  Cluster cluster{"fault-owner"};
  Fixture() { cluster.Start(); }

  VmProcess& Owner() { return cluster.Entry(cluster.OwnerOf("tickets")); }

  void WaitForOtherOwner(const std::string& old_owner) {
    for (int i = 0; i < kGiveUpSeconds * 10; ++i) {
      if (cluster.OwnerOf("tickets") != old_owner) return;
      Sleep(100);
    }
    BOOST_FAIL("the owner stays " + old_owner);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(owner_killed_and_back, Fixture) {
  VmProcess& owner = Owner();
  RunUnderLoad(cluster, kLoadSeconds, 21, [&] {
    owner.process->Kill();
    WaitForOtherOwner(owner.id);
    cluster.StartVm(owner);
  });
}

BOOST_FIXTURE_TEST_CASE(owner_frozen_past_its_lease, Fixture) {
  VmProcess& owner = Owner();
  RunUnderLoad(cluster, kLoadSeconds + 3, 22, [&] {
    owner.process->Freeze();
    Sleep(kPastLeaseMs);
    owner.process->Thaw();
    WaitForOtherOwner(owner.id);
  });
}

BOOST_FIXTURE_TEST_CASE(owner_and_primary_killed_together, Fixture) {
  VmProcess& owner = Owner();
  EndpointProcess& primary = cluster.Endpoint(cluster.PrimaryOf("tickets"));
  RunUnderLoad(cluster, kLoadSeconds, 23, [&] {
    owner.process->Kill();
    primary.process->Kill();
    WaitForOtherOwner(owner.id);
  });
  BOOST_TEST(cluster.PrimaryOf("tickets") != primary.id);
}

BOOST_FIXTURE_TEST_CASE(owner_primary_and_leader_frozen_together, Fixture) {
  VmProcess& owner = Owner();
  EndpointProcess& primary = cluster.Endpoint(cluster.PrimaryOf("tickets"));
  VmProcess& leader = cluster.Control(cluster.LeadingControl());
  RunUnderLoad(cluster, kLoadSeconds + 4, 24, [&] {
    leader.process->Freeze();
    owner.process->Freeze();
    primary.process->Freeze();
    Sleep(kPastLeaseMs + 2000);
    leader.process->Thaw();
    owner.process->Thaw();
    primary.process->Thaw();
    WaitForOtherOwner(owner.id);
  });
}

BOOST_FIXTURE_TEST_CASE(a_drained_owner_cuts_nothing, Fixture) {
  VmProcess& owner = Owner();
  LoadReport report = RunUnderLoad(cluster, kLoadSeconds, 25, [&] {
    BOOST_TEST(owner.process->Terminate(kDrainSeconds));
    cluster.StartVm(owner);
  });
  BOOST_TEST(report.unknown == 0u, report.output);
}

BOOST_FIXTURE_TEST_CASE(a_lost_vm_leaves_no_transaction_behind, Fixture) {
  VmProcess& entry = cluster.OtherEntry(cluster.OwnerOf("tickets"));
  Client client(entry.callers_port, kUser, kDatabase);
  BOOST_REQUIRE(client.Run("INSERT INTO t (k, v) VALUES ('l', '1')").ok);
  BOOST_REQUIRE(client.Run("BEGIN").ok);
  BOOST_REQUIRE(client.Run("UPDATE t SET v = '2' WHERE k = 'l'").ok);
  entry.process->Freeze();  // vanishes without closing its connections
  VmProcess& owner = Owner();
  Answer answer =
      RunUntilOk(owner.callers_port, kUser, kDatabase,
                 "UPDATE t SET v = '3' WHERE k = 'l'", kGiveUpSeconds);
  BOOST_TEST(answer.ok, answer.message);
  Client reader(owner.callers_port, kUser, kDatabase);
  BOOST_TEST(reader.Run("SELECT v FROM t WHERE k = 'l'").value == "3");
}

}  // namespace cardamomchute::testing
