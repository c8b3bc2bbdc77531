/// Where log lines go: a file descriptor that is never waited for, and no more
/// lines a second than a budget allows. What is left out is counted, and the
/// count is logged.
#ifndef CARDAMOMCHUTE_BASE_LOG_SINK_H_
#define CARDAMOMCHUTE_BASE_LOG_SINK_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// Lines a second, and how many may come at once after a quiet time.
struct LogBudget {
  int64_t lines_per_second = 200;
  int64_t burst = 2000;
};

/// The longest line; a pipe takes as much at once or not at all.
inline constexpr size_t kMaxLogLineBytes = 4096;

/// Any thread may write.
class LogSink {
 public:
  explicit LogSink(int fd, LogBudget budget = {}) : fd_(fd), budget_(budget) {}

  /// Writes one line that ends in a newline, or counts it as left out.
  void Write(std::string_view line, Time now);
  uint64_t dropped() const { return dropped_total_; }

 private:
  bool Afford(Time now);
  bool TryWrite(std::string_view line);

  std::mutex mutex_;
  int fd_;
  LogBudget budget_;
  double tokens_ = -1;  ///< below zero: not used yet
  Time refilled_;
  uint64_t dropped_ = 0;
  uint64_t dropped_total_ = 0;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_BASE_LOG_SINK_H_
