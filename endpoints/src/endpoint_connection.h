/// One connection to an endpoint in the PostgreSQL v3 protocol, client side.
///
/// What is sent is answered in exchanges: all backend messages up to a
/// ReadyForQuery. Each exchange is either relayed piece by piece or swallowed.
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

/// Bytes unacknowledged for longer break an endpoint's connection.
inline constexpr Duration kEndpointUserTimeout = Millis(2000);
/// An endpoint gets this long to close its side of a connection.
inline constexpr Duration kEndpointCloseTimeout = Millis(1000);

/// How an exchange ended.
struct ExchangeEnd {
  char status = 'I';  ///< transaction status of the ReadyForQuery
  std::optional<pgwire::Report> error;  ///< the first ErrorResponse
  std::vector<std::string> rows;        ///< DataRow bodies, if swallowed
};

/// One answer up to its ReadyForQuery, which is never passed on.
struct Exchange {
  /// Takes the pieces of a relayed answer; empty: the answer is swallowed.
  /// CommandComplete, EmptyQueryResponse and ErrorResponse come whole;
  /// `first` marks the piece that begins a message.
  std::function<void(char type, bool first, std::string_view piece)> on_piece;
  /// Called after the pieces of one read, so that they can go out together.
  std::function<void()> on_read_done;
  std::function<void(const ExchangeEnd&)> on_end;
};

struct EndpointLogin {
  Address address;
  std::string user;
  std::string database;
};

/// Why a connection was lost without anybody closing it.
struct ConnectionLoss {
  std::string reason;
  bool refused = false;  ///< refused or reset: nobody serves there
};

class EndpointConnection
    : public std::enable_shared_from_this<EndpointConnection> {
 public:
  using OpenHandler = std::function<void(Status)>;
  using LostHandler = std::function<void(const ConnectionLoss&)>;

  EndpointConnection(boost::asio::io_context& io, EndpointLogin login);
  ~EndpointConnection();

  /// Connects and logs in within `timeout`. `on_lost` runs at most once, and
  /// never within another call; exchanges under way then have no end.
  void Open(Duration timeout, OpenHandler on_open, LostHandler on_lost);

  /// Sends `bytes`, whose answers are `exchanges`, in one write.
  void Send(std::string bytes, std::vector<Exchange> exchanges);
  /// Sends more bytes of the exchange that is under way.
  void SendMore(std::string bytes);

  /// Stops reading, so that an answer waits at the endpoint.
  void PauseReading();
  void ResumeReading();

  /// Asks the endpoint, on a connection of its own, to cancel what runs.
  void Cancel();

  /// Says goodbye and closes; `on_closed` runs when the endpoint has closed its
  /// side too or had its time. Drops what is under way.
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
  std::string header_;  ///< type and length of the message under way
  char type_ = 0;
  uint32_t body_left_ = 0;
  bool in_body_ = false;
  bool collect_ = false;  ///< the message under way is kept whole
  std::string collected_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_SRC_ENDPOINT_CONNECTION_H_
