#include "endpoint_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <chrono>

namespace cardamomchute {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kReadBytes = 16 * 1024;
constexpr size_t kHeaderBytes = 5;
/// Messages that the connection parses itself are collected up to this size.
constexpr uint32_t kMaxCollectedBytes = 64 * 1024;
constexpr size_t kMaxCollectedRows = 64;
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 3;
constexpr int32_t kAuthenticationOk = 0;

void SetOption(int fd, int level, int name, int value) {
  setsockopt(fd, level, name, &value, sizeof value);
}

void SetSocketOptions(tcp::socket* socket) {
  error_code ignored;
  socket->set_option(tcp::no_delay(true), ignored);
  socket->set_option(asio::socket_base::keep_alive(true), ignored);
  int fd = socket->native_handle();
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(kEndpointUserTimeout.ms()));
}

bool IsRefusal(const error_code& error) {
  return error == asio::error::connection_refused ||
         error == asio::error::connection_reset ||
         error == asio::error::broken_pipe || error == asio::error::eof;
}

Error OpenError(const std::string& reason) {
  return Error{ErrorKind::kUnavailable, reason,
               "check that the endpoint runs and accepts this user"};
}

/// Returns whether a message must be collected whole before it is handled.
bool NeedsWholeMessage(char type, bool consumed) {
  switch (type) {
    case 'Z':
    case 'C':
    case 'I':
    case 'E':
    case 'R':
    case 'K':
      return true;
    case 'D':
      return consumed;
    default:
      return false;
  }
}

}  // namespace

EndpointConnection::EndpointConnection(asio::io_context& io,
                                       EndpointLogin login)
    : io_(io),
      login_(std::move(login)),
      socket_(io),
      resolver_(io),
      timer_(io),
      in_(kReadBytes) {}

EndpointConnection::~EndpointConnection() = default;

void EndpointConnection::Open(Duration timeout, OpenHandler on_open,
                              LostHandler on_lost) {
  state_ = State::kConnecting;
  on_open_ = std::move(on_open);
  on_lost_ = std::move(on_lost);
  timer_.expires_after(std::chrono::milliseconds(timeout.ms()));
  timer_.async_wait([self = Self()](error_code error) {
    if (error || self->state_ != State::kConnecting) return;
    self->Fail("login timed out", false);
  });
  error_code not_an_address;
  asio::ip::address ip =
      asio::ip::make_address(login_.address.host, not_an_address);
  if (!not_an_address) return Connect({ip, login_.address.port});
  resolver_.async_resolve(
      login_.address.host, std::to_string(login_.address.port),
      [self = Self()](error_code error,
                      const tcp::resolver::results_type& found) {
        if (self->state_ != State::kConnecting) return;
        if (error || found.empty()) return self->Fail("unknown host", false);
        self->Connect(*found.begin());
      });
}

void EndpointConnection::Connect(const tcp::endpoint& remote) {
  socket_.async_connect(remote, [self = Self()](error_code error) {
    if (self->state_ != State::kConnecting) return;
    if (error) return self->Fail(error.message(), IsRefusal(error));
    self->SendStartup();
  });
}

void EndpointConnection::SendStartup() {
  SetSocketOptions(&socket_);
  queued_ = pgwire::Startup({{"user", login_.user},
                             {"database", login_.database},
                             {"application_name", "cardamomchute"}});
  Write();
  Read();
}

void EndpointConnection::Send(std::string bytes,
                              std::vector<Exchange> exchanges) {
  if (state_ != State::kOpen) return;
  for (Exchange& exchange : exchanges) {
    exchanges_.push_back(std::move(exchange));
  }
  SendMore(std::move(bytes));
}

void EndpointConnection::SendMore(std::string bytes) {
  if (state_ != State::kOpen) return;
  if (queued_.empty()) {
    queued_ = std::move(bytes);
  } else {
    queued_ += bytes;
  }
  if (writing_.empty()) Write();
}

void EndpointConnection::Write() {
  if (queued_.empty()) return;
  writing_ = std::move(queued_);
  queued_.clear();
  asio::async_write(socket_, asio::buffer(writing_),
                    [self = Self()](error_code error, size_t) {
                      self->writing_.clear();
                      if (self->state_ == State::kClosed) return;
                      if (error) {
                        return self->Fail(error.message(), IsRefusal(error));
                      }
                      self->Write();
                    });
}

void EndpointConnection::PauseReading() { paused_ = true; }

void EndpointConnection::ResumeReading() {
  if (!paused_) return;
  paused_ = false;
  Read();
}

void EndpointConnection::Read() {
  if (reading_ || paused_ || state_ == State::kClosed) return;
  reading_ = true;
  socket_.async_read_some(
      asio::buffer(in_), [self = Self()](error_code error, size_t count) {
        self->reading_ = false;
        if (self->state_ == State::kClosed) return;
        if (error) return self->Fail(error.message(), IsRefusal(error));
        self->Consume(std::string_view(self->in_.data(), count));
        self->Read();
      });
}

void EndpointConnection::Consume(std::string_view data) {
  while (!data.empty()) {
    if (state_ == State::kClosed || state_ == State::kClosing) return;
    data = in_body_ ? ConsumeBody(data) : ConsumeHeader(data);
  }
  ReadDone();
}

std::string_view EndpointConnection::ConsumeHeader(std::string_view data) {
  size_t take = std::min(kHeaderBytes - header_.size(), data.size());
  header_.append(data.substr(0, take));
  if (header_.size() == kHeaderBytes) BeginMessage();
  return data.substr(take);
}

void EndpointConnection::BeginMessage() {
  type_ = header_[0];
  uint32_t length = boost::endian::load_big_u32(
      reinterpret_cast<const unsigned char*>(header_.data() + 1));
  if (length < 4) return Fail("malformed message", false);
  body_left_ = length - 4;
  in_body_ = true;
  bool consumed = exchanges_.empty() || !exchanges_.front().on_piece;
  collect_ =
      NeedsWholeMessage(type_, consumed) && body_left_ <= kMaxCollectedBytes;
  if (!collect_ && type_ == 'Z') return Fail("malformed message", false);
  collected_.clear();
  if (collect_) {
    collected_ = header_;
  } else {
    ForwardPiece(true, header_);
  }
  header_.clear();
  if (body_left_ == 0) EndMessage();
}

std::string_view EndpointConnection::ConsumeBody(std::string_view data) {
  size_t take = std::min<size_t>(body_left_, data.size());
  std::string_view piece = data.substr(0, take);
  if (collect_) {
    collected_ += piece;
  } else {
    ForwardPiece(false, piece);
  }
  body_left_ -= take;
  if (body_left_ == 0) EndMessage();
  return data.substr(take);
}

void EndpointConnection::EndMessage() {
  in_body_ = false;
  if (!collect_) return;
  collect_ = false;
  std::string whole = std::move(collected_);
  collected_.clear();
  HandleMessage(whole);
}

void EndpointConnection::ForwardPiece(bool first, std::string_view piece) {
  if (exchanges_.empty() || !exchanges_.front().on_piece) return;
  exchanges_.front().on_piece(type_, first, piece);
}

void EndpointConnection::HandleMessage(std::string_view whole) {
  std::string_view body = whole.substr(kHeaderBytes);
  if (state_ == State::kConnecting) {
    if (type_ == 'Z') return Opened(Ok());
    return HandleLogin(body);
  }
  if (type_ == 'Z') return HandleReady(body);
  if (exchanges_.empty()) {
    if (type_ == 'E') Fail(pgwire::ParseReport(body).message, true);
    return;
  }
  if (type_ == 'E' && !end_.error) end_.error = pgwire::ParseReport(body);
  bool consumed = !exchanges_.front().on_piece;
  if (type_ == 'D' && consumed && end_.rows.size() < kMaxCollectedRows) {
    end_.rows.emplace_back(body);
  }
  ForwardPiece(true, whole);
}

void EndpointConnection::HandleLogin(std::string_view body) {
  pgwire::BodyReader reader(body);
  if (type_ == 'E') {
    pgwire::Report report = pgwire::ParseReport(body);
    return Fail("login refused: " + report.message, false);
  }
  if (type_ == 'R' && reader.Int32() != kAuthenticationOk) {
    return Fail("the endpoint requires a password; set trust for this user",
                false);
  }
  if (type_ == 'K') {
    pid_ = static_cast<uint32_t>(reader.Int32());
    secret_ = static_cast<uint32_t>(reader.Int32());
  }
}

void EndpointConnection::HandleReady(std::string_view body) {
  if (exchanges_.empty() || body.size() != 1) {
    return Fail("unexpected ReadyForQuery", false);
  }
  Exchange exchange = std::move(exchanges_.front());
  exchanges_.pop_front();
  ExchangeEnd end = std::move(end_);
  end_ = ExchangeEnd();
  end.status = body[0];
  if (exchange.on_end) exchange.on_end(end);
}

void EndpointConnection::ReadDone() {
  if (state_ != State::kOpen || exchanges_.empty()) return;
  std::function<void()> handler = exchanges_.front().on_read_done;
  if (handler) handler();
}

void EndpointConnection::Opened(const Status& status) {
  timer_.cancel();
  if (status) state_ = State::kOpen;
  OpenHandler handler = std::move(on_open_);
  on_open_ = nullptr;
  if (handler) handler(status);
}

void EndpointConnection::Cancel() {
  if (state_ != State::kOpen || pid_ == 0) return;
  error_code error;
  tcp::endpoint remote = socket_.remote_endpoint(error);
  if (error) return;
  std::shared_ptr<tcp::socket> socket = std::make_shared<tcp::socket>(io_);
  std::shared_ptr<std::string> packet =
      std::make_shared<std::string>(pgwire::CancelRequest(pid_, secret_));
  socket->async_connect(remote, [socket, packet](error_code failed) {
    if (failed) return;
    SetSocketOptions(socket.get());
    asio::async_write(*socket, asio::buffer(*packet),
                      [socket, packet](error_code, size_t) {});
  });
}

void EndpointConnection::Close(std::function<void()> on_closed) {
  on_open_ = nullptr;
  on_lost_ = nullptr;
  exchanges_.clear();
  if (state_ != State::kOpen) {
    CloseSocket();
    if (on_closed) asio::post(io_, std::move(on_closed));
    return;
  }
  state_ = State::kClosing;
  on_closed_ = std::move(on_closed);
  queued_ += pgwire::Builder().Begin('X').End().bytes();
  if (writing_.empty()) Write();
  ResumeReading();
  timer_.expires_after(std::chrono::milliseconds(kEndpointCloseTimeout.ms()));
  timer_.async_wait([self = Self()](error_code error) {
    if (!error) self->Fail("closed", false);
  });
}

void EndpointConnection::Fail(const std::string& reason, bool refused) {
  if (state_ == State::kClosed) return;
  loss_ = ConnectionLoss{reason, refused};
  exchanges_.clear();
  CloseSocket();
  asio::post(io_, [self = Self()] {
    OpenHandler on_open = std::move(self->on_open_);
    LostHandler on_lost = std::move(self->on_lost_);
    std::function<void()> on_closed = std::move(self->on_closed_);
    self->on_open_ = nullptr;
    self->on_lost_ = nullptr;
    self->on_closed_ = nullptr;
    if (on_open) return on_open(OpenError(self->loss_.reason));
    if (on_lost) on_lost(self->loss_);
    if (on_closed) on_closed();
  });
}

void EndpointConnection::CloseSocket() {
  state_ = State::kClosed;
  error_code ignored;
  socket_.close(ignored);
  resolver_.cancel();
  timer_.cancel();
}

}  // namespace cardamomchute
