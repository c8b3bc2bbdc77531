#include "cardamomchute/callers/caller_server.h"

#include <poll.h>
#include <postgresql/libpq-fe.h>

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>
#include <string>
#include <thread>

#include "fake_owner.h"

namespace cardamomchute {
namespace {

std::shared_ptr<ClusterView> TestView() {
  std::shared_ptr<ClusterView> view = std::make_shared<ClusterView>();
  view->document.emplace();
  view->document->version = Version(1);
  Document& document = view->document->document;
  document.ranks = {{RankName("urgent"), Seconds(5)},
                    {RankName("browse"), Seconds(10)}};
  document.groups = {{GroupId("g1"), "tickets", "app"}};
  AccessSpec desk;
  desk.users = {"desk"};
  desk.applications = {"*"};
  desk.groups = {GroupId("*")};
  desk.rank = RankName("urgent");
  desk.max_staleness = Seconds(2);
  AccessSpec viewer = desk;
  viewer.users = {"viewer"};
  viewer.rank = RankName("browse");
  viewer.writes = false;
  document.access = {desk, viewer};
  return view;
}

/// A server with a fake owner, on a thread of its own.
class Bench {
 public:
  explicit Bench(std::shared_ptr<ClusterView> first = TestView())
      : owner_(&io_), view_(std::move(first)) {
    CallerServerParts parts;
    parts.vm = VmId("vm-1");
    parts.zone = Zone("a");
    parts.listen = Address{"127.0.0.1", 0};
    parts.threads = {&io_};
    parts.opener = [this](size_t) { return owner_.opener(); };
    parts.view = [this] { return this->view(); };
    parts.metrics = &metrics_;
    server_ = std::make_unique<CallerServer>(std::move(parts));
    BOOST_REQUIRE(!server_->Start().has_error());
    thread_ = std::thread([this] { io_.run(); });
  }

  ~Bench() {
    io_.stop();
    thread_.join();
    server_.reset();
  }

  ViewPtr view() {
    std::lock_guard<std::mutex> lock(mutex_);
    return view_;
  }

  void SetView(std::shared_ptr<ClusterView> view) {
    std::lock_guard<std::mutex> lock(mutex_);
    view_ = std::move(view);
  }

  std::string conninfo(const std::string& more = "") const {
    return "host=127.0.0.1 port=" + std::to_string(server_->port()) +
           " user=desk dbname=tickets connect_timeout=20 " + more;
  }

  FakeOwner& owner() { return owner_; }
  CallerServer& server() { return *server_; }
  Metrics& metrics() { return metrics_; }

 private:
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_{io_.get_executor()};
  Metrics metrics_;
  FakeOwner owner_;
  std::mutex mutex_;
  std::shared_ptr<ClusterView> view_;
  std::unique_ptr<CallerServer> server_;
  std::thread thread_;
};

struct Answer {
  std::string sqlstate;
  std::string value;
  std::string tag;
};

Answer Read(PGresult* result) {
  Answer answer;
  const char* sqlstate = PQresultErrorField(result, PG_DIAG_SQLSTATE);
  if (sqlstate != nullptr) answer.sqlstate = sqlstate;
  if (PQntuples(result) > 0) answer.value = PQgetvalue(result, 0, 0);
  answer.tag = PQcmdStatus(result);
  PQclear(result);
  return answer;
}

/// One libpq connection.
class Client {
 public:
  explicit Client(const std::string& conninfo)
      : connection_(PQconnectdb(conninfo.c_str())) {
    PQsetNoticeReceiver(connection_, KeepNotice, this);
  }
  ~Client() { PQfinish(connection_); }
  bool ok() const { return PQstatus(connection_) == CONNECTION_OK; }
  std::string error() const { return PQerrorMessage(connection_); }
  Answer Exec(const std::string& sql) {
    Answer answer;
    if (PQsendQuery(connection_, sql.c_str()) != 1) return answer;
    while (PGresult* result = PQgetResult(connection_)) {
      Answer next = Read(result);
      // After a fatal error libpq adds one of its own without a SQLSTATE.
      if (!answer.sqlstate.empty()) next.sqlstate = answer.sqlstate;
      answer = next;
    }
    return answer;
  }
  std::string parameter(const char* name) const {
    const char* value = PQparameterStatus(connection_, name);
    return value == nullptr ? "" : value;
  }
  PGTransactionStatusType status() const {
    return PQtransactionStatus(connection_);
  }
  PGconn* get() { return connection_; }
  /// Sends statements until the connection ends; the SQLSTATE it ended with.
  std::string ExecUntilClosed() {
    std::string sqlstate;
    while (ok()) {
      std::string last = Exec("select 1").sqlstate;
      if (!last.empty()) sqlstate = last;
    }
    return notice_.empty() ? sqlstate : notice_;
  }

 private:
  static void KeepNotice(void* client, const PGresult* result) {
    const char* sqlstate = PQresultErrorField(result, PG_DIAG_SQLSTATE);
    if (sqlstate != nullptr) static_cast<Client*>(client)->notice_ = sqlstate;
  }

  std::string notice_;
  PGconn* connection_;
};

/// A caller that sends whatever bytes it likes.
class RawClient {
 public:
  explicit RawClient(uint16_t port) : socket_(io_) {
    socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port});
  }

  void Send(const std::string& bytes) {
    boost::system::error_code ignored;  // the server may have closed
    boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
  }

  /// Sends again and again until nothing more is taken for a while.
  size_t SendUntilFull(const std::string& bytes, size_t enough) {
    constexpr int kGiveUpMs = 2000;
    socket_.non_blocking(true);
    size_t sent = 0;
    while (sent < enough) {
      boost::system::error_code error;
      sent += socket_.write_some(
          boost::asio::buffer(bytes.data() + sent % bytes.size(),
                              bytes.size() - sent % bytes.size()),
          error);
      if (!error) continue;
      pollfd wait{socket_.native_handle(), POLLOUT, 0};
      if (poll(&wait, 1, kGiveUpMs) == 0) break;
    }
    return sent;
  }

  void CloseSending() {
    boost::system::error_code ignored;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  }

  std::string Read(size_t size) {
    std::string bytes(size, '\0');
    boost::asio::read(socket_, boost::asio::buffer(bytes));
    return bytes;
  }

  /// All there is until the server closes.
  std::string ReadAll() {
    std::string bytes;
    boost::system::error_code error;
    boost::asio::read(socket_, boost::asio::dynamic_buffer(bytes), error);
    return bytes;
  }

  void ReadUntil(const std::string& text) {
    std::string bytes;
    boost::asio::read_until(socket_, boost::asio::dynamic_buffer(bytes), text);
  }

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
};

}  // namespace

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

BOOST_AUTO_TEST_CASE(a_slow_reader_bounds_what_the_owner_sends) {
  Bench bench;
  Client client(bench.conninfo());
  constexpr size_t kRows = 50000;  // about 50 MB
  std::string sql = "select big " + std::to_string(kRows);
  BOOST_REQUIRE(PQsendQuery(client.get(), sql.c_str()) == 1);
  // Nothing is read until the sockets are full and the window is used up.
  while (bench.owner().most_outstanding() < kChannelWindowBytes) {
    std::this_thread::yield();
  }
  Client other(bench.conninfo());
  BOOST_TEST(other.Exec("select 1").value == "select 1");
  BOOST_REQUIRE(PQsetSingleRowMode(client.get()) == 1);
  size_t rows = 0;
  while (PGresult* result = PQgetResult(client.get())) {
    rows += static_cast<size_t>(PQntuples(result));
    PQclear(result);
  }
  BOOST_TEST(rows == kRows);
  constexpr int64_t kSlackBytes = 16 * 1024;
  BOOST_TEST(bench.owner().most_outstanding() <=
             kChannelWindowBytes + kSlackBytes);
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

BOOST_AUTO_TEST_CASE(negotiations_are_answered_no) {
  Bench bench;
  RawClient raw(bench.server().port());
  raw.Send(pgwire::Builder()
               .BeginUntyped()
               .Int32(static_cast<int32_t>(pgwire::kSslRequestCode))
               .End()
               .bytes());
  BOOST_TEST(raw.Read(1) == "N");
  raw.Send(pgwire::Builder()
               .BeginUntyped()
               .Int32(static_cast<int32_t>(pgwire::kGssEncRequestCode))
               .End()
               .bytes());
  BOOST_TEST(raw.Read(1) == "N");
  raw.Send(pgwire::Startup({{"user", "desk"}, {"database", "tickets"}}));
  BOOST_TEST(raw.Read(1) == "R");
}

BOOST_AUTO_TEST_CASE(startup_in_single_bytes) {
  Bench bench;
  RawClient raw(bench.server().port());
  std::string bytes =
      pgwire::Startup({{"user", "desk"}, {"database", "tickets"}}) +
      pgwire::Query("select 1");
  for (char c : bytes) raw.Send(std::string(1, c));
  raw.ReadUntil("select 1");
}

BOOST_AUTO_TEST_CASE(broken_startups_are_told_so) {
  Bench bench;
  std::vector<std::string> broken = {
      "GET / HTTP/1.1\r\n\r\n",
      std::string("\0\0\0\4", 4),
      std::string("\0\0\0\x08\x12\x34\x56\x78", 8),
      std::string("\xff\xff\xff\xff\0\3\0\0", 8),
      std::string("\0\0\0\x0d\0\3\0\0user", 12) + "x",
  };
  for (const std::string& bytes : broken) {
    RawClient raw(bench.server().port());
    raw.Send(bytes);
    BOOST_TEST(raw.ReadAll().find("08P01") != std::string::npos);
  }
  Client other(bench.conninfo());
  BOOST_TEST(other.Exec("select 1").value == "select 1");
}

BOOST_AUTO_TEST_CASE(broken_messages_end_one_connection) {
  Bench bench;
  Client other(bench.conninfo());
  std::vector<std::string> broken = {
      std::string("Q\0\0\0\3", 5),          // length below itself
      std::string("Q\x7f\xff\xff\xff", 5),  // oversized
      std::string("z\0\0\0\4", 5),          // unknown type
      std::string("p\0\0\0\5x", 6),         // a password nobody asked for
      std::string("P\0\0\0\6a\0", 7) + pgwire::Query("select 1"),  // no Sync
  };
  for (const std::string& bytes : broken) {
    RawClient raw(bench.server().port());
    raw.Send(pgwire::Startup({{"user", "desk"}, {"database", "tickets"}}));
    raw.Send(bytes);
    BOOST_TEST(raw.ReadAll().find("08P01") != std::string::npos);
    BOOST_TEST(other.Exec("select 1").value == "select 1");
  }
}

BOOST_AUTO_TEST_CASE(messages_cut_short_within_are_refused) {
  Bench bench;
  RawClient raw(bench.server().port());
  raw.Send(pgwire::Startup({{"user", "desk"}, {"database", "tickets"}}));
  raw.Send(std::string("P\0\0\0\5a", 6) + std::string("S\0\0\0\4", 5));
  raw.ReadUntil("08P01");
  raw.Send(pgwire::Query("select after"));
  raw.ReadUntil("select after");
}

BOOST_AUTO_TEST_CASE(random_bytes_do_no_harm) {
  Bench bench;
  Client other(bench.conninfo());
  std::mt19937 random(7);
  constexpr int kRounds = 200;
  for (int round = 0; round < kRounds; ++round) {
    RawClient raw(bench.server().port());
    if (round % 2 == 0) {
      raw.Send(pgwire::Startup({{"user", "desk"}, {"database", "tickets"}}));
    }
    std::string bytes;
    constexpr std::string_view kTypes = "QPBDECHSXFdcf";
    for (int i = 0; i < 20; ++i) {
      size_t size = random() % 40;
      bytes.push_back(kTypes[random() % kTypes.size()]);
      bytes += std::string(3, '\0') + static_cast<char>(4 + size);
      for (size_t k = 0; k < size; ++k) {
        bytes.push_back(static_cast<char>(random() % 4 == 0 ? 0 : random()));
      }
    }
    raw.Send(bytes.substr(0, random() % (bytes.size() + 1)));
    raw.CloseSending();
    raw.ReadAll();
  }
  BOOST_TEST(other.Exec("select 1").value == "select 1");
  while (bench.server().callers() > 1) std::this_thread::yield();
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

/// A caller that sends and never reads makes the server stop reading.
BOOST_AUTO_TEST_CASE(a_caller_that_only_sends_is_held_back) {
  Bench bench;
  RawClient raw(bench.server().port());
  raw.Send(pgwire::Startup({{"user", "desk"}, {"database", "tickets"}}));
  std::string query = pgwire::Query("select " + std::string(1000, 'x'));
  constexpr size_t kEnough = 64 * 1024 * 1024;
  size_t sent = raw.SendUntilFull(query, kEnough);
  BOOST_TEST(sent < kEnough);
  Client other(bench.conninfo());
  BOOST_TEST(other.Exec("select 1").value == "select 1");
}

}  // namespace cardamomchute
