#include "cardamomchute/base/tcp_listener.h"

#include <chrono>
#include <utility>

#include "cardamomchute/base/log.h"

namespace cardamomchute {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

TcpListener::TcpListener(asio::io_context* io)
    : io_(io), acceptor_(*io), retry_(*io) {}

Status TcpListener::Open(const Address& address, const std::string& setting) {
  error_code error;
  tcp::endpoint endpoint(asio::ip::make_address(address.host, error),
                         address.port);
  if (!error) acceptor_.open(endpoint.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(endpoint, error);
  if (!error)
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return Error{
        ErrorKind::kIo,
        "cannot listen on " + ToString(address) + ": " + error.message(),
        "set " + setting + " to a free address of this VM"};
  }
  port_ = acceptor_.local_endpoint().port();
  return Ok();
}

void TcpListener::Start(AcceptHandler on_accept, ChooseContext choose) {
  on_accept_ = std::move(on_accept);
  choose_ = std::move(choose);
  Accept();
}

void TcpListener::Accept() {
  asio::io_context* context = choose_ ? choose_() : io_;
  acceptor_.async_accept(*context, [self = shared_from_this()](
                                       error_code error, tcp::socket socket) {
    self->OnAccept(error, std::move(socket));
  });
}

void TcpListener::OnAccept(const error_code& error, Socket socket) {
  if (!on_accept_) return;
  if (error) return AcceptLater(error);
  // The handler may close the listener.
  AcceptHandler on_accept = on_accept_;
  on_accept(std::move(socket));
  if (acceptor_.is_open()) Accept();
}

void TcpListener::AcceptLater(const error_code& error) {
  if (!acceptor_.is_open()) return;
  LogLine(LogLevel::kWarn, "accept_failed")
      .Field("port", port_)
      .Field("reason", error.message());
  retry_.expires_after(std::chrono::milliseconds(kAcceptRetry.ms()));
  retry_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (!cancelled && self->acceptor_.is_open()) self->Accept();
  });
}

void TcpListener::Drain() {
  error_code error;
  acceptor_.non_blocking(true, error);
  while (!error && on_accept_) {
    tcp::socket socket(choose_ ? *choose_() : *io_);
    acceptor_.accept(socket, error);
    if (!error) on_accept_(std::move(socket));
  }
  acceptor_.close(error);
  retry_.cancel();
}

void TcpListener::Close() {
  error_code ignored;
  acceptor_.close(ignored);
  retry_.cancel();
  on_accept_ = nullptr;
  choose_ = nullptr;
}

}  // namespace cardamomchute
