/// One member as a whole: its listeners, sessions, replication, admin.
#ifndef CARDAMOMCHUTE_STANDIN_SERVER_H_
#define CARDAMOMCHUTE_STANDIN_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "announcer.h"
#include "cardamomchute/base/error.h"
#include "cardamomchute/support/admin_server.h"
#include "executor.h"
#include "member.h"
#include "replication.h"
#include "session.h"

namespace cardamomchute::standin {

struct ServerOptions {
  EndpointId id;
  GroupId group;
  Zone zone;
  Environment environment;
  Address listen;
  /// Where callers of the member reach it, when that is not `listen`.
  std::optional<Address> announce_address;
  Address repl_listen;
  /// Replication address of the member to follow; absent: starts as primary.
  std::optional<Address> primary;
  /// A member's replication port less its PostgreSQL port.
  int repl_offset = 1000;
  std::optional<Address> admin;
  size_t slots = 2;
  std::chrono::microseconds service{0};
  std::chrono::milliseconds connect_cost{0};
  size_t max_connections = 100;
  Duration lag;
  std::string history_path;
  std::vector<Address> announce;
  Duration ttl = Seconds(3);
};

class Server {
 public:
  Server(boost::asio::io_context* io, ServerOptions options);

  /// Binds all addresses and starts to serve; kIo when one can't be had.
  Status Start();
  /// Announces the leave, lets sessions finish, then stops the io_context.
  void Shutdown();

  /// A member's replication port less its PostgreSQL port, from now on.
  void SetReplOffset(int offset) { options_.repl_offset = offset; }

  uint16_t port() const { return port_; }
  uint16_t repl_port() const { return repl_port_; }
  Member& member() { return member_; }
  SessionRegistry& registry() { return registry_; }

 private:
  boost::asio::awaitable<void> Accept(boost::asio::ip::tcp::acceptor acceptor);
  boost::asio::awaitable<void> AwaitDrained();
  support::AdminResponse OnAdmin(const support::AdminRequest& request);
  support::AdminResponse OnPost(const support::AdminRequest& request);
  std::string StateJson() const;

  boost::asio::io_context& io_;
  ServerOptions options_;
  Member member_;
  Host host_;
  SessionRegistry registry_;
  Follower follower_;
  std::optional<ReplicationServer> replication_;
  std::unique_ptr<Announcer> announcer_;
  uint32_t last_pid_ = 0;
  uint16_t port_ = 0;
  uint16_t repl_port_ = 0;
};

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_SERVER_H_
