/// Times by which a group's owner acts.
#ifndef CARDAMOMCHUTE_ENDPOINTS_SRC_GROUP_LIMITS_H_
#define CARDAMOMCHUTE_ENDPOINTS_SRC_GROUP_LIMITS_H_

#include "cardamomchute/base/time.h"

namespace cardamomchute {

inline constexpr Duration kGroupTick = Millis(10);
/// Probes stay quick for this long after something waited for positions.
inline constexpr Duration kFastProbePeriod = Millis(500);
/// A cancelled statement gets this long to end before its connection is cut.
inline constexpr Duration kCancelTimeout = Millis(1000);
/// Without a live replica, a write in mode `replicated` waits this long for
/// one before its outcome is unknown, and after as long none is begun.
inline constexpr Duration kNoReplicaTimeout = Millis(2000);
/// With live replicas it waits for this long, or until its deadline.
inline constexpr Duration kReplicationTimeout = Millis(5000);
/// A read waits for a replica to catch up for at most this long, or for half
/// of its rank's target, or for a quarter of the time it has.
inline constexpr Duration kMaxCatchUpWait = Millis(100);
/// A rollback gets this long to be answered.
inline constexpr Duration kRollbackTimeout = Millis(1000);
/// A read is sent again at most this often after broken connections.
inline constexpr int kMaxReadAttempts = 3;
/// A read without any answer for this long, and for its rank's target, may be
/// on a silent connection.
inline constexpr Duration kSilentReadTimeout = Millis(1000);
/// So may whatever got no answer for this long, when connections to the same
/// member were found silent within `kSilenceWindow` before it was sent or since.
inline constexpr Duration kSilentStatementTimeout = Millis(2500);
inline constexpr Duration kSilenceWindow = Millis(3000);
/// Held back bytes beyond this are passed on before the answer's end.
inline constexpr size_t kMaxBufferedBytes = 1024 * 1024;
/// Staleness bounds below this need quick probes all the time.
inline constexpr Duration kFastProbeStaleness = Millis(500);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_SRC_GROUP_LIMITS_H_
