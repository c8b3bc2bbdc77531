/// Runs a load: callers of several ranks against several entries.
#ifndef CARDAMOMCHUTE_LOADGEN_LOAD_H_
#define CARDAMOMCHUTE_LOADGEN_LOAD_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/ids.h"
#include "cardamomchute/loadgen_history/history.h"
#include "cardamomchute/telemetry/metrics.h"
#include "pg_client.h"
#include "rank_spec.h"

namespace cardamomchute::loadgen {

struct LoadOptions {
  std::vector<Address> entries;
  /// Where the rows are read in the end; empty: at the entries.
  std::vector<Address> final_entries;
  std::string database;
  std::string user;
  std::chrono::milliseconds duration{10000};
  std::chrono::milliseconds timeout{10000};  ///< of one statement
  std::vector<RankSpec> ranks;
  /// Share of writes that carry an operation key and are retried with it.
  double operation_key = 0;
  /// Chance that a session moves to another entry after an operation.
  double roam = 0;
  /// Share of moves on which the session hands its floor over.
  double hand_over = 0.5;
  uint64_t seed = 1;
  size_t pairs = 16;  ///< rows that transactions share
  std::string run;    ///< name of the run, letters and digits
};

/// What came of one rank's operations.
struct RankTotals {
  uint64_t offered = 0;
  uint64_t ok = 0;
  uint64_t in_time = 0;
  uint64_t not_run = 0;
  uint64_t failed = 0;
  uint64_t unknown = 0;
  LatencyHistogram latency;  ///< of those that are ok
};

struct LoadResult {
  history::History history;
  std::vector<std::unique_ptr<RankTotals>> ranks;  ///< as in the options
  std::map<std::string, uint64_t> errors;          ///< by SQLSTATE
  std::chrono::milliseconds elapsed{0};
  /// Longest time without an acknowledged write, while there was load.
  std::chrono::milliseconds longest_gap{0};
};

/// Creates the table, runs the load, reads the rows back. kUnavailable when
/// the table can't be created or the rows can't be read.
Result<LoadResult> RunLoad(const LoadOptions& options);

}  // namespace cardamomchute::loadgen

#endif  // CARDAMOMCHUTE_LOADGEN_LOAD_H_
