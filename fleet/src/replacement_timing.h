/// Timeouts of commands to endpoints while a primary is replaced.
#ifndef CARDAMOMCHUTE_FLEET_SRC_REPLACEMENT_TIMING_H_
#define CARDAMOMCHUTE_FLEET_SRC_REPLACEMENT_TIMING_H_

#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// Timeout of a command that is sent to all endpoints.
inline constexpr Duration kAskTimeout = Millis(500);
/// Shorter, so that a primary that is down does not delay the others.
inline constexpr Duration kAskPrimaryTimeout = Millis(200);
/// Delay before a command that an endpoint refused as busy, or a connection
/// that it refused as one too many, is repeated.
inline constexpr Duration kBusyRetryDelay = Millis(15);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_FLEET_SRC_REPLACEMENT_TIMING_H_
