/// Carries a primary's log to its replicas over TCP.
///
/// A frame is a 4-byte big-endian length and a msgpack body. A replica sends
/// its timeline and the end of its log; the primary answers with its own, and
/// both work out the last position they share. From there on the primary
/// sends entries, and heartbeats while there are none.
#ifndef CARDAMOMCHUTE_STANDIN_REPLICATION_H_
#define CARDAMOMCHUTE_STANDIN_REPLICATION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "cardamomchute/base/ids.h"
#include "member.h"

namespace cardamomchute::standin {

/// Sends the log to whoever connects, while the member is primary.
class ReplicationServer {
 public:
  ReplicationServer(boost::asio::ip::tcp::acceptor acceptor, Member* member)
      : acceptor_(std::move(acceptor)), member_(*member) {}

  boost::asio::awaitable<void> Run();
  size_t followers() const { return followers_; }

 private:
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<void> Stream(boost::asio::ip::tcp::socket* socket,
                                      size_t next);

  boost::asio::ip::tcp::acceptor acceptor_;
  Member& member_;
  size_t followers_ = 0;
};

/// Keeps a replica connected to the primary it follows.
class Follower {
 public:
  Follower(boost::asio::any_io_executor executor, Member* member);

  /// Follows the member whose replication address this is, from now on. A
  /// primary becomes a replica.
  void Follow(const Address& primary);
  boost::asio::awaitable<void> Run();
  bool connected() const { return connected_; }
  const std::optional<Address>& primary() const { return primary_; }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  bool following() const { return primary_ && !member_.is_primary(); }
  boost::asio::awaitable<void> Once();
  boost::asio::awaitable<bool> Greet();
  void CloseWhenSilent();
  void CloseSocket();

  Member& member_;
  std::optional<Address> primary_;
  Socket socket_;
  boost::asio::steady_timer retry_timer_;
  boost::asio::steady_timer silence_timer_;
  SteadyTime last_read_;
  bool connected_ = false;
};

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_REPLICATION_H_
