#include "cardamomchute/relay/command_connection.h"

#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

namespace cardamomchute {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kReadBytes = 4 * 1024;

}  // namespace

CommandConnection::CommandConnection(asio::any_io_executor executor,
                                     const EndpointProtocol* protocol)
    : socket_(executor), timer_(executor), protocol_(protocol) {}

void CommandConnection::Open(const Address& address, const EndpointHello& hello,
                             Duration timeout,
                             std::function<void(StatementStatus)> done) {
  on_open_ = std::move(done);
  protocol_->encode_hello(hello, &queued_);
  std::shared_ptr<CommandConnection> self = shared_from_this();
  timer_.expires_after(std::chrono::milliseconds(timeout.ms()));
  timer_.async_wait([self](error_code cancelled) {
    if (!cancelled) self->FinishOpen(StatementStatus::kTimeout);
  });
  error_code error;
  asio::ip::address ip = asio::ip::make_address(address.host, error);
  if (error) return FinishOpen(StatementStatus::kUnreachable);
  socket_.async_connect(
      tcp::endpoint(ip, address.port), [self](error_code failed) {
        if (self->closed_) return;
        if (failed) return self->FinishOpen(StatementStatus::kUnreachable);
        self->Greet();
      });
}

void CommandConnection::Greet() {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  expected_.push_back(
      [this](const CommandAnswer& answer) { FinishOpen(answer.outcome); });
  Write();
  Read();
}

void CommandConnection::FinishOpen(StatementStatus outcome) {
  if (!on_open_) return;
  timer_.cancel();
  open_ = outcome == StatementStatus::kDone;
  std::function<void(StatementStatus)> done = std::exchange(on_open_, nullptr);
  if (!open_) Close();
  done(outcome);
}

void CommandConnection::Send(const std::vector<EndpointCommand>& commands,
                             OnAnswer on_answer) {
  if (closed_) return;
  for (const EndpointCommand& command : commands) {
    protocol_->encode(command, &queued_);
    expected_.push_back(on_answer);
  }
  if (writing_.empty()) Write();
}

void CommandConnection::Write() {
  writing_.swap(queued_);
  queued_.clear();
  std::shared_ptr<CommandConnection> self = shared_from_this();
  asio::async_write(socket_, asio::buffer(writing_),
                    [self](error_code error, size_t) {
                      if (self->closed_) return;
                      if (error) return self->Lose();
                      self->writing_.clear();
                      if (!self->queued_.empty()) self->Write();
                    });
}

void CommandConnection::Read() {
  if (in_.size() < in_used_ + kReadBytes) in_.resize(in_used_ + kReadBytes);
  std::shared_ptr<CommandConnection> self = shared_from_this();
  socket_.async_read_some(
      asio::buffer(in_.data() + in_used_, in_.size() - in_used_),
      [self](error_code error, size_t count) {
        if (self->closed_) return;
        if (error) return self->Lose();
        self->in_used_ += count;
        self->last_read_ = Now();
        self->Parse();
        if (!self->closed_) self->Read();
      });
}

void CommandConnection::Parse() {
  size_t at = 0;
  while (!closed_) {
    Result<Decoded<EndpointMessage>> decoded =
        protocol_->decode(std::string_view(in_.data() + at, in_used_ - at));
    if (!decoded) return Lose();
    if (decoded.value().used == 0) break;
    at += decoded.value().used;
    OnMessage(std::move(*decoded.value().message));
  }
  in_.erase(0, at);
  in_used_ -= at;
}

void CommandConnection::OnMessage(EndpointMessage message) {
  if (expected_.empty()) return Lose();
  if (auto* row = std::get_if<EndpointRow>(&message)) {
    current_.rows.push_back(std::move(row->row));
  } else if (auto* done = std::get_if<EndpointDone>(&message)) {
    current_.signature = std::move(done->signature);
  } else if (auto* error = std::get_if<EndpointError>(&message)) {
    current_.outcome = error->outcome;
    current_.detail = std::move(error->detail);
    // A refused greeting is not followed by anything.
    if (on_open_) FinishOpen(error->outcome);
  } else {
    const EndpointReady& ready = std::get<EndpointReady>(message);
    current_.state = ready.state;
    current_.at = ready.at;
    CommandAnswer answer = std::exchange(current_, CommandAnswer());
    OnAnswer handler = std::move(expected_.front());
    expected_.pop_front();
    handler(answer);
  }
}

void CommandConnection::Lose() {
  if (closed_) return;
  if (on_open_) return FinishOpen(StatementStatus::kUnreachable);
  std::function<void()> lost = std::exchange(on_lost_, nullptr);
  Close();
  if (lost) lost();
}

void CommandConnection::Close() {
  if (closed_) return;
  closed_ = true;
  open_ = false;
  error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
  on_lost_ = nullptr;
  on_open_ = nullptr;
  expected_.clear();
}

}  // namespace cardamomchute
