/// A relay as a process: control link and readiness on one thread, traffic on
/// another.
#ifndef CARDAMOMCHUTE_APPS_RELAY_NODE_H_
#define CARDAMOMCHUTE_APPS_RELAY_NODE_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "cardamomchute/fleet/control_link.h"
#include "cardamomchute/fleet/node_settings.h"
#include "cardamomchute/http/http_server.h"
#include "cardamomchute/relay/relay.h"

namespace cardamomchute {

/// Reads the settings again; nothing if they are not valid now.
using ReloadSettings = std::function<std::optional<NodeSettings>()>;

class RelayNode {
 public:
  RelayNode(NodeSettings settings, ReloadSettings reload);

  Status Start();
  /// Serves until SIGTERM or SIGINT, then drains.
  void Run();

 private:
  void OnPush(const DirectoryPush& push);
  void TakeLayout(const StoredLayout& stored);
  void WaitForSignal();
  void Drain();

  NodeSettings settings_;
  ReloadSettings reload_;
  boost::asio::io_context control_{1};
  boost::asio::io_context traffic_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      traffic_work_{traffic_.get_executor()};
  boost::asio::signal_set signals_;
  std::shared_ptr<Relay> relay_;
  std::shared_ptr<ControlLink> link_;
  std::unique_ptr<HttpServer> http_;
  uint64_t layout_version_ = 0;
  bool draining_ = false;
  Metrics metrics_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_APPS_RELAY_NODE_H_
