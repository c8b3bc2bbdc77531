/// What the leading control member knows without its log: endpoints that
/// announced themselves, and which VMs are alive.
///
/// Has its own counter, so that VMs get only what changed. Lost with the
/// leader and learned again from the agents; until then `settled` is false,
/// and VMs keep what they know.
#ifndef CARDAMOMCHUTE_POLICY_CONTROL_STATE_SOFT_H_
#define CARDAMOMCHUTE_POLICY_CONTROL_STATE_SOFT_H_

#include <map>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/pack.h"
#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/operations.h"

namespace cardamomchute {

/// A new leader has heard of every live endpoint after this long.
inline constexpr Duration kSoftSettleTime = Seconds(5);

/// Counts changes of one leader's soft state.
using SoftCounter = StrongNumber<struct SoftCounterTag>;

/// An announcement as VMs hand it on.
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
  Duration remaining;  ///< of its TTL, when sent
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
/// Removes endpoints whose TTL has run out, and forgets old removals.
void ExpireEndpoints(SoftState& state, Time now);
bool IsSettled(const SoftState& state, Time now);
std::map<EndpointId, Zone> EndpointZones(const SoftState& state);

/// What changed in one environment after a counter; `full` replaces all.
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
/// Everything; `full` only once the state is settled.
SoftDelta SoftSnapshot(const SoftState& state, const Environment& environment,
                       Time now);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_CONTROL_STATE_SOFT_H_
