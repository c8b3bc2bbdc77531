/// Positions in a member's log.
#ifndef CARDAMOMCHUTE_POLICY_SRC_QUORUM_QUORUM_LOG_H_
#define CARDAMOMCHUTE_POLICY_SRC_QUORUM_QUORUM_LOG_H_

#include <cstddef>

#include "cardamomchute/policy/quorum/quorum.h"

namespace cardamomchute {

/// Returns the offset in `log` of the first entry after `index`.
size_t OffsetAfter(const QuorumState& state, LogIndex index);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_SRC_QUORUM_QUORUM_LOG_H_
