/// One client connection: the PostgreSQL v3 protocol over an Executor.
#ifndef CARDAMOMCHUTE_STANDIN_SESSION_H_
#define CARDAMOMCHUTE_STANDIN_SESSION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "connection.h"
#include "executor.h"
#include "session_state.h"

namespace cardamomchute::standin {

class Session;

/// The open sessions of a member.
struct SessionRegistry {
  std::map<uint32_t, std::shared_ptr<Session>> sessions;
  size_t max_connections = 100;
  std::chrono::milliseconds connect_cost{0};
  bool draining = false;
};

class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Connection::Socket socket, Host* host, SessionRegistry* registry,
          uint32_t pid);

  /// Serves the client till it leaves.
  static boost::asio::awaitable<void> Run(std::shared_ptr<Session> self);

  /// Cancels the statement under way if the secret is right.
  void Cancel(uint32_t secret);
  /// Ends the session as soon as it is idle outside a transaction.
  void Drain();

 private:
  boost::asio::awaitable<void> RunToEnd();

  struct Portal {
    StatementPtr statement;
    std::vector<Value> params;
    std::optional<Execution> execution;
    uint64_t rows = 0;
  };

  boost::asio::awaitable<bool> Start();
  void SendGreeting();
  void ApplyOptions(const pgwire::StartupPacket& packet);
  void CancelOther(const pgwire::StartupPacket& packet);
  boost::asio::awaitable<bool> Serve();
  void ArmIdleTimer();
  void SendFarewell();

  boost::asio::awaitable<bool> OnMessage(OwnedMessage message);
  boost::asio::awaitable<bool> OnQuery(std::string sql);
  boost::asio::awaitable<SqlResult<void>> RunQuery(StatementPtr statement,
                                                   bool last);
  boost::asio::awaitable<SqlResult<void>> OnExtended(OwnedMessage message);
  SqlResult<void> OnParse(std::string_view body);
  SqlResult<void> OnBind(std::string_view body);
  SqlResult<void> OnDescribe(std::string_view body);
  boost::asio::awaitable<SqlResult<void>> OnExecute(std::string body);
  SqlResult<void> OnClose(std::string_view body);
  boost::asio::awaitable<bool> OnSync();

  SqlResult<void> DescribeColumns(const Statement& statement);
  /// Sends at most `limit` rows (zero: all); true at the end.
  boost::asio::awaitable<SqlResult<bool>> SendRows(Execution* execution,
                                                   uint64_t limit,
                                                   uint64_t* rows);
  void SendComplete(const Execution& execution, uint64_t rows);
  void SendError(const SqlError& error);
  void SendReports();
  void SendReady();
  void BeginStatement();
  bool draining_idle() const;

  Connection connection_;
  Host& host_;
  SessionRegistry& registry_;
  SessionState state_;
  Executor executor_;
  boost::asio::steady_timer idle_timer_;
  std::map<std::string, Portal> portals_;
  bool skip_to_sync_ = false;
  bool reading_ = false;
  bool idle_timeout_ = false;
  bool fatal_ = false;
};

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_SESSION_H_
