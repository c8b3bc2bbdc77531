#include "cardamomchute/relay/endpoint_pool.h"

#include <boost/test/unit_test.hpp>

#include "pool_fixture.h"

namespace cardamomchute {
namespace {

BOOST_AUTO_TEST_SUITE(endpoint_pool)

BOOST_AUTO_TEST_CASE(a_write_and_a_fenced_read_run_once) {
  Fixture f;
  RunAnswer wrote = f.Run(f.Request(RunStep::kSingle, "WRITE k v1"));
  BOOST_TEST((wrote.outcome == StatementStatus::kDone));
  RunAnswer read = f.Run(f.Request(RunStep::kSingle, "READ k"));
  BOOST_TEST((read.outcome == StatementStatus::kDone));
  BOOST_REQUIRE(read.rows.size() == 1u);
  BOOST_TEST(read.rows[0] == "v1|");
  BOOST_TEST(f.group.member(0).runs.size() == 2u);
}

/// Guards against a statement that runs in parts: a line feed is not the end of
/// its line.
BOOST_AUTO_TEST_CASE(a_statement_with_a_line_feed_runs_once_and_whole) {
  Fixture f;
  RunRequest write =
      f.Request(RunStep::kSingle, "WRITE k a\nQUERY x WRITE k b");
  RunAnswer wrote = f.Run(write);
  BOOST_TEST((wrote.outcome == StatementStatus::kDone));
  BOOST_REQUIRE(f.group.member(0).runs.size() == 1u);
  BOOST_TEST(f.group.member(0).runs[0] == write.id + " " + write.text);
  BOOST_TEST(f.group.commits() == 1u);
}

BOOST_AUTO_TEST_CASE(a_read_at_an_endpoint_that_lost_the_lead_does_not_run) {
  Fixture f;
  f.Run(f.Request(RunStep::kSingle, "READ k"));
  f.group.Promote(f.group.member(1).id);
  size_t before = f.group.member(0).runs.size();
  RunAnswer read = f.Run(f.Request(RunStep::kSingle, "READ k"));
  BOOST_TEST((read.outcome == StatementStatus::kReadOnly));
  BOOST_TEST(NotExecuted(read.outcome));
  BOOST_TEST(f.group.member(0).runs.size() == before);
  BOOST_TEST(!f.troubles.empty());
}

BOOST_AUTO_TEST_CASE(a_read_at_the_primary_waits_for_a_lease) {
  Fixture f(0, 3, Leases::kForAll);
  f.Submit(f.Request(RunStep::kSingle, "READ k"));
  f.RunUntil([&] { return f.leases_asked > 2; });
  BOOST_TEST(f.answers.empty());
  BOOST_TEST(f.group.member(0).runs.empty());
  f.pool->SetLease(f.LeaseFor(Seconds(5)));
  BOOST_TEST(f.RunUntil([&] { return !f.answers.empty(); }));
  BOOST_TEST((f.answers.at(0).outcome == StatementStatus::kDone));
}

BOOST_AUTO_TEST_CASE(a_replaced_primary_that_goes_on_is_not_read) {
  Fixture f(0, 3, Leases::kForAll);
  f.group.SetReplacedGoesOn();
  f.pool->SetLease(f.LeaseFor(Millis(300)));
  BOOST_TEST((f.Run(f.Request(RunStep::kSingle, "READ k")).outcome ==
              StatementStatus::kDone));
  BOOST_TEST((f.Run(f.Request(RunStep::kFirst, "WRITE k v")).outcome ==
              StatementStatus::kDone));
  f.RunUntil([until = Now() + Millis(310)] { return Now() > until; });
  f.group.Promote(f.group.member(1).id);
  size_t before = f.group.member(0).runs.size();
  RunRequest read = f.Request(RunStep::kSingle, "READ k");
  read.hold = Millis(200);
  RunAnswer answer = f.Run(std::move(read), "b");
  BOOST_TEST((answer.outcome == StatementStatus::kBusy));
  // No position of it counts for reads elsewhere.
  std::optional<FloorAnswer> floor;
  f.pool->AnswerFloor([&floor](const FloorAnswer& a) { floor = a; });
  BOOST_TEST(f.RunUntil([&] { return floor.has_value(); }));
  BOOST_TEST((!floor->at || floor->age >= Millis(200)));
  BOOST_TEST(f.group.member(0).runs.size() == before);
}

/// Without a position to compare, it would have to run on the primary.
BOOST_AUTO_TEST_CASE(a_read_only_transaction_at_the_primary_waits_for_a_lease) {
  Fixture f(0, 3, Leases::kForAll);
  RunRequest read = f.Request(RunStep::kFirst, "READ k");
  read.read_only = true;
  read.at_primary = false;
  read.max_staleness = Millis(1500);
  read.hold = Millis(200);
  RunAnswer answer = f.Run(std::move(read));
  BOOST_TEST((answer.outcome == StatementStatus::kBusy));
  BOOST_TEST(f.group.member(0).runs.empty());
}

/// A transaction that began with a write had no need of a lease.
BOOST_AUTO_TEST_CASE(a_read_in_a_transaction_without_a_lease_aborts_it) {
  Fixture f(0, 3, Leases::kForAll);
  BOOST_TEST(f.Run(f.Request(RunStep::kFirst, "WRITE k v")).transaction);
  RunAnswer read = f.Run(f.Request(RunStep::kNext, "READ k"));
  BOOST_TEST((read.outcome == StatementStatus::kAborted));
  BOOST_TEST(f.RunUntil([&] { return f.pool->Idle(); }));
  f.pool->SetLease(f.LeaseFor(Seconds(5)));
  BOOST_TEST(f.Run(f.Request(RunStep::kFirst, "READ k")).transaction);
  BOOST_TEST((f.Run(f.Request(RunStep::kNext, "READ k")).outcome ==
              StatementStatus::kDone));
}

/// What a route allows to be missing may have been committed after the lease.
BOOST_AUTO_TEST_CASE(a_read_that_may_be_stale_uses_a_lease_that_has_ended) {
  Fixture f(0, 3, Leases::kForAll);
  f.pool->SetLease(f.LeaseFor(Millis(1)));
  f.RunUntil([until = Now() + Millis(20)] { return Now() > until; });
  RunRequest read = f.Request(RunStep::kFirst, "READ k");
  read.max_staleness = Millis(1500);
  RunAnswer answer = f.Run(std::move(read));
  BOOST_TEST((answer.outcome == StatementStatus::kDone));
}

BOOST_AUTO_TEST_CASE(a_first_statement_after_a_refused_begin_does_not_run) {
  Fixture f;
  f.group.Promote(f.group.member(1).id);
  RunAnswer first = f.Run(f.Request(RunStep::kFirst, "WRITE k v"));
  BOOST_TEST((first.outcome == StatementStatus::kReadOnly));
  BOOST_TEST(f.group.member(0).runs.empty());
}

BOOST_AUTO_TEST_CASE(a_transaction_keeps_its_connection) {
  Fixture f;
  RunAnswer first = f.Run(f.Request(RunStep::kFirst, "WRITE k mine"));
  BOOST_TEST(first.transaction);
  RunAnswer other = f.Run(f.Request(RunStep::kSingle, "READ k"), "b");
  BOOST_TEST(other.rows[0] == "none|");
  RunAnswer commit = f.Run(f.Request(RunStep::kCommit, "COMMIT"));
  BOOST_TEST((commit.outcome == StatementStatus::kDone));
  BOOST_TEST(f.group.CountOf("mine") == 1u);
  RunAnswer after = f.Run(f.Request(RunStep::kSingle, "READ k"), "b");
  BOOST_TEST(after.rows[0] == "mine|");
}

BOOST_AUTO_TEST_CASE(what_is_abandoned_is_rolled_back) {
  Fixture f;
  f.Run(f.Request(RunStep::kFirst, "WRITE k gone"));
  f.pool->Abandon(KeyOf("a", 1), 1);
  BOOST_TEST(f.RunUntil([&] { return f.pool->Idle(); }));
  RunAnswer next = f.Run(f.Request(RunStep::kNext, "READ k"));
  BOOST_TEST((next.outcome == StatementStatus::kAborted));
  BOOST_TEST(f.group.CountOf("gone") == 0u);
}

BOOST_AUTO_TEST_CASE(a_lost_relay_takes_its_transactions_and_waiting_with_it) {
  Fixture f;
  f.Run(f.Request(RunStep::kFirst, "WRITE k gone"));
  f.pool->AbandonAll(RelayLink{VmId("a")});
  BOOST_TEST(f.RunUntil([&] { return f.pool->Idle(); }));
  BOOST_TEST(f.group.CountOf("gone") == 0u);
}

/// Has BEGIN of caller "a" under way, with `text` to follow: a connection is
/// idle, so that it is sent at once.
void BeginAnd(Fixture* f, const std::string& text) {
  f->Run(f->Request(RunStep::kSingle, "WRITE k before"));
  f->Submit(f->Request(RunStep::kFirst, text));
}

/// Guards against a transaction that stays open without an owner: its relay is
/// killed before BEGIN has been answered, and the numbers that the restarted
/// relay issues meet it again.
BOOST_AUTO_TEST_CASE(a_relay_lost_during_begin_leaves_no_transaction) {
  Fixture f;
  BeginAnd(&f, "WRITE k gone");
  f.pool->AbandonAll(RelayLink{VmId("a")});
  BOOST_TEST(f.RunUntil([&] { return f.pool->Idle(); }));
  RunAnswer next = f.Run(f.Request(RunStep::kNext, "WRITE k mixed"));
  BOOST_TEST((next.outcome == StatementStatus::kAborted));
  BOOST_TEST(f.Run(f.Request(RunStep::kFirst, "WRITE k own")).transaction);
  BOOST_TEST((f.Run(f.Request(RunStep::kCommit, "COMMIT")).outcome ==
              StatementStatus::kDone));
  BOOST_TEST(f.group.CountOf("own") == 1u);
  BOOST_TEST(f.group.CountOf("gone") == 0u);
  BOOST_TEST(f.group.CountOf("mixed") == 0u);
}

/// Guards against connections that callers take with them for good by leaving
/// before BEGIN has been answered.
BOOST_AUTO_TEST_CASE(callers_that_leave_during_begin_free_their_connections) {
  Fixture f;
  for (uint32_t i = 0; i < 3 * f.bounds.connections; ++i) {
    BeginAnd(&f, "WRITE k gone");
    f.pool->Abandon(KeyOf("a", 1), 1);
    BOOST_REQUIRE(f.RunUntil([&] { return f.pool->Idle(); }));
  }
  BOOST_TEST((f.Run(f.Request(RunStep::kSingle, "WRITE k v")).outcome ==
              StatementStatus::kDone));
  BOOST_TEST(f.group.CountOf("gone") == 0u);
}

/// Guards against a transaction that opens for a caller that left while the
/// statement waited for a log position.
BOOST_AUTO_TEST_CASE(what_waits_for_a_position_is_abandoned_with_its_caller) {
  Fixture f(1);
  f.hold_floor = true;
  RunRequest read = f.Request(RunStep::kFirst, "READ k");
  read.read_only = true;
  read.at_primary = false;
  read.max_staleness = Seconds(2);
  f.Submit(read);
  f.pool->Abandon(KeyOf("a", 1), 1);
  BOOST_REQUIRE(f.answers.size() == 1u);
  BOOST_TEST((f.answers[0].outcome == StatementStatus::kAborted));
  f.held_floor(FloorAnswer{0, Floor{Term(1), Position()}, Duration()});
  f.RunUntil([until = Now() + Millis(100)] { return Now() > until; });
  BOOST_TEST(f.pool->Idle());
  BOOST_TEST(f.group.member(1).runs.empty());
}

/// Numbers restart with the relay that issues them; the link does not.
BOOST_AUTO_TEST_CASE(a_transaction_belongs_to_the_link_that_opened_it) {
  Fixture f;
  RunRequest first = f.Request(RunStep::kFirst, "WRITE k old");
  std::optional<RunAnswer> opened;
  f.pool->Submit(first, SessionKey{RelayLink{VmId("a"), 1}, 1},
                 [&](const RunAnswer& answer) { opened = answer; });
  BOOST_REQUIRE(f.RunUntil([&] { return opened.has_value(); }));
  BOOST_TEST(opened->transaction);
  RunRequest next = f.Request(RunStep::kNext, "WRITE k new");
  std::optional<RunAnswer> joined;
  f.pool->Submit(next, SessionKey{RelayLink{VmId("a"), 2}, 1},
                 [&](const RunAnswer& answer) { joined = answer; });
  BOOST_REQUIRE(f.RunUntil([&] { return joined.has_value(); }));
  BOOST_TEST((joined->outcome == StatementStatus::kAborted));
}

BOOST_AUTO_TEST_CASE(connections_that_a_peak_left_unused_are_closed) {
  Fixture f;
  f.bounds.connections = 12;
  f.pool->SetBounds(f.bounds);
  // Each open transaction pins a connection.
  for (int i = 0; i < 8; ++i)
    f.Run(f.Request(RunStep::kFirst, "READ k"), "c" + std::to_string(i));
  BOOST_TEST(f.pool->connections() >= 8u);
  for (int i = 0; i < 8; ++i)
    f.pool->Abandon(KeyOf("c" + std::to_string(i), 1), 1);
  BOOST_REQUIRE(f.RunUntil([&] { return f.pool->Idle(); }));
  f.RunUntil([until = Now() + Millis(100)] { return Now() > until; });
  size_t open = f.pool->connections();
  f.pool->Trim(Now());
  BOOST_TEST(f.pool->connections() == open);
  f.pool->Trim(Now() + Seconds(4));
  BOOST_TEST(f.pool->connections() == f.bounds.slots + 1);
  BOOST_TEST((f.Run(f.Request(RunStep::kSingle, "READ k")).outcome ==
              StatementStatus::kDone));
}

BOOST_AUTO_TEST_CASE(no_connections_are_opened_while_a_lease_is_missing) {
  Fixture f(0, 3, Leases::kForAll);
  f.pool->Warm();
  f.RunUntil([until = Now() + Millis(100)] { return Now() > until; });
  size_t open = f.pool->connections();
  for (int i = 0; i < 5; ++i)
    f.Submit(f.Request(RunStep::kSingle, "READ k"), "c" + std::to_string(i));
  f.RunUntil([until = Now() + Millis(200)] { return Now() > until; });
  BOOST_TEST(f.pool->connections() == open);
}

BOOST_AUTO_TEST_CASE(values_of_one_session_never_reach_another) {
  Fixture f;
  RunRequest with = f.Request(RunStep::kSingle, "READ k");
  with.values = {{"tz", "nz"}};
  BOOST_TEST(f.Run(with, "a").rows[0] == "none|tz=nz");
  BOOST_TEST(f.Run(f.Request(RunStep::kSingle, "READ k"), "b").rows[0] ==
             "none|");
  RunRequest other = f.Request(RunStep::kSingle, "READ k");
  other.values = {{"lang", "da"}};
  BOOST_TEST(f.Run(other, "c").rows[0] == "none|lang=da");
}

BOOST_AUTO_TEST_CASE(no_more_than_the_slots_run_at_a_time) {
  Fixture f;
  f.group.SetWork(Millis(10));
  for (int i = 0; i < 12; ++i)
    f.Submit(f.Request(RunStep::kSingle, "WRITE k v" + std::to_string(i)),
             "c" + std::to_string(i));
  BOOST_TEST(f.RunUntil([&] { return f.answers.size() == 12; }));
  BOOST_TEST(f.group.member(0).most_running <= 2u);
  BOOST_TEST(f.group.member(0).connections <= 4u);
}

BOOST_AUTO_TEST_CASE(urgent_statements_go_first) {
  Fixture f;
  f.bounds.slots = 1;
  f.pool->SetBounds(f.bounds);
  f.Run(f.Request(RunStep::kSingle, "WRITE k warm"));
  f.group.SetWork(Millis(5));
  for (int i = 0; i < 3; ++i) {
    RunRequest low = f.Request(RunStep::kSingle, "WRITE low x");
    low.rank = Rank(2);
    f.Submit(low, "l" + std::to_string(i));
  }
  RunRequest urgent = f.Request(RunStep::kSingle, "WRITE urgent x");
  f.Submit(urgent, "u");
  f.RunUntil([&] { return f.answers.size() == 5; });
  const std::vector<std::string>& runs = f.group.member(0).runs;
  BOOST_REQUIRE(runs.size() == 5u);
  BOOST_TEST(runs[2].find("urgent") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(what_can_no_longer_be_in_time_lets_others_go_first) {
  Fixture f;
  f.bounds.slots = 1;
  f.pool->SetBounds(f.bounds);
  f.Run(f.Request(RunStep::kSingle, "WRITE k warm"));
  f.group.SetWork(Millis(150));
  f.Submit(f.Request(RunStep::kSingle, "WRITE running x"), "r");
  RunRequest late = f.Request(RunStep::kSingle, "WRITE late x");
  late.target = Millis(1);
  f.Submit(late, "l");
  Time limit = Now() + Millis(100);
  f.RunUntil([&] { return Now() > limit; });
  f.Submit(f.Request(RunStep::kSingle, "WRITE intime x"), "i");
  f.RunUntil([&] { return f.answers.size() == 4; });
  const std::vector<std::string>& runs = f.group.member(0).runs;
  BOOST_REQUIRE(runs.size() == 4u);
  BOOST_TEST(runs[2].find("intime") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(
    a_write_whose_answer_is_lost_is_unknown_and_not_sent_again) {
  Fixture f;
  f.group.member(0).mute_commits = true;
  RunRequest write = f.Request(RunStep::kSingle, "WRITE k once");
  write.timeout = Millis(300);
  RunAnswer answer = f.Run(write);
  BOOST_TEST((answer.outcome == StatementStatus::kUnknown));
  BOOST_TEST(f.group.CountOf("once") == 1u);
}

/// Keeps the endpoint answering others until the first `count` have come back.
void AnswerOthers(Fixture* f, const size_t& come_back, size_t count) {
  f->RunUntil([f, &come_back, count] {
    f->Run(f->Request(RunStep::kSingle, "READ k"), "other");
    return come_back >= count;
  });
}

BOOST_AUTO_TEST_CASE(a_read_whose_answer_is_lost_ends_long_before_its_time) {
  Fixture f;
  f.Run(f.Request(RunStep::kSingle, "READ k"));
  f.group.member(0).lose_answers = 1;
  RunRequest read = f.Request(RunStep::kSingle, "READ k");
  read.timeout = Seconds(3600);
  size_t come_back = 0;
  StatementStatus outcome = StatementStatus::kDone;
  f.pool->Submit(read, KeyOf("a", 1), [&](const RunAnswer& answer) {
    ++come_back;
    outcome = answer.outcome;
  });
  AnswerOthers(&f, come_back, 1);
  BOOST_REQUIRE(come_back == 1u);
  BOOST_TEST((outcome == StatementStatus::kTimeout));
}

BOOST_AUTO_TEST_CASE(a_missing_answer_is_not_taken_from_what_follows) {
  Fixture f;
  f.group.member(0).skip_answers = 1;
  // Followed by the end of its own transaction, which is answered.
  RunAnswer read = f.Run(f.Request(RunStep::kSingle, "READ k"));
  BOOST_TEST((read.outcome == StatementStatus::kUnknown));
  BOOST_TEST((f.Run(f.Request(RunStep::kSingle, "READ k")).outcome ==
              StatementStatus::kDone));
}

BOOST_AUTO_TEST_CASE(only_what_leaves_no_trace_is_given_up_early) {
  Fixture f;
  f.Run(f.Request(RunStep::kSingle, "READ k"));
  RunRequest first = f.Request(RunStep::kFirst, "WRITE k in_transaction");
  first.timeout = Seconds(3600);
  RunRequest write = f.Request(RunStep::kSingle, "WRITE k alone");
  write.timeout = Seconds(3600);
  f.group.member(0).lose_answers = 2;
  size_t come_back = 0;
  StatementStatus outcome = StatementStatus::kDone;
  bool alone_ended = false;
  f.pool->Submit(write, KeyOf("a", 1),
                 [&](const RunAnswer&) { alone_ended = true; });
  f.RunUntil([&] { return f.group.member(0).lose_answers == 1; });
  f.pool->Submit(first, KeyOf("b", 2), [&](const RunAnswer& answer) {
    ++come_back;
    outcome = answer.outcome;
  });
  f.RunUntil([&] { return f.group.member(0).lose_answers == 0; });
  // Others need a connection and a slot beside the two.
  f.bounds.slots = 3;
  f.pool->SetBounds(f.bounds);
  AnswerOthers(&f, come_back, 1);
  BOOST_REQUIRE(come_back == 1u);
  BOOST_TEST((outcome == StatementStatus::kAborted));
  BOOST_TEST(f.group.CountOf("in_transaction") == 0u);
  BOOST_TEST(!alone_ended);
}

BOOST_AUTO_TEST_CASE(a_transaction_that_loses_its_connection_is_aborted) {
  Fixture f;
  f.Run(f.Request(RunStep::kFirst, "WRITE k v"));
  f.group.Kill(0);
  RunAnswer next = f.Run(f.Request(RunStep::kNext, "READ k"));
  BOOST_TEST((next.outcome == StatementStatus::kAborted));
  BOOST_TEST(f.group.CountOf("v") == 0u);
}

BOOST_AUTO_TEST_CASE(nothing_waits_for_an_endpoint_that_answers_nothing) {
  Fixture f;
  f.Run(f.Request(RunStep::kSingle, "WRITE k v"));
  f.group.member(0).silent = true;
  for (int i = 0; i < 4; ++i)
    f.Submit(f.Request(RunStep::kSingle, "READ k"), "c" + std::to_string(i));
  BOOST_TEST(f.RunUntil([&] { return f.answers.size() >= 3; }));
  BOOST_TEST((f.answers[1].outcome == StatementStatus::kUnreachable));
  BOOST_TEST(f.RunUntil([&] { return !f.troubles.empty(); }));
  BOOST_TEST((f.troubles.front() == EndpointProblem::kSilent));
}

BOOST_AUTO_TEST_CASE(a_refused_connection_is_reported_and_ends_the_waiting) {
  Fixture f;
  f.group.Kill(0);
  RunAnswer answer = f.Run(f.Request(RunStep::kSingle, "READ k"));
  BOOST_TEST((answer.outcome == StatementStatus::kUnreachable));
  BOOST_REQUIRE(!f.troubles.empty());
  BOOST_TEST((f.troubles.front() == EndpointProblem::kRefused));
}

BOOST_AUTO_TEST_CASE(writes_that_no_replica_receives_are_reported_as_stalled) {
  Fixture f;
  f.Run(f.Request(RunStep::kSingle, "WRITE k v"));
  f.group.member(1).paused_below = 9;
  f.group.member(2).paused_below = 9;
  f.Submit(f.Request(RunStep::kSingle, "WRITE k stuck"));
  // Reads are answered all the while.
  auto read_on = [&] {
    f.Run(f.Request(RunStep::kSingle, "READ k"), "r");
    return !f.troubles.empty();
  };
  BOOST_TEST(f.RunUntil(read_on));
  BOOST_TEST((f.troubles.front() == EndpointProblem::kStalled));
}

RunRequest BoundedRead(Fixture* f, Duration staleness) {
  RunRequest read = f->Request(RunStep::kSingle, "READ k");
  read.at_primary = false;
  read.max_staleness = staleness;
  return read;
}

BOOST_AUTO_TEST_CASE(a_replica_reads_only_what_is_fresh_enough) {
  Fixture f(1);
  f.floor = FloorAnswer{0, Floor{Term(1), Position(5)}, Duration()};
  RunAnswer lacks = f.Run(BoundedRead(&f, Seconds(2)));
  BOOST_TEST((lacks.outcome == StatementStatus::kLagging));
  f.group.member(1).applied = 5;
  RunAnswer has = f.Run(BoundedRead(&f, Seconds(2)));
  BOOST_TEST((has.outcome == StatementStatus::kDone));
}

BOOST_AUTO_TEST_CASE(a_replica_is_not_read_while_no_position_is_known) {
  Fixture f(1);
  RunAnswer answer = f.Run(BoundedRead(&f, Seconds(2)));
  BOOST_TEST((answer.outcome == StatementStatus::kLagging));
  BOOST_TEST(f.group.member(1).runs.empty());
}

BOOST_AUTO_TEST_CASE(a_position_that_is_older_than_the_bound_does_not_do) {
  Fixture f(1);
  f.floor = FloorAnswer{0, Floor{Term(1), Position()}, Millis(1500)};
  RunAnswer answer = f.Run(BoundedRead(&f, Millis(1000)));
  BOOST_TEST((answer.outcome == StatementStatus::kLagging));
  BOOST_TEST(f.group.member(1).runs.empty());
}

BOOST_AUTO_TEST_CASE(the_sessions_own_commits_bind_its_reads) {
  Fixture f(1);
  f.floor = FloorAnswer{0, Floor{Term(1), Position()}, Duration()};
  RunRequest read = BoundedRead(&f, Seconds(2));
  read.floor = Floor{Term(1), Position(3)};
  BOOST_TEST((f.Run(read).outcome == StatementStatus::kLagging));
  f.group.member(1).applied = 3;
  BOOST_TEST((f.Run(read).outcome == StatementStatus::kDone));
}

BOOST_AUTO_TEST_CASE(a_leader_tells_a_position_that_it_has_proved) {
  Fixture f;
  std::optional<FloorAnswer> told;
  f.Run(f.Request(RunStep::kSingle, "WRITE k v"));
  f.pool->AnswerFloor([&](const FloorAnswer& answer) { told = answer; });
  BOOST_TEST(f.RunUntil([&] { return told.has_value(); }));
  BOOST_REQUIRE(told->at);
  BOOST_TEST(told->at->position.value() == 1u);
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_lost_the_lead_tells_no_new_position) {
  Fixture f;
  f.pool->Warm();
  f.group.Promote(f.group.member(1).id);
  std::optional<FloorAnswer> told;
  f.RunUntil([&] { return f.group.member(0).connections > 0; });
  f.pool->AnswerFloor([&](const FloorAnswer& answer) { told = answer; });
  BOOST_TEST(f.RunUntil([&] { return told.has_value(); }));
  BOOST_TEST(!told->at);
}

BOOST_AUTO_TEST_CASE(another_endpoint_at_the_address_runs_nothing) {
  Fixture f;
  f.group.member(0).id = EndpointId("successor");
  RunAnswer answer = f.Run(f.Request(RunStep::kSingle, "WRITE k v"));
  BOOST_TEST((answer.outcome == StatementStatus::kMisrouted));
  BOOST_TEST(f.group.commits() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomchute
