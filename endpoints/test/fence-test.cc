// Tests each fencing check between an endpoint's answer and its
// acknowledgement. Removing a check makes the test named after it fail.
#include "fence.h"

#include <boost/test/unit_test.hpp>

#include "owner_fixture.h"

namespace cardamomchute {
namespace {

/// A write whose answer the endpoint holds while the control state changes.
struct PendingWrite : OwnerFixture {
  std::unique_ptr<TestCaller> caller;

  explicit PendingWrite(size_t members = 1) : OwnerFixture(members) {
    Start();
    caller = Connect("s");
    BOOST_REQUIRE(Run(*caller, "INSERT first"));
    caller->bytes.clear();
    endpoints[0]->hold_answers = true;
    Send(*caller, "INSERT held");
    BOOST_REQUIRE(
        RunUntil([this] { return endpoints[0]->Count("INSERT held") == 1; }));
  }

  /// Returns the record of a new view that has not been published to the owner.
  GroupState& UnpublishedRecord() {
    view = std::make_shared<ClusterView>(*view);
    return record();
  }

  void ExpectUnknown() {
    endpoints[0]->Release();
    BOOST_REQUIRE(RunUntil([this] { return caller->ends.size() == 2; }));
    BOOST_TEST((caller->outcome() == StatementOutcome::kUnknown));
    BOOST_TEST(caller->last().sqlstate == "08007");
    BOOST_TEST(caller->bytes.empty());
    BOOST_TEST(endpoints[0]->Count("INSERT held") == 1U);
  }
};

}  // namespace

BOOST_AUTO_TEST_CASE(fence_lease) {
  PendingWrite f;
  f.lease.Relinquish();
  f.ExpectUnknown();
}

BOOST_AUTO_TEST_CASE(fence_lease_of_reads) {
  OwnerFixture f;
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  f.endpoints[0]->hold_answers = true;
  Statement read = f.Make(*caller, "SELECT 1", StatementKind::kRead);
  read.max_staleness = Duration(0);
  caller->to_owner(read);
  BOOST_REQUIRE(
      f.RunUntil([&] { return f.endpoints[0]->Count("SELECT 1") == 1; }));
  f.lease.Relinquish();
  f.endpoints[0]->Release();
  BOOST_REQUIRE(f.RunUntil([&] { return !caller->ends.empty(); }));
  BOOST_TEST((caller->outcome() != StatementOutcome::kAnswered));
  BOOST_TEST(caller->bytes.find("SELECT 1") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(fence_owner) {
  PendingWrite f;
  f.UnpublishedRecord().owner = VmId("other");
  f.ExpectUnknown();
}

BOOST_AUTO_TEST_CASE(fence_epoch) {
  PendingWrite f;
  f.UnpublishedRecord().epoch = Epoch(2);
  f.ExpectUnknown();
}

BOOST_AUTO_TEST_CASE(fence_term) {
  PendingWrite f;
  f.UnpublishedRecord().term = Term(2);
  f.ExpectUnknown();
}

BOOST_AUTO_TEST_CASE(fence_failover_under_way) {
  PendingWrite f;
  f.UnpublishedRecord().failover = FailoverIntent{f.Id(0), Term(1)};
  f.ExpectUnknown();
}

BOOST_AUTO_TEST_CASE(fence_position_of_another_term) {
  PendingWrite f;
  f.endpoints[0]->hold_probes = true;
  f.endpoints[0]->term = 2;
  f.ExpectUnknown();
}

BOOST_AUTO_TEST_CASE(fence_position_of_a_member_in_recovery) {
  PendingWrite f;
  f.endpoints[0]->primary = false;
  f.ExpectUnknown();
}

BOOST_AUTO_TEST_CASE(the_completion_waits_for_the_position) {
  OwnerFixture f;
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect();
  BOOST_REQUIRE(f.Run(*caller, "INSERT first"));
  caller->bytes.clear();
  f.endpoints[0]->hold_probes = true;
  f.Send(*caller, "INSERT held");
  BOOST_REQUIRE(
      f.RunUntil([&] { return f.endpoints[0]->Count("INSERT held") == 1; }));
  f.RunFor(Millis(50));
  BOOST_TEST(caller->bytes.empty());
  BOOST_TEST(caller->ends.size() == 1U);
  f.endpoints[0]->Release();
  BOOST_REQUIRE(f.RunUntil([&] { return caller->ends.size() == 2; }));
  BOOST_TEST((caller->outcome() == StatementOutcome::kAnswered));
  BOOST_TEST(caller->bytes == pgwire::CommandComplete("INSERT 0 1"));
}

BOOST_AUTO_TEST_CASE(fence_commit_of_a_transaction) {
  OwnerFixture f;
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect();
  BOOST_REQUIRE(f.Run(*caller, "BEGIN", StatementKind::kBegin));
  BOOST_REQUIRE(f.Run(*caller, "INSERT a"));
  BOOST_TEST(caller->last().transaction_status == 'T');
  caller->bytes.clear();
  f.endpoints[0]->hold_answers = true;
  f.Send(*caller, "COMMIT");
  BOOST_REQUIRE(
      f.RunUntil([&] { return f.endpoints[0]->Count("COMMIT") == 1; }));
  f.lease.Relinquish();
  f.endpoints[0]->Release();
  BOOST_REQUIRE(f.RunUntil([&] { return caller->ends.size() == 3; }));
  BOOST_TEST(caller->last().sqlstate == "08007");
  BOOST_TEST(caller->bytes.empty());
}

BOOST_AUTO_TEST_CASE(fence_replicated) {
  OwnerFixture f(2);
  f.spec().ack = AckMode::kReplicated;
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect();
  BOOST_REQUIRE(f.Run(*caller, "INSERT first"));
  caller->bytes.clear();
  f.endpoints[0]->replicas.clear();
  f.Send(*caller, "INSERT alone");
  BOOST_REQUIRE(
      f.RunUntil([&] { return f.endpoints[0]->Count("INSERT alone") == 1; }));
  f.RunFor(Millis(100));
  BOOST_TEST(caller->ends.size() == 1U);
  BOOST_TEST(caller->bytes.empty());
  f.endpoints[1]->received = f.endpoints[0]->received;
  BOOST_REQUIRE(f.RunUntil([&] { return caller->ends.size() == 2; }));
  BOOST_TEST((caller->outcome() == StatementOutcome::kAnswered));
}

BOOST_AUTO_TEST_CASE(a_write_no_replica_receives_ends_unknown) {
  OwnerFixture f(2);
  f.spec().ack = AckMode::kReplicated;
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect();
  BOOST_REQUIRE(f.Run(*caller, "INSERT first"));
  f.endpoints[0]->replicas.clear();
  f.endpoints[1]->Kill();
  BOOST_REQUIRE(f.Run(*caller, "INSERT alone"));
  BOOST_TEST(caller->last().sqlstate == "08007");
  Statement refused = f.Make(*caller, "INSERT refused", StatementKind::kWrite);
  refused.deadline = Millis(200);
  BOOST_REQUIRE(f.Run(*caller, refused));
  BOOST_TEST((caller->outcome() == StatementOutcome::kNotRun));
  BOOST_TEST(f.endpoints[0]->Count("INSERT refused") == 0U);
}

BOOST_AUTO_TEST_CASE(a_commit_within_a_batch_waits_for_a_replica) {
  OwnerFixture f(2);
  f.spec().ack = AckMode::kReplicated;
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect();
  BOOST_REQUIRE(f.Run(*caller, "INSERT first"));
  caller->bytes.clear();
  f.endpoints[0]->replicas.clear();
  f.Send(*caller, "BEGIN; INSERT a; COMMIT; BEGIN");
  BOOST_REQUIRE(
      f.RunUntil([&] { return f.endpoints[0]->Count("COMMIT") == 1; }));
  f.RunFor(Millis(100));
  BOOST_TEST(caller->ends.size() == 1U);
  BOOST_TEST(caller->bytes.empty());
  f.endpoints[1]->received = f.endpoints[0]->received;
  BOOST_REQUIRE(f.RunUntil([&] { return caller->ends.size() == 2; }));
  BOOST_TEST((caller->outcome() == StatementOutcome::kAnswered));
  BOOST_TEST(caller->last().transaction_status == 'T');
}

BOOST_AUTO_TEST_CASE(fence_commit_within_a_batch) {
  OwnerFixture f;
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect();
  f.endpoints[0]->hold_answers = true;
  f.Send(*caller, "BEGIN; INSERT a; COMMIT; BEGIN");
  BOOST_REQUIRE(
      f.RunUntil([&] { return f.endpoints[0]->Count("COMMIT") == 1; }));
  f.endpoints[0]->primary = false;
  f.endpoints[0]->Release();
  BOOST_REQUIRE(f.RunUntil([&] { return caller->ends.size() == 1; }));
  BOOST_TEST(caller->last().sqlstate == "08007");
  BOOST_TEST(caller->bytes.empty());
}

}  // namespace cardamomchute
