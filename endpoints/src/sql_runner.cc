#include "sql_runner.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>

#include "cardamomchute/pgwire/message.h"

namespace cardamomchute {
namespace {

namespace asio = boost::asio;

struct SqlRun : std::enable_shared_from_this<SqlRun> {
  SqlRun(asio::io_context& io, const EndpointLogin& login)
      : connection(std::make_shared<EndpointConnection>(io, login)),
        timer(io) {}

  void Start(Duration timeout) {
    timer.expires_after(std::chrono::milliseconds(timeout.ms()));
    timer.async_wait(
        [self = shared_from_this()](boost::system::error_code error) {
          if (!error) self->Fail(ErrorKind::kTimeout, "no answer in time");
        });
    connection->Open(
        timeout,
        [self = shared_from_this()](Status opened) {
          if (!opened) return self->Finish(opened.error());
          self->SendAll();
        },
        [self = shared_from_this()](const ConnectionLoss& loss) {
          self->Fail(ErrorKind::kUnavailable, loss.reason);
        });
  }

  void SendAll() {
    std::string bytes;
    std::vector<Exchange> exchanges;
    for (size_t i = 0; i < queries.size(); ++i) {
      bytes += pgwire::Query(queries[i]);
      bool last = i + 1 == queries.size();
      Exchange exchange;
      exchange.on_end = [self = shared_from_this(),
                         last](const ExchangeEnd& end) {
        if (end.error) {
          return self->Fail(ErrorKind::kUnavailable, end.error->message);
        }
        self->rows.insert(self->rows.end(), end.rows.begin(), end.rows.end());
        if (last) self->Finish(self->rows);
      };
      exchanges.push_back(std::move(exchange));
    }
    connection->Send(std::move(bytes), std::move(exchanges));
  }

  void Fail(ErrorKind kind, const std::string& what) {
    Finish(Error{kind, what, "check that the endpoint runs"});
  }

  void Finish(Result<SqlRows> result) {
    if (!done) return;
    std::function<void(Result<SqlRows>)> handler = std::move(done);
    done = nullptr;
    timer.cancel();
    connection->Close(nullptr);
    handler(std::move(result));
  }

  std::shared_ptr<EndpointConnection> connection;
  asio::steady_timer timer;
  std::vector<std::string> queries;
  SqlRows rows;
  std::function<void(Result<SqlRows>)> done;
};

}  // namespace

void RunSql(asio::io_context& io, const EndpointLogin& login,
            std::vector<std::string> queries, Duration timeout,
            std::function<void(Result<SqlRows>)> done) {
  std::shared_ptr<SqlRun> run = std::make_shared<SqlRun>(io, login);
  run->queries = std::move(queries);
  run->done = std::move(done);
  run->Start(timeout);
}

}  // namespace cardamomchute
