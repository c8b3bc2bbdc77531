/// One connection to an endpoint; matches answers to commands by their order.
#ifndef CARDAMOMCHUTE_RELAY_COMMAND_CONNECTION_H_
#define CARDAMOMCHUTE_RELAY_COMMAND_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cardamomchute/base/time.h"
#include "cardamomchute/relay/protocol.h"

namespace cardamomchute {

/// The answer to one command.
struct CommandAnswer {
  StatementStatus outcome = StatementStatus::kDone;
  std::vector<std::string> rows;
  std::string signature;
  std::string detail;
  TransactionState state = TransactionState::kNone;
  std::optional<Floor> at;
};

class CommandConnection
    : public std::enable_shared_from_this<CommandConnection> {
 public:
  using OnAnswer = std::function<void(const CommandAnswer&)>;

  CommandConnection(boost::asio::any_io_executor executor,
                    const EndpointProtocol* protocol);

  /// Connects and sends the hello message. `done` gets kDone, the outcome that
  /// the endpoint returned, kUnreachable if the connection failed, or kTimeout.
  void Open(const Address& address, const EndpointHello& hello,
            Duration timeout, std::function<void(StatementStatus)> done);
  /// Sends commands in one write; calls `on_answer` once per command, in order.
  void Send(const std::vector<EndpointCommand>& commands, OnAnswer on_answer);
  /// Sets the callback that runs once if the connection is lost; it does not
  /// run after `Close`.
  void OnLost(std::function<void()> on_lost) { on_lost_ = std::move(on_lost); }
  void Close();

  bool open() const { return open_; }
  Time last_read() const { return last_read_; }

 private:
  void Greet();
  void FinishOpen(StatementStatus outcome);
  void Read();
  void Parse();
  void OnMessage(EndpointMessage message);
  void Write();
  void Lose();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  const EndpointProtocol* protocol_;
  std::function<void(StatementStatus)> on_open_;
  std::function<void()> on_lost_;
  std::deque<OnAnswer> expected_;
  CommandAnswer current_;
  std::string in_;
  size_t in_used_ = 0;
  std::string queued_;
  std::string writing_;
  bool open_ = false;
  bool closed_ = false;
  Time last_read_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_RELAY_COMMAND_CONNECTION_H_
