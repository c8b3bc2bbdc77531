#include "cardamomchute/http/http_server.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>
#include <set>

#include "cardamomchute/base/tcp_listener.h"
#include "http_route.h"

namespace cardamomchute {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

std::chrono::milliseconds Wait(Duration duration) {
  return std::chrono::milliseconds(duration.ms());
}

HttpResponse Refusal(uint32_t status, std::string text) {
  return HttpResponse{status, "text/plain; charset=utf-8", text + "\n", {}};
}

/// The answer to what could not be read as a request; none when the
/// connection merely ended.
std::optional<HttpResponse> RefusalOf(error_code error) {
  if (error == http::error::end_of_stream || error == beast::error::timeout)
    return std::nullopt;
  if (error == http::error::body_limit)
    return Refusal(413, "body too large; send less");
  if (error == http::error::header_limit)
    return Refusal(431, "header too large; send less");
  bool malformed =
      error.category() == make_error_code(http::error::bad_method).category();
  if (!malformed) return std::nullopt;
  return Refusal(400, "not an HTTP/1.1 request; " + error.message());
}

}  // namespace

class HttpServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context* io, HttpLimits limits)
      : limits_(limits), listener_(std::make_shared<TcpListener>(io)) {}

  Status Start(const Address& listen);
  void Stop();
  void CloseAll();
  uint16_t port() const { return listener_->port(); }

  std::vector<HttpRoute> routes_;

 private:
  class Session;

  void Serve(tcp::socket socket);

  HttpLimits limits_;
  std::shared_ptr<TcpListener> listener_;
  std::set<std::shared_ptr<Session>> sessions_;
  bool stopped_ = false;
};

/// One connection; reads, answers, and reads again.
class HttpServer::Impl::Session
    : public std::enable_shared_from_this<Impl::Session> {
 public:
  Session(tcp::socket socket, std::shared_ptr<Impl> server)
      : stream_(std::move(socket)),
        answer_timer_(stream_.get_executor()),
        server_(std::move(server)) {}

  void Read() {
    parser_.emplace();
    parser_->header_limit(static_cast<uint32_t>(server_->limits_.header_bytes));
    parser_->body_limit(server_->limits_.body_bytes);
    stream_.expires_after(Wait(server_->limits_.read));
    reading_ = true;
    http::async_read(stream_, buffer_, *parser_,
                     [self = shared_from_this()](error_code error, size_t) {
                       self->OnRead(error);
                     });
  }

  /// Ends the connection unless a request is under way.
  void CloseIfIdle() {
    bool idle = reading_ && buffer_.size() == 0 && !parser_->got_some();
    if (idle) Close();
  }

  void Close() {
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.close();
    answer_timer_.cancel();
    server_->sessions_.erase(shared_from_this());
  }

 private:
  void OnRead(error_code error) {
    reading_ = false;
    if (!error) return Handle();
    std::optional<HttpResponse> refusal = RefusalOf(error);
    if (!refusal) return Close();
    keep_alive_ = false;
    Write(std::move(*refusal));
  }

  void Handle() {
    keep_alive_ = parser_->get().keep_alive();
    HttpRequest request;
    request.method = std::string(parser_->get().method_string());
    boost::string_view target = parser_->get().target();
    if (!ParseTarget({target.data(), target.size()}, &request))
      return Write(Refusal(400, "malformed target"));
    bool path_known = false;
    const HttpRoute* route = FindRoute(server_->routes_, &request, &path_known);
    if (route == nullptr && path_known)
      return Write(Refusal(405, "this path takes another method"));
    if (route == nullptr) return Write(Refusal(404, "no such path"));
    request.body = std::move(parser_->get().body());
    CallRoute(*route, std::move(request));
  }

  void CallRoute(const HttpRoute& route, HttpRequest request) {
    uint64_t number = ++requests_;
    stream_.expires_never();
    answer_timer_.expires_after(Wait(server_->limits_.answer));
    answer_timer_.async_wait(
        [self = shared_from_this(), number](error_code error) {
          if (!error) self->Answer(number, Refusal(504, "no answer in time"));
        });
    asio::any_io_executor executor = stream_.get_executor();
    route.handle(std::move(request), [self = shared_from_this(), executor,
                                      number](HttpResponse response) {
      asio::dispatch(executor,
                     [self, number, response = std::move(response)]() mutable {
                       self->Answer(number, std::move(response));
                     });
    });
  }

  void Answer(uint64_t number, HttpResponse response) {
    bool late = number != requests_ || number == answered_;
    if (late) return;
    answered_ = number;
    answer_timer_.cancel();
    Write(std::move(response));
  }

  void Write(HttpResponse response) {
    if (server_->stopped_) keep_alive_ = false;
    response_ = {};
    response_.version(11);
    response_.result(response.status);
    response_.set(http::field::content_type, response.content_type);
    for (const auto& [name, value] : response.headers)
      response_.set(name, value);
    response_.keep_alive(keep_alive_);
    response_.body() = std::move(response.body);
    response_.prepare_payload();
    stream_.expires_after(Wait(server_->limits_.write));
    http::async_write(stream_, response_,
                      [self = shared_from_this()](error_code error, size_t) {
                        bool again = !error && self->keep_alive_;
                        again ? self->Read() : self->Close();
                      });
  }

  beast::tcp_stream stream_;
  asio::steady_timer answer_timer_;
  std::shared_ptr<Impl> server_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  bool reading_ = false;
  bool keep_alive_ = false;
  uint64_t requests_ = 0;
  uint64_t answered_ = 0;
};

Status HttpServer::Impl::Start(const Address& listen) {
  BOOST_OUTCOME_TRYV(listener_->Open(listen, "listen.http"));
  std::weak_ptr<Impl> weak = weak_from_this();
  listener_->Start([weak](tcp::socket socket) {
    std::shared_ptr<Impl> self = weak.lock();
    if (self && !self->stopped_) self->Serve(std::move(socket));
  });
  return Ok();
}

void HttpServer::Impl::Stop() {
  if (stopped_) return;
  stopped_ = true;
  listener_->Close();
  std::set<std::shared_ptr<Session>> sessions = sessions_;
  for (const std::shared_ptr<Session>& session : sessions)
    session->CloseIfIdle();
}

void HttpServer::Impl::CloseAll() {
  Stop();
  std::set<std::shared_ptr<Session>> sessions = std::move(sessions_);
  for (const std::shared_ptr<Session>& session : sessions) session->Close();
}

void HttpServer::Impl::Serve(tcp::socket socket) {
  if (sessions_.size() >= limits_.connections) return;
  std::shared_ptr<Session> session =
      std::make_shared<Session>(std::move(socket), shared_from_this());
  sessions_.insert(session);
  session->Read();
}

HttpServer::HttpServer(asio::io_context* io, HttpLimits limits)
    : impl_(std::make_shared<Impl>(io, limits)) {}

HttpServer::~HttpServer() { impl_->CloseAll(); }

void HttpServer::AddRoutes(std::vector<HttpRoute> routes) {
  for (HttpRoute& route : routes) impl_->routes_.push_back(std::move(route));
}

Status HttpServer::Start(const Address& listen) { return impl_->Start(listen); }

void HttpServer::Stop() { impl_->Stop(); }

uint16_t HttpServer::port() const { return impl_->port(); }

}  // namespace cardamomchute
