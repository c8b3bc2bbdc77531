/// A client's socket with bounded buffers in both directions.
#ifndef CARDAMOMCHUTE_STANDIN_CONNECTION_H_
#define CARDAMOMCHUTE_STANDIN_CONNECTION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cardamomchute/pgwire/message.h"

namespace cardamomchute::standin {

/// Answers gather to this size before they are written.
inline constexpr size_t kFlushBytes = 64 * 1024;

/// Watching reads ahead to this size.
inline constexpr size_t kWatchBytes = 64 * 1024;

/// A message of its own memory.
struct OwnedMessage {
  char type = 0;
  std::string body;
};

class Connection {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  explicit Connection(Socket socket) : socket_(std::move(socket)) {}

  /// Nothing: the peer is gone or broke the protocol.
  boost::asio::awaitable<std::optional<pgwire::StartupPacket>> ReadStartup();
  boost::asio::awaitable<std::optional<OwnedMessage>> ReadMessage();

  /// Whether a whole message can be had without waiting.
  bool HasMessage() const;

  void Send(std::string_view bytes) { out_ += bytes; }
  bool WantsFlush() const { return out_.size() >= kFlushBytes; }
  /// False when the peer is gone.
  boost::asio::awaitable<bool> Flush();

  /// Calls `lost` once the peer closes or says goodbye, till StopWatch. What
  /// arrives meanwhile is kept, up to kWatchBytes.
  void StartWatch(std::function<void()> lost);
  void StopWatch();

  /// Ends a read under way; it returns nothing.
  void Interrupt();
  void Close();
  Socket& socket() { return socket_; }

 private:
  boost::asio::awaitable<bool> ReadMore();
  void Watch(std::shared_ptr<bool> watch, std::function<void()> lost);
  /// False when the peer is gone or the next message is its goodbye.
  bool ReadAhead();

  Socket socket_;
  std::string in_;
  size_t in_used_ = 0;
  std::string out_;
  std::string writing_;
  std::shared_ptr<bool> watch_;
};

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_CONNECTION_H_
