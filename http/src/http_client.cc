#include "cardamomchute/http/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>
#include <utility>

namespace cardamomchute {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kMaxAnswerBytes = 256 * 1024 * 1024;

class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(asio::io_context& io, const HttpCall& call,
           std::function<void(Result<HttpResponse>)> done)
      : server_(call.server), stream_(io), done_(std::move(done)) {
    request_.method_string(call.method);
    request_.target(call.target);
    request_.version(11);
    request_.set(http::field::host, ToString(server_));
    request_.set(http::field::content_type, "application/json");
    for (const auto& [name, value] : call.headers) request_.set(name, value);
    request_.keep_alive(false);
    request_.body() = call.body;
    request_.prepare_payload();
    may_send_ = call.may_send;
  }

  void Start(const asio::ip::address& host, Duration timeout) {
    stream_.expires_after(std::chrono::milliseconds(timeout.ms()));
    stream_.async_connect(tcp::endpoint(host, server_.port),
                          [self = shared_from_this()](error_code error) {
                            if (error) return self->Fail(error);
                            self->OnConnected();
                          });
  }

 private:
  void OnConnected() {
    bool may_send = !may_send_ || may_send_();
    if (!may_send) {
      return done_(Error{ErrorKind::kUnavailable,
                         "the request came too late to be sent",
                         "confirm that it is still due, then send it again"});
    }
    connected_ = true;
    Write();
  }

  void Write() {
    http::async_write(stream_, request_,
                      [self = shared_from_this()](error_code error, size_t) {
                        if (error) return self->Fail(error);
                        self->Read();
                      });
  }

  void Read() {
    parser_.body_limit(kMaxAnswerBytes);
    http::async_read(stream_, buffer_, parser_,
                     [self = shared_from_this()](error_code error, size_t) {
                       if (error) return self->Fail(error);
                       self->Finish();
                     });
  }

  void Finish() {
    http::response<http::string_body>& answer = parser_.get();
    HttpResponse response;
    response.status = answer.result_int();
    response.content_type = std::string(answer[http::field::content_type]);
    response.body = std::move(answer.body());
    done_(std::move(response));
  }

  void Fail(error_code error) {
    std::string where = ToString(server_);
    if (!connected_) {
      return done_(
          Error{ErrorKind::kUnavailable,
                "can't connect to " + where + ": " + error.message(),
                "check that the VM runs and that this is its listen.http"});
    }
    bool late = error == beast::error::timeout;
    done_(Error{late ? ErrorKind::kTimeout : ErrorKind::kProtocol,
                "no whole answer from " + where + ": " + error.message(),
                "ask for the state before sending again"});
  }

  Address server_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response_parser<http::string_body> parser_;
  std::function<void(Result<HttpResponse>)> done_;
  std::function<bool()> may_send_;
  bool connected_ = false;
};

}  // namespace

void StartHttpCall(asio::io_context& io, const HttpCall& call, Duration timeout,
                   std::function<void(Result<HttpResponse>)> done) {
  error_code bad_host;
  asio::ip::address host = asio::ip::make_address(call.server.host, bad_host);
  if (bad_host) {
    Error error{ErrorKind::kInvalidInput,
                "\"" + call.server.host + "\" is not an IP number",
                "write \"IP:port\""};
    asio::post(io, [done = std::move(done), error] { done(error); });
    return;
  }
  std::make_shared<Exchange>(io, call, std::move(done))->Start(host, timeout);
}

Result<HttpResponse> CallHttp(const Address& server, const std::string& method,
                              const std::string& target,
                              const std::string& body, Duration timeout) {
  asio::io_context io;
  Result<HttpResponse> outcome =
      Error{ErrorKind::kUnavailable, "not sent", "send again"};
  StartHttpCall(
      io, HttpCall{server, method, target, body}, timeout,
      [&outcome](Result<HttpResponse> answer) { outcome = std::move(answer); });
  io.run();
  return outcome;
}

}  // namespace cardamomchute
