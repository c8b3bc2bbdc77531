/// Drives routes over HTTP.
///
///     POST /delay?ms=N[&direction=D]   one-way delay
///     POST /cut[?mode=hold|refuse]     nothing passes, or all is refused
///     POST /drop?direction=D           nothing passes one way
///     POST /silence                    today's connections silent for good
///     POST /reset                      today's connections are reset
///     POST /restore                    ends cut and drop
///     GET  /state
///
/// D is to_target or to_client. Each takes &route=N (from 0); without it, all
/// routes are meant.
#ifndef CARDAMOMCHUTE_FAULTPROXY_CONTROL_H_
#define CARDAMOMCHUTE_FAULTPROXY_CONTROL_H_

#include <memory>
#include <vector>

#include "cardamomchute/support/admin_server.h"
#include "route.h"

namespace cardamomchute::faultproxy {

using Routes = std::vector<std::unique_ptr<Route>>;

support::AdminResponse Drive(Routes* routes,
                             const support::AdminRequest& request);

}  // namespace cardamomchute::faultproxy

#endif  // CARDAMOMCHUTE_FAULTPROXY_CONTROL_H_
