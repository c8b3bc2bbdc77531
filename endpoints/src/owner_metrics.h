/// Metrics of an owner. Metrics labelled by rank are looked up once per rank.
#ifndef CARDAMOMCHUTE_ENDPOINTS_SRC_OWNER_METRICS_H_
#define CARDAMOMCHUTE_ENDPOINTS_SRC_OWNER_METRICS_H_

#include <map>
#include <string>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/telemetry/metrics.h"

namespace cardamomchute {

class OwnerMetrics {
 public:
  explicit OwnerMetrics(Metrics* metrics) : metrics_(metrics) {}

  void Queued(Rank rank, int64_t micros) {
    ForRank(rank).queue->Record(micros);
  }
  void Served(Rank rank, bool by_replica, int64_t micros) {
    RankMetrics& rank_metrics = ForRank(rank);
    rank_metrics.service->Record(micros);
    (by_replica ? rank_metrics.by_replica : rank_metrics.by_primary)->Add();
  }
  void Refused(Rank rank, const std::string& reason) {
    metrics_
        ->GetCounter("owner_refused_total",
                     RankLabel(rank) + ",reason=\"" + reason + "\"")
        .Add();
  }
  void Unknown(const std::string& reason) {
    metrics_->GetCounter("owner_unknown_total", "reason=\"" + reason + "\"")
        .Add();
  }

 private:
  struct RankMetrics {
    LatencyHistogram* queue = nullptr;
    LatencyHistogram* service = nullptr;
    Counter* by_primary = nullptr;
    Counter* by_replica = nullptr;
  };

  static std::string RankLabel(Rank rank) {
    return "rank=\"" + std::to_string(rank.value()) + "\"";
  }

  RankMetrics& ForRank(Rank rank) {
    auto found = ranks_.find(rank);
    if (found != ranks_.end()) return found->second;
    std::string label = RankLabel(rank);
    RankMetrics& rank_metrics = ranks_[rank];
    rank_metrics.queue = &metrics_->GetHistogram("owner_queue_micros", label);
    rank_metrics.service =
        &metrics_->GetHistogram("owner_service_micros", label);
    rank_metrics.by_primary = &metrics_->GetCounter(
        "owner_statements_total", label + ",member=\"primary\"");
    rank_metrics.by_replica = &metrics_->GetCounter(
        "owner_statements_total", label + ",member=\"replica\"");
    return rank_metrics;
  }

  Metrics* metrics_;
  std::map<Rank, RankMetrics> ranks_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_SRC_OWNER_METRICS_H_
