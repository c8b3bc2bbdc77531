#include "cardamomchute/telemetry/health.h"

#include <atomic>
#include <boost/test/unit_test.hpp>

#include "cardamomchute/http/http_client.h"
#include "running_server.h"

namespace cardamomchute {

BOOST_AUTO_TEST_CASE(the_platform_sees_health_readiness_and_metrics) {
  Metrics metrics;
  metrics.GetCounter("refused_total").Add(3);
  std::atomic<bool> ready = false;
  auto state = [&] { return ReadyState{ready, ready ? "ready" : "no view"}; };
  RunningServer server({}, HealthRoutes(state, &metrics));
  auto get = [&](const std::string& path) {
    return CallHttp(server.address(), "GET", path, "", Seconds(20)).value();
  };
  BOOST_TEST(get("/healthz").status == 200U);
  BOOST_TEST(get("/readyz").status == 503U);
  BOOST_TEST(get("/readyz").body == "no view\n");
  ready = true;
  BOOST_TEST(get("/readyz").status == 200U);
  BOOST_TEST(get("/metrics").body.find("cardamomchute_refused_total 3") !=
             std::string::npos);
}

}  // namespace cardamomchute
