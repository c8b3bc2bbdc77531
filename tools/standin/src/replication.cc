#include "replication.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include "cardamomchute/base/log.h"
#include "cardamomchute/base/pack.h"

namespace cardamomchute::standin {
namespace {

constexpr std::chrono::milliseconds kHeartbeat(100);
constexpr std::chrono::milliseconds kSilence(1500);
constexpr std::chrono::milliseconds kRetry(100);
constexpr size_t kEntriesPerFrame = 64;
constexpr uint32_t kMaxFrame = 256 * 1024 * 1024;

using boost::asio::redirect_error;
using boost::asio::use_awaitable;
using boost::asio::ip::tcp;
using boost::system::error_code;

/// First frame in each direction.
struct Greeting {
  Timeline timeline;
  Position end;
  MSGPACK_DEFINE(timeline, end)
};

/// Entries of the log; none: a heartbeat.
struct Batch {
  std::vector<LogEntry> entries;
  MSGPACK_DEFINE(entries)
};

boost::asio::awaitable<bool> WriteFrame(tcp::socket* socket, std::string body) {
  std::string frame(4, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(frame.data()),
                               static_cast<uint32_t>(body.size()));
  frame += body;
  error_code failed;
  co_await boost::asio::async_write(*socket, boost::asio::buffer(frame),
                                    redirect_error(use_awaitable, failed));
  co_return !failed;
}

boost::asio::awaitable<std::optional<std::string>> ReadFrame(
    tcp::socket* socket) {
  std::array<unsigned char, 4> header{};
  error_code failed;
  co_await boost::asio::async_read(*socket, boost::asio::buffer(header),
                                   redirect_error(use_awaitable, failed));
  uint32_t size = boost::endian::load_big_u32(header.data());
  if (failed || size > kMaxFrame) co_return std::nullopt;
  std::string body(size, '\0');
  co_await boost::asio::async_read(*socket, boost::asio::buffer(body),
                                   redirect_error(use_awaitable, failed));
  if (failed) co_return std::nullopt;
  co_return body;
}

std::string PackGreeting(const Member& member) {
  return Pack(Greeting{member.timeline(), member.received()});
}

}  // namespace

boost::asio::awaitable<void> ReplicationServer::Run() {
  for (;;) {
    error_code failed;
    tcp::socket socket =
        co_await acceptor_.async_accept(redirect_error(use_awaitable, failed));
    if (failed == boost::asio::error::operation_aborted) co_return;
    if (failed) continue;
    boost::asio::co_spawn(acceptor_.get_executor(), Serve(std::move(socket)),
                          boost::asio::detached);
  }
}

boost::asio::awaitable<void> ReplicationServer::Serve(tcp::socket socket) {
  std::optional<std::string> body = co_await ReadFrame(&socket);
  if (!body || !member_.is_primary()) co_return;
  Result<Greeting> greeting = Unpack<Greeting>(*body);
  if (!greeting || greeting.value().timeline.empty()) co_return;
  const Greeting& theirs = greeting.value();
  Position common = CommonEnd(member_.timeline(), member_.received(),
                              theirs.timeline, theirs.end);
  bool greeted = co_await WriteFrame(&socket, PackGreeting(member_));
  if (!greeted) co_return;
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  ++followers_;
  co_await Stream(&socket, member_.IndexAt(common));
  --followers_;
}

boost::asio::awaitable<void> ReplicationServer::Stream(tcp::socket* socket,
                                                       size_t next) {
  uint64_t reign = member_.reign();
  boost::asio::steady_timer news(socket->get_executor());
  uint64_t listener = member_.Listen([&news] { news.cancel(); });
  for (;;) {
    if (member_.reign() != reign) break;
    Batch batch;
    for (const LogEntryPtr& entry :
         member_.EntriesFrom(next, kEntriesPerFrame)) {
      batch.entries.push_back(*entry);
    }
    next += batch.entries.size();
    bool sent = co_await WriteFrame(socket, Pack(batch));
    if (!sent) break;
    if (next < member_.log_size()) continue;
    news.expires_after(kHeartbeat);
    error_code ignored;
    co_await news.async_wait(redirect_error(use_awaitable, ignored));
  }
  member_.Unlisten(listener);
}

Follower::Follower(boost::asio::any_io_executor executor, Member* member)
    : member_(*member),
      socket_(executor),
      retry_timer_(executor),
      silence_timer_(executor) {}

void Follower::Follow(const Address& primary) {
  LogLine(LogLevel::kInfo, "follow").Field("primary", ToString(primary));
  primary_ = primary;
  member_.Demote();
  CloseSocket();
  retry_timer_.cancel();
}

void Follower::CloseSocket() {
  error_code ignored;
  socket_.close(ignored);
}

boost::asio::awaitable<void> Follower::Run() {
  for (;;) {
    if (following()) co_await Once();
    connected_ = false;
    CloseSocket();
    error_code ignored;
    retry_timer_.expires_after(kRetry);
    co_await retry_timer_.async_wait(redirect_error(use_awaitable, ignored));
  }
}

void Follower::CloseWhenSilent() {
  silence_timer_.expires_after(kHeartbeat);
  silence_timer_.async_wait([this](error_code failed) {
    if (failed) return;
    bool silent = std::chrono::steady_clock::now() - last_read_ > kSilence;
    if (silent || member_.is_primary()) return CloseSocket();
    CloseWhenSilent();
  });
}

/// One connection, from connect to loss.
boost::asio::awaitable<void> Follower::Once() {
  error_code failed;
  boost::asio::ip::address ip =
      boost::asio::ip::make_address(primary_->host, failed);
  if (failed) co_return;
  last_read_ = std::chrono::steady_clock::now();
  CloseWhenSilent();
  Address target = *primary_;
  co_await socket_.async_connect(tcp::endpoint(ip, target.port),
                                 redirect_error(use_awaitable, failed));
  bool greeted = false;
  if (!failed) greeted = co_await Greet();
  while (greeted && following() && target == *primary_) {
    std::optional<std::string> body = co_await ReadFrame(&socket_);
    bool current = following() && target == *primary_;
    if (!body || !current) break;
    last_read_ = std::chrono::steady_clock::now();
    Result<Batch> batch = Unpack<Batch>(*body);
    if (!batch) break;
    for (LogEntry& entry : batch.value().entries) {
      member_.Receive(std::make_shared<const LogEntry>(std::move(entry)));
    }
  }
  silence_timer_.cancel();
}

boost::asio::awaitable<bool> Follower::Greet() {
  bool sent = co_await WriteFrame(&socket_, PackGreeting(member_));
  if (!sent) co_return false;
  std::optional<std::string> body = co_await ReadFrame(&socket_);
  if (!body || !following()) co_return false;
  Result<Greeting> greeting = Unpack<Greeting>(*body);
  if (!greeting || greeting.value().timeline.empty()) co_return false;
  const Greeting& theirs = greeting.value();
  Position common = CommonEnd(theirs.timeline, theirs.end, member_.timeline(),
                              member_.received());
  Term their_term = theirs.timeline.back().term;
  // Only a later term may take back what this member has received.
  bool behind = their_term < member_.term() ||
                (their_term == member_.term() && common < member_.received());
  if (behind || common < kFirstPosition) {
    LogLine(LogLevel::kWarn, "follow_refused")
        .Field("primary", ToString(*primary_))
        .Field("their_term", their_term)
        .Field("term", member_.term());
    co_return false;
  }
  member_.Adopt(theirs.timeline, common);
  last_read_ = std::chrono::steady_clock::now();
  connected_ = true;
  LogLine(LogLevel::kInfo, "following")
      .Field("primary", ToString(*primary_))
      .Field("term", their_term)
      .Field("from", common);
  co_return true;
}

}  // namespace cardamomchute::standin
