#include "cardamomchute/policy/lease/limit_keepers.h"

#include <algorithm>
#include <string>
#include <tuple>

#include "../rendezvous.h"

namespace cardamomchute {
namespace {

using detail::ContinueHash;
using detail::kHashStart;
using detail::MixHash;

/// How many partitions each relay and each zone keeps.
struct KeeperLoads {
  std::map<VmId, size_t> relays;
  std::map<Zone, size_t> zones;
};

uint64_t Weight(size_t partition, const VmId& vm) {
  uint64_t hash = ContinueHash(kHashStart, std::to_string(partition));
  return MixHash(ContinueHash(hash, vm.value()));
}

/// Removes keepers that are no candidates. Returns whether there were any.
bool RemoveLost(KeeperMap& map,
                const std::vector<KeeperCandidate>& candidates) {
  bool changed = false;
  for (VmId& keeper : map.keepers) {
    bool stays = keeper.empty() ||
                 std::any_of(candidates.begin(), candidates.end(),
                             [&keeper](const KeeperCandidate& candidate) {
                               return candidate.vm == keeper;
                             });
    if (stays) continue;
    keeper = VmId();
    changed = true;
  }
  return changed;
}

KeeperLoads LoadsOf(const KeeperMap& map,
                    const std::vector<KeeperCandidate>& candidates) {
  KeeperLoads loads;
  std::map<VmId, Zone> zones;
  for (const KeeperCandidate& candidate : candidates) {
    zones[candidate.vm] = candidate.zone;
    loads.relays[candidate.vm] = 0;
    loads.zones[candidate.zone] += 0;
  }
  for (const VmId& keeper : map.keepers) {
    auto zone = zones.find(keeper);
    if (zone == zones.end()) continue;
    ++loads.relays[keeper];
    ++loads.zones[zone->second];
  }
  return loads;
}

/// Returns the candidate with the fewest partitions, preferring zones with few.
const KeeperCandidate& Choose(size_t partition,
                              const std::vector<KeeperCandidate>& candidates,
                              const KeeperLoads& loads) {
  return *std::min_element(
      candidates.begin(), candidates.end(),
      [&](const KeeperCandidate& a, const KeeperCandidate& b) {
        return std::tuple(loads.relays.at(a.vm), loads.zones.at(a.zone),
                          Weight(partition, a.vm)) <
               std::tuple(loads.relays.at(b.vm), loads.zones.at(b.zone),
                          Weight(partition, b.vm));
      });
}

/// Whether no relay can hold a grant of a map in which the partition had a
/// keeper.
bool Free(const KeeperLedger& ledger, size_t partition, Time now) {
  auto free_at = ledger.free_at.find(partition);
  return free_at == ledger.free_at.end() || now >= free_at->second;
}

}  // namespace

size_t LimitPartition(const OrganisationName& organisation, uint32_t share) {
  uint64_t hash = ContinueHash(kHashStart, organisation.value());
  hash = ContinueHash(hash, std::to_string(share));
  return static_cast<size_t>(MixHash(hash) % kLimitPartitions);
}

VmId KeeperOf(const KeeperMap& map, size_t partition) {
  return partition < map.keepers.size() ? map.keepers[partition] : VmId();
}

std::vector<KeeperCandidate> KeeperCandidates(const Directory& directory,
                                              Time leading_since, Time now) {
  std::vector<KeeperCandidate> candidates;
  for (const auto& [vm, relay] : directory.relays) {
    if (relay.gone || relay.draining) continue;
    auto heard = directory.relay_heard.find(vm);
    Time last = heard == directory.relay_heard.end() ? Time() : heard->second;
    if (now - std::max(last, leading_since) >= kKeeperSilence) continue;
    candidates.push_back(KeeperCandidate{vm, relay.zone});
  }
  return candidates;
}

void BeginKeepers(KeeperLedger& ledger, const KeeperMap& map, Duration grant,
                  Time now) {
  ledger = KeeperLedger{};
  ledger.since = now;
  ledger.grant = grant;
  // Relays and their reports arrive meanwhile.
  ledger.next_map = now + kKeeperSilence;
  for (size_t i = 0; i < map.keepers.size(); ++i) {
    if (map.keepers[i].empty()) ledger.free_at[i] = now + grant;
  }
}

void TakeKeeperMap(KeeperLedger& ledger, const KeeperMap& before,
                   const KeeperMap& map, Time now) {
  ledger.recording = false;
  ledger.next_map = std::max(ledger.next_map, now + kKeeperMapInterval);
  for (size_t i = 0; i < map.keepers.size(); ++i) {
    if (!map.keepers[i].empty()) {
      ledger.free_at.erase(i);
    } else if (!KeeperOf(before, i).empty()) {
      ledger.free_at[i] = now + ledger.grant;
    }
  }
}

std::optional<KeeperMap> NextKeeperMap(
    const KeeperLedger& ledger, const KeeperMap& map,
    const std::vector<KeeperCandidate>& candidates, Time now) {
  if (ledger.recording || now < ledger.next_map) return std::nullopt;
  KeeperMap next = map;
  next.keepers.resize(kLimitPartitions);
  bool changed = RemoveLost(next, candidates);
  KeeperLoads loads = LoadsOf(next, candidates);
  for (size_t i = 0; i < kLimitPartitions && !candidates.empty(); ++i) {
    // One that loses its keeper with this map has to wait.
    bool vacant = KeeperOf(map, i).empty();
    if (!vacant || !Free(ledger, i, now)) continue;
    const KeeperCandidate& keeper = Choose(i, candidates, loads);
    next.keepers[i] = keeper.vm;
    ++loads.relays[keeper.vm];
    ++loads.zones[keeper.zone];
    changed = true;
  }
  if (!changed) return std::nullopt;
  next.version = map.version + 1;
  return next;
}

}  // namespace cardamomchute
