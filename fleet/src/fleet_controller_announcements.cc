/// Announcements of endpoints: which are taken into the directory, and when.
#include <string>

#include "cardamomchute/base/log.h"
#include "cardamomchute/fleet/fleet_controller.h"

namespace cardamomchute {

bool FleetController::Announce(const EndpointRecord& record) {
  if (!host_->HasLeaderContact(Now())) return false;
  if (!NamesGroup(record.group)) {
    KeepUnnamed(record);
    return true;
  }
  DirectoryDelta delta;
  delta.endpoints.push_back(WithKnownRevivals(directory_, record));
  TakeDelta(delta, false);
  return true;
}

bool FleetController::Leave(const EndpointLeave& leave) {
  Time now = Now();
  if (!host_->HasLeaderContact(now)) return false;
  Forget(unnamed_, leave);
  auto found = directory_.endpoints.find(leave.id);
  const EndpointRecord* known =
      found == directory_.endpoints.end() ? nullptr : &found->second;
  LeaveEffect effect =
      EffectOf(leave, known, LeavingSince(directory_, leave.id), now);
  LogLine(LogLevel::kInfo, "endpoint_leave")
      .Field("endpoint", leave.id)
      .Field("born_ms",
             leave.started_ms ? std::to_string(*leave.started_ms) : "unknown")
      .Field("known_born_ms",
             known ? std::to_string(known->started_ms) : "unknown")
      .Field("effect", ToString(effect));
  if (effect == LeaveEffect::kEnds) {
    DirectoryDelta delta;
    delta.endpoints.push_back(*known);
    delta.endpoints.back().gone = true;
    TakeDelta(delta, false);
  }
  return effect != LeaveEffect::kOther;
}

/// Returns whether the layout in force names the group. It is parsed only for a
/// group that it did not name before: versions follow each other quickly, and
/// announcements of known groups must not make each of them cost a pass.
bool FleetController::NamesGroup(const GroupId& group) {
  if (named_groups_.contains(group)) return true;
  RefreshNamedGroups();
  return named_groups_.contains(group);
}

void FleetController::RefreshNamedGroups() {
  if (named_version_ == layout_.version) return;
  const Layout* layout = ParsedLayout();
  if (layout == nullptr) return;
  named_version_ = layout_.version;
  named_groups_.clear();
  for (const auto& [group, limits] : layout->groups)
    named_groups_.insert(group);
}

void FleetController::KeepUnnamed(const EndpointRecord& record) {
  bool is_new = !unnamed_.items.contains(record.id);
  bool kept = Keep(unnamed_, record, Now());
  if (!is_new) return;
  LogLine(LogLevel::kInfo, "announcement_of_unnamed_group")
      .Field("endpoint", record.id)
      .Field("group", record.group)
      .Field("address", ToString(record.address))
      .Field("layout", layout_.version)
      .Field("kept", kept);
}

/// Takes the announcements whose group a new layout names.
void FleetController::AdmitUnnamed(Time now) {
  if (unnamed_.items.empty()) return;
  RefreshNamedGroups();
  DirectoryDelta delta;
  for (const EndpointRecord& record : TakeNamed(unnamed_, named_groups_, now))
    delta.endpoints.push_back(WithKnownRevivals(directory_, record));
  if (!delta.Empty()) TakeDelta(delta, false);
}

}  // namespace cardamomchute
