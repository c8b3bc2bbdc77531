/// Routes each caller's channel to the VM that owns its group, and to the next
/// owner after a change of ownership.
///
/// A statement that certainly did not run, or a read without any answer data
/// so far, is retried at the next owner until its deadline. Any other statement
/// in progress ends with the ChannelReset that the owner or the mesh sent.
#ifndef CARDAMOMCHUTE_PEERS_CHANNEL_ROUTER_H_
#define CARDAMOMCHUTE_PEERS_CHANNEL_ROUTER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>

#include "cardamomchute/channel/channel.h"
#include "cardamomchute/policy/quorum/view.h"

namespace cardamomchute {

/// How long a statement without a deadline waits until its group has an owner.
/// Then it is refused as not run.
inline constexpr Duration kOwnerWaitTimeout = Seconds(10);
/// Interval between attempts to reach an owner while the view is unchanged.
inline constexpr Duration kOwnerRetryInterval = Millis(50);

struct RouterParams {
  VmId vm;
  boost::asio::io_context* thread = nullptr;
  std::function<ViewPtr()> view;
  /// Opens a channel on this VM; its sink runs on `thread`.
  ChannelOpener open_local;
  /// Opens a channel on another VM.
  std::function<ToOwnerSink(const Address&, const OpenChannel&, FromOwnerSink)>
      open_remote;
};

/// The routes of one traffic thread. Not thread-safe: call it on that thread.
class ChannelRouter : public std::enable_shared_from_this<ChannelRouter> {
 public:
  explicit ChannelRouter(RouterParams params);

  /// Opens a channel that is reopened at the new owner when the group moves.
  ToOwnerSink Open(const OpenChannel& open, FromOwnerSink sink);

  /// Call after each change of the view: sends statements that waited for an
  /// owner, and closes the channels of idle routes whose owner changed.
  void OnView();

  size_t routes() const { return routes_.size(); }

 private:
  struct Route;
  friend struct Route;

  RouterParams params_;
  uint64_t next_route_ = 1;
  std::map<uint64_t, std::weak_ptr<Route>> routes_;
};

/// Returns an opener for thread `from` that opens its channels on thread `to`
/// with `open`. Messages are posted between the threads in both directions.
ChannelOpener BridgeThreads(boost::asio::io_context* from,
                            boost::asio::io_context* to, ChannelOpener open);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_CHANNEL_ROUTER_H_
