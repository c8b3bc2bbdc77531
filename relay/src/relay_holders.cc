/// Which VM a statement for an endpoint is sent to.
#include <algorithm>
#include <functional>
#include <numeric>

#include "cardamomchute/policy/routing/holder_choice.h"
#include "cardamomchute/relay/relay.h"
#include "relay_timing.h"

namespace cardamomchute {
namespace {

/// Beyond its part, what a holder may have under way at an endpoint with
/// several: a slot that another leaves idle, or that waits for a slow link,
/// goes to whoever has work.
constexpr uint32_t kSlotsLent = 1;

}  // namespace

std::optional<Target> Relay::HolderOf(
    const EndpointRecord& endpoint,
    const OrganisationName& organisation) const {
  std::optional<Address> holder = HolderAddressOf(endpoint.id, organisation);
  if (!holder) return std::nullopt;
  auto primary = directory_.primaries.find(endpoint.group);
  bool is_primary = primary != directory_.primaries.end() &&
                    primary->second.endpoint == endpoint.id;
  return Target{endpoint, *holder, is_primary};
}

std::optional<Address> Relay::HolderAddressOf(
    const EndpointId& endpoint, const OrganisationName& organisation) const {
  auto found = holders_.find(endpoint);
  if (found != holders_.end()) {
    const Holders& holders = found->second;
    for (size_t i : HolderOrder(endpoint, holders.active, organisation)) {
      Address address = AddressOf(holders.active[i]);
      if (Usable(endpoint, address)) return address;
    }
    for (const RelayRecord& holder : holders.reserve) {
      Address address = AddressOf(holder);
      if (Usable(endpoint, address)) return address;
    }
  }
  if (!Usable(endpoint, Address())) return std::nullopt;
  return Address();
}

/// Without organisations, each VM has a holder of its own choice.
std::vector<size_t> Relay::HolderOrder(
    const EndpointId& endpoint, const std::vector<RelayRecord>& active,
    const OrganisationName& organisation) const {
  if (organisation.empty()) {
    std::vector<size_t> order(active.size());
    std::iota(order.begin(), order.end(), size_t{0});
    if (order.empty()) return order;
    size_t begin = std::hash<std::string>()(params_.vm.value()) % active.size();
    std::rotate(order.begin(), order.begin() + static_cast<ptrdiff_t>(begin),
                order.end());
    return order;
  }
  std::vector<uint64_t> waiting;
  for (const RelayRecord& holder : active)
    waiting.push_back(WaitingAt(endpoint, AddressOf(holder)));
  // As many may wait as run.
  uint64_t most_waiting = 2ULL * HolderSlots(endpoint, active.size());
  return SpillOver(HolderPreference(organisation, endpoint, active), waiting,
                   most_waiting);
}

Address Relay::AddressOf(const RelayRecord& holder) const {
  return holder.vm == params_.vm ? Address() : holder.address;
}

uint64_t Relay::WaitingAt(const EndpointId& endpoint,
                          const Address& holder) const {
  auto load = holder_loads_.find({endpoint, holder});
  bool known =
      load != holder_loads_.end() && Now() - load->second.at < kLoadValid;
  return known ? load->second.waiting : 0;
}

uint32_t Relay::HolderSlots(const EndpointId& endpoint, size_t sharers) const {
  auto record = directory_.endpoints.find(endpoint);
  uint32_t all =
      record == directory_.endpoints.end() ? 1 : record->second.slots;
  uint32_t divisor = std::max<uint32_t>(1, static_cast<uint32_t>(sharers));
  uint32_t slots = std::max<uint32_t>(1, all / divisor);
  return divisor > 1 ? slots + kSlotsLent : slots;
}

}  // namespace cardamomchute
