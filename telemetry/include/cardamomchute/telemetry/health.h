/// What the platform's balancer and monitoring ask a VM over HTTP.
#ifndef CARDAMOMCHUTE_TELEMETRY_HEALTH_H_
#define CARDAMOMCHUTE_TELEMETRY_HEALTH_H_

#include <functional>
#include <string>
#include <vector>

#include "cardamomchute/http/http_server.h"
#include "cardamomchute/telemetry/metrics.h"

namespace cardamomchute {

/// Whether the balancer should send callers here.
struct ReadyState {
  bool ready = false;
  std::string detail;  ///< why, in one line
};

/// /healthz: 200 while the control thread runs. /readyz: 200 or 503 with the
/// detail. /metrics: Prometheus text.
std::vector<HttpRoute> HealthRoutes(std::function<ReadyState()> ready,
                                    const Metrics* metrics);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_TELEMETRY_HEALTH_H_
