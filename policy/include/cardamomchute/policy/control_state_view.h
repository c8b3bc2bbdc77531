/// Gathers deltas of the control state into the view that a VM serves under.
/// Takes them in any order and from any member: nothing ever goes back.
#ifndef CARDAMOMCHUTE_POLICY_CONTROL_STATE_VIEW_H_
#define CARDAMOMCHUTE_POLICY_CONTROL_STATE_VIEW_H_

#include <functional>
#include <map>
#include <optional>
#include <string_view>

#include "cardamomchute/policy/control_state.h"
#include "cardamomchute/policy/control_state_soft.h"

namespace cardamomchute {

/// Reads and checks a document's TOML text.
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

/// Takes what is newer; true if anything was. A delta that begins past what
/// is known here is refused (kInvalidInput): the VM must ask again. An error
/// of `read` leaves the document that was in force and the revision as it was.
Result<bool> ApplyDelta(ViewRecords& records, const ViewDelta& delta,
                        const DocumentReader& read);

void ApplySoftDelta(ViewRecords& records, const SoftDelta& delta);

ClusterView BuildView(const ViewRecords& records);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_CONTROL_STATE_VIEW_H_
