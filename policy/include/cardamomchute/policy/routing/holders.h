/// Assigns the VMs that hold connections to each endpoint. Pure functions
/// without I/O.
#ifndef CARDAMOMCHUTE_POLICY_ROUTING_HOLDERS_H_
#define CARDAMOMCHUTE_POLICY_ROUTING_HOLDERS_H_

#include <cstddef>
#include <map>
#include <vector>

#include "cardamomchute/policy/routing/directory.h"

namespace cardamomchute {

/// The VMs that hold connections to one endpoint.
struct Holders {
  /// Share the slots of the endpoint; a caller's relay uses one of them.
  std::vector<RelayRecord> active;
  /// Replace an active holder that fails, in this order.
  std::vector<RelayRecord> reserve;
};

inline constexpr size_t kReserveHolders = 3;

/// Assigns holders to each endpoint, preferring VMs of its availability zone
/// and balancing the load. Deterministic: VMs with the same directory compute
/// the same assignment.
std::map<EndpointId, Holders> AssignHolders(const Directory& directory);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_ROUTING_HOLDERS_H_
