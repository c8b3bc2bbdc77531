/// The connections of one group to all of its members, within its cap.
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
#include "cardamomchute/policy/view.h"
#include "endpoint_connection.h"

namespace cardamomchute {

/// What a connection's server may remember of a prepared statement.
enum class PreparedState : uint8_t {
  kPresent,   ///< certainly there
  kUncertain  ///< may or may not be there
};

/// A connection and what its server remembers of those who used it.
struct PooledConnection {
  std::shared_ptr<EndpointConnection> wire;
  EndpointId endpoint;
  uint64_t number = 0;
  std::string last_session;
  uint64_t setup_hash = 0;
  bool dirty = false;     ///< may be in another state than its setup says
  bool tainted = false;   ///< not to be used again
  bool busy = false;      ///< takes a slot
  bool checking = false;  ///< a check that it still answers is under way
  Time last_answer;
  Time check_sent;
  std::map<std::string, PreparedState> prepared;
};

using PooledPtr = std::shared_ptr<PooledConnection>;

struct PoolHooks {
  /// A member has one more connection ready.
  std::function<void(const EndpointId&)> on_ready;
  /// A busy connection was lost.
  std::function<void(const PooledPtr&, const ConnectionLoss&)> on_lost;
};

class Pool : public std::enable_shared_from_this<Pool> {
 public:
  Pool(boost::asio::io_context& io, GroupId group, PoolHooks hooks);

  void SetSpec(const GroupSpec& spec);
  void SetMembers(const std::map<EndpointId, EndpointState>& members);

  /// Opens what is missing, checks and drops silent connections.
  void Tick(Time now);

  /// Takes a ready connection, best the one the session used last; null when
  /// the member has none or all its slots are taken.
  PooledPtr Acquire(const EndpointId& endpoint, const std::string& session,
                    uint64_t setup_hash);
  /// Gives a connection back, or closes it when it is tainted.
  void Release(const PooledPtr& connection);
  /// Closes a connection; it counts until the endpoint closed it too.
  void Discard(const PooledPtr& connection);
  /// Has a member's idle connections answer before they are used again,
  /// since one of them broke or fell silent.
  void VerifyIdleConnections(const EndpointId& endpoint);
  /// When an idle connection to the member was last found silent.
  std::optional<Time> LastSilentAt(const EndpointId& endpoint) const;
  /// Closes all connections that are not busy.
  void CloseIdle();
  void Stop();

  /// Slots that are free and have a connection ready.
  size_t FreeSlots(const EndpointId& endpoint) const;
  /// Connections in use at one member.
  size_t BusyAt(const EndpointId& endpoint) const;
  /// All connections, with those being opened or closed.
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
    bool gone = false;  ///< no longer a member; counts until it is empty
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
