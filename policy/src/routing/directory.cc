#include "cardamomchute/policy/routing/directory.h"

#include <algorithm>
#include <tuple>

namespace cardamomchute {
namespace {

/// Traffic of one busy slot on a holder's link, in each direction.
constexpr double kSlotMbps = 1.0;

}  // namespace

Status CheckStart(const EndpointRecord& record, uint64_t wall_ms) {
  uint64_t latest = wall_ms + static_cast<uint64_t>(kMaxStartAhead.ms());
  if (record.started_ms <= latest) return Ok();
  return Error{ErrorKind::kInvalidInput,
               "started at " + std::to_string(record.started_ms) +
                   " ms, which is yet to come",
               "set the clock of the endpoint's VM"};
}

bool Newer(const EndpointRecord& a, const EndpointRecord& b) {
  return std::tie(a.revivals, a.started_ms, a.sequence) >
         std::tie(b.revivals, b.started_ms, b.sequence);
}

bool SameProcess(const EndpointRecord& a, const EndpointRecord& b) {
  return a.started_ms == b.started_ms && a.revivals == b.revivals;
}

uint32_t SlotsForBandwidth(double link_mbps) {
  double slots = std::clamp(link_mbps / kSlotMbps, 1.0,
                            static_cast<double>(kSlotsPerHolder));
  return static_cast<uint32_t>(slots);
}

void Append(DirectoryDelta* to, const DirectoryDelta& from) {
  to->endpoints.insert(to->endpoints.end(), from.endpoints.begin(),
                       from.endpoints.end());
  to->relays.insert(to->relays.end(), from.relays.begin(), from.relays.end());
  for (const auto& [group, primary] : from.primaries)
    to->primaries[group] = primary;
}

DirectoryDelta FullDelta(const Directory& directory) {
  DirectoryDelta whole;
  for (const auto& [id, record] : directory.endpoints)
    whole.endpoints.push_back(record);
  for (const auto& [vm, record] : directory.relays)
    whole.relays.push_back(record);
  whole.primaries = directory.primaries;
  return whole;
}

std::optional<Time> LeavingSince(const Directory& directory,
                                 const EndpointId& endpoint) {
  auto since = directory.leaving_since.find(endpoint);
  if (since == directory.leaving_since.end()) return std::nullopt;
  return since->second;
}

bool Drained(const std::optional<Time>& leaving_since, Time now) {
  return leaving_since && now - *leaving_since >= kLeavingUse;
}

std::vector<const EndpointRecord*> MembersOf(const Directory& directory,
                                             const GroupId& group) {
  std::vector<const EndpointRecord*> members;
  auto ids = directory.endpoints_of.find(group);
  if (ids == directory.endpoints_of.end()) return members;
  for (const EndpointId& id : ids->second) {
    const EndpointRecord& record = directory.endpoints.at(id);
    if (!record.gone) members.push_back(&record);
  }
  return members;
}

const EndpointRecord* CurrentPrimary(const Directory& directory,
                                     const GroupId& group) {
  auto primary = directory.primaries.find(group);
  if (primary == directory.primaries.end()) return nullptr;
  auto endpoint = directory.endpoints.find(primary->second.endpoint);
  if (endpoint == directory.endpoints.end()) return nullptr;
  return endpoint->second.gone ? nullptr : &endpoint->second;
}

bool OnlyDrainedLeft(const Directory& directory, const GroupId& group,
                     bool at_primary, Time now) {
  const EndpointRecord* primary = CurrentPrimary(directory, group);
  if (primary == nullptr || !Drained(LeavingSince(directory, primary->id), now))
    return false;
  if (at_primary) return true;
  std::vector<const EndpointRecord*> members = MembersOf(directory, group);
  return std::all_of(
      members.begin(), members.end(),
      [](const EndpointRecord* member) { return member->leaving; });
}

}  // namespace cardamomchute
