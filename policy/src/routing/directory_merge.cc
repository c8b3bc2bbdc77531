/// How records of endpoints, relays and primaries are merged, and expire.
#include <algorithm>
#include <tuple>

#include "cardamomchute/policy/routing/directory.h"

namespace cardamomchute {
namespace {

bool Newer(const RelayRecord& a, const RelayRecord& b) {
  return std::tie(a.started_ms, a.sequence) >
         std::tie(b.started_ms, b.sequence);
}

bool EqualForRouting(const EndpointRecord& a, const EndpointRecord& b) {
  return a.group == b.group && a.address == b.address && a.zone == b.zone &&
         a.slots == b.slots && a.leaving == b.leaving && a.gone == b.gone &&
         a.claims_primary == b.claims_primary && a.started_ms == b.started_ms &&
         a.revivals == b.revivals;
}

bool EqualForRouting(const RelayRecord& a, const RelayRecord& b) {
  return a.address == b.address && a.zone == b.zone &&
         a.draining == b.draining && a.gone == b.gone &&
         a.started_ms == b.started_ms;
}

template <typename Key>
void RemoveFromIndex(std::map<Key, std::set<EndpointId>>* index, const Key& key,
                     const EndpointId& id) {
  auto found = index->find(key);
  if (found == index->end()) return;
  found->second.erase(id);
  if (found->second.empty()) index->erase(found);
}

void RemoveFromIndexes(Directory& directory, const EndpointRecord& record) {
  RemoveFromIndex(&directory.endpoints_at, record.address, record.id);
  RemoveFromIndex(&directory.endpoints_of, record.group, record.id);
}

/// Must precede the replacement of what is known of the endpoint.
void NoteLeaving(Directory& directory, const EndpointRecord& record, Time now) {
  if (!record.leaving) {
    directory.leaving_since.erase(record.id);
    return;
  }
  auto known = directory.endpoints.find(record.id);
  bool same_process = known != directory.endpoints.end() &&
                      known->second.started_ms == record.started_ms;
  if (!same_process) directory.leaving_since.erase(record.id);
  directory.leaving_since.try_emplace(record.id, now);
}

void Store(Directory& directory, const EndpointRecord& record, Time now) {
  NoteLeaving(directory, record, now);
  auto [known, is_new] = directory.endpoints.try_emplace(record.id, record);
  bool moved = !is_new && (known->second.address != record.address ||
                           known->second.group != record.group);
  if (moved) RemoveFromIndexes(directory, known->second);
  if (is_new || moved) {
    directory.endpoints_at[record.address].insert(record.id);
    directory.endpoints_of[record.group].insert(record.id);
  }
  known->second = record;
  directory.endpoint_heard[record.id] = now;
}

void MergeEndpoint(Directory& directory, EndpointRecord record, Time now,
                   DirectoryDelta* changed) {
  auto found = directory.endpoints.find(record.id);
  EndpointRecord* known =
      found == directory.endpoints.end() ? nullptr : &found->second;
  if (known != nullptr && !Newer(record, *known)) {
    bool ended = record.gone && !known->gone && SameProcess(record, *known);
    if (!ended) return;
    known->gone = true;
    changed->endpoints.push_back(*known);
    return;
  }
  if (known != nullptr && known->gone && SameProcess(record, *known))
    record.gone = true;
  bool news = known == nullptr || !EqualForRouting(*known, record);
  Store(directory, record, now);
  if (news) changed->endpoints.push_back(record);
}

/// Whether an endpoint that started later and announces itself has the address
/// of `record`.
bool AddressReused(const Directory& directory, const EndpointRecord& record,
                   Time now) {
  const std::set<EndpointId>& there = directory.endpoints_at.at(record.address);
  return std::any_of(there.begin(), there.end(), [&](const EndpointId& id) {
    const EndpointRecord& other = directory.endpoints.at(id);
    Duration silent = now - directory.endpoint_heard.at(id);
    return id != record.id && !other.gone &&
           other.started_ms > record.started_ms && silent <= kReplacedSilence;
  });
}

void ExpireRelays(Directory& directory, Time now, DirectoryDelta* changed) {
  for (auto it = directory.relays.begin(); it != directory.relays.end();) {
    Duration silent = now - directory.relay_heard[it->first];
    if (silent > kRemovedRecordRetention) {
      directory.relay_heard.erase(it->first);
      it = directory.relays.erase(it);
      continue;
    }
    if (silent > kRelayTimeout && !it->second.gone) {
      it->second.gone = true;
      changed->relays.push_back(it->second);
    }
    ++it;
  }
}

void ExpireEndpoints(Directory& directory, Time now, DirectoryDelta* changed) {
  for (auto it = directory.endpoints.begin();
       it != directory.endpoints.end();) {
    Duration silent = now - directory.endpoint_heard[it->first];
    if (it->second.gone && silent > kRemovedRecordRetention) {
      directory.endpoint_heard.erase(it->first);
      directory.leaving_since.erase(it->first);
      RemoveFromIndexes(directory, it->second);
      it = directory.endpoints.erase(it);
      continue;
    }
    bool replaced = !it->second.gone && silent > kReplacedSilence &&
                    AddressReused(directory, it->second, now);
    if (replaced) {
      it->second.gone = true;
      changed->endpoints.push_back(it->second);
    }
    ++it;
  }
}

}  // namespace

EndpointRecord WithKnownRevivals(const Directory& directory,
                                 EndpointRecord announced) {
  auto known = directory.endpoints.find(announced.id);
  if (known != directory.endpoints.end())
    announced.revivals = known->second.revivals;
  return announced;
}

DirectoryDelta Merge(Directory& directory, const DirectoryDelta& delta,
                     Time now) {
  DirectoryDelta changed;
  for (const EndpointRecord& record : delta.endpoints)
    MergeEndpoint(directory, record, now, &changed);
  for (const RelayRecord& record : delta.relays) {
    auto known = directory.relays.find(record.vm);
    bool late =
        known != directory.relays.end() && !Newer(record, known->second);
    if (late) continue;
    bool news = known == directory.relays.end() ||
                !EqualForRouting(known->second, record);
    directory.relays[record.vm] = record;
    directory.relay_heard[record.vm] = now;
    if (news) changed.relays.push_back(record);
  }
  for (const auto& [group, primary] : delta.primaries) {
    PrimaryRecord& known = directory.primaries[group];
    bool newer = std::tie(primary.control_term, primary.change) >
                 std::tie(known.control_term, known.change);
    if (!newer) continue;
    known = primary;
    changed.primaries[group] = primary;
  }
  return changed;
}

DirectoryDelta Expire(Directory& directory, Time now) {
  DirectoryDelta changed;
  ExpireRelays(directory, now, &changed);
  ExpireEndpoints(directory, now, &changed);
  return changed;
}

}  // namespace cardamomchute
