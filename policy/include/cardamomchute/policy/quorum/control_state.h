/// Replicated state machine of the control members: documents, owners and
/// primaries of groups, registered VMs, admitted and excluded members.
///
/// Deterministic: applying the same commands in the same order yields the same
/// state and results on every member. Documents are held as text and hash only;
/// they are not parsed here.
#ifndef CARDAMOMCHUTE_POLICY_QUORUM_CONTROL_STATE_H_
#define CARDAMOMCHUTE_POLICY_QUORUM_CONTROL_STATE_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/pack.h"
#include "cardamomchute/policy/quorum/view.h"
#include "cardamomchute/policy/sessions/operations.h"

namespace cardamomchute {

/// Versions kept in the history of one environment, and how many of the newest
/// keep their text.
inline constexpr size_t kHistoryVersions = 1000;
inline constexpr size_t kHistoryTexts = 20;
/// Submission results kept per environment, to make resends idempotent. An
/// older resend is evaluated again and fails because its version is stale.
inline constexpr size_t kMaxSubmissionResults = 1000;

/// Random number that identifies one run of a VM's process.
using Incarnation = StrongNumber<struct IncarnationTag>;

/// Submits a document. `groups` are the groups of the document, extracted by
/// the member that checked it.
struct SubmitDocument {
  Environment environment;
  Version replaces;
  SubmissionId id;
  std::string submitter;
  std::string text;
  std::string hash;
  std::vector<GroupId> groups;
  MSGPACK_DEFINE(environment, replaces, id, submitter, text, hash, groups)
};

struct PromoteDocument {
  Environment from;
  Environment to;
  Version from_version;
  Version replaces;
  SubmissionId id;
  std::string submitter;
  MSGPACK_DEFINE(from, to, from_version, replaces, id, submitter)
};

/// Makes `vm` the owner, or removes the owner if `vm` is empty. Refused unless
/// `epoch` is the successor of the current one.
struct AssignOwner {
  Environment environment;
  GroupId group;
  VmId vm;
  Epoch epoch;
  MSGPACK_DEFINE(environment, group, vm, epoch)
};

enum class GroupChangeKind : uint8_t { kFailoverIntent, kPrimary, kRelease };

/// A change proposed by the group's owner; refused unless `epoch` is current.
struct ChangeGroup {
  Environment environment;
  GroupId group;
  Epoch epoch;
  GroupChangeKind kind = GroupChangeKind::kPrimary;
  EndpointId endpoint;
  Term term;
  MSGPACK_DEFINE(environment, group, epoch, kind, endpoint, term)
};

struct RegisterVm {
  VmId vm;
  Incarnation incarnation;
  Environment environment;
  Zone zone;
  Address peer_address;
  MSGPACK_DEFINE(vm, incarnation, environment, zone, peer_address)
};

/// Removes a VM. Ignored if a later run of it has registered since.
struct ForgetVm {
  VmId vm;
  Incarnation incarnation;
  MSGPACK_DEFINE(vm, incarnation)
};

/// Allows the VM to join the control members.
struct AdmitMember {
  VmId vm;
  Address address;
  MSGPACK_DEFINE(vm, address)
};

/// Removes the VM from the control members and keeps it from joining.
struct ExcludeMember {
  VmId vm;
  MSGPACK_DEFINE(vm)
};

using ControlCommand =
    std::variant<SubmitDocument, PromoteDocument, AssignOwner, ChangeGroup,
                 RegisterVm, ForgetVm, AdmitMember, ExcludeMember>;

/// Documents return their version; other commands an empty outcome.
using ControlResult = Result<SubmitOutcome>;

/// A stored version; `text` and `groups` are cleared after kHistoryTexts newer
/// versions.
struct StoredDocument {
  Version version;
  std::string hash;
  std::string submitter;
  std::string origin;
  std::string text;
  std::vector<GroupId> groups;
  MSGPACK_DEFINE(version, hash, submitter, origin, text, groups)
};

/// The result of a submission, returned again for resends.
struct SubmissionResult {
  SubmissionId id;
  Version version;  ///< 0: refused
  std::string hash;
  uint8_t error_kind = 0;
  std::string message;
  std::string remedy;
  MSGPACK_DEFINE(id, version, hash, error_kind, message, remedy)
};

struct GroupRecord {
  VmId owner;
  Epoch epoch;
  EndpointId primary;
  Term term;
  EndpointId candidate;  ///< empty: no failover in progress
  Term old_term;
  VmId released_by;  ///< the previous owner, if it released the group
  /// The previous owner, if the group was revoked from it. The group gets no
  /// other owner until that VM knows of the revocation or its lease expires.
  VmId revoked_from;
  Revision changed;
  MSGPACK_DEFINE(owner, epoch, primary, term, candidate, old_term, released_by,
                 revoked_from, changed)
};

struct VmRecord {
  Incarnation incarnation;
  Environment environment;
  Zone zone;
  Address peer_address;
  bool forgotten = false;
  Revision changed;
  MSGPACK_DEFINE(incarnation, environment, zone, peer_address, forgotten,
                 changed)
};

struct EnvironmentRecord {
  std::deque<StoredDocument>
      history;  ///< oldest first; the last one is current
  Revision document_changed;
  std::deque<SubmissionResult> answers;
  std::map<GroupId, GroupRecord> groups;
  MSGPACK_DEFINE(history, document_changed, answers, groups)
};

struct ControlState {
  Revision revision;
  std::map<Environment, EnvironmentRecord> environments;
  std::map<VmId, VmRecord> vms;
  std::map<VmId, Address> admitted;
  std::map<VmId, Revision> excluded;
  MSGPACK_DEFINE(revision, environments, vms, admitted, excluded)
};

/// Applies one committed command.
ControlResult Apply(ControlState& state, const ControlCommand& command);

/// Returns the SHA-256 of `text` in hex, which identifies a document.
std::string HashText(std::string_view text);

const EnvironmentRecord* FindEnvironment(const ControlState& state,
                                         const Environment& environment);
const GroupRecord* FindGroupRecord(const ControlState& state,
                                   const Environment& environment,
                                   const GroupId& group);
/// Returns the current document, or null.
const StoredDocument* CurrentDocument(const ControlState& state,
                                      const Environment& environment);
std::vector<DocumentRecord> History(const ControlState& state,
                                    const Environment& environment);

/// Records of one environment that changed after revision `since`.
struct ViewDelta {
  Environment environment;
  Revision since;
  Revision revision;
  std::optional<StoredDocument> document;
  std::map<GroupId, GroupRecord> groups;
  std::map<VmId, VmRecord> vms;
  MSGPACK_DEFINE(environment, since, revision, document, groups, vms)
};

ViewDelta DeltaSince(const ControlState& state, const Environment& environment,
                     Revision since);

GroupState ToGroupState(const GroupRecord& record);

}  // namespace cardamomchute

MSGPACK_ADD_ENUM(cardamomchute::GroupChangeKind);

#endif  // CARDAMOMCHUTE_POLICY_QUORUM_CONTROL_STATE_H_
