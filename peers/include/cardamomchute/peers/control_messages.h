/// Messages between a control member and the agents of VMs. Each travels as
/// one kControl frame.
#ifndef CARDAMOMCHUTE_PEERS_CONTROL_MESSAGES_H_
#define CARDAMOMCHUTE_PEERS_CONTROL_MESSAGES_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cardamomchute/peers/quorum_messages.h"
#include "cardamomchute/policy/control_state.h"
#include "cardamomchute/policy/control_state_soft.h"
#include "cardamomchute/policy/lease.h"

namespace cardamomchute {

/// First on an agent's link: what the agent knows already.
struct AgentHello {
  VmId vm;
  Environment environment;
  Revision known;
  MSGPACK_DEFINE(vm, environment, known)
};

struct RenewRequest {
  uint64_t nonce = 0;
  VmReport report;
  std::vector<SoftAnnouncement> announcements;
  MSGPACK_DEFINE(nonce, report, announcements)
};

struct LeaseGrant {
  uint64_t nonce = 0;
  Duration lease;
  QuorumTerm term;  ///< a new one has not heard earlier announcements
  MSGPACK_DEFINE(nonce, lease, term)
};

/// This member does not lead; `leader` is empty if it knows none.
struct Redirect {
  VmId leader;
  Address address;
  MSGPACK_DEFINE(leader, address)
};

struct ViewPush {
  ViewDelta delta;
  MSGPACK_DEFINE(delta)
};

struct SoftPush {
  SoftDelta delta;
  MSGPACK_DEFINE(delta)
};

struct HistoryCall {
  Environment environment;
  MSGPACK_DEFINE(environment)
};

struct StatusCall {
  Environment environment;
  MSGPACK_DEFINE(environment)
};

/// SubmitDocument comes without hash and groups; the leader fills them in.
using CallBody =
    std::variant<SubmitDocument, PromoteDocument, ChangeGroup, AdmitMember,
                 ExcludeMember, HistoryCall, StatusCall>;

struct Call {
  uint64_t id = 0;
  std::string body;  ///< a packed CallBody
  MSGPACK_DEFINE(id, body)
};

/// Either `result`, packed as the call's kind has it, or an error.
struct CallAnswer {
  uint64_t id = 0;
  bool ok = false;
  std::string result;
  uint8_t error_kind = 0;
  std::string message;
  std::string remedy;
  MSGPACK_DEFINE(id, ok, result, error_kind, message, remedy)
};

/// The result of commands.
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
    std::variant<MemberHello, AgentHello, RenewRequest, LeaseGrant, Redirect, ViewPush,
                 SoftPush, Call, CallAnswer>;

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_CONTROL_MESSAGES_H_
