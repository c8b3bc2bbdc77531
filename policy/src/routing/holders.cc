#include "cardamomchute/policy/routing/holders.h"

#include <algorithm>
#include <string>
#include <tuple>

#include "rendezvous.h"

namespace cardamomchute {
namespace {

/// A relay as a holder of one endpoint; the smallest is the best.
struct Candidate {
  bool far = false;
  uint32_t endpoints = 0;  ///< that it holds already
  uint64_t weight = 0;     ///< spreads endpoints over equal relays
  uint32_t index = 0;

  friend bool operator<(const Candidate& a, const Candidate& b) {
    return std::tie(a.far, a.endpoints, b.weight) <
           std::tie(b.far, b.endpoints, a.weight);
  }
};

/// The relays that may hold endpoints.
struct Relays {
  std::vector<const RelayRecord*> records;
  std::vector<uint32_t> held;  ///< endpoints that each holds already
  std::map<Zone, std::vector<uint32_t>> in_zone;  ///< indexes of `records`
};

Relays AvailableRelays(const Directory& directory) {
  Relays relays;
  for (const auto& [vm, record] : directory.relays) {
    if (record.gone || record.draining) continue;
    relays.in_zone[record.zone].push_back(
        static_cast<uint32_t>(relays.records.size()));
    relays.records.push_back(&record);
    relays.held.push_back(0);
  }
  return relays;
}

/// Ordered by address, so that a replacement at the same address gets the same
/// holders.
std::vector<const EndpointRecord*> OrderedEndpoints(
    const Directory& directory) {
  std::vector<const EndpointRecord*> endpoints;
  for (const auto& [id, record] : directory.endpoints) {
    if (!record.gone) endpoints.push_back(&record);
  }
  std::sort(endpoints.begin(), endpoints.end(),
            [](const EndpointRecord* a, const EndpointRecord* b) {
              return std::tie(a->address, a->id) < std::tie(b->address, b->id);
            });
  return endpoints;
}

/// Adds the relays of `indexes` as candidates for the endpoint.
void AddCandidates(const Relays& relays, const std::vector<uint32_t>& indexes,
                   uint64_t prefix, bool far,
                   std::vector<Candidate>* candidates) {
  for (uint32_t index : indexes) {
    uint64_t hash =
        detail::ContinueHash(prefix, relays.records[index]->vm.value());
    candidates->push_back(
        {far, relays.held[index], detail::MixHash(hash), index});
  }
}

/// Returns the `count` best relays for the endpoint, the best first. Relays of
/// other availability zones are looked at only if its own has too few: a pass
/// over all relays for each endpoint takes too long in large fleets.
std::vector<uint32_t> BestRelays(const Relays& relays,
                                 const EndpointRecord& endpoint, size_t count) {
  uint64_t prefix =
      detail::ContinueHash(detail::kHashStart, ToString(endpoint.address));
  std::vector<Candidate> candidates;
  auto near = relays.in_zone.find(endpoint.zone);
  if (near != relays.in_zone.end())
    AddCandidates(relays, near->second, prefix, false, &candidates);
  if (candidates.size() < count) {
    for (const auto& [zone, indexes] : relays.in_zone) {
      if (zone == endpoint.zone) continue;
      AddCandidates(relays, indexes, prefix, true, &candidates);
    }
  }
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<ptrdiff_t>(count),
                    candidates.end());
  std::vector<uint32_t> best;
  for (size_t i = 0; i < count; ++i) best.push_back(candidates[i].index);
  return best;
}

/// Fills active holders until they cover the slots, then reserve holders.
void Choose(const std::vector<uint32_t>& best, uint32_t slots, Relays* relays,
            Holders* holders) {
  uint32_t covered = 0;
  for (uint32_t index : best) {
    const RelayRecord& relay = *relays->records[index];
    if (covered >= slots) {
      if (holders->reserve.size() == kReserveHolders) break;
      holders->reserve.push_back(relay);
      continue;
    }
    covered += std::max<uint32_t>(relay.slots_carried, 1);
    holders->active.push_back(relay);
    ++relays->held[index];
  }
}

}  // namespace

std::map<EndpointId, Holders> AssignHolders(const Directory& directory) {
  Relays relays = AvailableRelays(directory);
  std::map<EndpointId, Holders> assigned;
  for (const EndpointRecord* endpoint : OrderedEndpoints(directory)) {
    size_t count = std::min<size_t>(relays.records.size(),
                                    endpoint->slots + kReserveHolders);
    std::vector<uint32_t> best = BestRelays(relays, *endpoint, count);
    Choose(best, endpoint->slots, &relays, &assigned[endpoint->id]);
  }
  return assigned;
}

}  // namespace cardamomchute
