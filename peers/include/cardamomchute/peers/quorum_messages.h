/// Messages between the members of a control quorum. Each travels as one
/// kQuorum frame.
#ifndef CARDAMOMCHUTE_PEERS_QUORUM_MESSAGES_H_
#define CARDAMOMCHUTE_PEERS_QUORUM_MESSAGES_H_

#include <string>
#include <variant>

#include "cardamomchute/policy/quorum.h"
#include "cardamomchute/policy/quorum_pack.h"

namespace cardamomchute {

/// First on a link between members, and again at intervals; also a member's
/// first answer to an agent.
struct MemberHello {
  MemberId id;
  VmId vm;
  Address address;
  bool fresh = false;  ///< its folder holds nothing yet
  MSGPACK_DEFINE(id, vm, address, fresh)
};

/// A QuorumMessage; `body` is its packed variant.
struct QuorumEnvelope {
  MemberId from;
  MemberId to;
  QuorumTerm term;
  std::string body;
  MSGPACK_DEFINE(from, to, term, body)
};

using MemberMessage = std::variant<MemberHello, QuorumEnvelope>;

QuorumEnvelope ToEnvelope(const QuorumMessage& message);
Result<QuorumMessage> FromEnvelope(const QuorumEnvelope& envelope);

/// The VM in "VM#incarnation".
VmId VmOf(const MemberId& id);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_QUORUM_MESSAGES_H_
