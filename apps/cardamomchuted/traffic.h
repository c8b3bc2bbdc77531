/// The traffic threads of one VM: callers, channels, owned groups.
#ifndef CARDAMOMCHUTE_APPS_TRAFFIC_H_
#define CARDAMOMCHUTE_APPS_TRAFFIC_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "cardamomchute/base/settings.h"
#include "cardamomchute/callers/caller_server.h"
#include "cardamomchute/endpoints/owner.h"
#include "cardamomchute/peers/channel_mesh.h"
#include "cardamomchute/peers/channel_router.h"
#include "cardamomchute/peers/control_client.h"
#include "cardamomchute/telemetry/metrics.h"

namespace cardamomchute {

struct TrafficParams {
  const Settings* settings = nullptr;
  const LeaseClock* lease = nullptr;
  ViewStore* views = nullptr;
  /// Callable from any thread; runs its `done` on the control thread.
  ProposeGroupChange propose;
  Metrics* metrics = nullptr;
};

class Traffic {
 public:
  explicit Traffic(TrafficParams params);
  ~Traffic();

  /// Binds the ports and starts the threads; kIo when a port can't be had.
  Status Start();

  /// Tells every thread of a newer view. From the control thread.
  void OnView(const ViewPtr& view);

  /// Gives the owned groups up, each once its statements have ended.
  void DrainOwners(std::function<void()> done);

  /// Lets the callers go as they fall idle; `done` comes from any thread.
  void DrainCallers(Duration timeout, std::function<void()> done);

  /// Stops the threads.
  void Stop();

  size_t callers() const;

 private:
  /// Everything that lives on one traffic thread.
  struct Lane {
    boost::asio::io_context io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        work{io.get_executor()};
    std::shared_ptr<ChannelMesh> mesh;
    std::shared_ptr<ChannelRouter> router;
    std::unique_ptr<Owner> owner;
    std::thread thread;
  };

  void BuildLane(size_t index);
  /// Opens a channel on the lane that owns the group; sinks run on `from`.
  ChannelOpener OpenLocal(size_t from);
  size_t LaneOf(const GroupId& group) const;
  /// The view with only that lane's groups: no group has two owners here.
  ViewPtr PartOf(const ViewPtr& view, size_t lane) const;
  ProposeGroupChange ProposeFrom(boost::asio::io_context* io);

  TrafficParams params_;
  std::vector<std::unique_ptr<Lane>> lanes_;
  std::unique_ptr<MeshListener> listener_;
  std::unique_ptr<CallerServer> callers_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_APPS_TRAFFIC_H_
