#include <boost/test/unit_test.hpp>

#include "cardamomchute/relay/endpoint_pool.h"
#include "pool_fixture.h"

namespace cardamomchute {
namespace {

/// A pool to an endpoint that leaves.
struct LeavingFixture : Fixture {
  using Fixture::Fixture;

  /// The endpoint gets nothing new after `left`.
  void DrainIn(Duration left) {
    bounds.leaving_since = Now() + left - kLeavingUse;
    pool->SetBounds(bounds);
  }
  size_t runs(size_t member = 0) { return group.member(member).runs.size(); }
};

bool RefusedAsLeaving(const RunAnswer& answer) {
  return answer.outcome == StatementStatus::kBusy &&
         NotExecuted(answer.outcome) && answer.detail == kEndpointLeaves;
}

BOOST_AUTO_TEST_SUITE(endpoint_pool_drain)

BOOST_AUTO_TEST_CASE(a_leaving_primary_is_used_until_its_drain_ends) {
  LeavingFixture f;
  f.DrainIn(Seconds(3));
  RunAnswer before = f.Run(f.Request(RunStep::kSingle, "WRITE k v"));
  BOOST_TEST((before.outcome == StatementStatus::kDone));
  f.DrainIn(Duration());
  BOOST_TEST(RefusedAsLeaving(f.Run(f.Request(RunStep::kSingle, "WRITE k w"))));
  BOOST_TEST(RefusedAsLeaving(f.Run(f.Request(RunStep::kSingle, "READ k"))));
  BOOST_TEST(RefusedAsLeaving(f.Run(f.Request(RunStep::kFirst, "READ k"))));
  BOOST_TEST(f.runs() == 1u);
  // It has not left after all: its process is another one.
  f.bounds.leaving_since.reset();
  f.pool->SetBounds(f.bounds);
  BOOST_TEST((f.Run(f.Request(RunStep::kSingle, "READ k")).outcome ==
              StatementStatus::kDone));
}

BOOST_AUTO_TEST_CASE(a_leaving_replica_gets_nothing_new_either) {
  LeavingFixture f(1);
  f.floor = FloorAnswer{0, Floor{Term(1), Position()}, Duration()};
  f.DrainIn(Duration());
  RunRequest read = f.Request(RunStep::kSingle, "READ k");
  read.at_primary = false;
  read.max_staleness = Seconds(2);
  RunAnswer answer = f.Run(std::move(read));
  BOOST_TEST(RefusedAsLeaving(answer));
  BOOST_TEST(f.runs(1) == 0u);
}

BOOST_AUTO_TEST_CASE(statements_of_open_transactions_go_on) {
  LeavingFixture f;
  BOOST_TEST(f.Run(f.Request(RunStep::kFirst, "WRITE k v")).transaction);
  f.DrainIn(Duration());
  BOOST_TEST((f.Run(f.Request(RunStep::kNext, "READ k")).outcome ==
              StatementStatus::kDone));
  BOOST_TEST((f.Run(f.Request(RunStep::kCommit, "COMMIT")).outcome ==
              StatementStatus::kDone));
  BOOST_TEST(f.group.CountOf("v") == 1u);
}

/// Guards against statements that reach the endpoint late from the queue.
BOOST_AUTO_TEST_CASE(queued_statements_are_refused_when_the_drain_ends) {
  LeavingFixture f;
  f.group.SetWork(Millis(600));
  f.Submit(f.Request(RunStep::kSingle, "WRITE k a"), "a");
  f.Submit(f.Request(RunStep::kSingle, "WRITE k b"), "b");
  BOOST_REQUIRE(f.RunUntil([&] { return f.runs() == 2; }));
  f.DrainIn(Millis(100));
  f.Submit(f.Request(RunStep::kSingle, "WRITE k c"), "c");
  f.Submit(f.Request(RunStep::kFirst, "READ k"), "d");
  // They do not wait for a slot to become free.
  BOOST_REQUIRE(f.RunUntil([&] { return f.answers.size() >= 2; }));
  BOOST_TEST(RefusedAsLeaving(f.answers[0]));
  BOOST_TEST(RefusedAsLeaving(f.answers[1]));
  BOOST_REQUIRE(f.RunUntil([&] { return f.answers.size() == 4; }));
  BOOST_TEST((f.answers[2].outcome == StatementStatus::kDone));
  BOOST_TEST((f.answers[3].outcome == StatementStatus::kDone));
  BOOST_TEST(f.RunUntil([&] { return f.pool->Idle(); }));
  BOOST_TEST(f.runs() == 2u);
}

/// Guards against a read that waits for a position while its replica drains.
BOOST_AUTO_TEST_CASE(a_read_that_waits_for_a_position_is_refused_as_well) {
  LeavingFixture f(1);
  f.hold_floor = true;
  f.DrainIn(Millis(100));
  RunRequest read = f.Request(RunStep::kSingle, "READ k");
  read.at_primary = false;
  read.max_staleness = Seconds(2);
  RunAnswer answer = f.Run(std::move(read));
  BOOST_TEST(RefusedAsLeaving(answer));
  f.held_floor(FloorAnswer{0, Floor{Term(1), Position()}, Duration()});
  f.Wait(Millis(100));
  BOOST_TEST(f.runs(1) == 0u);
}

/// Guards against a statement that follows its BEGIN after the drain.
BOOST_AUTO_TEST_CASE(a_statement_whose_setup_ends_too_late_is_not_sent) {
  LeavingFixture f;
  f.Run(f.Request(RunStep::kSingle, "READ k"));
  // The BEGIN is on its way, as the connection is idle.
  f.Submit(f.Request(RunStep::kFirst, "WRITE k v"));
  f.DrainIn(Duration());
  BOOST_REQUIRE(f.RunUntil([&] { return f.answers.size() == 2; }));
  BOOST_TEST(RefusedAsLeaving(f.answers[1]));
  BOOST_TEST(f.RunUntil([&] { return f.pool->Idle(); }));
  BOOST_TEST(f.runs() == 1u);
}

BOOST_AUTO_TEST_CASE(a_drained_primary_still_tells_its_position) {
  LeavingFixture f;
  f.DrainIn(Duration());
  f.pool->Warm();
  BOOST_REQUIRE(f.RunUntil([&] { return f.group.member(0).connections > 0; }));
  std::optional<FloorAnswer> told;
  auto asks_again = [&] {
    if (!told) return false;
    if (told->at) return true;
    told.reset();
    f.pool->AnswerFloor([&](const FloorAnswer& answer) { told = answer; });
    return false;
  };
  f.pool->AnswerFloor([&](const FloorAnswer& answer) { told = answer; });
  BOOST_TEST(f.RunUntil(asks_again));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
