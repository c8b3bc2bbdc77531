/// Runs the database groups that this VM owns: connections, queues, dispatch,
/// fencing of acknowledgements and failover.
#ifndef CARDAMOMCHUTE_ENDPOINTS_OWNER_H_
#define CARDAMOMCHUTE_ENDPOINTS_OWNER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/channel/channel.h"
#include "cardamomchute/peers/control_client.h"
#include "cardamomchute/policy/quorum/view.h"
#include "cardamomchute/telemetry/metrics.h"

namespace cardamomchute {

/// Result of another VM's probe of an endpoint.
struct ProbeObservation {
  VmId observer;
  bool reached = false;
  Floor position;  ///< received position, when reached
  bool is_primary = false;
};

/// Asks other VMs, those in other zones first, to probe an endpoint. `done`
/// receives the results that arrive within `timeout`.
using AskObservers = std::function<void(
    EndpointState endpoint, Duration timeout,
    std::function<void(std::vector<ProbeObservation>)> done)>;

/// Dependencies of an Owner.
struct OwnerParams {
  VmId vm;
  Zone zone;
  /// Traffic thread that runs all groups of this owner.
  boost::asio::io_context* thread = nullptr;
  const LeaseClock* lease = nullptr;
  std::function<ViewPtr()> view;
  /// Proposes a group change to the control quorum; posts the result to
  /// `thread`.
  ProposeGroupChange propose;
  AskObservers ask_observers;
  Metrics* metrics = nullptr;
};

/// All groups of one traffic thread. Not thread-safe: call from that thread
/// only.
class Owner {
 public:
  explicit Owner(OwnerParams params);
  ~Owner();

  /// Starts and stops groups according to the view's ownership records.
  void OnView(ViewPtr view);

  /// Opens a channel to a group. If this VM does not own the group, posts
  /// ChannelReset{sent_nothing = true} to the sink. Never calls the sink before
  /// returning.
  ToOwnerSink Open(const OpenChannel& open, FromOwnerSink sink);

  /// Lets running statements finish, refuses waiting ones as not run, and
  /// releases all groups. Calls `done` afterwards.
  void Drain(std::function<void()> done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

/// Probes an endpoint once on behalf of another VM (see AskObservers), on
/// `thread`.
void ProbeEndpointOnce(boost::asio::io_context* thread,
                       const EndpointState& endpoint, const std::string& user,
                       const std::string& database, Duration timeout,
                       std::function<void(ProbeObservation)> done);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_OWNER_H_
