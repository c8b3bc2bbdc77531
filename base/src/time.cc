#include "cardamomchute/base/time.h"

#include <time.h>

#include <chrono>

namespace cardamomchute {

int64_t NowMicros() {
  // CLOCK_BOOTTIME also counts the time that a VM was suspended: what was
  // fresh before a suspension must not seem fresh after it.
  timespec now = {};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return static_cast<int64_t>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1000;
}

uint64_t WallClockMs() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

Time Now() { return Time(NowMicros() / 1000); }

}  // namespace cardamomchute
