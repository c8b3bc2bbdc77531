/// Which connections a pool opens and closes, where each belongs to one
/// organisation. Pure functions without I/O.
#ifndef CARDAMOMCHUTE_POLICY_ROUTING_CONNECTION_PLAN_H_
#define CARDAMOMCHUTE_POLICY_ROUTING_CONNECTION_PLAN_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/documents/layout.h"

namespace cardamomchute {

/// An organisation's statements that wait to begin, and its connections.
struct ConnectionDemand {
  OrganisationName organisation;  ///< empty: the connections of no organisation
  size_t waiting = 0;             ///< statements that any idle one could take
  size_t spare = 0;               ///< connections idle or being opened
  size_t running = 0;             ///< that will be idle after their statement
};

struct PoolLoad {
  size_t slots = 1;
  size_t running = 0;     ///< statements on all connections
  size_t connecting = 0;  ///< connections being opened
};

/// Returns for which organisations to open a connection each, the most urgent
/// first. `demands` is ordered by who has waited for longest. While no slot is
/// free, only who has no connection at all gets one, so as not to be passed
/// over for good.
std::vector<OrganisationName> PlanConnections(
    std::vector<ConnectionDemand> demands, const PoolLoad& load);

struct IdleConnection {
  OrganisationName organisation;
  Time last_used;
  bool is_awaited = false;  ///< statements of its organisation wait
};

/// Returns the connection to close for one of `organisation`: the one unused
/// for longest, if possible one that nobody waits for.
std::optional<size_t> ConnectionToClose(const std::vector<IdleConnection>& idle,
                                        const OrganisationName& organisation);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_ROUTING_CONNECTION_PLAN_H_
