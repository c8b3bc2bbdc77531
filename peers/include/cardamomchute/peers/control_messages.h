/// Messages between a control member and the agents of VMs. Each travels as
/// one kControl frame.
#ifndef CARDAMOMCHUTE_PEERS_CONTROL_MESSAGES_H_
#define CARDAMOMCHUTE_PEERS_CONTROL_MESSAGES_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cardamomchute/peers/quorum_messages.h"
#include "cardamomchute/policy/lease/lease.h"
#include "cardamomchute/policy/quorum/control_state.h"
#include "cardamomchute/policy/quorum/control_state_soft.h"

namespace cardamomchute {

/// First message of an agent on a link; `known` is the revision of its view.
struct AgentHello {
  VmId vm;
  Environment environment;
  Revision known;
  MSGPACK_DEFINE(vm, environment, known)
};

/// Asks the leader to renew the lease of the reporting VM.
struct RenewRequest {
  uint64_t nonce = 0;
  VmReport report;
  std::vector<SoftAnnouncement> announcements;
  MSGPACK_DEFINE(nonce, report, announcements)
};

/// Answers the RenewRequest of the same nonce.
struct LeaseGrant {
  uint64_t nonce = 0;
  Duration lease;
  QuorumTerm term;  ///< after a change the agent repeats its announcements
  MSGPACK_DEFINE(nonce, lease, term)
};

/// Sent by a member that is not the leader; `leader` is empty if unknown.
struct Redirect {
  VmId leader;
  Address address;
  MSGPACK_DEFINE(leader, address)
};

/// Changes of the replicated state; sent by every member to its agents.
struct ViewPush {
  ViewDelta delta;
  MSGPACK_DEFINE(delta)
};

/// Changes of the leader's soft state (VMs and endpoints); sent by the leader.
struct SoftPush {
  SoftDelta delta;
  MSGPACK_DEFINE(delta)
};

/// Reads the stored documents; the result is a vector of StoredDocument.
struct HistoryCall {
  Environment environment;
  MSGPACK_DEFINE(environment)
};

/// Reads the status of the system; the result is a StatusResult.
struct StatusCall {
  Environment environment;
  MSGPACK_DEFINE(environment)
};

/// A request to the leader. SubmitDocument is sent without hash and groups;
/// the leader fills them in.
using CallBody =
    std::variant<SubmitDocument, PromoteDocument, ChangeGroup, AdmitMember,
                 ExcludeMember, HistoryCall, StatusCall>;

struct Call {
  uint64_t id = 0;
  std::string body;  ///< a packed CallBody
  MSGPACK_DEFINE(id, body)
};

/// If `ok`, `result` holds the packed result type of the call; otherwise the
/// error fields are set.
struct CallAnswer {
  uint64_t id = 0;
  bool ok = false;
  std::string result;
  uint8_t error_kind = 0;
  std::string message;
  std::string remedy;
  MSGPACK_DEFINE(id, ok, result, error_kind, message, remedy)
};

/// The result of calls that change the replicated state.
struct CommandResult {
  Version version;
  std::string hash;
  bool repeated = false;
  MSGPACK_DEFINE(version, hash, repeated)
};

struct MemberReport {
  VmId vm;
  bool leader = false;
  bool reachable = false;
  uint64_t applied_index = 0;
  MSGPACK_DEFINE(vm, leader, reachable, applied_index)
};

struct ProblemReport {
  std::string what;
  std::string remedy;
  MSGPACK_DEFINE(what, remedy)
};

/// The result of StatusCall.
struct StatusResult {
  std::vector<MemberReport> members;
  QuorumTerm term;
  ViewDelta view;
  SoftDelta soft;
  std::map<VmId, Version> applied;
  std::vector<ProblemReport> problems;
  MSGPACK_DEFINE(members, term, view, soft, applied, problems)
};

using ControlMessage =
    std::variant<MemberHello, AgentHello, RenewRequest, LeaseGrant, Redirect,
                 ViewPush, SoftPush, Call, CallAnswer>;

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_CONTROL_MESSAGES_H_
