/// Merges deltas of the control state into the view that a VM uses. Deltas may
/// come in any order and from any member; older records never replace newer
/// ones.
#ifndef CARDAMOMCHUTE_POLICY_QUORUM_CONTROL_STATE_VIEW_H_
#define CARDAMOMCHUTE_POLICY_QUORUM_CONTROL_STATE_VIEW_H_

#include <functional>
#include <map>
#include <optional>
#include <string_view>

#include "cardamomchute/policy/quorum/control_state.h"
#include "cardamomchute/policy/quorum/control_state_soft.h"

namespace cardamomchute {

/// Parses and checks a document's TOML text.
using DocumentReader = std::function<Result<Document>(std::string_view)>;

struct ViewRecords {
  Environment environment;
  Revision revision;
  std::optional<AcceptedDocument> document;
  std::map<GroupId, GroupRecord> groups;
  std::map<VmId, VmRecord> vms;
  std::map<EndpointId, SoftEndpoint> endpoints;
  std::map<VmId, SoftVm> soft_vms;
};

/// Applies the newer records of `delta`; returns whether it was newer. Refuses
/// a delta that begins after the known revision (kInvalidInput); the VM must
/// then ask again from that revision. If `read` fails, the previous document
/// and revision stay in use.
Result<bool> ApplyDelta(ViewRecords& records, const ViewDelta& delta,
                        const DocumentReader& read);

/// Applies a delta of the soft state.
void ApplySoftDelta(ViewRecords& records, const SoftDelta& delta);

ClusterView BuildView(const ViewRecords& records);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_QUORUM_CONTROL_STATE_VIEW_H_
