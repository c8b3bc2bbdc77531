#include "control.h"

namespace cardamomchute::faultproxy {
namespace {

using support::AdminRequest;
using support::AdminResponse;

std::string Parameter(const AdminRequest& request, const std::string& name) {
  auto found = request.parameters.find(name);
  return found == request.parameters.end() ? "" : found->second;
}

AdminResponse State(const Routes& routes) {
  std::string body = "[";
  for (const std::unique_ptr<Route>& route : routes) {
    if (body.size() > 1) body += ",\n ";
    body += route->StateJson();
  }
  return AdminResponse{200, body + "]\n"};
}

/// What the request asks of each route; nothing when it is none.
using Action = std::function<void(Route*)>;

Action DelayAction(const AdminRequest& request) {
  std::optional<int64_t> ms = request.Number("ms");
  std::string direction = Parameter(request, "direction");
  if (!ms) return nullptr;
  std::optional<bool> to_target;
  if (!direction.empty()) to_target = direction == "to_target";
  return [to_target, ms](Route* route) {
    route->SetDelay(to_target, std::chrono::milliseconds(*ms));
  };
}

Action ToAction(const AdminRequest& request) {
  std::string direction = Parameter(request, "direction");
  bool known_direction =
      direction.empty() || direction == "to_target" || direction == "to_client";
  if (!known_direction) return nullptr;
  if (request.path == "/delay") return DelayAction(request);
  if (request.path == "/cut") {
    if (Parameter(request, "mode") == "refuse") return &Route::Refuse;
    return &Route::Cut;
  }
  if (request.path == "/drop" && !direction.empty()) {
    bool to_target = direction == "to_target";
    return [to_target](Route* route) { route->Drop(to_target); };
  }
  if (request.path == "/silence") return &Route::Silence;
  if (request.path == "/reset") return &Route::Reset;
  if (request.path == "/restore") return &Route::Restore;
  return nullptr;
}

}  // namespace

AdminResponse Drive(Routes* routes, const AdminRequest& request) {
  if (request.method == "GET" && request.path == "/state") {
    return State(*routes);
  }
  Action action = ToAction(request);
  if (request.method != "POST" || !action) {
    return support::BadRequest("no such action or parameter");
  }
  if (Parameter(request, "route").empty()) {
    for (const std::unique_ptr<Route>& route : *routes) action(route.get());
    return State(*routes);
  }
  std::optional<int64_t> index = request.Number("route");
  if (!index || *index >= static_cast<int64_t>(routes->size())) {
    return support::BadRequest("no such route");
  }
  action((*routes)[static_cast<size_t>(*index)].get());
  return State(*routes);
}

}  // namespace cardamomchute::faultproxy
