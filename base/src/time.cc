#include "cardamomchute/base/time.h"

#include <time.h>

namespace cardamomchute {

int64_t NowMicros() {
  // CLOCK_BOOTTIME also counts the time that a VM was suspended: what was
  // fresh before a suspension must not seem fresh after it.
  timespec now = {};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return static_cast<int64_t>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1000;
}

Time Now() { return Time(NowMicros() / 1000); }

}  // namespace cardamomchute
