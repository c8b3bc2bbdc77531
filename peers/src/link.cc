#include "cardamomchute/peers/link.h"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <chrono>

namespace cardamomchute {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr size_t kHeaderBytes = 5;
// The read size adapts to recent reads between these limits, so that the many
// links that only carry heartbeats use little memory.
constexpr size_t kMinReadBytes = 2 * 1024;
constexpr size_t kMaxReadBytes = 64 * 1024;

std::string Describe(const asio::ip::tcp::socket& socket) {
  error_code error;
  asio::ip::tcp::endpoint remote = socket.remote_endpoint(error);
  if (error) return "unknown";
  return remote.address().to_string() + ":" + std::to_string(remote.port());
}

}  // namespace

Link::Link(Socket socket, LinkTiming timing)
    : socket_(std::move(socket)),
      timing_(timing),
      timer_(socket_.get_executor()),
      remote_(Describe(socket_)),
      read_size_(kMinReadBytes),
      last_read_(Now()),
      last_write_(Now()) {
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void Link::Start(FrameHandler on_frame, LostHandler on_lost) {
  on_frame_ = std::move(on_frame);
  on_lost_ = std::move(on_lost);
  Read();
  Tick();
}

void Link::Send(FrameType type, std::string body) {
  if (lost_) return;
  unsigned char header[4];
  boost::endian::store_big_u32(header, static_cast<uint32_t>(body.size() + 1));
  queued_.append(reinterpret_cast<char*>(header), sizeof header);
  queued_.push_back(static_cast<char>(type));
  queued_ += body;
  unsent_bytes_ = queued_.size() + writing_.size();
  if (unsent_bytes_ > kMaxUnsentBytes) return HandleLoss("peer does not read");
  if (writing_.empty()) Write();
}

void Link::Close() {
  lost_ = true;
  error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
  on_frame_ = nullptr;
  on_lost_ = nullptr;
}

void Link::Read() {
  if (read_buffer_.size() < read_buffer_used_ + read_size_)
    read_buffer_.resize(read_buffer_used_ + read_size_);
  std::shared_ptr<Link> self = shared_from_this();
  socket_.async_read_some(asio::buffer(read_buffer_.data() + read_buffer_used_,
                                       read_buffer_.size() - read_buffer_used_),
                          [self](error_code error, size_t count) {
                            if (self->lost_) return;
                            if (error) return self->HandleLoss(error.message());
                            self->AdaptReadSize(count);
                            self->read_buffer_used_ += count;
                            self->last_read_ = Now();
                            self->ParseFrames();
                            if (!self->lost_) self->Read();
                          });
}

void Link::ParseFrames() {
  size_t at = 0;
  while (!lost_ && read_buffer_used_ - at >= kHeaderBytes) {
    uint32_t length = boost::endian::load_big_u32(
        reinterpret_cast<const unsigned char*>(read_buffer_.data() + at));
    uint32_t limit = received_frame_ ? kMaxFrameBytes : kMaxHelloBytes;
    if (length < 1 || length > limit)
      return HandleLoss("frame size out of range");
    if (read_buffer_used_ - at < 4 + static_cast<size_t>(length)) break;
    FrameType type = static_cast<FrameType>(read_buffer_[at + 4]);
    std::string_view body(read_buffer_.data() + at + kHeaderBytes, length - 1);
    received_frame_ = true;
    at += 4 + static_cast<size_t>(length);
    if (type != FrameType::kHeartbeat && on_frame_) {
      FrameHandler handler = on_frame_;
      handler(type, body);
    }
  }
  read_buffer_.erase(0, at);
  read_buffer_used_ -= at;
  bool oversized = read_buffer_.size() > read_buffer_used_ + 4 * read_size_;
  if (oversized) {
    read_buffer_.resize(read_buffer_used_);
    read_buffer_.shrink_to_fit();
  }
}

void Link::AdaptReadSize(size_t count) {
  if (count >= read_size_) {
    read_size_ = std::min(read_size_ * 2, kMaxReadBytes);
  } else if (count < read_size_ / 4) {
    read_size_ = std::max(read_size_ / 2, kMinReadBytes);
  }
}

void Link::Write() {
  writing_.swap(queued_);
  queued_.clear();
  last_write_ = Now();
  std::shared_ptr<Link> self = shared_from_this();
  asio::async_write(socket_, asio::buffer(writing_),
                    [self](error_code error, size_t) {
                      if (self->lost_) return;
                      if (error) return self->HandleLoss(error.message());
                      self->writing_.clear();
                      self->unsent_bytes_ = self->queued_.size();
                      if (!self->queued_.empty()) self->Write();
                    });
}

void Link::Tick() {
  timer_.expires_after(std::chrono::milliseconds(timing_.heartbeat.ms()));
  std::shared_ptr<Link> self = shared_from_this();
  timer_.async_wait([self](error_code error) {
    if (error || self->lost_) return;
    Time now = Now();
    if (now - self->last_read_ > self->timing_.timeout) {
      return self->HandleLoss("peer silent for " +
                              std::to_string((now - self->last_read_).ms()) +
                              " ms");
    }
    bool idle = self->writing_.empty() &&
                now - self->last_write_ >= self->timing_.heartbeat / 2;
    if (idle) self->Send(FrameType::kHeartbeat, "");
    self->Tick();
  });
}

void Link::HandleLoss(const std::string& reason) {
  if (lost_) return;
  lost_ = true;
  error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
  std::shared_ptr<Link> self = shared_from_this();
  asio::post(socket_.get_executor(), [self, reason] {
    LostHandler handler = std::move(self->on_lost_);
    self->on_frame_ = nullptr;
    self->on_lost_ = nullptr;
    if (handler) handler(reason);
  });
}

void ConnectLink(asio::any_io_executor executor, Address address,
                 Duration timeout,
                 std::function<void(std::shared_ptr<Link>)> done,
                 LinkTiming timing) {
  struct Attempt {
    explicit Attempt(const asio::any_io_executor& executor)
        : socket(executor), timer(executor) {}
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    bool finished = false;
  };
  std::shared_ptr<Attempt> attempt = std::make_shared<Attempt>(executor);
  error_code error;
  asio::ip::address ip = asio::ip::make_address(address.host, error);
  if (error) {
    asio::post(executor, [done] { done(nullptr); });
    return;
  }
  attempt->timer.expires_after(std::chrono::milliseconds(timeout.ms()));
  attempt->timer.async_wait([attempt, done](error_code cancelled) {
    if (cancelled || attempt->finished) return;
    attempt->finished = true;
    error_code ignored;
    attempt->socket.close(ignored);
    done(nullptr);
  });
  attempt->socket.async_connect(
      asio::ip::tcp::endpoint(ip, address.port),
      [attempt, done, timing](error_code failed) {
        if (attempt->finished) return;
        attempt->finished = true;
        attempt->timer.cancel();
        if (failed) return done(nullptr);
        done(std::make_shared<Link>(std::move(attempt->socket), timing));
      });
}

}  // namespace cardamomchute
