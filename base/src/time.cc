#include "cardamomchute/base/time.h"

#include <chrono>

namespace cardamomchute {

int64_t NowMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

Time Now() { return Time(NowMicros() / 1000); }

}  // namespace cardamomchute
