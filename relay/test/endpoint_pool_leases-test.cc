#include <boost/test/unit_test.hpp>
#include <string_view>
#include <variant>

#include "cardamomchute/relay/endpoint_pool.h"
#include "pool_fixture.h"

namespace cardamomchute {
namespace {

/// A pool that needs leases for commits only, and has none.
struct CommitFixture : Fixture {
  explicit CommitFixture(Leases leases = Leases::kForCommits)
      : Fixture(0, 3, leases) {}

  RunRequest Write(const std::string& data) {
    return Request(RunStep::kSingle, "WRITE k " + data);
  }
  size_t runs() { return group.member(0).runs.size(); }
  /// Has the endpoint receive `request`, and then a lease that ends in `left`.
  void SubmitAndEndLease(RunRequest request, Duration left = Duration()) {
    group.SetWork(Millis(200));
    HeldLease lease = LeaseFor(Seconds(5));
    pool->SetLease(lease);
    answers.clear();
    size_t before = runs();
    Submit(std::move(request));
    BOOST_REQUIRE(RunUntil([&] { return runs() > before; }));
    lease.until = Now() + left;
    pool->SetLease(lease);
  }
  /// As above; `data` is committed and its answer has arrived.
  void CommitAcrossTheLeasesEnd(RunRequest request, const std::string& data) {
    SubmitAndEndLease(std::move(request));
    BOOST_REQUIRE(RunUntil([&] { return group.CountOf(data) == 1; }));
    Wait(Millis(100));
    BOOST_TEST(answers.empty());
  }
  /// Answers have no position any more.
  void StripPositions() {
    protocol.decode = [decode = protocol.decode](std::string_view bytes) {
      Result<Decoded<EndpointMessage>> decoded = decode(bytes);
      if (!decoded || !decoded.value().message) return decoded;
      EndpointMessage& message = *decoded.value().message;
      if (EndpointReady* ready = std::get_if<EndpointReady>(&message))
        ready->at.reset();
      return decoded;
    };
  }
  /// Has a transaction with a write open, and returns its COMMIT.
  RunRequest OpenTransaction(const std::string& data) {
    BOOST_REQUIRE(Run(Request(RunStep::kFirst, "WRITE k " + data)).transaction);
    return Request(RunStep::kCommit, "COMMIT");
  }
};

BOOST_AUTO_TEST_SUITE(endpoint_pool_leases)

BOOST_AUTO_TEST_CASE(a_write_waits_for_a_lease) {
  CommitFixture f;
  f.Submit(f.Write("v"));
  BOOST_TEST(f.RunUntil([&] { return f.leases_asked > 2; }));
  BOOST_TEST(f.answers.empty());
  BOOST_TEST(f.runs() == 0u);
  f.pool->SetLease(f.LeaseFor(Seconds(5)));
  BOOST_TEST(f.RunUntil([&] { return !f.answers.empty(); }));
  BOOST_TEST((f.answers.at(0).outcome == StatementStatus::kDone));
  BOOST_TEST(f.group.CountOf("v") == 1u);
}

BOOST_AUTO_TEST_CASE(a_write_without_a_lease_is_refused_after_its_hold) {
  CommitFixture f;
  RunRequest write = f.Write("v");
  write.hold = Millis(200);
  RunAnswer answer = f.Run(std::move(write));
  BOOST_TEST((answer.outcome == StatementStatus::kBusy));
  BOOST_TEST(answer.detail == "no lease on the primary");
  BOOST_TEST(f.runs() == 0u);
}

BOOST_AUTO_TEST_CASE(a_lease_without_a_term_allows_reads_and_no_commits) {
  CommitFixture f(Leases::kForAll);
  f.pool->SetLease(f.LeaseFor(Seconds(5), Term()));
  BOOST_TEST((f.Run(f.Request(RunStep::kSingle, "READ k")).outcome ==
              StatementStatus::kDone));
  RunRequest write = f.Write("v");
  write.hold = Millis(200);
  RunAnswer answer = f.Run(std::move(write));
  BOOST_TEST((answer.outcome == StatementStatus::kBusy));
  BOOST_TEST(f.group.commits() == 0u);
}

BOOST_AUTO_TEST_CASE(a_commit_without_a_lease_is_rolled_back) {
  CommitFixture f;
  RunRequest commit = f.OpenTransaction("v");
  commit.hold = Millis(200);
  RunAnswer answer = f.Run(std::move(commit));
  BOOST_TEST((answer.outcome == StatementStatus::kAborted));
  BOOST_TEST(answer.detail == "no lease on the primary");
  BOOST_TEST(f.RunUntil([&] { return f.pool->Idle(); }));
  BOOST_TEST(f.group.commits() == 0u);
}

BOOST_AUTO_TEST_CASE(a_commit_waits_for_a_lease) {
  CommitFixture f;
  f.Submit(f.OpenTransaction("v"));
  f.Wait(Millis(200));
  BOOST_TEST(f.answers.size() == 1u);
  BOOST_TEST(f.group.commits() == 0u);
  f.pool->SetLease(f.LeaseFor(Seconds(5)));
  BOOST_REQUIRE(f.RunUntil([&] { return f.answers.size() == 2; }));
  BOOST_TEST((f.answers[1].outcome == StatementStatus::kDone));
  BOOST_TEST(f.group.CountOf("v") == 1u);
}

BOOST_AUTO_TEST_CASE(a_commit_that_waits_ends_with_the_primary) {
  CommitFixture f;
  f.Submit(f.OpenTransaction("v"));
  f.Wait(Millis(100));
  f.bounds.is_primary = false;
  f.pool->SetBounds(f.bounds);
  BOOST_REQUIRE(f.RunUntil([&] { return f.answers.size() == 2; }));
  BOOST_TEST((f.answers[1].outcome == StatementStatus::kAborted));
  BOOST_TEST(f.RunUntil([&] { return f.pool->Idle(); }));
  BOOST_TEST(f.group.commits() == 0u);
}

BOOST_AUTO_TEST_CASE(the_first_write_of_a_transaction_asks_for_a_lease) {
  CommitFixture f;
  BOOST_TEST(f.Run(f.Request(RunStep::kFirst, "READ k")).transaction);
  BOOST_TEST(f.leases_asked == 0);
  f.Run(f.Request(RunStep::kNext, "WRITE k v"));
  BOOST_TEST(f.leases_asked > 0);
}

BOOST_AUTO_TEST_CASE(with_fencing_only_commits_of_writes_need_a_lease) {
  CommitFixture f;
  BOOST_TEST((f.Run(f.Request(RunStep::kSingle, "READ k")).outcome ==
              StatementStatus::kDone));
  BOOST_TEST(f.Run(f.Request(RunStep::kFirst, "READ k")).transaction);
  BOOST_TEST((f.Run(f.Request(RunStep::kNext, "READ k")).outcome ==
              StatementStatus::kDone));
  BOOST_TEST((f.Run(f.Request(RunStep::kCommit, "COMMIT")).outcome ==
              StatementStatus::kDone));
  std::optional<FloorAnswer> floor;
  f.Wait(Millis(250));
  f.pool->AnswerFloor([&floor](const FloorAnswer& a) { floor = a; });
  BOOST_TEST(f.RunUntil([&] { return floor.has_value(); }));
  BOOST_TEST(floor->at.has_value());
  BOOST_TEST((floor->age < Millis(200)));
  BOOST_TEST(f.leases_asked == 0);
}

BOOST_AUTO_TEST_CASE(a_long_write_keeps_its_lease_and_an_idle_pool_asks_none) {
  CommitFixture f;
  f.SubmitAndEndLease(f.Write("v"), kLeaseRenewal / 2);
  BOOST_TEST(f.RunUntil([&] { return f.leases_asked > 2; }));
  f.pool->SetLease(f.LeaseFor(Seconds(5)));
  BOOST_TEST(f.RunUntil([&] { return !f.answers.empty(); }));
  f.Wait(Millis(100));
  f.pool->SetLease(HeldLease());
  int asked = f.leases_asked;
  f.Wait(Millis(300));
  BOOST_TEST(f.leases_asked == asked);
}

BOOST_AUTO_TEST_CASE(
    an_acknowledgement_after_the_lease_is_held_until_the_next) {
  CommitFixture f;
  f.CommitAcrossTheLeasesEnd(f.Write("v"), "v");
  BOOST_TEST(!f.pool->Idle());
  // Its connection and slot go on.
  f.group.SetWork(Millis(1));
  BOOST_TEST((f.Run(f.Request(RunStep::kSingle, "READ k"), "b").outcome ==
              StatementStatus::kDone));
  BOOST_TEST(f.leases_asked > 0);
  f.answers.clear();
  f.pool->SetLease(f.LeaseFor(Seconds(5)));
  BOOST_REQUIRE(f.answers.size() == 1u);
  BOOST_TEST((f.answers[0].outcome == StatementStatus::kDone));
  BOOST_TEST(f.answers[0].signature == "sig");
  BOOST_TEST((f.answers[0].at == Floor{Term(1), Position(1)}));
  BOOST_TEST(f.RunUntil([&] { return f.pool->Idle(); }));
}

BOOST_AUTO_TEST_CASE(an_acknowledged_commit_after_the_lease_is_held_as_well) {
  CommitFixture f;
  RunRequest commit = f.OpenTransaction("v");
  f.CommitAcrossTheLeasesEnd(std::move(commit), "v");
  f.pool->SetLease(f.LeaseFor(Seconds(5)));
  BOOST_REQUIRE(f.answers.size() == 1u);
  BOOST_TEST((f.answers[0].outcome == StatementStatus::kDone));
}

BOOST_AUTO_TEST_CASE(
    an_acknowledgement_of_a_replaced_primary_is_not_passed_on) {
  CommitFixture f;
  f.CommitAcrossTheLeasesEnd(f.Write("v"), "v");
  f.bounds.is_primary = false;
  f.pool->SetBounds(f.bounds);
  BOOST_REQUIRE(f.answers.size() == 1u);
  BOOST_TEST((f.answers[0].outcome == StatementStatus::kUnknown));
  BOOST_TEST(f.pool->Idle());
}

BOOST_AUTO_TEST_CASE(a_write_that_a_replaced_primary_still_runs_is_unknown) {
  CommitFixture f;
  f.group.SetWork(Millis(200));
  f.pool->SetLease(f.LeaseFor(Seconds(5)));
  f.Submit(f.Write("v"));
  BOOST_REQUIRE(f.RunUntil([&] { return f.runs() == 1; }));
  f.bounds.is_primary = false;
  f.pool->SetBounds(f.bounds);
  BOOST_REQUIRE(f.RunUntil([&] { return !f.answers.empty(); }));
  BOOST_TEST(f.group.CountOf("v") == 1u);
  BOOST_TEST((f.answers[0].outcome == StatementStatus::kUnknown));
}

BOOST_AUTO_TEST_CASE(a_write_at_a_replaced_primary_is_refused_at_once) {
  CommitFixture f;
  f.bounds.is_primary = false;
  f.pool->SetBounds(f.bounds);
  f.Submit(f.Write("v"));
  BOOST_REQUIRE(f.answers.size() == 1u);
  BOOST_TEST((f.answers[0].outcome == StatementStatus::kReadOnly));
}

BOOST_AUTO_TEST_CASE(a_lease_of_another_term_does_not_release_it) {
  CommitFixture f;
  f.CommitAcrossTheLeasesEnd(f.Write("v"), "v");
  f.pool->SetLease(f.LeaseFor(Seconds(5), Term(2)));
  BOOST_REQUIRE(f.answers.size() == 1u);
  BOOST_TEST((f.answers[0].outcome == StatementStatus::kUnknown));
}

BOOST_AUTO_TEST_CASE(an_acknowledgement_of_a_later_term_waits_for_its_lease) {
  CommitFixture f;
  f.group.member(0).term = 3;
  f.pool->SetLease(f.LeaseFor(Seconds(5), Term(2)));
  f.Submit(f.Write("v"));
  BOOST_REQUIRE(f.RunUntil([&] { return f.group.CountOf("v") == 1; }));
  f.Wait(Millis(200));
  BOOST_TEST(f.answers.empty());
  BOOST_TEST(f.leases_asked > 0);
  f.pool->SetLease(f.LeaseFor(Seconds(5), Term(3)));
  BOOST_REQUIRE(f.answers.size() == 1u);
  BOOST_TEST((f.answers[0].outcome == StatementStatus::kDone));
}

BOOST_AUTO_TEST_CASE(a_revoked_lease_holds_what_is_under_way) {
  CommitFixture f;
  f.group.SetWork(Millis(100));
  f.pool->SetLease(f.LeaseFor(Seconds(5)));
  f.Submit(f.Write("v"));
  BOOST_REQUIRE(f.RunUntil([&] { return f.runs() == 1; }));
  f.pool->SetLease(HeldLease());
  BOOST_REQUIRE(f.RunUntil([&] { return f.group.CountOf("v") == 1; }));
  f.Wait(Millis(100));
  BOOST_TEST(f.answers.empty());
}

BOOST_AUTO_TEST_CASE(a_held_acknowledgement_is_unknown_at_its_deadline) {
  CommitFixture f;
  RunRequest write = f.Write("v");
  write.timeout = Millis(1500);
  f.CommitAcrossTheLeasesEnd(std::move(write), "v");
  BOOST_REQUIRE(f.RunUntil([&] { return !f.answers.empty(); }));
  BOOST_TEST((f.answers[0].outcome == StatementStatus::kUnknown));
  BOOST_TEST(f.pool->Idle());
}

BOOST_AUTO_TEST_CASE(a_held_acknowledgement_is_unknown_when_the_pool_closes) {
  CommitFixture f;
  f.CommitAcrossTheLeasesEnd(f.Write("v"), "v");
  f.pool->Close();
  BOOST_REQUIRE(f.answers.size() == 1u);
  BOOST_TEST((f.answers[0].outcome == StatementStatus::kUnknown));
}

BOOST_AUTO_TEST_CASE(a_held_acknowledgement_ends_with_its_callers_relay) {
  CommitFixture f;
  f.CommitAcrossTheLeasesEnd(f.Write("v"), "v");
  f.pool->AbandonAll(RelayLink{VmId("a")});
  BOOST_REQUIRE(f.answers.size() == 1u);
  BOOST_TEST((f.answers[0].outcome == StatementStatus::kUnknown));
  BOOST_TEST(f.pool->Idle());
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_term_counts_under_an_unbroken_lease) {
  CommitFixture f;
  f.StripPositions();
  f.pool->SetLease(f.LeaseFor(Seconds(5)));
  RunAnswer answer = f.Run(f.Write("v"));
  BOOST_TEST((answer.outcome == StatementStatus::kDone));
  BOOST_TEST(!answer.at);
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_term_is_unknown_after_a_gap) {
  CommitFixture f;
  f.StripPositions();
  f.CommitAcrossTheLeasesEnd(f.Write("v"), "v");
  f.pool->SetLease(f.LeaseFor(Seconds(5)));
  BOOST_REQUIRE(f.answers.size() == 1u);
  BOOST_TEST((f.answers[0].outcome == StatementStatus::kUnknown));
}

BOOST_AUTO_TEST_CASE(a_failed_write_needs_no_lease_to_be_answered) {
  CommitFixture f;
  f.group.member(0).refuse_busy = 1;
  f.SubmitAndEndLease(f.Write("v"));
  BOOST_REQUIRE(f.RunUntil([&] { return !f.answers.empty(); }));
  BOOST_TEST((f.answers[0].outcome == StatementStatus::kBusy));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
