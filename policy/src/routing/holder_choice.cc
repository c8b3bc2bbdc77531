#include "cardamomchute/policy/routing/holder_choice.h"

#include <algorithm>
#include <numeric>

#include "rendezvous.h"

namespace cardamomchute {

std::vector<size_t> HolderPreference(const OrganisationName& organisation,
                                     const EndpointId& endpoint,
                                     const std::vector<RelayRecord>& holders) {
  uint64_t prefix =
      detail::ContinueHash(detail::kHashStart, organisation.value());
  prefix = detail::ContinueHash(prefix, endpoint.value());
  std::vector<uint64_t> weights;
  for (const RelayRecord& holder : holders) {
    uint64_t hash = detail::ContinueHash(prefix, holder.vm.value());
    weights.push_back(detail::MixHash(hash));
  }
  std::vector<size_t> order(holders.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::sort(order.begin(), order.end(),
            [&weights](size_t a, size_t b) { return weights[a] > weights[b]; });
  return order;
}

std::vector<size_t> SpillOver(std::vector<size_t> preference,
                              const std::vector<uint64_t>& waiting,
                              uint64_t most_waiting) {
  auto full = std::stable_partition(
      preference.begin(), preference.end(),
      [&](size_t holder) { return waiting[holder] <= most_waiting; });
  std::stable_sort(full, preference.end(), [&waiting](size_t a, size_t b) {
    return waiting[a] < waiting[b];
  });
  return preference;
}

}  // namespace cardamomchute
