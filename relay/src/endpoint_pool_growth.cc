/// How many connections a pool keeps, and for whom.
#include <algorithm>
#include <set>
#include <utility>

#include "cardamomchute/base/log.h"
#include "cardamomchute/policy/routing/connection_plan.h"
#include "cardamomchute/relay/endpoint_pool.h"
#include "pool_timing.h"

namespace cardamomchute {

bool EndpointPool::IsIdle(const Held& held) {
  return held.ready && !held.busy && !held.pinned;
}

void EndpointPool::Warm() {
  last_used_ = Now();
  size_t next = 0;
  while (held_.size() < bounds_.slots + kWarmSpare &&
         held_.size() < bounds_.connections && Now() >= next_connect_) {
    if (bounds_.own_organisation.empty()) {
      Connect(OrganisationName());
      continue;
    }
    if (next == bounds_.warm_organisations.size()) break;
    const OrganisationName& organisation = bounds_.warm_organisations[next++];
    if (!HasConnectionOf(organisation)) Connect(organisation);
  }
  bool probes_need_one = held_.empty() && Now() >= next_connect_;
  if (probes_need_one) Connect(bounds_.own_organisation);
}

bool EndpointPool::HasConnectionOf(const OrganisationName& organisation) const {
  return std::any_of(held_.begin(), held_.end(),
                     [&organisation](const HeldPtr& held) {
                       return held->organisation == organisation;
                     });
}

/// Returns what waits for connections, by who has waited for longest.
std::vector<ConnectionDemand> EndpointPool::Demands() const {
  std::vector<ConnectionDemand> demands;
  std::map<OrganisationName, size_t> places;
  for (const auto& [id, job] : jobs_) {
    if (InTransaction(job->request.step)) continue;
    const OrganisationName& organisation = job->request.organisation;
    auto [place, is_new] = places.emplace(organisation, demands.size());
    if (is_new) demands.push_back({.organisation = organisation});
    ++demands[place->second].waiting;
  }
  for (const HeldPtr& held : held_) {
    auto place = places.find(held->organisation);
    if (place == places.end()) continue;
    // Statements that wait beside idle connections lack a lease.
    if (!held->ready || IsIdle(*held)) ++demands[place->second].spare;
    if (held->job && !held->pinned) ++demands[place->second].running;
  }
  return demands;
}

void EndpointPool::Grow() {
  if (Now() < next_connect_ || connecting_ >= bounds_.slots) return;
  std::vector<ConnectionDemand> demands = Demands();
  PoolLoad load{bounds_.slots, running_, connecting_};
  for (const OrganisationName& organisation : PlanConnections(demands, load)) {
    bool has_room =
        held_.size() < bounds_.connections || MakeRoom(organisation, demands);
    if (has_room && Now() >= next_connect_) Connect(organisation);
  }
}

/// Closes an idle connection of another organisation; returns false if there is
/// none.
bool EndpointPool::MakeRoom(const OrganisationName& organisation,
                            const std::vector<ConnectionDemand>& demands) {
  std::set<OrganisationName> awaited;
  for (const ConnectionDemand& demand : demands)
    awaited.insert(demand.organisation);
  std::vector<HeldPtr> held;
  std::vector<IdleConnection> idle;
  for (const HeldPtr& candidate : held_) {
    if (!IsIdle(*candidate)) continue;
    held.push_back(candidate);
    idle.push_back({candidate->organisation, candidate->sent_at,
                    awaited.contains(candidate->organisation)});
  }
  std::optional<size_t> closed = ConnectionToClose(idle, organisation);
  if (!closed) return false;
  LogLine(LogLevel::kDebug, "endpoint_connection_reused")
      .Field("endpoint", params_.endpoint)
      .Field("from", idle[*closed].organisation)
      .Field("to", organisation)
      .Field("unused_ms", (Now() - idle[*closed].last_used).ms());
  Drop(held[*closed]);
  return true;
}

void EndpointPool::Trim(Time now) {
  bool has_organisations = !bounds_.own_organisation.empty();
  Duration kept_for = has_organisations ? kIdleOfOrganisation : kIdleConnection;
  size_t kept = bounds_.slots + kWarmSpare;
  std::vector<HeldPtr> all = held_;
  std::stable_sort(all.begin(), all.end(),
                   [](const HeldPtr& a, const HeldPtr& b) {
                     return a->sent_at < b->sent_at;
                   });
  for (const HeldPtr& held : all) {
    if (!IsIdle(*held)) continue;
    Duration unused = now - held->sent_at;
    // Opened before organisations came in force, or after they went.
    bool is_outdated = held->organisation.empty() == has_organisations &&
                       unused > kIdleConnection;
    bool is_surplus = held_.size() > kept && unused > kept_for;
    if (is_outdated || is_surplus) Drop(held);
  }
}

}  // namespace cardamomchute
