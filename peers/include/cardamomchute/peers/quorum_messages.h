/// Messages between the members of a control quorum. Each travels as one
/// kQuorum frame.
#ifndef CARDAMOMCHUTE_PEERS_QUORUM_MESSAGES_H_
#define CARDAMOMCHUTE_PEERS_QUORUM_MESSAGES_H_

#include <string>
#include <variant>

#include "cardamomchute/policy/quorum/quorum.h"
#include "cardamomchute/policy/quorum/quorum_pack.h"

namespace cardamomchute {

/// First message on a link between members, repeated periodically. Also the
/// first message that a member sends to an agent.
struct MemberHello {
  MemberId id;
  VmId vm;
  Address address;
  bool fresh = false;  ///< the data folder has no snapshot and no log yet
  MSGPACK_DEFINE(id, vm, address, fresh)
};

/// A QuorumMessage on the wire; `body` is the packed variant of its body.
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

/// Returns the VM part of a member id "VM#incarnation".
VmId VmOf(const MemberId& id);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_QUORUM_MESSAGES_H_
