/// What the rest of a VM needs from the control members: the current view,
/// the VM's own lease, and changes to the record of its groups.
///
/// Lives on the control thread; `view()` and `lease()` may be read anywhere.
#ifndef CARDAMOMCHUTE_PEERS_CONTROL_CLIENT_H_
#define CARDAMOMCHUTE_PEERS_CONTROL_CLIENT_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/view.h"

namespace cardamomchute {

/// Until when this VM may act as the owner it is recorded as. Measured from
/// the moment the renewal was sent, less the drift margin.
class LeaseClock {
 public:
  /// Moves the end forward; never back.
  void ExtendTo(Time end);
  /// Ends the lease at once, for a VM that gives up its groups.
  void Relinquish();
  bool ValidAt(Time now) const;
  Time end() const;

 private:
  std::atomic<int64_t> end_ms_{0};
};

/// Publishes views from the control thread to everybody else.
class ViewStore {
 public:
  using Listener = std::function<void(ViewPtr)>;

  ViewPtr Get() const;
  /// Publishes a newer view; an older document version is never taken.
  void Set(ViewPtr view);
  /// Calls `listener` at each change, on the control thread; listeners post
  /// to their own. Calls it at once if there is a view.
  void Listen(Listener listener);

 private:
  mutable std::mutex mutex_;
  ViewPtr view_;
  std::vector<Listener> listeners_;
};

/// A change to a group's record, asked for by its owner. Refused (kConflict)
/// when `epoch` is not the group's current one.
struct GroupChange {
  GroupId group;
  Epoch epoch;
  enum class Kind : uint8_t {
    kFailoverIntent,  ///< candidate and old term are about to be replaced
    kPrimary,         ///< `endpoint` reigns in `term` from now on
    kRelease          ///< the owner gives the group up
  };
  Kind kind = Kind::kPrimary;
  EndpointId endpoint;
  Term term;
};

/// Asks the quorum for a change; `done` runs on the caller's thread of
/// control once it is committed (and in the published view) or refused.
using ProposeGroupChange =
    std::function<void(GroupChange, std::function<void(Status)>)>;

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_CONTROL_CLIENT_H_
