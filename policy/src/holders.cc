#include "cardamomchute/policy/holders.h"

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

std::vector<const RelayRecord*> AvailableRelays(const Directory& directory) {
  std::vector<const RelayRecord*> relays;
  for (const auto& [vm, record] : directory.relays) {
    if (!record.gone && !record.draining) relays.push_back(&record);
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

/// Fills active holders until they cover the slots, then reserve holders.
/// Returns how many candidates became active.
size_t Choose(const std::vector<const RelayRecord*>& relays,
              const std::vector<Candidate>& best, size_t count, uint32_t slots,
              Holders* holders) {
  uint32_t covered = 0;
  for (size_t i = 0; i < count; ++i) {
    const RelayRecord& relay = *relays[best[i].index];
    if (covered >= slots) {
      if (holders->reserve.size() == kReserveHolders) break;
      holders->reserve.push_back(relay);
      continue;
    }
    covered += std::max<uint32_t>(relay.slots_carried, 1);
    holders->active.push_back(relay);
  }
  return holders->active.size();
}

}  // namespace

std::map<EndpointId, Holders> AssignHolders(const Directory& directory) {
  std::vector<const RelayRecord*> relays = AvailableRelays(directory);
  std::vector<uint32_t> held(relays.size(), 0);
  std::vector<Candidate> candidates(relays.size());
  std::map<EndpointId, Holders> assigned;
  for (const EndpointRecord* endpoint : OrderedEndpoints(directory)) {
    uint64_t prefix =
        detail::ContinueHash(detail::kHashStart, ToString(endpoint->address));
    for (uint32_t i = 0; i < relays.size(); ++i) {
      candidates[i] = {
          relays[i]->zone != endpoint->zone, held[i],
          detail::MixHash(detail::ContinueHash(prefix, relays[i]->vm.value())),
          i};
    }
    size_t count =
        std::min<size_t>(candidates.size(), endpoint->slots + kReserveHolders);
    std::partial_sort(candidates.begin(),
                      candidates.begin() + static_cast<ptrdiff_t>(count),
                      candidates.end());
    size_t active = Choose(relays, candidates, count, endpoint->slots,
                           &assigned[endpoint->id]);
    for (size_t i = 0; i < active; ++i) ++held[candidates[i].index];
  }
  return assigned;
}

}  // namespace cardamomchute
