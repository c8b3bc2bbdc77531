/// A VM's snapshot of its environment: accepted document, owners, primaries,
/// endpoints and VMs. Immutable once published.
#ifndef CARDAMOMCHUTE_POLICY_QUORUM_VIEW_H_
#define CARDAMOMCHUTE_POLICY_QUORUM_VIEW_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/documents/document.h"

namespace cardamomchute {

/// A document that the control quorum has committed.
struct AcceptedDocument {
  Version version;
  std::string text;  ///< exactly the submitted bytes
  std::string hash;  ///< hex SHA-256 of text
  Document document;
};

/// A failover that has been decided but not completed. The group's owner, also
/// a new one, completes it with the same candidate if that is reachable.
struct FailoverIntent {
  EndpointId candidate;
  Term old_term;
};

/// The state of a database group in the control quorum.
struct GroupState {
  VmId owner;          ///< empty: no owner
  Epoch epoch;         ///< increases with each change of owner
  EndpointId primary;  ///< empty: not yet known
  Term term;           ///< the term of `primary`
  std::optional<FailoverIntent> failover;
};

/// An endpoint of a group, as it announced itself. Soft state.
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
  Version applied;  ///< the document version it has applied
};

/// The state of one environment. The snapshot with the higher `revision` is
/// newer; the document version never decreases.
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

#endif  // CARDAMOMCHUTE_POLICY_QUORUM_VIEW_H_
