#include "cardamomchute/policy/routing/connection_plan.h"

#include <algorithm>
#include <tuple>

namespace cardamomchute {
namespace {

size_t WantedSpare(const ConnectionDemand& demand, const PoolLoad& load) {
  if (load.running < load.slots) return std::min(demand.waiting, load.slots);
  bool is_shut_out = !demand.organisation.empty() && demand.running == 0;
  return is_shut_out ? std::min<size_t>(demand.waiting, 1) : 0;
}

}  // namespace

std::vector<OrganisationName> PlanConnections(
    std::vector<ConnectionDemand> demands, const PoolLoad& load) {
  std::vector<OrganisationName> plan;
  bool added = true;
  while (added) {
    added = false;
    for (ConnectionDemand& demand : demands) {
      if (load.connecting + plan.size() >= load.slots) return plan;
      if (demand.spare >= WantedSpare(demand, load)) continue;
      ++demand.spare;
      plan.push_back(demand.organisation);
      added = true;
    }
  }
  return plan;
}

std::optional<size_t> ConnectionToClose(const std::vector<IdleConnection>& idle,
                                        const OrganisationName& organisation) {
  std::optional<size_t> best;
  for (size_t i = 0; i < idle.size(); ++i) {
    if (idle[i].organisation == organisation) continue;
    bool is_better =
        !best || std::tie(idle[i].is_awaited, idle[i].last_used) <
                     std::tie(idle[*best].is_awaited, idle[*best].last_used);
    if (is_better) best = i;
  }
  return best;
}

}  // namespace cardamomchute
