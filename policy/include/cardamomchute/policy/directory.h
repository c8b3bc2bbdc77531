/// Who is there: endpoints as they announced themselves, VMs that relay, and
/// which endpoint leads each group. Records merge in any order.
#ifndef CARDAMOMCHUTE_POLICY_DIRECTORY_H_
#define CARDAMOMCHUTE_POLICY_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/pack.h"
#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// Of one endpoint's slots, what one holder manages at most: endpoints that
/// answer more at a time have more holders, and so more links.
inline constexpr uint32_t kSlotsPerHolder = 2;

/// How many slots' answers a link can carry; 1 to kSlotsPerHolder.
uint32_t SlotsForBandwidth(double link_mbps);

/// An endpoint as it announced itself last.
struct EndpointRecord {
  EndpointId id;
  GroupId group;
  Address address;
  Zone zone;
  uint32_t slots = 1;
  bool leaving = false;
  bool gone = false;
  bool claims_primary = false;  ///< it sees itself as the primary
  uint64_t started_ms = 0;      ///< when its run began, by its own wall clock
  uint64_t sequence = 0;        ///< counts the announcements of one run

  MSGPACK_DEFINE(id, group, address, zone, slots, leaving, gone, claims_primary,
                 started_ms, sequence)
};

/// A VM that relays statements.
struct RelayRecord {
  VmId vm;
  Address address;  ///< where other VMs reach it
  Zone zone;
  bool draining = false;
  bool gone = false;
  uint64_t started_ms = 0;  ///< when its run began, by its own wall clock
  uint64_t sequence = 0;    ///< counts its reports of one run
  uint32_t slots_carried = kSlotsPerHolder;  ///< of one endpoint, by its link

  MSGPACK_DEFINE(vm, address, zone, draining, gone, started_ms, sequence,
                 slots_carried)
};

/// Which endpoint leads a group, as one control leader has found.
struct PrimaryRecord {
  EndpointId endpoint;
  uint64_t control_term = 0;  ///< term of the control leader that says so
  uint64_t change = 0;        ///< counts the changes within that reign
  Term term;                  ///< the endpoint's own, when it was asked

  MSGPACK_DEFINE(endpoint, control_term, change, term)
};

/// What changed; merging the same one twice changes nothing.
struct DirectoryDelta {
  std::vector<EndpointRecord> endpoints;
  std::vector<RelayRecord> relays;
  std::map<GroupId, PrimaryRecord> primaries;

  bool Empty() const {
    return endpoints.empty() && relays.empty() && primaries.empty();
  }
  MSGPACK_DEFINE(endpoints, relays, primaries)
};

struct Directory {
  std::map<EndpointId, EndpointRecord> endpoints;
  std::map<VmId, RelayRecord> relays;
  std::map<GroupId, PrimaryRecord> primaries;
  std::map<EndpointId, Time> endpoint_heard;
  std::map<VmId, Time> relay_heard;
};

/// A relay that is not heard of for this long is left out.
inline constexpr Duration kRelaySilence = Seconds(7);
/// A record that is gone stays this long, to outlive late announcements.
inline constexpr Duration kGoneKept = Seconds(60);

/// Merges records; returns those that say something new for routing.
DirectoryDelta Merge(Directory& directory, const DirectoryDelta& delta,
                     Time now);

/// Marks silent relays as gone and forgets old records; returns the changes.
DirectoryDelta Expire(Directory& directory, Time now);

/// All of it, for a peer that knows nothing yet.
DirectoryDelta FullDelta(const Directory& directory);

/// The endpoints of a group that are not gone.
std::vector<EndpointRecord> MembersOf(const Directory& directory,
                                      const GroupId& group);

/// The endpoint that leads; null when it is not known.
const EndpointRecord* CurrentPrimary(const Directory& directory,
                                     const GroupId& group);

/// The VMs that hold the connections to one endpoint.
struct Holders {
  /// Those that share its slots; a caller's relay uses one of them.
  std::vector<RelayRecord> active;
  /// Those to turn to when an active one fails, in order.
  std::vector<RelayRecord> reserve;
};

inline constexpr size_t kReserveHolders = 3;

/// Gives each endpoint holders of its own availability zone where there are
/// any, spread so that no VM holds many. Equal on all VMs that know the same.
std::map<EndpointId, Holders> AssignHolders(const Directory& directory);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_DIRECTORY_H_
