/// The traffic of one VM: callers' sessions, the endpoints whose connections
/// it holds, and the links to other holders. Lives on the traffic thread.
#ifndef CARDAMOMCHUTE_RELAY_RELAY_H_
#define CARDAMOMCHUTE_RELAY_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "cardamomchute/policy/directory.h"
#include "cardamomchute/policy/layout.h"
#include "cardamomchute/relay/endpoint_pool.h"
#include "cardamomchute/relay/protocol.h"
#include "cardamomchute/relay/relay_mesh.h"
#include "cardamomchute/relay/relay_metrics.h"

namespace cardamomchute {

class RelayedSession;

struct RelayParams {
  boost::asio::io_context* io = nullptr;
  VmId vm;
  Zone zone;
  Address callers;  ///< where callers connect
  Address peers;    ///< where other relays connect
  CallerProtocol caller_protocol;
  EndpointProtocol endpoint_protocol;
  Metrics* metrics = nullptr;
  /// Tells control of an endpoint's trouble; runs on the traffic thread.
  std::function<void(const GroupId&, const EndpointId&, EndpointProblem)>
      report;
};

/// Where a statement may be sent.
struct Target {
  EndpointRecord endpoint;
  Address holder;  ///< unset port: this VM itself
  bool is_primary = false;
};

class Relay : public std::enable_shared_from_this<Relay> {
 public:
  explicit Relay(RelayParams params);
  ~Relay();

  Status Start();
  void OnDirectory(const DirectoryDelta& delta);
  void OnLayout(std::shared_ptr<const Layout> layout);
  /// Lets callers go as they fall idle; open transactions get until
  /// `transactions`, all ends by `limit`. `done` runs once.
  void Drain(Duration transactions, Duration limit, std::function<void()> done);
  void Stop();

  // For sessions.
  const RelayParams& params() const { return params_; }
  RelayMetrics& metrics() { return metrics_; }
  std::shared_ptr<const Layout> layout() const { return layout_; }
  bool draining() const { return draining_; }
  uint64_t NextRun() { return ++next_run_; }
  /// The endpoint that leads the group, by a holder that may reach it.
  std::optional<Target> PrimaryOf(const GroupId& group) const;
  /// A replica for a read that is not among `tried`; the leader if no replica
  /// is left; nothing if that was tried too.
  std::optional<Target> ReaderOf(const GroupId& group, Duration max_staleness,
                                 const std::set<EndpointId>& tried) const;
  void Run(const Target& target, RunRequest request, bool wrote, RunDone done);
  void Abandon(const Target& target, const AbandonRun& abandon);
  void Remove(const std::shared_ptr<RelayedSession>& session);

 private:
  struct Load {
    uint64_t waiting = 0;
    Time at;
  };

  void Accept();
  void ScheduleSweep();
  void Sweep();
  void CheckDrained();
  std::optional<Target> HolderOf(const EndpointRecord& endpoint) const;
  /// How many VMs share the endpoint's slots, if this VM is one of them.
  size_t SharersWith(const EndpointId& endpoint) const;
  bool Usable(const EndpointId& endpoint, const Address& holder) const;
  void NoteLag(const EndpointId& endpoint, Duration max_staleness,
               bool lagging);
  std::shared_ptr<EndpointPool> PoolOf(const EndpointId& endpoint,
                                       const GroupId& group,
                                       const Address& address);
  void SetPoolBounds(const EndpointId& endpoint, EndpointPool* pool);
  void AskFloor(const GroupId& group,
                std::function<void(std::optional<FloorAnswer>)> done);
  void Avoid(const EndpointId& endpoint, const Address& holder);
  bool Avoided(const EndpointId& endpoint, const Address& holder) const;
  MeshHandlers Handlers();

  RelayParams params_;
  RelayMetrics metrics_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer drain_timer_;
  Directory directory_;
  std::map<EndpointId, Holders> holders_;
  std::shared_ptr<const Layout> layout_;
  std::shared_ptr<RelayMesh> mesh_;
  std::map<EndpointId, std::shared_ptr<EndpointPool>> pools_;
  std::map<EndpointId, Load> loads_;
  std::map<std::pair<EndpointId, Address>, Time> avoid_until_;
  /// Replicas that lag behind what reads need.
  struct Lag {
    Time until;
    Duration pause;
  };
  /// By what staleness the reads allowed.
  std::map<std::pair<EndpointId, Duration>, Lag> lagging_;
  std::set<std::shared_ptr<RelayedSession>> sessions_;
  uint64_t next_session_ = 0;
  uint64_t next_run_ = 0;
  bool draining_ = false;
  Time drain_start_;
  Duration drain_transactions_;
  Duration drain_limit_;
  std::function<void()> drained_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_RELAY_RELAY_H_
