#include "cardamomchute/policy/quorum/control_state_soft.h"

#include <algorithm>

namespace cardamomchute {
namespace {

/// Retention of removals; long enough for every connected VM to receive them.
constexpr Duration kRemovalRetention = Seconds(60);

SoftCounter Changed(SoftState& state) {
  state.counter = state.counter.Next();
  return state.counter;
}

}  // namespace

bool SoftDelta::Empty() const {
  return !full && endpoints.empty() && removed.empty() && vms.empty();
}

void OnAnnouncement(SoftState& state, const Environment& environment,
                    const SoftAnnouncement& announcement, Time now) {
  Duration remaining = std::min(announcement.remaining, kMaxAnnouncementTtl);
  if (remaining <= Duration()) return;
  SoftState::EndpointEntry& entry = state.endpoints[announcement.endpoint.id];
  bool same = !entry.removed && entry.environment == environment &&
              entry.endpoint == announcement.endpoint;
  Time expires = now + remaining;
  entry.expires = same ? std::max(entry.expires, expires) : expires;
  if (same) return;
  entry.environment = environment;
  entry.endpoint = announcement.endpoint;
  entry.removed = false;
  entry.changed = Changed(state);
}

void SetVm(SoftState& state, const Environment& environment, const VmId& id,
           SoftVm vm) {
  auto [it, inserted] = state.vms.try_emplace(id);
  bool same =
      !inserted && it->second.vm == vm && it->second.environment == environment;
  if (same) return;
  it->second = SoftState::VmEntry{environment, vm, Changed(state)};
}

void ExpireEndpoints(SoftState& state, Time now) {
  for (auto& [id, entry] : state.endpoints) {
    if (entry.removed || now < entry.expires) continue;
    entry.removed = true;
    entry.changed = Changed(state);
  }
  std::erase_if(state.endpoints, [now](const auto& item) {
    return item.second.removed && now - item.second.expires > kRemovalRetention;
  });
}

bool IsSettled(const SoftState& state, Time now) {
  return now - state.start >= kSoftSettleTime;
}

std::map<EndpointId, Zone> EndpointZones(const SoftState& state) {
  std::map<EndpointId, Zone> zones;
  for (const auto& [id, entry] : state.endpoints) {
    if (!entry.removed) zones.emplace(id, entry.endpoint.zone);
  }
  return zones;
}

SoftDelta SoftDeltaSince(const SoftState& state, const Environment& environment,
                         SoftCounter since) {
  SoftDelta delta;
  delta.environment = environment;
  delta.counter = state.counter;
  for (const auto& [id, entry] : state.endpoints) {
    if (entry.environment != environment || entry.changed <= since) continue;
    if (entry.removed) {
      delta.removed.push_back(id);
    } else {
      delta.endpoints.push_back(entry.endpoint);
    }
  }
  for (const auto& [id, entry] : state.vms) {
    if (entry.environment != environment || entry.changed <= since) continue;
    delta.vms.emplace(id, entry.vm);
  }
  return delta;
}

SoftDelta SoftSnapshot(const SoftState& state, const Environment& environment,
                       Time now) {
  SoftDelta delta = SoftDeltaSince(state, environment, SoftCounter());
  delta.full = IsSettled(state, now);
  if (delta.full) delta.removed.clear();
  return delta;
}

}  // namespace cardamomchute
