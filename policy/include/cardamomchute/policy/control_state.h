/// The state that the control members replicate: documents, owners and
/// primaries of groups, registered VMs, wanted members.
///
/// Deterministic: the same commands in the same order give the same state and
/// the same answers on every member. It holds documents as text and hash only.
#ifndef CARDAMOMCHUTE_POLICY_CONTROL_STATE_H_
#define CARDAMOMCHUTE_POLICY_CONTROL_STATE_H_

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
#include "cardamomchute/policy/operations.h"
#include "cardamomchute/policy/view.h"

namespace cardamomchute {

/// Versions kept in the history of one environment, and how many of them with
/// their text.
inline constexpr size_t kHistoryVersions = 1000;
inline constexpr size_t kHistoryTexts = 20;
/// Answers to submissions kept for each environment; a resend older than
/// these is judged anew, and then fails on its version.
inline constexpr size_t kSubmissionAnswers = 1000;

/// Random number of one run of a VM's process.
using Incarnation = StrongNumber<struct IncarnationTag>;

/// `groups` are the document's, found by the member that checked it.
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

/// Makes `vm` (empty: nobody) the owner, if `epoch` follows the current one.
struct AssignOwner {
  Environment environment;
  GroupId group;
  VmId vm;
  Epoch epoch;
  MSGPACK_DEFINE(environment, group, vm, epoch)
};

enum class GroupChangeKind : uint8_t { kFailoverIntent, kPrimary, kRelease };

/// Asked for by the owner; refused unless `epoch` is current.
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

/// Ignored if the VM has been registered by a later run since.
struct ForgetVm {
  VmId vm;
  Incarnation incarnation;
  MSGPACK_DEFINE(vm, incarnation)
};

/// The VM may join the control members from now on.
struct AdmitMember {
  VmId vm;
  Address address;
  MSGPACK_DEFINE(vm, address)
};

/// The VM is to be no control member.
struct ExcludeMember {
  VmId vm;
  MSGPACK_DEFINE(vm)
};

using ControlCommand =
    std::variant<SubmitDocument, PromoteDocument, AssignOwner, ChangeGroup,
                 RegisterVm, ForgetVm, AdmitMember, ExcludeMember>;

/// Documents answer with their version; other commands with an empty outcome.
using ControlResult = Result<SubmitOutcome>;

/// A stored version; `text` is empty once it has left the kept texts.
struct StoredDocument {
  Version version;
  std::string hash;
  std::string submitter;
  std::string origin;
  std::string text;
  std::vector<GroupId> groups;
  MSGPACK_DEFINE(version, hash, submitter, origin, text, groups)
};

/// The first answer to a submission.
struct SubmissionAnswer {
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
  EndpointId candidate;  ///< empty: no failover under way
  Term old_term;
  VmId released_by;  ///< the last owner, if it gave the group up
  /// The last owner, if it lost the group without asking to: nobody else may
  /// have it before that VM knows or its lease has run out.
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
  std::deque<StoredDocument> history;  ///< oldest first; the last is in force
  Revision document_changed;
  std::deque<SubmissionAnswer> answers;
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

/// Hex SHA-256, as documents are named by.
std::string HashText(std::string_view text);

const EnvironmentRecord* FindEnvironment(const ControlState& state,
                                         const Environment& environment);
const GroupRecord* FindGroupRecord(const ControlState& state,
                                   const Environment& environment,
                                   const GroupId& group);
/// The document in force, if any.
const StoredDocument* CurrentDocument(const ControlState& state,
                                      const Environment& environment);
std::vector<DocumentRecord> History(const ControlState& state,
                                    const Environment& environment);

/// One environment's records that changed after a revision.
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

#endif  // CARDAMOMCHUTE_POLICY_CONTROL_STATE_H_
