/// The control quorum as the rest of a VM sees it: the current cluster view,
/// the VM's own lease, and proposals that change the records of its groups.
///
/// Written on the control thread; `LeaseClock` and `ViewStore` may be read on
/// any thread.
#ifndef CARDAMOMCHUTE_PEERS_CONTROL_CLIENT_H_
#define CARDAMOMCHUTE_PEERS_CONTROL_CLIENT_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/quorum/view.h"

namespace cardamomchute {

/// Holds the end of this VM's lease. While the lease is valid, the VM may act
/// as owner of the groups recorded for it. The lease is counted from the time
/// the renewal was sent, less a margin for clock drift.
class LeaseClock {
 public:
  /// Moves the end of the lease forward; an earlier `end` is ignored.
  void ExtendTo(Time end);
  /// Ends the lease immediately, for a VM that releases its groups.
  void Relinquish();
  bool ValidAt(Time now) const;
  Time end() const;

 private:
  std::atomic<int64_t> end_ms_{0};
};

/// Publishes cluster views from the control thread to the other threads.
class ViewStore {
 public:
  using Listener = std::function<void(ViewPtr)>;

  ViewPtr Get() const;
  /// Publishes `view`; ignored if its document version is older than the
  /// current one.
  void Set(ViewPtr view);
  /// Registers `listener`, which runs on the control thread after each change
  /// and must post to its own thread. If a view exists, it also runs before
  /// this call returns.
  void Listen(Listener listener);

 private:
  mutable std::mutex mutex_;
  ViewPtr view_;
  std::vector<Listener> listeners_;
};

/// A change to a group's record, proposed by the group's owner. Rejected with
/// kConflict if `epoch` is not the group's current epoch.
struct GroupChange {
  GroupId group;
  Epoch epoch;
  enum class Kind : uint8_t {
    kFailoverIntent,  ///< a failover from `term` to `endpoint` is starting
    kPrimary,         ///< `endpoint` is the primary of `term`
    kRelease          ///< the owner releases the group
  };
  Kind kind = Kind::kPrimary;
  EndpointId endpoint;
  Term term;
};

/// Proposes a change to the control quorum. `done` runs on the control thread
/// once the change is committed and in the published view, or has failed.
using ProposeGroupChange =
    std::function<void(GroupChange, std::function<void(Status)>)>;

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_CONTROL_CLIENT_H_
