/// Delays between attempts to connect to control. Pure functions without I/O.
#ifndef CARDAMOMCHUTE_POLICY_ROUTING_DIAL_BACKOFF_H_
#define CARDAMOMCHUTE_POLICY_ROUTING_DIAL_BACKOFF_H_

#include <cstdint>

#include "cardamomchute/base/time.h"

namespace cardamomchute {

inline constexpr Duration kDialDelayMin = Millis(100);
inline constexpr Duration kDialDelayMax = Millis(800);
/// Failures in a row that are retried at the shortest delay: control is often
/// back within a second.
inline constexpr uint32_t kQuickDials = 6;

/// Returns the delay before the next attempt after `failures` in a row.
/// `random` spreads the longer delays, so that relays which lost control
/// together do not dial together.
Duration DialDelay(uint32_t failures, uint64_t random);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_ROUTING_DIAL_BACKOFF_H_
