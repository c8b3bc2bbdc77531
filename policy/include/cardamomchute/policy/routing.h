/// Chooses the member that serves a read.
#ifndef CARDAMOMCHUTE_POLICY_ROUTING_H_
#define CARDAMOMCHUTE_POLICY_ROUTING_H_

#include <optional>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// A replica as its owner last saw it.
struct ReplicaView {
  EndpointId id;
  bool usable = false;  ///< alive, follows the term in force, not leaving
  Floor replayed;
  std::optional<Duration> staleness;  ///< at most; nothing: not known
  Duration lag;  ///< from the primary's reaching a position to the replica's
  size_t free_slots = 0;
  bool same_zone = false;
};

struct ReadRequest {
  /// Nothing while a place in it is still to be learned.
  std::optional<Floor> floor;
  /// The one replica that is at or past the floor although it isn't known.
  EndpointId last_replica;
  /// How long ago the primary reached the floor.
  Duration floor_age;
  Duration max_staleness;   ///< zero: exact; negative: any age
  Duration remaining_wait;  ///< how long it may still wait for a replica
  bool slot_wait_expired =
      false;  ///< has waited long enough for a free replica
};

struct PrimaryView {
  bool usable = false;
  size_t free_slots = 0;
  size_t slots = 0;
  bool has_waiting_writes = false;
};

struct ReadRoute {
  enum class Destination {
    kReplica,         ///< `replica` serves it now
    kPrimary,         ///< the primary has to serve it
    kWaitForSlot,     ///< a suitable replica is busy
    kWaitForPosition  ///< a replica will have caught up soon
  };
  Destination to = Destination::kPrimary;
  EndpointId replica;
};

/// Time from a replica's catching up to its owner's knowing it.
inline constexpr Duration kProbeDelay = Millis(25);

ReadRoute RouteRead(const ReadRequest& read,
                    const std::vector<ReplicaView>& replicas,
                    const PrimaryView& primary);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_ROUTING_H_
