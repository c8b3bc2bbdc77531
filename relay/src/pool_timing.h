/// How long a pool waits for what.
#ifndef CARDAMOMCHUTE_RELAY_SRC_POOL_TIMING_H_
#define CARDAMOMCHUTE_RELAY_SRC_POOL_TIMING_H_

#include <cstddef>
#include <cstdint>

#include "cardamomchute/base/time.h"

namespace cardamomchute {

inline constexpr size_t kRanks = 8;
inline constexpr uint32_t kQueueLimit = 1000;
/// Of the slots, for each rank but the most urgent.
inline constexpr double kGuaranteedShare = 0.05;
/// Connections opened ahead, beyond the slots.
inline constexpr size_t kWarmSpare = 1;

inline constexpr Duration kTick = Millis(50);
inline constexpr Duration kConnectTimeout = Millis(500);
inline constexpr Duration kConnectPauseMin = Millis(50);
inline constexpr Duration kConnectPauseMax = Millis(500);
/// An endpoint that was not asked for lately is not reconnected to.
inline constexpr Duration kReconnectFor = Seconds(5);
/// A connection that answers nothing this long after a probe is closed.
inline constexpr Duration kVerifyTimeout = Millis(400);

/// An answer that takes so many times the usual, and no less than this, is
/// taken for lost if others arrive meanwhile.
inline constexpr double kOverdueFactor = 12;
inline constexpr Duration kOverdueMin = Millis(140);
/// Weight of the newest statement in the mean.
inline constexpr double kServiceWeight = 0.1;

/// For the time that a statement takes to arrive.
inline constexpr Duration kStalenessMargin = Millis(50);
/// The leader's position is asked for again when the last is older.
inline constexpr Duration kFloorRefresh = Millis(400);
inline constexpr Duration kProofFresh = Millis(200);
inline constexpr Duration kFloorAnswerTimeout = Millis(200);

/// No answer of any kind for this long, with some due, is reported.
inline constexpr Duration kSilence = Millis(300);
/// No write ends for this long, with some under way.
inline constexpr Duration kWriteStall = Millis(700);
inline constexpr Duration kReportInterval = Millis(200);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_RELAY_SRC_POOL_TIMING_H_
