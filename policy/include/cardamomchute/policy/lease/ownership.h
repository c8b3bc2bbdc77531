/// Assigns owners to the groups of one environment.
#ifndef CARDAMOMCHUTE_POLICY_LEASE_OWNERSHIP_H_
#define CARDAMOMCHUTE_POLICY_LEASE_OWNERSHIP_H_

#include <map>
#include <vector>

#include "cardamomchute/base/ids.h"

namespace cardamomchute {

/// A VM that may own groups: it is alive and not draining.
struct OwnerCandidate {
  VmId vm;
  Zone zone;
};

struct OwnedGroup {
  GroupId id;
  VmId owner;         ///< empty, or a VM that can no longer be the owner
  VmId released_by;   ///< chosen only if there is no other candidate
  Zone primary_zone;  ///< preferred among VMs with equally few groups
};

struct OwnerChoice {
  GroupId group;
  VmId vm;
};

/// Chooses an owner for each group whose current owner is not a candidate.
/// Groups with a valid owner keep it. Balances over VMs first, then over zones.
/// Returns nothing if there are no candidates.
std::vector<OwnerChoice> ChooseOwners(
    const std::vector<OwnedGroup>& groups,
    const std::vector<OwnerCandidate>& candidates);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_LEASE_OWNERSHIP_H_
