#include "cardamomchute/policy/group_copies.h"

#include <algorithm>

namespace cardamomchute {

void NoteReceived(GroupCopies* copies, const std::vector<MemberStatus>& answers,
                  const EndpointId& primary) {
  for (const MemberStatus& answer : answers) {
    bool replica =
        answer.answered && !answer.is_primary && answer.endpoint.id != primary;
    if (replica) copies->seen = std::max(copies->seen, answer.received);
  }
}

void NoteConfirmed(GroupCopies* copies) { copies->seen = Floor(); }

}  // namespace cardamomchute
