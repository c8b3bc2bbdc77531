/// Which layouts a control member sends to a relay. Pure functions without I/O.
#ifndef CARDAMOMCHUTE_POLICY_LAYOUT_PUSH_H_
#define CARDAMOMCHUTE_POLICY_LAYOUT_PUSH_H_

#include <cstdint>

#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// What a control member knows of the layout of one relay.
struct RelayLayout {
  uint64_t sent = 0;       ///< newest version that was sent to it
  uint64_t confirmed = 0;  ///< newest version that it says it routes by
  Time sent_at;
};

/// Whether the relay has not yet put in force what was sent to it.
inline bool IsUnconfirmed(const RelayLayout& relay) {
  return relay.confirmed < relay.sent;
}

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_LAYOUT_PUSH_H_
