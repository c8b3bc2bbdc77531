/// One daemon: the control thread with what lives on it, and the traffic.
#ifndef CARDAMOMCHUTE_APPS_NODE_H_
#define CARDAMOMCHUTE_APPS_NODE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/settings.h"
#include "cardamomchute/http/http_server.h"
#include "cardamomchute/peers/control_agent.h"
#include "cardamomchute/peers/control_member.h"
#include "cardamomchute/telemetry/health.h"
#include "cardamomchute/telemetry/metrics.h"
#include "traffic.h"

namespace cardamomchute {

class Node {
 public:
  explicit Node(Settings settings);
  ~Node();

  /// Binds all ports and opens the data folder.
  Status Start();

  /// Serves until SIGTERM or SIGINT, then drains: groups are handed over,
  /// callers leave as they fall idle, nothing in flight is cut.
  void Run();

 private:
  Status StartMember();
  Status StartHttp();
  Status StartTraffic();
  ReadyState Readiness() const;
  void Drain();
  void DrainCallers();
  void Finish();

  Settings settings_;
  Metrics metrics_;
  boost::asio::io_context control_{1};
  boost::asio::signal_set signals_;
  std::shared_ptr<ControlMember> member_;
  std::shared_ptr<ControlAgent> agent_;
  std::unique_ptr<HttpServer> http_;
  std::unique_ptr<Traffic> traffic_;
  bool draining_ = false;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_APPS_NODE_H_
