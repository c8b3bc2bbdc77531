/// Unreplicated soft state of the control leader: announced endpoints and the
/// liveness of VMs.
///
/// It has its own change counter, so that VMs receive only the changes. A new
/// leader rebuilds it from the reports of the agents. Until `IsSettled` holds,
/// snapshots are not full and VMs keep the records they have.
#ifndef CARDAMOMCHUTE_POLICY_QUORUM_CONTROL_STATE_SOFT_H_
#define CARDAMOMCHUTE_POLICY_QUORUM_CONTROL_STATE_SOFT_H_

#include <map>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/pack.h"
#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/sessions/operations.h"

namespace cardamomchute {

/// Time after which a new leader has received every live endpoint.
inline constexpr Duration kSoftSettleTime = Seconds(5);

/// Change counter of one leader's soft state.
using SoftCounter = StrongNumber<struct SoftCounterTag>;

/// An endpoint as announced, without the TTL.
struct SoftEndpoint {
  EndpointId id;
  GroupId group;
  Address address;
  Zone zone;
  bool leaving = false;
  friend bool operator==(const SoftEndpoint&, const SoftEndpoint&) = default;
  MSGPACK_DEFINE(id, group, address, zone, leaving)
};

struct SoftAnnouncement {
  SoftEndpoint endpoint;
  Duration remaining;  ///< TTL left when it was sent
  MSGPACK_DEFINE(endpoint, remaining)
};

struct SoftVm {
  bool alive = true;
  bool draining = false;
  friend bool operator==(const SoftVm&, const SoftVm&) = default;
  MSGPACK_DEFINE(alive, draining)
};

struct SoftState {
  struct EndpointEntry {
    Environment environment;
    SoftEndpoint endpoint;
    Time expires;
    bool removed = false;
    SoftCounter changed;
  };
  struct VmEntry {
    Environment environment;
    SoftVm vm;
    SoftCounter changed;
  };
  Time start;
  SoftCounter counter;
  std::map<EndpointId, EndpointEntry> endpoints;
  std::map<VmId, VmEntry> vms;
};

void OnAnnouncement(SoftState& state, const Environment& environment,
                    const SoftAnnouncement& announcement, Time now);
void SetVm(SoftState& state, const Environment& environment, const VmId& id,
           SoftVm vm);
/// Marks endpoints with an expired TTL as removed, and drops old removals.
void ExpireEndpoints(SoftState& state, Time now);
/// Whether the leader has collected reports for long enough.
bool IsSettled(const SoftState& state, Time now);
std::map<EndpointId, Zone> EndpointZones(const SoftState& state);

/// Changes in one environment after a counter. If `full`, it replaces
/// everything that the receiver holds.
struct SoftDelta {
  Environment environment;
  SoftCounter counter;
  bool full = false;
  std::vector<SoftEndpoint> endpoints;
  std::vector<EndpointId> removed;
  std::map<VmId, SoftVm> vms;
  MSGPACK_DEFINE(environment, counter, full, endpoints, removed, vms)

  bool Empty() const;
};

SoftDelta SoftDeltaSince(const SoftState& state, const Environment& environment,
                         SoftCounter since);
/// Returns all records; `full` only once the state is settled.
SoftDelta SoftSnapshot(const SoftState& state, const Environment& environment,
                       Time now);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_QUORUM_CONTROL_STATE_SOFT_H_
