/// How many statements at a time a pool has under way at its endpoint.
#include <algorithm>

#include "cardamomchute/base/log.h"
#include "cardamomchute/relay/endpoint_pool.h"
#include "pool_timing.h"

namespace cardamomchute {

void EndpointPool::LearnLimit(const Held& held, const Job& job,
                              StatementStatus outcome, Time now) {
  bool done = outcome == StatementStatus::kDone;
  bool refused = outcome == StatementStatus::kBusy;
  if (!done && !refused) return;
  const RunRequest& request = job.request;
  // The end of a transaction takes no time of its own kind of work.
  std::string_view shape;
  if (request.prepared) shape = request.prepared->shape;
  if (request.step == RunStep::kCommit) shape = "COMMIT";
  NoteEnd(&limit_, held.work, KindOf(shape, request.writes), refused,
          queue_.size(), now);
  ApplyLimit(now);
}

/// Logs settled limits, not those of trials.
void EndpointPool::ApplyLimit(Time now) {
  if (limit_applied_ != limit()) {
    limit_applied_ = limit();
    queue_.SetCapacity(Lane::kPrimary, limit_applied_);
    queue_.SetCapacity(Lane::kOverdue, limit_applied_);
  }
  bool told = limit_.limit == limit_logged_ ||
              now - limit_logged_at_ < kLimitLogInterval;
  if (told) return;
  bool lowered = limit_.limit < limit_.slots;
  bool learned = lowered || limit_lowered_;
  limit_logged_ = limit_.limit;
  limit_lowered_ = lowered;
  if (!learned) return;
  limit_logged_at_ = now;
  LogLine(LogLevel::kInfo, "endpoint_limit")
      .Field("endpoint", params_.endpoint)
      .Field("limit", limit_.limit)
      .Field("slots", limit_.slots)
      .Field("sharers", limit_.sharers)
      .Field("slowdown_percent",
             static_cast<int64_t>(SlowdownOf(limit_) * kPercent))
      .Field("waiting", queue_.size());
}

Duration EndpointPool::ExpectedWait() const {
  size_t ahead = jobs_.size() + running_ + 1;
  if (ahead <= limit()) return Duration();
  double wait_ms = static_cast<double>(ahead - limit()) * service_ms_ / limit();
  return Millis(static_cast<int64_t>(wait_ms));
}

}  // namespace cardamomchute
