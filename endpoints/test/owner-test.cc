#include "cardamomchute/endpoints/owner.h"

#include <boost/test/unit_test.hpp>

#include "owner_fixture.h"

namespace cardamomchute {

BOOST_AUTO_TEST_CASE(a_write_is_answered_with_its_floor) {
  OwnerFixture f;
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  BOOST_REQUIRE(f.Run(*caller, "INSERT a"));
  BOOST_TEST((caller->outcome() == StatementOutcome::kAnswered));
  BOOST_TEST(caller->bytes == pgwire::CommandComplete("INSERT 0 1"));
  BOOST_REQUIRE(caller->last().floor.has_value());
  BOOST_TEST(caller->last().floor->term == Term(1));
  BOOST_TEST(caller->last().floor->position ==
             Position(f.endpoints[0]->received));
}

BOOST_AUTO_TEST_CASE(a_group_of_another_vm_resets_the_channel) {
  OwnerFixture f;
  f.record().owner = VmId("other");
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect();
  BOOST_TEST(caller->resets.empty());
  BOOST_REQUIRE(f.Until([&] { return !caller->resets.empty(); }));
  BOOST_TEST(caller->resets[0].sent_nothing);
}

BOOST_AUTO_TEST_CASE(an_sql_error_is_an_answer) {
  OwnerFixture f;
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect();
  BOOST_REQUIRE(f.Run(*caller, "fail now"));
  BOOST_TEST((caller->outcome() == StatementOutcome::kAnswered));
  BOOST_TEST(caller->bytes.find("42601") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_unknown_primary_is_found_and_recorded) {
  OwnerFixture f(3);
  f.record().primary = EndpointId();
  f.record().term = Term(0);
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect();
  BOOST_REQUIRE(f.Run(*caller, "INSERT a"));
  BOOST_TEST((caller->outcome() == StatementOutcome::kAnswered));
  BOOST_TEST(f.record().primary == f.Id(0));
}

BOOST_AUTO_TEST_CASE(a_write_is_never_sent_twice) {
  OwnerFixture f;
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect();
  f.endpoints[0]->hold_answers = true;
  f.Send(*caller, "INSERT once");
  BOOST_REQUIRE(
      f.Until([&] { return f.endpoints[0]->Count("INSERT once") == 1; }));
  f.endpoints[0]->ResetConnections();
  BOOST_REQUIRE(f.Until([&] { return !caller->ends.empty(); }));
  BOOST_TEST((caller->outcome() == StatementOutcome::kUnknown));
  BOOST_TEST(caller->last().sqlstate == "08007");
  f.endpoints[0]->Release();
  BOOST_REQUIRE(f.Run(*caller, "INSERT next"));
  BOOST_TEST(f.endpoints[0]->Count("INSERT once") == 1U);
}

BOOST_AUTO_TEST_CASE(an_operation_key_runs_once) {
  OwnerFixture f;
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  Statement statement = f.Make(*caller, "INSERT a", StatementKind::kWrite);
  statement.operation_key = OperationKey("it's key 1");
  BOOST_REQUIRE(f.Run(*caller, statement));
  BOOST_TEST((caller->outcome() == StatementOutcome::kAnswered));
  BOOST_TEST(caller->last().transaction_status == 'I');
  BOOST_TEST(caller->bytes == pgwire::CommandComplete("INSERT 0 1"));
  std::unique_ptr<TestCaller> again = f.Connect("other");
  statement.number = again->next++;
  BOOST_REQUIRE(f.Run(*again, statement));
  BOOST_TEST((again->outcome() == StatementOutcome::kNotRun));
  BOOST_TEST(again->last().sqlstate == "23505");
  BOOST_TEST(again->last().transaction_status == 'I');
  BOOST_TEST(again->bytes.empty());
  BOOST_REQUIRE(f.Run(*again, "INSERT b"));
  BOOST_TEST((again->outcome() == StatementOutcome::kAnswered));
}

BOOST_AUTO_TEST_CASE(a_failed_statement_leaves_its_operation_key_free) {
  OwnerFixture f;
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  Statement statement = f.Make(*caller, "fail", StatementKind::kWrite);
  statement.operation_key = OperationKey("k");
  BOOST_REQUIRE(f.Run(*caller, statement));
  BOOST_TEST((caller->outcome() == StatementOutcome::kAnswered));
  BOOST_TEST(caller->bytes.find("42601") != std::string::npos);
  BOOST_TEST(caller->last().transaction_status == 'I');
  statement = f.Make(*caller, "INSERT a", StatementKind::kWrite);
  statement.operation_key = OperationKey("k");
  BOOST_REQUIRE(f.Run(*caller, statement));
  BOOST_TEST((caller->outcome() == StatementOutcome::kAnswered));
}

BOOST_AUTO_TEST_CASE(an_operation_key_in_a_block_is_recorded_once) {
  OwnerFixture f;
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  for (int round = 0; round < 2; ++round) {
    BOOST_REQUIRE(f.Run(*caller, "BEGIN", StatementKind::kBegin));
    for (const char* sql : {"INSERT a", "INSERT b"}) {
      Statement statement = f.Make(*caller, sql, StatementKind::kWrite);
      statement.operation_key = OperationKey("k");
      BOOST_REQUIRE(f.Run(*caller, statement));
      if (round == 1) break;
      BOOST_TEST((caller->outcome() == StatementOutcome::kAnswered));
    }
    if (round == 0) BOOST_REQUIRE(f.Run(*caller, "COMMIT"));
  }
  BOOST_TEST(caller->last().sqlstate == "23505");
  BOOST_TEST(caller->last().transaction_status == 'E');
  BOOST_REQUIRE(f.Run(*caller, "ROLLBACK"));
  BOOST_TEST(caller->last().transaction_status == 'I');
}

BOOST_AUTO_TEST_CASE(a_read_goes_again_after_a_broken_connection) {
  OwnerFixture f;
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect();
  f.endpoints[0]->hold_answers = true;
  f.Send(*caller, "SELECT 1", StatementKind::kRead);
  BOOST_REQUIRE(
      f.Until([&] { return f.endpoints[0]->Count("SELECT 1") == 1; }));
  f.endpoints[0]->ResetConnections();
  f.endpoints[0]->Release();
  BOOST_REQUIRE(f.Until([&] { return !caller->ends.empty(); }));
  BOOST_TEST(caller->last().message == "");
  BOOST_TEST((caller->outcome() == StatementOutcome::kAnswered));
  BOOST_TEST(f.endpoints[0]->Count("SELECT 1") == 2U);
}

BOOST_AUTO_TEST_CASE(a_replica_behind_the_floor_is_not_read) {
  OwnerFixture f(2);
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect("s");
  f.endpoints[1]->replays = false;
  BOOST_REQUIRE(f.Run(*caller, "INSERT a"));
  BOOST_REQUIRE(f.Run(*caller, "SELECT 1", StatementKind::kRead));
  BOOST_TEST((caller->outcome() == StatementOutcome::kAnswered));
  BOOST_TEST(!caller->last().by_replica);
  f.endpoints[1]->replayed = f.endpoints[1]->received;
  BOOST_REQUIRE(f.Until([&] {
    BOOST_REQUIRE(f.Run(*caller, "SELECT 1", StatementKind::kRead));
    return caller->last().by_replica;
  }));
}

BOOST_AUTO_TEST_CASE(two_channels_of_a_session_share_its_floor) {
  OwnerFixture f(2);
  f.Start();
  std::unique_ptr<TestCaller> writer = f.Connect("s");
  std::unique_ptr<TestCaller> reader = f.Connect("s");
  BOOST_REQUIRE(f.Until([&] {
    BOOST_REQUIRE(f.Run(*reader, "SELECT 1", StatementKind::kRead));
    return reader->last().by_replica;
  }));
  f.endpoints[1]->replays = false;
  BOOST_REQUIRE(f.Run(*writer, "INSERT a"));
  BOOST_REQUIRE(f.Run(*reader, "SELECT 1", StatementKind::kRead));
  BOOST_TEST(!reader->last().by_replica);
}

BOOST_AUTO_TEST_CASE(an_arriving_session_sees_what_was_acknowledged) {
  OwnerFixture f(2);
  f.Start();
  std::unique_ptr<TestCaller> writer = f.Connect("writer");
  f.endpoints[1]->replays = false;
  BOOST_REQUIRE(f.Run(*writer, "INSERT a"));
  std::unique_ptr<TestCaller> arrives = f.Connect("other");
  BOOST_REQUIRE(f.Run(*arrives, "SELECT 1", StatementKind::kRead));
  BOOST_TEST(!arrives->last().by_replica);
}

BOOST_AUTO_TEST_CASE(a_staleness_bound_is_kept) {
  OwnerFixture f(2);
  f.Start();
  std::unique_ptr<TestCaller> reader = f.Connect("reader");
  BOOST_REQUIRE(f.Until([&] {
    BOOST_REQUIRE(f.Run(*reader, "SELECT 1", StatementKind::kRead));
    return reader->last().by_replica;
  }));
  f.endpoints[1]->replays = false;
  std::unique_ptr<TestCaller> writer = f.Connect("writer");
  BOOST_REQUIRE(f.Run(*writer, "INSERT a"));
  f.RunFor(Millis(400));
  Statement bounded = f.Make(*reader, "SELECT 2", StatementKind::kRead);
  bounded.max_staleness = Millis(200);
  BOOST_REQUIRE(f.Run(*reader, bounded));
  BOOST_TEST(!reader->last().by_replica);
  std::unique_ptr<TestCaller> other = f.Connect("reader");
  Statement exact = f.Make(*other, "SELECT 3", StatementKind::kRead);
  exact.max_staleness = Duration(0);
  BOOST_REQUIRE(f.Run(*other, exact));
  BOOST_TEST(!other->last().by_replica);
}

BOOST_AUTO_TEST_CASE(a_floor_of_a_term_that_lost_its_tail_is_an_error_once) {
  OwnerFixture f(2);
  f.KnowPrimary(0, 2);
  for (std::unique_ptr<FakeEndpoint>& e : f.endpoints) e->term = 2;
  f.Start();
  std::unique_ptr<TestCaller> caller =
      f.Connect("s", Floor{Term(1), Position(5000)});
  BOOST_REQUIRE(f.Run(*caller, "SELECT 1", StatementKind::kRead));
  BOOST_TEST((caller->outcome() == StatementOutcome::kNotRun));
  BOOST_TEST(caller->last().sqlstate == "40001");
  BOOST_TEST(f.endpoints[0]->Count("SELECT 1") == 0U);
  BOOST_TEST(f.endpoints[1]->Count("SELECT 1") == 0U);
  BOOST_REQUIRE(f.Run(*caller, "SELECT 1", StatementKind::kRead));
  BOOST_TEST((caller->outcome() == StatementOutcome::kAnswered));
}

BOOST_AUTO_TEST_CASE(a_waiting_statement_is_cancelled_without_running) {
  OwnerFixture f;
  f.Start();
  std::vector<std::unique_ptr<TestCaller>> callers;
  f.endpoints[0]->hold_answers = true;
  for (int i = 0; i < 3; ++i) callers.push_back(f.Connect());
  f.Send(*callers[0], "INSERT 0");
  f.Send(*callers[1], "INSERT 1");
  BOOST_REQUIRE(
      f.Until([&] { return f.endpoints[0]->statements.size() == 2; }));
  f.Send(*callers[2], "INSERT 2");
  callers[2]->to_owner(CancelStatement{1});
  BOOST_REQUIRE(f.Until([&] { return !callers[2]->ends.empty(); }));
  BOOST_TEST(callers[2]->last().sqlstate == "57014");
  f.endpoints[0]->Release();
  BOOST_REQUIRE(f.Until([&] { return !callers[1]->ends.empty(); }));
  f.RunFor(Millis(30));
  BOOST_TEST(f.endpoints[0]->Count("INSERT 2") == 0U);
}

BOOST_AUTO_TEST_CASE(a_running_statement_is_cancelled_at_the_endpoint) {
  OwnerFixture f;
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect();
  f.endpoints[0]->hold_answers = true;
  f.Send(*caller, "INSERT 0");
  BOOST_REQUIRE(
      f.Until([&] { return f.endpoints[0]->statements.size() == 1; }));
  caller->to_owner(CancelStatement{1});
  BOOST_REQUIRE(f.Until([&] { return f.endpoints[0]->cancels == 1; }));
}

BOOST_AUTO_TEST_CASE(urgent_statements_go_first) {
  OwnerFixture f;
  f.Start();
  std::vector<std::unique_ptr<TestCaller>> callers;
  f.endpoints[0]->hold_answers = true;
  for (int i = 0; i < 4; ++i) {
    callers.push_back(f.Connect());
    Statement s = f.Make(*callers[i], "INSERT bulk" + std::to_string(i),
                         StatementKind::kWrite);
    s.rank = Rank(1);
    callers[i]->to_owner(s);
  }
  BOOST_REQUIRE(
      f.Until([&] { return f.endpoints[0]->statements.size() == 2; }));
  callers.push_back(f.Connect());
  f.Send(*callers[4], "INSERT urgent");
  f.endpoints[0]->Release();
  BOOST_REQUIRE(f.Until([&] {
    return std::all_of(callers.begin(), callers.end(),
                       [](const auto& c) { return !c->ends.empty(); });
  }));
  std::vector<std::string> inserts;
  for (const std::string& sql : f.endpoints[0]->statements) {
    if (sql != pgwire::kResetSql) inserts.push_back(sql);
  }
  BOOST_REQUIRE(inserts.size() == 5U);
  BOOST_TEST(inserts[2] == "INSERT urgent");
}

BOOST_AUTO_TEST_CASE(a_statement_without_an_endpoint_is_refused_in_time) {
  OwnerFixture f;
  f.endpoints[0]->Kill();
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect();
  Statement statement = f.Make(*caller, "INSERT a", StatementKind::kWrite);
  statement.deadline = Millis(100);
  BOOST_REQUIRE(f.Run(*caller, statement));
  BOOST_TEST((caller->outcome() == StatementOutcome::kNotRun));
  BOOST_TEST(caller->last().sqlstate == "57P03");
}

BOOST_AUTO_TEST_CASE(a_large_result_waits_for_its_reader) {
  OwnerFixture f;
  f.Start();
  std::unique_ptr<TestCaller> caller = f.Connect();
  caller->reads = false;
  constexpr size_t kRows = 40000;
  f.Send(*caller, "SELECT rows " + std::to_string(kRows), StatementKind::kRead);
  BOOST_REQUIRE(f.Until([&] { return caller->unread >= kChannelWindowBytes; }));
  f.RunFor(Millis(100));
  BOOST_TEST(caller->unread == kChannelWindowBytes);
  BOOST_TEST(caller->ends.empty());
  BOOST_TEST(f.endpoints[0]->bytes_sent < kRows * 1000 / 2);
  caller->reads = true;
  caller->to_owner(Credit{kChannelWindowBytes});
  BOOST_REQUIRE(f.Until([&] { return !caller->ends.empty(); }));
  BOOST_TEST((caller->outcome() == StatementOutcome::kAnswered));
  BOOST_TEST(caller->bytes.size() > kRows * 1000);
}

BOOST_AUTO_TEST_CASE(a_lost_group_resets_what_runs_and_what_waits) {
  OwnerFixture f;
  f.Start();
  std::unique_ptr<TestCaller> running = f.Connect();
  f.endpoints[0]->hold_answers = true;
  f.Send(*running, "INSERT a");
  BOOST_REQUIRE(
      f.Until([&] { return f.endpoints[0]->statements.size() == 1; }));
  std::unique_ptr<TestCaller> idle = f.Connect();
  f.view = std::make_shared<ClusterView>(*f.view);
  f.record().owner = VmId("other");
  f.Publish();
  BOOST_REQUIRE(f.Until(
      [&] { return !running->resets.empty() && !idle->resets.empty(); }));
  BOOST_TEST(!running->resets[0].sent_nothing);
  BOOST_TEST(idle->resets[0].sent_nothing);
}

BOOST_AUTO_TEST_CASE(a_drain_finishes_what_runs_and_gives_the_group_up) {
  OwnerFixture f;
  f.Start();
  std::vector<std::unique_ptr<TestCaller>> callers;
  f.endpoints[0]->hold_answers = true;
  for (int i = 0; i < 3; ++i) {
    callers.push_back(f.Connect());
    f.Send(*callers[i], "INSERT " + std::to_string(i));
  }
  BOOST_REQUIRE(
      f.Until([&] { return f.endpoints[0]->statements.size() == 2; }));
  bool drained = false;
  f.owner->Drain([&] { drained = true; });
  BOOST_REQUIRE(f.Until([&] { return !callers[2]->ends.empty(); }));
  BOOST_TEST((callers[2]->outcome() == StatementOutcome::kNotRun));
  f.RunFor(Millis(30));
  BOOST_TEST(!drained);
  f.endpoints[0]->Release();
  BOOST_REQUIRE(f.Until([&] { return drained; }));
  BOOST_TEST((callers[0]->outcome() == StatementOutcome::kAnswered));
  BOOST_TEST((callers[1]->outcome() == StatementOutcome::kAnswered));
  BOOST_TEST(f.record().owner.empty());
}

BOOST_AUTO_TEST_CASE(an_endpoint_is_probed_once_for_another_vm) {
  OwnerFixture f;
  std::optional<ProbeObservation> seen;
  ProbeEndpointOnce(&f.io, f.view->endpoints[f.Id(0)], "app", "db", Seconds(5),
                    [&](ProbeObservation o) { seen = o; });
  BOOST_REQUIRE(f.Until([&] { return seen.has_value(); }));
  BOOST_TEST(seen->reached);
  BOOST_TEST(seen->is_primary);
  f.endpoints[0]->Kill();
  seen.reset();
  ProbeEndpointOnce(&f.io, f.view->endpoints[f.Id(0)], "app", "db", Seconds(5),
                    [&](ProbeObservation o) { seen = o; });
  BOOST_REQUIRE(f.Until([&] { return seen.has_value(); }));
  BOOST_TEST(!seen->reached);
}

}  // namespace cardamomchute
