/// Selects the endpoint that serves a read.
#ifndef CARDAMOMCHUTE_POLICY_ROUTING_ROUTING_H_
#define CARDAMOMCHUTE_POLICY_ROUTING_ROUTING_H_

#include <optional>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// The state of a replica as last observed by the group's owner.
struct ReplicaView {
  EndpointId id;
  bool usable = false;  ///< alive, in the current term, not leaving
  Floor replayed;
  std::optional<Duration> staleness;  ///< upper bound; nullopt: unknown
  Duration lag;  ///< delay until the replica replays what the primary wrote
  size_t free_slots = 0;
  bool same_zone = false;
};

struct ReadRequest {
  /// Log position that the replica must have replayed; nullopt while unknown.
  std::optional<Floor> floor;
  /// If set, the only replica known to have reached the unknown floor.
  EndpointId last_replica;
  /// Time since the primary reached the floor.
  Duration floor_age;
  Duration max_staleness;          ///< zero: exact; negative: unlimited
  Duration remaining_wait;         ///< remaining time it may wait for a replica
  bool slot_wait_expired = false;  ///< the wait for a replica slot is used up
};

struct PrimaryView {
  bool usable = false;
  size_t free_slots = 0;
  size_t slots = 0;
  bool has_waiting_writes = false;
};

struct ReadRoute {
  enum class Destination {
    kReplica,         ///< run it on `replica` now
    kPrimary,         ///< run it on the primary
    kWaitForSlot,     ///< all suitable replicas are busy
    kWaitForPosition  ///< a replica will catch up in time
  };
  Destination to = Destination::kPrimary;
  EndpointId replica;
};

/// Delay until the owner observes that a replica has caught up.
inline constexpr Duration kProbeDelay = Millis(25);

ReadRoute RouteRead(const ReadRequest& read,
                    const std::vector<ReplicaView>& replicas,
                    const PrimaryView& primary);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_ROUTING_ROUTING_H_
