#include "connection.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace cardamomchute::standin {
namespace {

constexpr size_t kReadBytes = 16 * 1024;
constexpr char kTerminate = 'X';

using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::system::error_code;

}  // namespace

boost::asio::awaitable<bool> Connection::ReadMore() {
  if (in_used_ > 0) {
    in_.erase(0, in_used_);
    in_used_ = 0;
  }
  size_t size = in_.size();
  in_.resize(size + kReadBytes);
  error_code failed;
  size_t read = co_await socket_.async_read_some(
      boost::asio::buffer(in_.data() + size, kReadBytes),
      redirect_error(use_awaitable, failed));
  in_.resize(size + read);
  co_return !failed;
}

boost::asio::awaitable<std::optional<pgwire::StartupPacket>>
Connection::ReadStartup() {
  for (;;) {
    Result<std::optional<pgwire::StartupPacket>> next =
        pgwire::NextStartup(std::string_view(in_).substr(in_used_));
    if (!next) co_return std::nullopt;
    if (next.value()) {
      in_used_ += next.value()->size;
      co_return next.value();
    }
    bool more = co_await ReadMore();
    if (!more) co_return std::nullopt;
  }
}

bool Connection::HasMessage() const {
  Result<std::optional<pgwire::MessageView>> next =
      pgwire::NextMessage(std::string_view(in_).substr(in_used_));
  return next && next.value();
}

boost::asio::awaitable<std::optional<OwnedMessage>> Connection::ReadMessage() {
  for (;;) {
    Result<std::optional<pgwire::MessageView>> next =
        pgwire::NextMessage(std::string_view(in_).substr(in_used_));
    if (!next) co_return std::nullopt;
    if (next.value()) {
      OwnedMessage message{next.value()->type, std::string(next.value()->body)};
      in_used_ += next.value()->whole.size();
      co_return message;
    }
    bool more = co_await ReadMore();
    if (!more) co_return std::nullopt;
  }
}

boost::asio::awaitable<bool> Connection::Flush() {
  if (out_.empty()) co_return true;
  writing_.clear();
  std::swap(writing_, out_);
  error_code failed;
  co_await boost::asio::async_write(socket_, boost::asio::buffer(writing_),
                                    redirect_error(use_awaitable, failed));
  co_return !failed;
}

void Connection::StartWatch(std::function<void()> lost) {
  watch_ = std::make_shared<bool>(true);
  Watch(watch_, std::move(lost));
}

void Connection::Watch(std::shared_ptr<bool> watch,
                       std::function<void()> lost) {
  socket_.async_wait(Socket::wait_read, [this, watch, lost](error_code failed) {
    if (!*watch || failed) return;
    if (!ReadAhead()) return lost();
    if (in_.size() < kWatchBytes) Watch(watch, lost);
  });
}

bool Connection::ReadAhead() {
  size_t size = in_.size();
  in_.resize(size + kReadBytes);
  error_code failed;
  socket_.non_blocking(true, failed);
  size_t read = socket_.read_some(
      boost::asio::buffer(in_.data() + size, kReadBytes), failed);
  in_.resize(size + read);
  if (failed && failed != boost::asio::error::would_block) return false;
  return in_.size() == in_used_ || in_[in_used_] != kTerminate;
}

void Connection::StopWatch() {
  if (!watch_) return;
  *watch_ = false;
  watch_.reset();
  error_code ignored;
  socket_.cancel(ignored);
}

void Connection::Interrupt() {
  error_code ignored;
  socket_.cancel(ignored);
}

void Connection::Close() {
  error_code ignored;
  socket_.shutdown(Socket::shutdown_both, ignored);
  socket_.close(ignored);
}

}  // namespace cardamomchute::standin
