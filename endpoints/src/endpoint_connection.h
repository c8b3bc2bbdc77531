/// Client side of a PostgreSQL v3 protocol connection to an endpoint.
///
/// Requests are answered in exchanges: all backend messages up to and
/// including a ReadyForQuery. An exchange is either relayed in pieces or
/// consumed by the connection.
#ifndef CARDAMOMCHUTE_ENDPOINTS_SRC_ENDPOINT_CONNECTION_H_
#define CARDAMOMCHUTE_ENDPOINTS_SRC_ENDPOINT_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"
#include "cardamomchute/pgwire/message.h"

namespace cardamomchute {

/// TCP_USER_TIMEOUT: a connection breaks when sent bytes stay unacknowledged
/// for longer.
inline constexpr Duration kEndpointUserTimeout = Millis(2000);
/// Time an endpoint gets to close its side of a connection.
inline constexpr Duration kEndpointCloseTimeout = Millis(1000);

/// How an exchange ended.
struct ExchangeEnd {
  char status = 'I';  ///< transaction status of the ReadyForQuery
  std::optional<pgwire::Report> error;  ///< the first ErrorResponse
  std::vector<std::string> rows;        ///< DataRow bodies, if not relayed
};

/// Handlers for one answer up to its ReadyForQuery, which is never relayed.
struct Exchange {
  /// Receives the pieces of a relayed answer. If empty, the answer is not
  /// relayed. CommandComplete, EmptyQueryResponse and ErrorResponse arrive
  /// whole; `first` marks the first piece of a message.
  std::function<void(char type, bool first, std::string_view piece)> on_piece;
  /// Called after all pieces of one socket read, so that they can be forwarded
  /// together.
  std::function<void()> on_read_done;
  std::function<void(const ExchangeEnd&)> on_end;
};

struct EndpointLogin {
  Address address;
  std::string user;
  std::string database;
};

/// Why a connection was lost other than by Close.
struct ConnectionLoss {
  std::string reason;
  bool refused = false;  ///< refused, reset or closed by the endpoint
};

class EndpointConnection
    : public std::enable_shared_from_this<EndpointConnection> {
 public:
  using OpenHandler = std::function<void(Status)>;
  using LostHandler = std::function<void(const ConnectionLoss&)>;

  EndpointConnection(boost::asio::io_context& io, EndpointLogin login);
  ~EndpointConnection();

  /// Connects and logs in within `timeout`. Calls `on_lost` at most once and
  /// never from within another call; pending exchanges then get no `on_end`.
  void Open(Duration timeout, OpenHandler on_open, LostHandler on_lost);

  /// Sends `bytes` in one write; `exchanges` handle the answers in order.
  void Send(std::string bytes, std::vector<Exchange> exchanges);
  /// Sends more bytes of the last exchange.
  void SendMore(std::string bytes);

  /// Stops reading, which applies back-pressure to the endpoint.
  void PauseReading();
  void ResumeReading();

  /// Sends a CancelRequest for the running statement on a new connection.
  void Cancel();

  /// Sends Terminate and closes; drops pending exchanges. Calls `on_closed`
  /// when the endpoint has closed its side or kEndpointCloseTimeout has passed.
  void Close(std::function<void()> on_closed);

  bool open() const { return state_ == State::kOpen; }
  bool idle() const { return exchanges_.empty(); }
  const ConnectionLoss& loss() const { return loss_; }

 private:
  enum class State { kNew, kConnecting, kOpen, kClosing, kClosed };
  using Socket = boost::asio::ip::tcp::socket;

  void Connect(const boost::asio::ip::tcp::endpoint& remote);
  void SendStartup();
  void Write();
  void Read();
  void Consume(std::string_view data);
  std::string_view ConsumeHeader(std::string_view data);
  std::string_view ConsumeBody(std::string_view data);
  void BeginMessage();
  void EndMessage();
  void ForwardPiece(bool first, std::string_view piece);
  void HandleMessage(std::string_view whole);
  void HandleLogin(std::string_view body);
  void HandleReady(std::string_view body);
  void ReadDone();
  void Opened(const Status& status);
  void Fail(const std::string& reason, bool refused);
  void CloseSocket();
  std::shared_ptr<EndpointConnection> Self() { return shared_from_this(); }

  boost::asio::io_context& io_;
  EndpointLogin login_;
  Socket socket_;
  boost::asio::ip::tcp::resolver resolver_;
  boost::asio::steady_timer timer_;
  State state_ = State::kNew;
  OpenHandler on_open_;
  LostHandler on_lost_;
  std::function<void()> on_closed_;
  ConnectionLoss loss_;
  uint32_t pid_ = 0;
  uint32_t secret_ = 0;

  std::deque<Exchange> exchanges_;
  ExchangeEnd end_;
  std::string queued_;
  std::string writing_;

  std::vector<char> in_;
  bool reading_ = false;
  bool paused_ = false;
  std::string header_;  ///< type and length of the current message
  char type_ = 0;
  uint32_t body_left_ = 0;
  bool in_body_ = false;
  bool collect_ = false;  ///< the current message is collected whole
  std::string collected_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_SRC_ENDPOINT_CONNECTION_H_
