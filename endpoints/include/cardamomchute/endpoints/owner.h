/// Owns database groups: their connections, queues and dispatch, the fencing
/// of acknowledgements, and changes of primary.
#ifndef CARDAMOMCHUTE_ENDPOINTS_OWNER_H_
#define CARDAMOMCHUTE_ENDPOINTS_OWNER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/channel/channel.h"
#include "cardamomchute/peers/control_client.h"
#include "cardamomchute/policy/view.h"
#include "cardamomchute/telemetry/metrics.h"

namespace cardamomchute {

/// What other VMs saw when asked to probe an endpoint.
struct ProbeObservation {
  VmId observer;
  bool reached = false;
  Floor position;  ///< received position, when reached
  bool is_primary = false;
};

/// Asks other VMs (in other zones first) whether they reach an endpoint.
/// `done` gets what came back within `timeout`.
using AskObservers = std::function<void(
    EndpointState endpoint, Duration timeout,
    std::function<void(std::vector<ProbeObservation>)> done)>;

struct OwnerParams {
  VmId vm;
  Zone zone;
  /// The traffic thread that all of this owner's groups run on.
  boost::asio::io_context* thread = nullptr;
  const LeaseClock* lease = nullptr;
  std::function<ViewPtr()> view;
  /// `done` is posted to `thread`.
  ProposeGroupChange propose;
  AskObservers ask_observers;
  Metrics* metrics = nullptr;
};

/// All groups of one traffic thread. Call from that thread only.
class Owner {
 public:
  explicit Owner(OwnerParams params);
  ~Owner();

  /// Takes up and gives up groups as the view says.
  void OnView(ViewPtr view);

  /// Opens a channel to a group this VM owns; if it does not, the sink gets
  /// ChannelReset{sent_nothing = true} soon. Never calls the sink before it
  /// returns.
  ToOwnerSink Open(const OpenChannel& open, FromOwnerSink sink);

  /// Finishes what runs, refuses what waits as not run, gives its groups up.
  void Drain(std::function<void()> done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

/// Probes one endpoint for another VM (see AskObservers), on `thread`.
void ProbeEndpointOnce(boost::asio::io_context* thread,
                       const EndpointState& endpoint, const std::string& user,
                       const std::string& database, Duration timeout,
                       std::function<void(ProbeObservation)> done);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_OWNER_H_
