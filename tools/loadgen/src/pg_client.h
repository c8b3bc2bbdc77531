/// A PostgreSQL v3 client for simple queries, one at a time.
#ifndef CARDAMOMCHUTE_LOADGEN_PG_CLIENT_H_
#define CARDAMOMCHUTE_LOADGEN_PG_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/pgwire/message.h"

namespace cardamomchute::loadgen {

using AnswerRow = std::vector<std::optional<std::string>>;

/// All that came back for one query.
struct Answer {
  bool lost = false;  ///< connection lost or timed out before the end
  std::optional<pgwire::Report> error;  ///< the first one
  std::vector<AnswerRow> rows;
  std::string tag;  ///< of the last command
  char status = 'I';

  bool ok() const { return !lost && !error; }
};

class PgClient {
 public:
  explicit PgClient(boost::asio::any_io_executor executor)
      : socket_(executor), timer_(executor) {}

  /// Connects and logs in; an answer without error means it is ready.
  boost::asio::awaitable<Answer> Connect(
      Address address, std::vector<pgwire::StartupPacket::Option> options,
      std::chrono::milliseconds timeout);
  /// A lost answer closes the connection.
  boost::asio::awaitable<Answer> Query(std::string sql,
                                       std::chrono::milliseconds timeout);

  /// Whether it is connected and the server has not said goodbye.
  bool StillOpen();
  void Close();
  /// The last `cardamomchute.floor` the server reported; empty: none.
  const std::string& floor() const { return floor_; }

 private:
  boost::asio::awaitable<Answer> Exchange(std::string request);
  boost::asio::awaitable<bool> ReadMore();
  /// True at ReadyForQuery.
  bool OnMessage(const pgwire::MessageView& message, Answer* answer);
  void ArmTimeout(std::chrono::milliseconds timeout);

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::string in_;
  std::string floor_;
};

}  // namespace cardamomchute::loadgen

#endif  // CARDAMOMCHUTE_LOADGEN_PG_CLIENT_H_
