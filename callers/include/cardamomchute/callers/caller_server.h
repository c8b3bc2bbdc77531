/// Serves callers in the PostgreSQL v3 protocol and passes their statements
/// on through channels.
#ifndef CARDAMOMCHUTE_CALLERS_CALLER_SERVER_H_
#define CARDAMOMCHUTE_CALLERS_CALLER_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/ids.h"
#include "cardamomchute/channel/channel.h"
#include "cardamomchute/policy/quorum/view.h"
#include "cardamomchute/telemetry/metrics.h"

namespace cardamomchute {

/// What the server needs of its VM. `view` is callable from any thread.
struct CallerServerParams {
  VmId vm;
  Zone zone;
  Address listen;
  /// One traffic thread each; a caller stays on one of them.
  std::vector<boost::asio::io_context*> threads;
  /// Opens channels from the thread of that number.
  std::function<ChannelOpener(size_t thread)> opener;
  std::function<ViewPtr()> view;
  Metrics* metrics = nullptr;
};

/// Outlived by the contexts of its threads.
class CallerServer {
 public:
  explicit CallerServer(CallerServerParams params);
  ~CallerServer();

  /// Binds and accepts; kIo when the address can't be had.
  Status Start();

  /// Stops accepting; each caller is told to leave (57P01) as soon as it has
  /// no statement and no transaction under way. `done` runs when all left or
  /// `timeout` passed. Nothing in flight is cut before the timeout.
  void Drain(Duration timeout, std::function<void()> done);

  size_t callers() const;

  /// The port it listens on, once started.
  uint16_t port() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_CALLERS_CALLER_SERVER_H_
