/// What one VM knows of the whole system: accepted documents, owners,
/// primaries, endpoints, VMs. Immutable once published.
#ifndef CARDAMOMCHUTE_POLICY_VIEW_H_
#define CARDAMOMCHUTE_POLICY_VIEW_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/document.h"

namespace cardamomchute {

/// A document the control quorum has committed.
struct AcceptedDocument {
  Version version;
  std::string text;  ///< the very bytes that were submitted
  std::string hash;  ///< hex SHA-256 of text
  Document document;
};

/// A change of primary that has been decided and not yet finished. Whoever
/// owns the group finishes it on the same candidate, if that can be reached.
struct FailoverIntent {
  EndpointId candidate;
  Term old_term;
};

/// One database group as the control quorum has it.
struct GroupState {
  VmId owner;          ///< empty: nobody
  Epoch epoch;         ///< grows with each change of owner
  EndpointId primary;  ///< empty: not known yet
  Term term;           ///< the term `primary` reigns in
  std::optional<FailoverIntent> failover;
};

/// One member of a group, as it announced itself. Soft state.
struct EndpointState {
  EndpointId id;
  GroupId group;
  Address address;
  Zone zone;
  bool leaving = false;
};

struct VmState {
  VmId id;
  Zone zone;
  Address peer_address;
  bool alive = true;
  bool draining = false;
  Version applied;  ///< the document version it serves under
};

/// Everything of one environment. Compare `revision` to see which is newer;
/// the document's version never goes down.
struct ClusterView {
  Environment environment;
  Revision revision;
  std::optional<AcceptedDocument> document;
  std::map<GroupId, GroupState> groups;
  std::map<EndpointId, EndpointState> endpoints;
  std::map<VmId, VmState> vms;
};

using ViewPtr = std::shared_ptr<const ClusterView>;

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_VIEW_H_
