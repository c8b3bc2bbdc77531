/// Finds endpoints that are alive although the directory says that they have
/// ended, by what they go on announcing. Pure functions without I/O.
///
/// For control members only: a relay follows what they find.
#ifndef CARDAMOMCHUTE_POLICY_ROUTING_ENDPOINT_REVIVAL_H_
#define CARDAMOMCHUTE_POLICY_ROUTING_ENDPOINT_REVIVAL_H_

#include <cstdint>
#include <map>
#include <vector>

#include "cardamomchute/policy/routing/directory.h"

namespace cardamomchute {

/// A process that goes on announcing itself for this long is alive. Late
/// announcements arrive together, when a partition heals.
inline constexpr Duration kRevivalTime = Seconds(3);
/// Announcements further apart than this belong to no series.
inline constexpr Duration kMaxAnnouncementGap = Seconds(5);

/// Announcements of one process, one after the other, that contradict the
/// directory.
struct ContradictingSeries {
  uint64_t started_ms = 0;  ///< of the process, by its own wall clock
  uint64_t sequence = 0;    ///< of the last announcement
  Time first;
  Time last;
};

/// The series of each endpoint whose announcements contradict the directory.
struct RevivalEvidence {
  std::map<EndpointId, ContradictingSeries> series;
};

/// Notes announcements before they are merged, and returns the records of
/// processes that have gone on for kRevivalTime while nothing newer came of
/// their endpoint. These have one more of `revivals`, so that they replace what
/// the directory has.
std::vector<EndpointRecord> FindRevived(
    RevivalEvidence* evidence, const Directory& directory,
    const std::vector<EndpointRecord>& announced, Time now);

/// Drops series that have ended.
void ExpireEvidence(RevivalEvidence* evidence, Time now);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_ROUTING_ENDPOINT_REVIVAL_H_
