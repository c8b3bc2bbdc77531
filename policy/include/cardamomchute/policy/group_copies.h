/// What a control leader knows of the copies of a group's log.
///
/// A commit is acknowledged once a replica has received it. If that replica is
/// lost, the only copy may be that of the primary. Pure functions without I/O.
#ifndef CARDAMOMCHUTE_POLICY_GROUP_COPIES_H_
#define CARDAMOMCHUTE_POLICY_GROUP_COPIES_H_

#include <vector>

#include "cardamomchute/policy/primary_replacement.h"

namespace cardamomchute {

struct GroupCopies {
  /// Highest position that a replica reported since the primary was last
  /// confirmed.
  Floor seen;
};

/// Notes what the endpoints other than `primary` have received.
void NoteReceived(GroupCopies* copies, const std::vector<MemberStatus>& answers,
                  const EndpointId& primary);

/// Notes that a primary with all commits was confirmed.
void NoteConfirmed(GroupCopies* copies);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_GROUP_COPIES_H_
