/// Whether an answer may be acknowledged at this very moment.
#ifndef CARDAMOMCHUTE_ENDPOINTS_SRC_FENCE_H_
#define CARDAMOMCHUTE_ENDPOINTS_SRC_FENCE_H_

#include "cardamomchute/base/ids.h"
#include "cardamomchute/policy/view.h"

namespace cardamomchute {

struct FenceInputs {
  bool lease_valid = false;
  const ClusterView* view = nullptr;
  GroupId group;
  VmId vm;
  Epoch epoch;   ///< under which this VM took the group up
  Term sent_term;  ///< the term in force when the statement was sent
  bool by_primary = true;
  /// No change of primary is being decided here.
  bool primary_in_force = false;
};

/// Empty when nothing speaks against it, else which fence does.
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
