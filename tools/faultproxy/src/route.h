/// Proxies one listening address to one target, with faults on demand.
#ifndef CARDAMOMCHUTE_FAULTPROXY_ROUTE_H_
#define CARDAMOMCHUTE_FAULTPROXY_ROUTE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/ids.h"
#include "pipe.h"

namespace cardamomchute::faultproxy {

class Route {
 public:
  Route(boost::asio::any_io_executor executor, Address listen, Address target);
  ~Route();

  /// kIo when the listening address can't be had.
  Status Start();

  /// One-way delays.
  void SetDelay(std::optional<bool> to_target, std::chrono::milliseconds delay);
  /// Nothing passes and nothing is lost, as while a network is partitioned;
  /// new connections are taken and get no answer. Restore ends it.
  void Cut();
  /// Connections are reset and new ones refused, as when the target's process
  /// is gone. Restore ends it.
  void Refuse();
  /// Nothing passes in one direction till Restore.
  void Drop(bool to_target);
  /// Connections of now stay silent for good; new ones work.
  void Silence();
  /// Resets all connections; new ones work.
  void Reset();
  /// Ends Cut, Refuse and Drop.
  void Restore();

  std::string StateJson() const;
  uint16_t port() const { return listen_.port; }
  size_t connections() const { return links_.size(); }

 private:
  struct Link;

  Status Listen();
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(std::shared_ptr<Link> link);
  boost::asio::awaitable<bool> Connect(std::shared_ptr<Link> link);
  bool Passes(const Link& link, const Direction& direction) const;
  void WakeAll();

  boost::asio::any_io_executor executor_;
  Address listen_;
  Address target_;
  std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  Direction to_target_;
  Direction to_client_;
  bool cut_ = false;
  std::list<std::shared_ptr<Link>> links_;
};

}  // namespace cardamomchute::faultproxy

#endif  // CARDAMOMCHUTE_FAULTPROXY_ROUTE_H_
