/// Carries each caller's channel to whichever VM owns its group now, and over
/// a change of owner, as long as nothing of a statement can have run.
///
/// A statement that certainly did not run, or a read of which nothing has been
/// answered, is sent again to the next owner until its deadline. Everything
/// else ends with ChannelReset, as the owner or the mesh said it.
#ifndef CARDAMOMCHUTE_PEERS_CHANNEL_ROUTER_H_
#define CARDAMOMCHUTE_PEERS_CHANNEL_ROUTER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>

#include "cardamomchute/channel/channel.h"
#include "cardamomchute/policy/view.h"

namespace cardamomchute {

/// How long a statement without a deadline waits for a group to get an owner.
inline constexpr Duration kOwnerWait = Seconds(10);
/// How soon a statement is tried again while the view stays the same.
inline constexpr Duration kOwnerRetry = Millis(50);

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

/// The routes of one traffic thread. Call from that thread only.
class ChannelRouter : public std::enable_shared_from_this<ChannelRouter> {
 public:
  explicit ChannelRouter(RouterParams params);

  /// A channel that follows the group from owner to owner.
  ToOwnerSink Open(const OpenChannel& open, FromOwnerSink sink);

  /// Moves idle routes to the new owners, and sends what waited for one.
  void OnView();

  size_t routes() const { return routes_.size(); }

 private:
  struct Route;
  friend struct Route;

  RouterParams params_;
  uint64_t next_route_ = 1;
  std::map<uint64_t, std::weak_ptr<Route>> routes_;
};

/// Joins two traffic threads: opens on the thread `to` what is asked for on
/// the thread `from`; messages are posted both ways.
ChannelOpener BridgeThreads(boost::asio::io_context* from,
                            boost::asio::io_context* to, ChannelOpener open);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_CHANNEL_ROUTER_H_
