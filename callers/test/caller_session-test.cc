#include "caller_session.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "bench.h"

namespace cardamomchute {

BOOST_AUTO_TEST_CASE(options_travel_with_each_statement) {
  Bench bench;
  Client client(bench.conninfo(
      "options='-c cardamomchute.rank=browse "
      "-c cardamomchute.max_staleness_ms=100 -c cardamomchute.session=s-1 "
      "-c cardamomchute.floor=3/4000 -c extra_float_digits=2'"));
  BOOST_REQUIRE_MESSAGE(client.ok(), client.error());
  BOOST_TEST(client.Exec("set cardamomchute.operation_key = 'k1'").tag ==
             "SET");
  client.Exec("select 1");
  client.Exec("insert into t values (1)");
  client.Exec("insert into t values (2)");
  std::vector<Statement> seen = bench.owner().statements();
  BOOST_REQUIRE(seen.size() == 3u);
  BOOST_TEST(seen[0].rank.value() == 1u);
  BOOST_TEST(seen[0].max_staleness.ms() == 100);
  BOOST_TEST(seen[0].kind == static_cast<uint8_t>(StatementKind::kRead));
  BOOST_TEST(seen[0].operation_key.empty());
  BOOST_TEST(seen[0].setup_hash != 0u);
  BOOST_TEST(seen[1].kind == static_cast<uint8_t>(StatementKind::kWrite));
  BOOST_TEST(seen[1].operation_key.value() == "k1");
  BOOST_TEST(seen[2].operation_key.empty());
  OpenChannel open = bench.owner().opens().front();
  BOOST_TEST(open.session.value() == "s-1");
  BOOST_REQUIRE(open.floor.has_value());
  BOOST_TEST(ToString(*open.floor) == "3/4000");
  BOOST_TEST(client.Exec("show cardamomchute.rank").value == "browse");
  BOOST_TEST(client.Exec("show cardamomchute.session").value == "s-1");
  BOOST_TEST(
      client.Exec("set cardamomchute.max_staleness_ms = 9999").sqlstate ==
      "22023");
  BOOST_TEST(client.Exec("set cardamomchute.nothing = 1").sqlstate == "42704");
}

BOOST_AUTO_TEST_CASE(a_moved_floor_is_reported) {
  Bench bench;
  Client client(bench.conninfo());
  bench.owner().SetFloor(Floor{Term(2), Position(77)});
  client.Exec("insert into t values (1)");
  BOOST_TEST(client.parameter("cardamomchute.floor") == "2/77");
  BOOST_TEST(client.Exec("show cardamomchute.floor").value == "2/77");
  bench.owner().ResetAll(true);
  client.Exec("select 1");
  std::vector<OpenChannel> opens = bench.owner().opens();
  BOOST_REQUIRE(opens.size() == 2u);
  BOOST_TEST(ToString(*opens[1].floor) == "2/77");
}

BOOST_AUTO_TEST_CASE(transactions_keep_their_status) {
  Bench bench;
  Client client(bench.conninfo());
  client.Exec("begin");
  BOOST_TEST(client.status() == PQTRANS_INTRANS);
  client.Exec("select 1");
  client.Exec("error");
  BOOST_TEST(client.status() == PQTRANS_INERROR);
  client.Exec("rollback");
  BOOST_TEST(client.status() == PQTRANS_IDLE);
  std::vector<Statement> seen = bench.owner().statements();
  BOOST_TEST(seen[0].kind == static_cast<uint8_t>(StatementKind::kBegin));
  BOOST_TEST(seen[1].kind == static_cast<uint8_t>(StatementKind::kWrite));
}

BOOST_AUTO_TEST_CASE(settings_and_prepares_follow_the_session) {
  Bench bench;
  Client client(bench.conninfo());
  client.Exec("set work_mem = '1MB'");
  client.Exec("prepare p as select 1");
  client.Exec("begin");
  client.Exec("set timezone = 'x'");
  client.Exec("rollback");
  client.Exec("execute p");
  client.Exec("set work_mem = '2MB'");
  client.Exec("reset all");
  client.Exec("deallocate p");
  client.Exec("select 1");
  std::vector<Statement> seen = bench.owner().statements();
  BOOST_REQUIRE(seen.size() == 9u);
  BOOST_TEST(seen[0].changes_state);
  BOOST_TEST(seen[0].setup.empty());
  BOOST_TEST(seen[0].setup_hash == 0u);
  std::vector<std::string> kept = {"set work_mem = '1MB'",
                                   "prepare p as select 1"};
  BOOST_TEST(seen[5].setup == kept);
  BOOST_TEST(seen[5].kind == static_cast<uint8_t>(StatementKind::kRead));
  BOOST_TEST(seen[5].setup_hash == seen[6].setup_hash);
  BOOST_TEST(client.Exec("deallocate p").sqlstate == "26000");
  client.Exec("discard all");
  client.Exec("select 2");
  BOOST_TEST(bench.owner().statements().back().setup.empty());
}

BOOST_AUTO_TEST_CASE(named_statements_work_on_any_connection) {
  Bench bench;
  Client client(bench.conninfo());
  PGconn* pg = client.get();
  PQclear(PQprepare(pg, "one", "select named", 0, nullptr));
  bench.owner().ResetAll(true);  // the next channel knows nothing
  Answer answer =
      Read(PQexecPrepared(pg, "one", 0, nullptr, nullptr, nullptr, 0));
  BOOST_TEST(answer.value == "select named");
  std::vector<Statement> seen = bench.owner().statements();
  BOOST_TEST(seen[0].bytes.find("cc_") != std::string::npos);
  BOOST_REQUIRE(seen[1].prepared.size() == 1u);
  BOOST_TEST(Read(PQprepare(pg, "one", "select x", 0, nullptr)).sqlstate ==
             "42P05");
  BOOST_TEST(client.Exec("deallocate one").tag == "DEALLOCATE");
  answer = Read(PQexecPrepared(pg, "one", 0, nullptr, nullptr, nullptr, 0));
  BOOST_TEST(answer.sqlstate == "26000");
  // The unnamed statement outlives its batch as well.
  PQclear(PQprepare(pg, "", "select unnamed", 0, nullptr));
  bench.owner().ResetAll(true);
  answer = Read(PQexecPrepared(pg, "", 0, nullptr, nullptr, nullptr, 0));
  BOOST_TEST(answer.value == "select unnamed");
}

BOOST_AUTO_TEST_CASE(extended_queries_answer_locally_too) {
  Bench bench;
  Client client(bench.conninfo());
  PGconn* pg = client.get();
  Answer set = Read(PQexecParams(pg, "set cardamomchute.rank = 2", 0, nullptr,
                                 nullptr, nullptr, nullptr, 0));
  BOOST_TEST(set.tag == "SET");
  Answer show = Read(PQexecParams(pg, "show cardamomchute.rank", 0, nullptr,
                                  nullptr, nullptr, nullptr, 0));
  BOOST_TEST(show.value == "browse");
  PQclear(PQprepare(pg, "s", "show cardamomchute.rank", 0, nullptr));
  BOOST_TEST(Read(PQdescribePrepared(pg, "s")).sqlstate.empty());
  show = Read(PQexecPrepared(pg, "s", 0, nullptr, nullptr, nullptr, 0));
  BOOST_TEST(show.value == "browse");
  BOOST_TEST(bench.owner().statements().empty());
}

BOOST_AUTO_TEST_CASE(pipelines_answer_in_order) {
  Bench bench;
  Client client(bench.conninfo());
  PGconn* pg = client.get();
  BOOST_REQUIRE(PQenterPipelineMode(pg) == 1);
  constexpr int kBatches = 200;
  for (int i = 0; i < kBatches; ++i) {
    std::string sql = i % 10 == 5 ? "fail" : "select " + std::to_string(i);
    BOOST_REQUIRE(PQsendQueryParams(pg, sql.c_str(), 0, nullptr, nullptr,
                                    nullptr, nullptr, 0) == 1);
    BOOST_REQUIRE(PQpipelineSync(pg) == 1);
  }
  for (int i = 0; i < kBatches; ++i) {
    Answer answer = Read(PQgetResult(pg));
    if (i % 10 == 5) {
      BOOST_TEST(answer.sqlstate == "42601");
    } else {
      BOOST_TEST(answer.value == "select " + std::to_string(i));
    }
    BOOST_TEST(PQgetResult(pg) == nullptr);
    PGresult* sync = PQgetResult(pg);
    BOOST_TEST(PQresultStatus(sync) == PGRES_PIPELINE_SYNC);
    PQclear(sync);
  }
}

BOOST_AUTO_TEST_CASE(a_flush_brings_answers_before_sync) {
  Bench bench;
  Client client(bench.conninfo());
  PGconn* pg = client.get();
  BOOST_REQUIRE(PQenterPipelineMode(pg) == 1);
  for (const char* sql : {"select 1", "select 2"}) {
    PQsendQueryParams(pg, sql, 0, nullptr, nullptr, nullptr, nullptr, 0);
    PQsendFlushRequest(pg);
    PQflush(pg);
    BOOST_TEST(Read(PQgetResult(pg)).value == sql);
    BOOST_TEST(PQgetResult(pg) == nullptr);
  }
  // What can't be served fails the batch, not the connection.
  PQsendQueryParams(pg, "listen c", 0, nullptr, nullptr, nullptr, nullptr, 0);
  PQpipelineSync(pg);
  BOOST_TEST(!Read(PQgetResult(pg)).tag.size());
  BOOST_TEST(PQgetResult(pg) == nullptr);
  PGresult* sync = PQgetResult(pg);
  BOOST_TEST(PQresultStatus(sync) == PGRES_PIPELINE_SYNC);
  PQclear(sync);
  BOOST_TEST(bench.owner().statements().front().kind ==
             static_cast<uint8_t>(StatementKind::kWrite));
}

BOOST_AUTO_TEST_CASE(what_is_not_supported_is_refused) {
  Bench bench;
  Client client(bench.conninfo());
  BOOST_TEST(client.Exec("copy t from stdin").sqlstate == "0A000");
  BOOST_TEST(client.Exec("declare c cursor for select 1").sqlstate == "25P01");
  client.Exec("begin");
  BOOST_TEST(client.Exec("listen c").sqlstate == "0A000");
  BOOST_TEST(client.status() == PQTRANS_INERROR);
  BOOST_TEST(client.Exec("insert into t values (1)").sqlstate == "25P02");
  BOOST_TEST(client.Exec("commit").tag == "ROLLBACK");
  BOOST_TEST(client.status() == PQTRANS_IDLE);
  BOOST_TEST(client.Exec("select 1").value == "select 1");
  for (const Statement& statement : bench.owner().statements()) {
    BOOST_TEST(statement.bytes.find("insert") == std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(callers_without_the_right_to_write_only_read) {
  Bench bench;
  Client client(bench.conninfo("user=viewer"));
  BOOST_TEST(client.Exec("insert into t values (1)").sqlstate == "42501");
  BOOST_TEST(client.Exec("select f()").sqlstate == "42501");
  BOOST_TEST(client.Exec("select 1").value == "select 1");
  BOOST_TEST(client.Exec("set work_mem = '1MB'").tag == "set");
}

BOOST_AUTO_TEST_CASE(refusals_and_unknown_outcomes_are_told_apart) {
  Bench bench;
  Client client(bench.conninfo());
  bench.owner().Play("insert a", Trick::kNotRun);
  bench.owner().Play("insert b", Trick::kUnknown);
  bench.owner().Play("insert c", Trick::kResetSent);
  bench.owner().Play("insert d", Trick::kResetUnsent);
  bench.owner().Play("select e", Trick::kResetSent);
  bench.owner().Play("select f", Trick::kHalfAnswer);
  BOOST_TEST(client.Exec("insert a").sqlstate == "57P03");
  BOOST_TEST(client.Exec("insert b").sqlstate == "08007");
  BOOST_TEST(client.Exec("insert c").sqlstate == "08007");
  // Certainly not sent: the entry tries again by itself.
  BOOST_TEST(client.Exec("insert d").tag == "insert");
  BOOST_TEST(client.Exec("select e").value == "select e");
  size_t c = 0;
  for (const Statement& statement : bench.owner().statements()) {
    if (statement.bytes.find("insert c") != std::string::npos) ++c;
  }
  BOOST_TEST(c == 1u);
  // An answer that broke off within a message can't be made whole.
  BOOST_TEST(client.Exec("select f").value.empty());
  BOOST_TEST(!client.ok());
}

BOOST_AUTO_TEST_CASE(what_never_finds_an_owner_is_not_run) {
  std::shared_ptr<ClusterView> view = TestView();
  view->document->document.ranks[0].target = Millis(50);
  Bench bench(view);
  Client client(bench.conninfo());
  for (int i = 0; i < 100; ++i) bench.owner().Play("g", Trick::kResetUnsent);
  BOOST_TEST(client.Exec("insert g").sqlstate == "57P03");
}

BOOST_AUTO_TEST_CASE(a_lost_transaction_must_be_ended_by_the_caller) {
  Bench bench;
  Client client(bench.conninfo());
  client.Exec("begin");
  bench.owner().Play("insert a", Trick::kResetSent);
  BOOST_TEST(client.Exec("insert a").sqlstate == "40001");
  BOOST_TEST(client.status() == PQTRANS_INERROR);
  BOOST_TEST(client.Exec("insert b").sqlstate == "25P02");
  BOOST_TEST(client.Exec("rollback").tag == "ROLLBACK");
  BOOST_TEST(client.status() == PQTRANS_IDLE);

  client.Exec("begin");
  client.Exec("insert c");
  bench.owner().ResetAll(true);
  BOOST_TEST(client.Exec("commit").sqlstate == "40001");
  BOOST_TEST(client.status() == PQTRANS_IDLE);

  client.Exec("begin");
  client.Exec("insert d");
  bench.owner().Play("commit", Trick::kResetSent);
  BOOST_TEST(client.Exec("commit").sqlstate == "08007");
  BOOST_TEST(client.status() == PQTRANS_IDLE);
  for (const Statement& statement : bench.owner().statements()) {
    BOOST_TEST(statement.bytes.find("insert b") == std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(a_newer_document_counts_from_the_next_statement) {
  Bench bench;
  Client client(bench.conninfo());
  BOOST_TEST(client.Exec("insert into t values (1)").sqlstate.empty());
  std::shared_ptr<ClusterView> view = TestView();
  view->document->version = Version(2);
  view->document->document.access[0].writes = false;
  bench.SetView(view);
  BOOST_TEST(client.Exec("insert into t values (1)").sqlstate == "42501");
  view = TestView();
  view->document->version = Version(3);
  view->document->document.access.erase(
      view->document->document.access.begin());
  bench.SetView(view);
  BOOST_TEST(client.Exec("select 1").sqlstate == "28000");
  BOOST_TEST(!client.ok());
}

}  // namespace cardamomchute
