/// Limits and timeouts of an endpoint pool.
#ifndef CARDAMOMCHUTE_RELAY_SRC_POOL_TIMING_H_
#define CARDAMOMCHUTE_RELAY_SRC_POOL_TIMING_H_

#include <cstddef>
#include <cstdint>

#include "cardamomchute/base/time.h"

namespace cardamomchute {

inline constexpr double kPercent = 100;
inline constexpr size_t kRanks = 8;
inline constexpr uint32_t kQueueLimit = 1000;
/// Share of the slots guaranteed to each rank but the most urgent.
inline constexpr double kGuaranteedShare = 0.05;
/// Connections opened ahead in addition to one per slot.
inline constexpr size_t kWarmSpare = 1;

/// A connection beyond the slots and the spare is closed after this long
/// without use. The connections of a VM that lost power count against the
/// endpoint's limit for seconds, so that the next holder may be refused.
inline constexpr Duration kIdleConnection = Seconds(3);

/// At most one log line on the learned limit in this time.
inline constexpr Duration kLimitLogInterval = Seconds(1);

/// A connection that belongs to an organisation is closed after this long
/// without use, as only the organisation can use it: it may come back, and a
/// new connection takes time at the endpoint.
inline constexpr Duration kIdleOfOrganisation = Seconds(30);

inline constexpr Duration kTick = Millis(50);
inline constexpr Duration kConnectTimeout = Millis(500);
inline constexpr Duration kConnectPauseMin = Millis(50);
inline constexpr Duration kConnectPauseMax = Millis(500);
/// An unresponsive endpoint is reconnected to only if used this recently.
inline constexpr Duration kReconnectFor = Seconds(5);
/// A connection that does not answer a probe within this time is closed.
inline constexpr Duration kVerifyTimeout = Millis(400);

/// An answer is considered lost after this multiple of the mean execution time,
/// and at least the minimum, if other answers arrive meanwhile.
inline constexpr double kOverdueFactor = 12;
inline constexpr Duration kOverdueMin = Millis(140);
/// Weight of the newest statement in the moving average of execution times.
inline constexpr double kServiceWeight = 0.1;

/// Subtracted from the allowed staleness for the statement's transit time.
inline constexpr Duration kStalenessMargin = Millis(50);
/// Maximum age of the primary's position before it is requested again.
inline constexpr Duration kFloorRefresh = Millis(400);
inline constexpr Duration kProofFresh = Millis(200);
inline constexpr Duration kFloorAnswerTimeout = Millis(200);

/// With answers pending, no answer for this long is reported as kSilent.
inline constexpr Duration kSilence = Millis(300);
/// With writes running, no completed write for this long is reported as
/// kStalled.
inline constexpr Duration kWriteStall = Millis(700);
inline constexpr Duration kReportInterval = Millis(200);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_RELAY_SRC_POOL_TIMING_H_
