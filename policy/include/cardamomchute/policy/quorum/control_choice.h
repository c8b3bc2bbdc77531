/// Which control member a relay connects to. Pure functions without I/O.
#ifndef CARDAMOMCHUTE_POLICY_QUORUM_CONTROL_CHOICE_H_
#define CARDAMOMCHUTE_POLICY_QUORUM_CONTROL_CHOICE_H_

#include <vector>

#include "cardamomchute/base/ids.h"

namespace cardamomchute {

/// Returns `members` in the relay's order of preference. Each relay has an
/// order of its own, so that relays spread evenly over the members, and those
/// of a lost member over the others. A member that joins or leaves changes the
/// first choice of few relays.
std::vector<Address> RankMembers(const VmId& relay,
                                 std::vector<Address> members);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_QUORUM_CONTROL_CHOICE_H_
