#include "pipe.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace cardamomchute::faultproxy {
namespace {

constexpr size_t kReadBytes = 16 * 1024;

using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::system::error_code;

}  // namespace

Pipe::Pipe(Socket* from, Socket* to, Direction* direction,
           std::function<bool()> open)
    : from_(*from),
      to_(*to),
      direction_(*direction),
      open_(std::move(open)),
      reader_timer_(from->get_executor()),
      writer_timer_(from->get_executor()) {}

void Pipe::Wake() {
  reader_timer_.cancel();
  writer_timer_.cancel();
}

void Pipe::Stop() {
  stopping_ = true;
  Wake();
}

boost::asio::awaitable<void> Pipe::Wait(boost::asio::steady_timer* timer,
                                        Clock::time_point until) {
  error_code ignored;
  timer->expires_at(until);
  co_await timer->async_wait(redirect_error(use_awaitable, ignored));
}

boost::asio::awaitable<void> Pipe::Run() {
  boost::asio::co_spawn(
      from_.get_executor(), [this] { return ReadAll(); },
      [this](std::exception_ptr) {
        reader_done_ = true;
        Wake();
      });
  co_await WriteAll();
  while (!reader_done_) co_await Wait(&writer_timer_, Clock::time_point::max());
}

boost::asio::awaitable<void> Pipe::ReadAll() {
  for (;;) {
    while (!stopping_ && (!open_() || held_bytes_ >= kPipeBytes)) {
      co_await Wait(&reader_timer_, Clock::time_point::max());
    }
    if (stopping_) co_return;
    Chunk chunk;
    chunk.bytes.resize(kReadBytes);
    error_code failed;
    size_t size =
        co_await from_.async_read_some(boost::asio::buffer(chunk.bytes),
                                       redirect_error(use_awaitable, failed));
    if (stopping_) co_return;
    chunk.bytes.resize(failed ? 0 : size);
    chunk.read_at = Clock::now();
    held_bytes_ += chunk.bytes.size();
    chunks_.push_back(std::move(chunk));
    writer_timer_.cancel();
    if (failed) co_return;
  }
}

/// Waits till the chunk may leave; false when the pipe is stopping.
boost::asio::awaitable<bool> Pipe::AwaitDue(const Chunk& chunk) {
  while (!stopping_) {
    Clock::time_point due = chunk.read_at + direction_.delay;
    bool passes = open_();
    if (passes && Clock::now() >= due) co_return true;
    co_await Wait(&writer_timer_, passes ? due : Clock::time_point::max());
  }
  co_return false;
}

boost::asio::awaitable<void> Pipe::WriteAll() {
  for (;;) {
    while (!stopping_ && chunks_.empty()) {
      co_await Wait(&writer_timer_, Clock::time_point::max());
    }
    if (stopping_) co_return;
    Chunk chunk = std::move(chunks_.front());
    chunks_.pop_front();
    bool due = co_await AwaitDue(chunk);
    if (!due) co_return;
    error_code failed;
    if (chunk.bytes.empty()) {
      to_.shutdown(Socket::shutdown_send, failed);
      co_return;
    }
    co_await boost::asio::async_write(to_, boost::asio::buffer(chunk.bytes),
                                      redirect_error(use_awaitable, failed));
    held_bytes_ -= chunk.bytes.size();
    direction_.bytes += chunk.bytes.size();
    reader_timer_.cancel();
    if (!failed) continue;
    from_.cancel(failed);
    Stop();
    co_return;
  }
}

}  // namespace cardamomchute::faultproxy
