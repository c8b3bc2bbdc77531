#include "cardamomchute/callers/caller_server.h"

#include <postgresql/libpq-fe.h>

#include <boost/test/unit_test.hpp>
#include <memory>
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
      : connection_(PQconnectdb(conninfo.c_str())) {}
  ~Client() { PQfinish(connection_); }
  bool ok() const { return PQstatus(connection_) == CONNECTION_OK; }
  std::string error() const { return PQerrorMessage(connection_); }
  Answer Exec(const std::string& sql) {
    return Read(PQexec(connection_, sql.c_str()));
  }
  std::string parameter(const char* name) const {
    const char* value = PQparameterStatus(connection_, name);
    return value == nullptr ? "" : value;
  }
  PGTransactionStatusType status() const {
    return PQtransactionStatus(connection_);
  }
  PGconn* get() { return connection_; }

 private:
  PGconn* connection_;
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

}  // namespace cardamomchute
