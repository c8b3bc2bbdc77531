#include "cardamomchute/policy/routing/dial_backoff.h"

#include <algorithm>

namespace cardamomchute {

Duration DialDelay(uint32_t failures, uint64_t random) {
  if (failures < kQuickDials) return kDialDelayMin;
  Duration delay = kDialDelayMin;
  for (uint32_t i = kQuickDials; i <= failures && delay < kDialDelayMax; ++i)
    delay = delay * 2;
  delay = std::min(delay, kDialDelayMax);
  int64_t half = delay.ms() / 2;
  return Millis(half +
                static_cast<int64_t>(random % static_cast<uint64_t>(half + 1)));
}

}  // namespace cardamomchute
