#include "cardamomchute/callers/caller_server.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

#include "bench.h"

namespace cardamomchute {

BOOST_AUTO_TEST_CASE(simple_queries_reach_the_owner_and_come_back) {
  Bench bench;
  Client client(bench.conninfo());
  BOOST_REQUIRE_MESSAGE(client.ok(), client.error());
  BOOST_TEST(client.Exec("select 1").value == "select 1");
  BOOST_TEST(client.Exec("error").sqlstate == "22012");
  BOOST_TEST(client.Exec("insert into t values (1)").tag == "insert");
  BOOST_TEST(client.parameter("server_version") == "15.0");
}

BOOST_AUTO_TEST_CASE(startup_is_refused_with_a_reason) {
  Bench bench;
  Client stranger(bench.conninfo("user=nobody"));
  BOOST_TEST(!stranger.ok());
  BOOST_TEST(stranger.error().find("may not reach") != std::string::npos);
  Client nowhere(bench.conninfo("dbname=nowhere"));
  BOOST_TEST(nowhere.error().find("is in no group") != std::string::npos);
  Client urgent(
      bench.conninfo("user=viewer options='-c cardamomchute.rank=urgent'"));
  BOOST_TEST(urgent.error().find("above the granted") != std::string::npos);
  Client odd(bench.conninfo("options='-c cardamomchute.color=red'"));
  BOOST_TEST(odd.error().find("no setting") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(without_a_document_callers_are_told_to_wait) {
  Bench bench(std::make_shared<ClusterView>());
  Client client(bench.conninfo());
  BOOST_TEST(!client.ok());
  BOOST_TEST(client.error().find("no document yet") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(callers_beyond_the_limit_are_refused) {
  std::shared_ptr<ClusterView> view = TestView();
  view->document->document.limits.callers_per_vm = 1;
  Bench bench(view);
  Client first(bench.conninfo());
  Client second(bench.conninfo());
  BOOST_TEST(first.ok());
  BOOST_TEST(!second.ok());
  BOOST_TEST(bench.server().callers() == 1u);
}

BOOST_AUTO_TEST_CASE(a_cancel_reaches_the_statement_under_way) {
  Bench bench;
  Client client(bench.conninfo());
  bench.owner().Play("hang", Trick::kHang);
  BOOST_REQUIRE(PQsendQuery(client.get(), "select hang") == 1);
  PGcancel* cancel = PQgetCancel(client.get());
  while (bench.owner().statements().empty()) std::this_thread::yield();
  char error[256];
  BOOST_TEST(PQcancel(cancel, error, sizeof error) == 1);
  PQfreeCancel(cancel);
  BOOST_TEST(Read(PQgetResult(client.get())).sqlstate == "57014");
  BOOST_TEST(PQgetResult(client.get()) == nullptr);
  BOOST_TEST(client.Exec("select 2").value == "select 2");
}

BOOST_AUTO_TEST_CASE(a_closed_caller_closes_its_channel) {
  Bench bench;
  {
    Client client(bench.conninfo());
    client.Exec("select 1");
  }
  while (bench.owner().closed() == 0) std::this_thread::yield();
  while (bench.server().callers() > 0) std::this_thread::yield();
}

BOOST_AUTO_TEST_CASE(draining_cuts_nothing_in_flight) {
  Bench bench;
  Client idle(bench.conninfo());
  Client busy(bench.conninfo());
  busy.Exec("begin");
  std::atomic<bool> done{false};
  bench.server().Drain(Seconds(60), [&] { done = true; });
  BOOST_TEST(idle.ExecUntilClosed() == "57P01");
  BOOST_TEST(busy.Exec("insert into t values (1)").sqlstate.empty());
  BOOST_TEST(!done.load());
  BOOST_TEST(busy.Exec("commit").sqlstate.empty());
  while (!done) std::this_thread::yield();
  Client late(bench.conninfo());
  BOOST_TEST(!late.ok());
  BOOST_TEST(busy.ExecUntilClosed() == "57P01");
}

BOOST_AUTO_TEST_CASE(statements_are_counted_by_rank_and_ending) {
  Bench bench;
  Client client(bench.conninfo());
  client.Exec("select 1");
  client.Exec("listen x");
  std::string printed = bench.metrics().Print();
  BOOST_TEST(
      printed.find("statements_total{rank=\"1\",ending=\"answered\"} 1") !=
      std::string::npos);
  BOOST_TEST(
      printed.find("statements_total{rank=\"1\",ending=\"refused\"} 1") !=
      std::string::npos);
  BOOST_TEST(printed.find("cardamomchute_callers 1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(unknown_cancel_keys_are_ignored) {
  Bench bench;
  Client client(bench.conninfo());
  RawClient raw(bench.server().port());
  raw.Send(pgwire::CancelRequest(12345, 67890));
  BOOST_TEST(raw.ReadAll().empty());
  BOOST_TEST(client.Exec("select 1").value == "select 1");
  BOOST_TEST(bench.owner().cancelled() == 0u);
}

}  // namespace cardamomchute
