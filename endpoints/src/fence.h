/// Fencing: the conditions under which an endpoint's answer may be passed on
/// to the caller as an acknowledgement.
#ifndef CARDAMOMCHUTE_ENDPOINTS_SRC_FENCE_H_
#define CARDAMOMCHUTE_ENDPOINTS_SRC_FENCE_H_

#include "cardamomchute/base/ids.h"
#include "cardamomchute/policy/quorum/view.h"

namespace cardamomchute {

struct FenceInputs {
  bool lease_valid = false;
  const ClusterView* view = nullptr;
  GroupId group;
  VmId vm;
  Epoch epoch;     ///< epoch of this VM's ownership of the group
  Term sent_term;  ///< current term when the statement was sent
  bool by_primary = true;
  /// This owner is not replacing the primary.
  bool primary_in_force = false;
};

/// Returns the name of the first condition that fails; "" if all hold.
inline const char* FailedFence(const FenceInputs& inputs) {
  if (!inputs.lease_valid) return "lease";
  if (inputs.view == nullptr) return "view";
  auto group = inputs.view->groups.find(inputs.group);
  if (group == inputs.view->groups.end()) return "view";
  if (group->second.owner != inputs.vm) return "owner";
  if (group->second.epoch != inputs.epoch) return "epoch";
  if (!inputs.by_primary) return "";
  if (!inputs.primary_in_force) return "failover";
  if (group->second.term != inputs.sent_term) return "term";
  return "";
}

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_SRC_FENCE_H_
