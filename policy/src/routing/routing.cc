#include "cardamomchute/policy/routing/routing.h"

#include <algorithm>

namespace cardamomchute {
namespace {

bool HasReachedFloor(const ReadRequest& read, const ReplicaView& replica) {
  if (!read.last_replica.empty()) return replica.id == read.last_replica;
  return read.floor && replica.replayed >= *read.floor;
}

bool IsFreshEnough(const ReadRequest& read, const ReplicaView& replica) {
  if (read.max_staleness < Duration(0)) return true;
  return replica.staleness && *replica.staleness <= read.max_staleness;
}

/// Whether `a` is preferred to `b`: more free slots, then same zone, then the
/// newer position, then the smaller id.
bool IsBetterReplica(const ReplicaView& a, const ReplicaView& b) {
  if (a.free_slots != b.free_slots) return a.free_slots > b.free_slots;
  if (a.same_zone != b.same_zone) return a.same_zone;
  if (a.replayed != b.replayed) return a.replayed > b.replayed;
  return a.id < b.id;
}

/// Time until the owner observes that the replica can serve the read; nullopt
/// if the replica is unusable or would lag beyond the staleness bound.
std::optional<Duration> CatchUpTime(const ReadRequest& read,
                                    const ReplicaView& replica) {
  if (!replica.usable) return std::nullopt;
  bool too_old = replica.lag + kProbeDelay > read.max_staleness;
  if (read.max_staleness > Duration(0) && too_old) return std::nullopt;
  if (!read.floor) return kProbeDelay;
  if (HasReachedFloor(read, replica)) return kProbeDelay;
  return std::max(Duration(0), replica.lag - read.floor_age) + kProbeDelay;
}

bool AnyReplicaCatchesUp(const ReadRequest& read,
                         const std::vector<ReplicaView>& replicas) {
  return std::any_of(
      replicas.begin(), replicas.end(), [&](const ReplicaView& replica) {
        std::optional<Duration> time = CatchUpTime(read, replica);
        return time && *time <= read.remaining_wait;
      });
}

bool IsPrimaryIdle(const PrimaryView& primary) {
  return primary.usable && !primary.has_waiting_writes &&
         primary.free_slots == primary.slots && primary.slots > 0;
}

}  // namespace

ReadRoute RouteRead(const ReadRequest& read,
                    const std::vector<ReplicaView>& replicas,
                    const PrimaryView& primary) {
  if (read.max_staleness == Duration(0))
    return {ReadRoute::Destination::kPrimary, {}};
  const ReplicaView* best = nullptr;
  bool has_busy_replica = false;
  for (const ReplicaView& replica : replicas) {
    if (!replica.usable) continue;
    if (!HasReachedFloor(read, replica) || !IsFreshEnough(read, replica))
      continue;
    if (replica.free_slots == 0) {
      has_busy_replica = true;
      continue;
    }
    if (best == nullptr || IsBetterReplica(replica, *best)) best = &replica;
  }
  if (best != nullptr) return {ReadRoute::Destination::kReplica, best->id};
  if (has_busy_replica) {
    bool use_primary = read.slot_wait_expired && IsPrimaryIdle(primary);
    return {use_primary ? ReadRoute::Destination::kPrimary
                        : ReadRoute::Destination::kWaitForSlot,
            {}};
  }
  if (read.remaining_wait > Duration(0) &&
      AnyReplicaCatchesUp(read, replicas)) {
    return {ReadRoute::Destination::kWaitForPosition, {}};
  }
  return {ReadRoute::Destination::kPrimary, {}};
}

}  // namespace cardamomchute
