/// Counts ended statements by rank and ending without a lookup for each.
#ifndef CARDAMOMCHUTE_CALLERS_SRC_STATEMENT_COUNTS_H_
#define CARDAMOMCHUTE_CALLERS_SRC_STATEMENT_COUNTS_H_

#include <array>
#include <atomic>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/telemetry/metrics.h"

namespace cardamomchute {

/// How a statement ended, as the entry sees it.
enum class EntryEnding {
  kAnswered,  ///< by an endpoint
  kNotRun,    ///< the owner refused it or there was none
  kUnknown,   ///< the owner or its endpoint was lost in between
  kRefused,   ///< the entry refused it
  kLocal      ///< the entry answered it
};

/// Any thread may count.
class StatementCounts {
 public:
  /// `metrics` may be null.
  explicit StatementCounts(Metrics* metrics) : metrics_(metrics) {}
  void Count(Rank rank, EntryEnding ending);

 private:
  static constexpr size_t kEndings = 5;
  static constexpr size_t kRanks = 16;

  Metrics* metrics_;
  std::array<std::atomic<Counter*>, kEndings * kRanks> counters_{};
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_CALLERS_SRC_STATEMENT_COUNTS_H_
