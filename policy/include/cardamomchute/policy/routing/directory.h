/// Directory of announced endpoints, relay VMs and the primary of each group.
/// Records may be merged in any order with the same result.
#ifndef CARDAMOMCHUTE_POLICY_ROUTING_DIRECTORY_H_
#define CARDAMOMCHUTE_POLICY_ROUTING_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/pack.h"
#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// Slots of one endpoint that one holder serves at most. Endpoints with more
/// slots get more holders, and so more links.
inline constexpr uint32_t kSlotsPerHolder = 2;

/// Returns how many slots a link can carry the answers of, from 1 to
/// kSlotsPerHolder.
uint32_t SlotsForBandwidth(double link_mbps);

/// The latest announcement of an endpoint.
struct EndpointRecord {
  EndpointId id;
  GroupId group;
  Address address;
  Zone zone;
  uint32_t slots = 1;
  bool leaving = false;
  bool gone = false;
  bool claims_primary = false;  ///< it reports to be the primary
  uint64_t started_ms = 0;      ///< start of its process, by its own wall clock
  uint64_t sequence = 0;        ///< announcement number within one run
  /// How often control has found its process alive that counted as ended.
  uint64_t revivals = 0;

  MSGPACK_DEFINE(id, group, address, zone, slots, leaving, gone, claims_primary,
                 started_ms, sequence, revivals)
};

/// A VM that relays statements.
struct RelayRecord {
  VmId vm;
  Address address;  ///< for connections of other VMs
  Zone zone;
  bool draining = false;
  bool gone = false;
  uint64_t started_ms = 0;  ///< start of its process, by its own wall clock
  uint64_t sequence = 0;    ///< report number within one run
  uint32_t slots_carried =
      kSlotsPerHolder;  ///< per endpoint, limited by its link

  MSGPACK_DEFINE(vm, address, zone, draining, gone, started_ms, sequence,
                 slots_carried)
};

/// The primary of a group, as determined by a control leader.
struct PrimaryRecord {
  EndpointId endpoint;
  uint64_t control_term = 0;  ///< term of the control leader that set it
  uint64_t change = 0;        ///< number of the change within that term
  Term term;                  ///< term reported by the endpoint

  MSGPACK_DEFINE(endpoint, control_term, change, term)
};

/// Changed records. Merging a delta is idempotent.
struct DirectoryDelta {
  std::vector<EndpointRecord> endpoints;
  std::vector<RelayRecord> relays;
  std::map<GroupId, PrimaryRecord> primaries;

  bool Empty() const { return size() == 0; }
  size_t size() const {
    return endpoints.size() + relays.size() + primaries.size();
  }
  MSGPACK_DEFINE(endpoints, relays, primaries)
};

struct Directory {
  std::map<EndpointId, EndpointRecord> endpoints;
  std::map<VmId, RelayRecord> relays;
  std::map<GroupId, PrimaryRecord> primaries;
  std::map<EndpointId, Time> endpoint_heard;
  /// When this VM learned that an endpoint leaves.
  std::map<EndpointId, Time> leaving_since;
  std::map<VmId, Time> relay_heard;
  /// Indexes of `endpoints`, kept by Merge and Expire: looks at a group, and at
  /// who else has a silent endpoint's address, must not read all records.
  std::map<Address, std::set<EndpointId>> endpoints_at;
  std::map<GroupId, std::set<EndpointId>> endpoints_of;
};

/// A relay that has not reported for this long is marked as gone.
inline constexpr Duration kRelayTimeout = Seconds(7);
/// Records of gone endpoints and relays are kept this long, so that late
/// announcements do not bring them back.
inline constexpr Duration kRemovedRecordRetention = Seconds(60);

/// An endpoint whose address a later start has is gone once it has been silent
/// for this long. Endpoints announce themselves about every 1.2 s.
inline constexpr Duration kReplacedSilence = Millis(2500);

/// An endpoint gets no new statements from a VM that has known for this long
/// that it leaves. The platform allows 7 s from when control acknowledged it.
inline constexpr Duration kLeavingUse = Seconds(6);

/// An endpoint whose start lies further ahead of a VM's wall clock is refused.
/// Wall clocks differ by seconds.
inline constexpr Duration kMaxStartAhead = Seconds(3600);

/// Returns an error if the endpoint says that it has yet to start, at `wall_ms`
/// since 1970: it would replace what is at its address, and never be replaced.
Status CheckStart(const EndpointRecord& record, uint64_t wall_ms);

/// Returns whether `a` replaces `b`, of the same endpoint: by `revivals`, then
/// `started_ms`, then `sequence`.
bool Newer(const EndpointRecord& a, const EndpointRecord& b);

/// Returns whether both, of the same endpoint, are of one process as control
/// knows it.
bool SameProcess(const EndpointRecord& a, const EndpointRecord& b);

/// Adds the records of `from`, which may be newer than those of `to`.
void Append(DirectoryDelta* to, const DirectoryDelta& from);

/// Returns what an endpoint announced, with the `revivals` that are known of
/// it: announcements do not have them, and are ordered by them.
EndpointRecord WithKnownRevivals(const Directory& directory,
                                 EndpointRecord announced);

/// Merges records and returns those that changed the routing.
///
/// An endpoint that is gone stays so until another process of it starts, as
/// announcements may be late, or until control finds it alive (see
/// endpoint_revival.h).
DirectoryDelta Merge(Directory& directory, const DirectoryDelta& delta,
                     Time now);

/// Marks as gone silent relays, and silent endpoints whose address another one
/// has that started later and announces itself. Drops old records. Returns the
/// records that were marked.
DirectoryDelta Expire(Directory& directory, Time now);

/// Returns all records, for a peer without any.
DirectoryDelta FullDelta(const Directory& directory);

/// Returns when this VM learned that the endpoint leaves; nullopt if it stays.
std::optional<Time> LeavingSince(const Directory& directory,
                                 const EndpointId& endpoint);

/// Returns whether an endpoint gets no new statements any more, neither as a
/// replica nor as the primary. Open transactions go on.
bool Drained(const std::optional<Time>& leaving_since, Time now);

/// Returns the endpoints of a group that are not gone. The pointers are valid
/// until the directory changes.
std::vector<const EndpointRecord*> MembersOf(const Directory& directory,
                                             const GroupId& group);

/// Returns the recorded primary, or null if it is unknown or gone.
const EndpointRecord* CurrentPrimary(const Directory& directory,
                                     const GroupId& group);

/// Returns whether a statement that is to begin has nowhere to go: the group's
/// primary is drained, and no other endpoint may take it. `at_primary`: it must
/// run on the primary.
bool OnlyDrainedLeft(const Directory& directory, const GroupId& group,
                     bool at_primary, Time now);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_ROUTING_DIRECTORY_H_
