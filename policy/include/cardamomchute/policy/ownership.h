/// Chooses owners for the groups of one environment.
#ifndef CARDAMOMCHUTE_POLICY_OWNERSHIP_H_
#define CARDAMOMCHUTE_POLICY_OWNERSHIP_H_

#include <map>
#include <vector>

#include "cardamomchute/base/ids.h"

namespace cardamomchute {

/// A VM that may own groups: alive, not draining.
struct OwnerCandidate {
  VmId vm;
  Zone zone;
};

struct OwnedGroup {
  GroupId id;
  VmId owner;         ///< empty, or one that can no longer be the owner
  VmId released_by;   ///< not chosen if there is any other
  Zone primary_zone;  ///< preferred among the VMs with the fewest groups
};

struct OwnerChoice {
  GroupId group;
  VmId vm;
};

/// An owner for each group whose owner is no candidate. Groups with a valid
/// owner stay. Spreads evenly over VMs, then over zones. No candidates: none.
std::vector<OwnerChoice> ChooseOwners(
    const std::vector<OwnedGroup>& groups,
    const std::vector<OwnerCandidate>& candidates);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_OWNERSHIP_H_
