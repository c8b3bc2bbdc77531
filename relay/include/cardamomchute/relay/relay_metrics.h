/// Metrics of a relay. Looks them up by name once, at construction.
#ifndef CARDAMOMCHUTE_RELAY_RELAY_METRICS_H_
#define CARDAMOMCHUTE_RELAY_RELAY_METRICS_H_

#include <array>
#include <map>
#include <set>
#include <string>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"
#include "cardamomchute/relay/statement.h"
#include "cardamomchute/telemetry/metrics.h"

namespace cardamomchute {

class RelayMetrics {
 public:
  explicit RelayMetrics(Metrics* metrics);

  void CountStatement(StatementStatus outcome, Rank rank, Duration spent);
  /// Counts an organisation's statement. Beyond `kOrganisationsTold`, new names
  /// count under one label.
  void CountFor(const OrganisationName& organisation, StatementStatus outcome);
  /// Counts a statement or session that was not taken: for its caller's key, or
  /// as the VM is about to stop.
  void CountRefusal(const OrganisationName& organisation,
                    StatementStatus outcome);
  /// Counts a read by a replica, or by the primary as a fallback.
  void CountRead(bool replica);
  void SetSessions(size_t sessions, size_t bytes);
  /// Reports an endpoint from when its limit was first below its slots, or a
  /// statement had to wait.
  void SetPool(const EndpointId& endpoint, uint32_t limit, uint32_t slots,
               Duration expected_wait);
  void SetAside(const EndpointId& endpoint, bool aside);
  /// Counts a session that was closed for what its caller did.
  void CountClosedSession(const std::string& cause);

 private:
  static constexpr size_t kOutcomes =
      static_cast<size_t>(StatementStatus::kUnauthorized) + 1;
  static constexpr size_t kRanksTold = 4;
  static constexpr size_t kOrganisationsTold = 256;

  using OutcomeCounters = std::array<Counter*, kOutcomes>;

  std::map<OrganisationName, OutcomeCounters> organisations_;
  OutcomeCounters statements_;
  std::array<LatencyHistogram*, kRanksTold> spent_;
  Counter* replica_reads_;
  Counter* primary_reads_;
  Gauge* sessions_;
  Gauge* session_bytes_;
  Metrics* metrics_;
  std::set<EndpointId> told_pools_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_RELAY_RELAY_METRICS_H_
