/// What a control leader knows of the copies of a group's log.
///
/// A commit is acknowledged once a replica has received it. If that replica is
/// lost, the only copy may be that of the primary, until another replica has
/// caught up. Pure functions without I/O.
#ifndef CARDAMOMCHUTE_POLICY_REPLACEMENT_GROUP_COPIES_H_
#define CARDAMOMCHUTE_POLICY_REPLACEMENT_GROUP_COPIES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/replacement/primary_replacement.h"

namespace cardamomchute {

struct GroupCopies {
  /// Highest position that a replica reported since the primary was last
  /// confirmed.
  Floor seen;
  /// The members last known and when each started, by its own wall clock.
  std::map<EndpointId, uint64_t> members;
  /// When a replica was last lost, unless one that stays has caught up since.
  std::optional<Time> lost_at;
  /// What the primary reported first after that.
  std::optional<Floor> primary_at;
  Time checked_at;  ///< start of the last round of queries
};

/// Notes what the endpoints other than `primary` have received.
void NoteReceived(GroupCopies* copies, const std::vector<MemberStatus>& answers,
                  const EndpointId& primary);

/// Notes who is a member now. A replica that is missing or has started again is
/// lost; the log of `primary` is no copy in this sense.
void NoteMembers(GroupCopies* copies,
                 const std::vector<const EndpointRecord*>& members,
                 const EndpointId& primary, Time now);

/// Notes whether a replica that stays has all that the primary had after the
/// last loss. `asked` is when the round of queries began.
void NoteCaughtUp(GroupCopies* copies, const std::vector<MemberStatus>& answers,
                  Time asked);

/// Whether the group should be queried to see if a replica has caught up: often
/// at first, and rarely if none does.
bool IsCopyCheckDue(const GroupCopies& copies, Time now);

/// Notes that a primary with all commits was confirmed.
void NoteConfirmed(GroupCopies* copies);

/// Notes that another primary with all commits was confirmed: the group has a
/// replica less, which may have had the only copy.
void NoteReplaced(GroupCopies* copies, Time now);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_REPLACEMENT_GROUP_COPIES_H_
