#include "cardamomchute/telemetry/health.h"

namespace cardamomchute {
namespace {

HttpResponse Plain(uint32_t status, std::string body) {
  return HttpResponse{status, "text/plain; charset=utf-8", std::move(body), {}};
}

}  // namespace

std::vector<HttpRoute> HealthRoutes(std::function<ReadyState()> ready,
                                    const Metrics* metrics) {
  std::vector<HttpRoute> routes;
  routes.push_back({"GET", "/healthz", [](HttpRequest, HttpDone done) {
                      done(Plain(200, "ok\n"));
                    }});
  routes.push_back({"GET", "/readyz",
                    [ready = std::move(ready)](HttpRequest, HttpDone done) {
                      ReadyState state = ready();
                      done(Plain(state.ready ? 200 : 503, state.detail + "\n"));
                    }});
  routes.push_back({"GET", "/metrics", [metrics](HttpRequest, HttpDone done) {
                      HttpResponse response = Plain(200, metrics->Print());
                      response.content_type = "text/plain; version=0.0.4";
                      done(std::move(response));
                    }});
  return routes;
}

}  // namespace cardamomchute
