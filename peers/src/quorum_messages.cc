#include "cardamomchute/peers/quorum_messages.h"

namespace cardamomchute {

QuorumEnvelope ToEnvelope(const QuorumMessage& message) {
  return QuorumEnvelope{message.from, message.to, message.term,
                        PackVariant(message.body)};
}

Result<QuorumMessage> FromEnvelope(const QuorumEnvelope& envelope) {
  BOOST_OUTCOME_TRY(
      body, UnpackVariant<decltype(QuorumMessage::body)>(envelope.body));
  return QuorumMessage{envelope.from, envelope.to, envelope.term,
                       std::move(body)};
}

VmId VmOf(const MemberId& id) {
  return VmId(id.value().substr(0, id.value().rfind('#')));
}

}  // namespace cardamomchute
