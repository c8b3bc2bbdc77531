/// Finds reads that are older than they may be.
#ifndef CARDAMOMCHUTE_LOADGEN_HISTORY_STALE_H_
#define CARDAMOMCHUTE_LOADGEN_HISTORY_STALE_H_

#include <cstdint>
#include <vector>

#include "cardamomchute/loadgen_history/history.h"

namespace cardamomchute::history {

struct StaleRead {
  const Operation* operation = nullptr;
  uint64_t expected = 0;  ///< the least it had to see
  const char* rule = "";  ///< "session" or "bound"
};

/// Session: at least what the session has written (acknowledged) or read
/// before. Bound: at least what was acknowledged to anybody before the read
/// began, less the bound.
std::vector<StaleRead> FindStaleReads(const std::vector<Operation>& operations);

}  // namespace cardamomchute::history

#endif  // CARDAMOMCHUTE_LOADGEN_HISTORY_STALE_H_
