/// A caller server with a fake owner, and clients for it: libpq, and raw bytes.
#ifndef CARDAMOMCHUTE_CALLERS_TEST_BENCH_H_
#define CARDAMOMCHUTE_CALLERS_TEST_BENCH_H_

#include <poll.h>
#include <postgresql/libpq-fe.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "cardamomchute/callers/caller_server.h"
#include "fake_owner.h"

namespace cardamomchute {

inline std::shared_ptr<ClusterView> TestView() {
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
    CallerServerParams params;
    params.vm = VmId("vm-1");
    params.zone = Zone("a");
    params.listen = Address{"127.0.0.1", 0};
    params.threads = {&io_};
    params.opener = [this](size_t) { return owner_.opener(); };
    params.view = [this] { return this->view(); };
    params.metrics = &metrics_;
    server_ = std::make_unique<CallerServer>(std::move(params));
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

inline Answer Read(PGresult* result) {
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

  std::string ReadUntil(const std::string& text) {
    std::string bytes;
    boost::asio::read_until(socket_, boost::asio::dynamic_buffer(bytes), text);
    return bytes;
  }

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_CALLERS_TEST_BENCH_H_
