/// Finds what must never be in a history.
#ifndef CARDAMOMCHUTE_LOADGEN_HISTORY_CHECKER_H_
#define CARDAMOMCHUTE_LOADGEN_HISTORY_CHECKER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cardamomchute/loadgen_history/history.h"

namespace cardamomchute::history {

struct Verdict {
  uint64_t lost_acked = 0;  ///< acknowledged, and not in the last primary
  uint64_t doubled = 0;     ///< ran more than once
  /// A read older than its session's own writes or earlier reads, or than its
  /// staleness bound allows.
  uint64_t stale = 0;
  /// Effects of different transactions run together: a half pair, a rolled
  /// back write that stayed, a commit with rows of two operations.
  uint64_t mixed = 0;
  uint64_t misdelivered = 0;       ///< another operation's answer
  uint64_t ran_after_refusal = 0;  ///< "not run", and yet it ran
  std::vector<std::string> examples;

  bool clean() const {
    return lost_acked + doubled + stale + mixed + misdelivered +
               ran_after_refusal ==
           0;
  }
};

Verdict Check(const History& history);

/// "checker lost_acked=0 doubled=0 stale=0 mixed=0 misdelivered=0"
std::string ToString(const Verdict& verdict);

}  // namespace cardamomchute::history

#endif  // CARDAMOMCHUTE_LOADGEN_HISTORY_CHECKER_H_
