#include "cardamomchute/base/log_sink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace cardamomchute {

void LogSink::Write(std::string_view line, Time now) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (dropped_ > 0 && Afford(now)) {
    std::string note =
        "event=log_lines_left_out count=" + std::to_string(dropped_) + "\n";
    if (TryWrite(note)) dropped_ = 0;
  }
  bool written = dropped_ == 0 && Afford(now) && TryWrite(line);
  if (written) return;
  ++dropped_;
  ++dropped_total_;
}

bool LogSink::Afford(Time now) {
  double most = static_cast<double>(budget_.burst);
  if (tokens_ < 0) tokens_ = most;
  double earned = static_cast<double>((now - refilled_).ms()) *
                  static_cast<double>(budget_.lines_per_second) / 1000.0;
  tokens_ = std::min(most, tokens_ + std::max(earned, 0.0));
  refilled_ = now;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

/// Writes only what the other end takes at once.
bool LogSink::TryWrite(std::string_view line) {
  std::string cut;
  if (line.size() > kMaxLogLineBytes) {
    cut = std::string(line.substr(0, kMaxLogLineBytes - 1)) + "\n";
    line = cut;
  }
  pollfd ready = {fd_, POLLOUT, 0};
  if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) return false;
  return ::write(fd_, line.data(), line.size()) ==
         static_cast<ssize_t>(line.size());
}

}  // namespace cardamomchute
