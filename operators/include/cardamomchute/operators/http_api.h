/// The operators' and the endpoints' requests over HTTP.
///
///     POST /v1/environments/{env}/submit
///     POST /v1/environments/{env}/promote     {env} is where it goes to
///     GET  /v1/environments/{env}/history
///     GET  /v1/environments/{env}/status
///     POST /v1/announce
///
/// Nobody is authenticated: keep listen.http on the operators' network.
#ifndef CARDAMOMCHUTE_OPERATORS_HTTP_API_H_
#define CARDAMOMCHUTE_OPERATORS_HTTP_API_H_

#include <vector>

#include "cardamomchute/http/http_server.h"
#include "cardamomchute/policy/sessions/operations.h"

namespace cardamomchute {

/// The HTTP status that carries an error of this kind.
uint32_t HttpStatusOf(ErrorKind kind);

/// Submit, promote, history and status. A document with faults is refused
/// before `api` sees it.
std::vector<HttpRoute> OperatorRoutes(OperatorApi api);

/// Announcements of endpoints. Those for another environment are refused.
std::vector<HttpRoute> AnnounceRoutes(Environment environment,
                                      AnnounceSink announce);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_OPERATORS_HTTP_API_H_
