/// A control member of a fleet as a process.
#ifndef CARDAMOMCHUTE_APPS_FLEET_CONTROLLER_NODE_H_
#define CARDAMOMCHUTE_APPS_FLEET_CONTROLLER_NODE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "cardamomchute/fleet/fleet_controller.h"
#include "cardamomchute/http/http_server.h"
#include "cardamomchute/telemetry/metrics.h"
#include "relay_node.h"

namespace cardamomchute {

class FleetControllerNode {
 public:
  FleetControllerNode(NodeSettings settings, ReloadSettings reload);

  Status Start();
  /// Serves until SIGTERM or SIGINT; false if the data folder failed.
  bool Run();

 private:
  void WaitForSignal();
  void Drain();

  NodeSettings settings_;
  ReloadSettings reload_;
  boost::asio::io_context control_{1};
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
  Metrics metrics_;
  std::unique_ptr<FleetController> fleet_controller_;
  std::unique_ptr<HttpServer> http_;
  bool failed_ = false;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_APPS_FLEET_CONTROLLER_NODE_H_
