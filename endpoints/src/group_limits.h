/// Timeouts and limits of a group at its owner.
#ifndef CARDAMOMCHUTE_ENDPOINTS_SRC_GROUP_LIMITS_H_
#define CARDAMOMCHUTE_ENDPOINTS_SRC_GROUP_LIMITS_H_

#include "cardamomchute/base/time.h"

namespace cardamomchute {

inline constexpr Duration kGroupTick = Millis(10);
/// Probes stay at kFastProbeInterval for this long after a statement needed
/// member positions.
inline constexpr Duration kFastProbePeriod = Millis(500);
/// Time a cancelled statement gets to end before its connection is closed.
inline constexpr Duration kCancelTimeout = Millis(1000);
/// Without a live replica, a write with ack `replicated` waits this long for
/// one before its outcome is unknown. New writes are refused when no replica
/// was alive for as long.
inline constexpr Duration kNoReplicaTimeout = Millis(2000);
/// With a live replica, such a write waits for this long or until its
/// deadline, whichever is later.
inline constexpr Duration kReplicationTimeout = Millis(5000);
/// Longest wait of a read for a replica to catch up. Half of its rank's target
/// and a quarter of the time to its deadline also limit the wait.
inline constexpr Duration kMaxCatchUpWait = Millis(100);
/// A connection whose rollback is unanswered for this long is closed.
inline constexpr Duration kRollbackTimeout = Millis(1000);
/// Maximum number of times a read is sent when its connections break.
inline constexpr int kMaxReadAttempts = 3;
/// A read without any answer for this long and for its rank's target is
/// retried once on another connection, in case its connection is silent.
inline constexpr Duration kSilentReadTimeout = Millis(1000);
/// Any statement without an answer for this long is given up if another
/// connection to the same member was found silent less than `kSilenceWindow`
/// before the statement was sent, or later.
inline constexpr Duration kSilentStatementTimeout = Millis(2500);
inline constexpr Duration kSilenceWindow = Millis(3000);
/// Buffered answer bytes beyond this are sent before the answer's end.
inline constexpr size_t kMaxBufferedBytes = 1024 * 1024;
/// Reads with a staleness bound below this keep probes at kFastProbeInterval.
inline constexpr Duration kFastProbeStaleness = Millis(500);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_SRC_GROUP_LIMITS_H_
