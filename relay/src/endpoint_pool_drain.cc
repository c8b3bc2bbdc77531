/// An endpoint that leaves gets nothing new after a while, whatever its role.
#include <utility>

#include "cardamomchute/base/log.h"
#include "cardamomchute/relay/endpoint_pool.h"

namespace cardamomchute {

bool EndpointPool::TooLateToBegin(const Job& job, Time now) const {
  return !InTransaction(job.request.step) &&
         Drained(bounds_.leaving_since, now);
}

void EndpointPool::NoteDrain(Time now) {
  bool was_drained =
      std::exchange(drained_, Drained(bounds_.leaving_since, now));
  if (!drained_ || was_drained) return;
  std::vector<std::unique_ptr<Job>> late = TakeWaiting(
      [this, now](const Job& job) { return TooLateToBegin(job, now); });
  LogLine(LogLevel::kInfo, "endpoint_drained")
      .Field("endpoint", params_.endpoint)
      .Field("leading", bounds_.is_primary)
      .Field("since_ms", (now - *bounds_.leaving_since).ms())
      .Field("refused", late.size());
  for (std::unique_ptr<Job>& job : late)
    Refuse(std::move(job), StatementStatus::kBusy, kEndpointLeaves);
}

}  // namespace cardamomchute
