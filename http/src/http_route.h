/// Finds the route of a request.
#ifndef CARDAMOMCHUTE_PLATFORM_SRC_HTTP_ROUTE_H_
#define CARDAMOMCHUTE_PLATFORM_SRC_HTTP_ROUTE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cardamomchute/http/http_server.h"

namespace cardamomchute {

/// "%2F" and the like as bytes; nothing when the text is malformed.
std::optional<std::string> DecodePercent(std::string_view text);

/// Splits a target into path and query; false when it is malformed.
bool ParseTarget(std::string_view target, HttpRequest* request);

/// The route for the request, whose captures it fills. Null: no such path;
/// `path_known` tells whether another method would do.
const HttpRoute* FindRoute(const std::vector<HttpRoute>& routes,
                           HttpRequest* request, bool* path_known);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PLATFORM_SRC_HTTP_ROUTE_H_
