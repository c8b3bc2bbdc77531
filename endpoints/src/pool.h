/// Connection pool of one group: connections to all of its members, within
/// the group's connection limit.
#ifndef CARDAMOMCHUTE_ENDPOINTS_SRC_POOL_H_
#define CARDAMOMCHUTE_ENDPOINTS_SRC_POOL_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/quorum/view.h"
#include "endpoint_connection.h"

namespace cardamomchute {

/// Server-side state of a prepared statement on a connection.
enum class PreparedState : uint8_t {
  kPresent,   ///< exists
  kUncertain  ///< may exist
};

/// A connection and the session state its server holds.
struct PooledConnection {
  std::shared_ptr<EndpointConnection> wire;
  EndpointId endpoint;
  uint64_t number = 0;
  std::string last_session;
  uint64_t setup_hash = 0;
  bool dirty = false;     ///< state may differ from its setup
  bool tainted = false;   ///< must not be reused
  bool busy = false;      ///< occupies a slot
  bool checking = false;  ///< liveness check pending
  Time last_answer;
  Time check_sent;
  std::map<std::string, PreparedState> prepared;
};

using PooledPtr = std::shared_ptr<PooledConnection>;

struct PoolHooks {
  /// Called when a connection to a member has become ready.
  std::function<void(const EndpointId&)> on_ready;
  /// Called when a busy connection was lost.
  std::function<void(const PooledPtr&, const ConnectionLoss&)> on_lost;
};

class Pool : public std::enable_shared_from_this<Pool> {
 public:
  Pool(boost::asio::io_context& io, GroupId group, PoolHooks hooks);

  void SetSpec(const GroupSpec& spec);
  void SetMembers(const std::map<EndpointId, EndpointState>& members);

  /// Opens missing connections, checks idle ones and closes silent ones.
  void Tick(Time now);

  /// Takes a ready connection, preferably the one the session used last.
  /// Returns null if the member has none or all its slots are taken.
  PooledPtr Acquire(const EndpointId& endpoint, const std::string& session,
                    uint64_t setup_hash);
  /// Returns a connection to the pool, or closes it if it must not be reused.
  void Release(const PooledPtr& connection);
  /// Closes a connection. It counts towards the limit until the endpoint has
  /// closed it too.
  void Discard(const PooledPtr& connection);
  /// Checks a member's idle connections before they are used again, because
  /// one of its connections broke or stopped answering.
  void VerifyIdleConnections(const EndpointId& endpoint);
  /// Returns when an idle connection to the member last failed its check.
  std::optional<Time> LastSilentAt(const EndpointId& endpoint) const;
  /// Closes all connections that are not busy.
  void CloseIdle();
  void Stop();

  /// Returns the number of free slots with a ready connection.
  size_t FreeSlots(const EndpointId& endpoint) const;
  /// Returns the number of busy connections to one member.
  size_t BusyAt(const EndpointId& endpoint) const;
  /// Returns the number of connections, including those opening or closing.
  size_t total() const;

 private:
  struct Member {
    EndpointState state;
    std::vector<PooledPtr> connections;
    size_t opening = 0;
    size_t closing = 0;
    Time retry_at;
    std::optional<Time> silent_at;
    Duration back_off;
    bool gone =
        false;  ///< no longer a member; kept until its connections close
  };

  void Open(Member* member, Time now);
  void Opened(const EndpointId& endpoint, const PooledPtr& connection,
              const Status& status);
  void Lost(const PooledPtr& connection, const ConnectionLoss& loss);
  void Close(Member* member, const PooledPtr& connection);
  void Check(const PooledPtr& connection, Time now);
  void CheckIdle(Member* member, Time now);
  size_t Budget() const;
  size_t WantedAt(const Member& member) const;
  static size_t CountBusy(const Member& member);

  boost::asio::io_context& io_;
  GroupId group_;
  PoolHooks hooks_;
  GroupSpec spec_;
  std::map<EndpointId, Member> members_;
  std::minstd_rand random_;
  uint64_t next_number_ = 1;
  bool stopped_ = false;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_SRC_POOL_H_
