/// Accepts TCP connections at one address.
#ifndef CARDAMOMCHUTE_BASE_TCP_LISTENER_H_
#define CARDAMOMCHUTE_BASE_TCP_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// Delay after a failed accept. The likely cause is a lack of file descriptors,
/// which closing connections release; accepting again at once would spin.
inline constexpr Duration kAcceptRetry = Millis(100);

/// Runs on the thread of `io`. An open listener stays alive without its owner,
/// so the owner must close it.
class TcpListener : public std::enable_shared_from_this<TcpListener> {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  /// Gets each connection, on the listener's thread.
  using AcceptHandler = std::function<void(Socket)>;
  /// Returns the context that the next connection belongs to.
  using ChooseContext = std::function<boost::asio::io_context*()>;

  explicit TcpListener(boost::asio::io_context* io);

  /// Binds to `address`. `setting` is the one that an error names.
  Status Open(const Address& address, const std::string& setting);
  /// Accepts connections until Close. `choose` defaults to the listener's own
  /// context.
  void Start(AcceptHandler on_accept, ChooseContext choose = nullptr);
  /// Passes on all who have connected, the last of them soon, and closes the
  /// port. For a planned stop.
  void Drain();
  /// Closes the port. No handler runs after it, if called on the listener's
  /// thread.
  void Close();
  bool is_open() const { return acceptor_.is_open(); }
  /// The port, also if the address left it to the system.
  uint16_t port() const { return port_; }

 private:
  void Accept();
  void OnAccept(const boost::system::error_code& error, Socket socket);
  void AcceptLater(const boost::system::error_code& error);

  boost::asio::io_context* io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_;
  AcceptHandler on_accept_;
  ChooseContext choose_;
  uint16_t port_ = 0;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_BASE_TCP_LISTENER_H_
