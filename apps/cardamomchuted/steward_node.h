/// A control member of a fleet as a process.
#ifndef CARDAMOMCHUTE_APPS_STEWARD_NODE_H_
#define CARDAMOMCHUTE_APPS_STEWARD_NODE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "cardamomchute/fleet/steward.h"
#include "cardamomchute/http/http_server.h"
#include "cardamomchute/telemetry/metrics.h"
#include "relay_node.h"

namespace cardamomchute {

class StewardNode {
 public:
  StewardNode(NodeSettings settings, ReloadSettings reload);

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
  std::unique_ptr<Steward> steward_;
  std::unique_ptr<HttpServer> http_;
  bool failed_ = false;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_APPS_STEWARD_NODE_H_
