/// How long a relay relies on what it learned of other VMs.
#ifndef CARDAMOMCHUTE_RELAY_SRC_RELAY_TIMING_H_
#define CARDAMOMCHUTE_RELAY_SRC_RELAY_TIMING_H_

#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// A report of an endpoint's load says nothing later than this.
inline constexpr Duration kLoadValid = Millis(300);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_RELAY_SRC_RELAY_TIMING_H_
