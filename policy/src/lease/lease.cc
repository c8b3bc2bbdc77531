#include "cardamomchute/policy/lease/lease.h"

#include <algorithm>

#include "cardamomchute/policy/lease/ownership.h"

namespace cardamomchute {
namespace {

const VmRecord* Registered(const ControlState& state, const VmId& vm) {
  auto it = state.vms.find(vm);
  bool known = it != state.vms.end() && !it->second.forgotten;
  return known ? &it->second : nullptr;
}

/// Whether the VM from which the group was revoked has applied this, or holds
/// no lease any more.
bool RevocationComplete(const LeaseTable& table, const GroupRecord& group,
                        Time now) {
  if (group.revoked_from.empty()) return true;
  auto it = table.vms.find(group.revoked_from);
  bool knows = it != table.vms.end() &&
               it->second.report.known >= group.changed &&
               now - it->second.known_since >= kRevocationDelay;
  return knows || LeaseExpired(table, group.revoked_from, now);
}

/// False for VMs without a peer port, which are control members only.
bool ServesStatements(const VmRecord& record) {
  return record.peer_address.port != 0;
}

std::vector<OwnerCandidate> Candidates(const LeaseTable& table,
                                       const ControlState& state,
                                       const Environment& environment) {
  std::vector<OwnerCandidate> candidates;
  for (const auto& [id, lease] : table.vms) {
    const VmRecord* record = Registered(state, id);
    bool fit = record != nullptr && lease.alive && !lease.report.draining &&
               record->incarnation == lease.report.incarnation &&
               record->environment == environment &&
               ServesStatements(*record) && lease.expires_at > Time();
    if (fit) candidates.push_back(OwnerCandidate{id, record->zone});
  }
  return candidates;
}

Zone ZoneOf(const std::map<EndpointId, Zone>& zones, const EndpointId& id) {
  auto it = zones.find(id);
  return it == zones.end() ? Zone() : it->second;
}

bool MayAssign(const LeaseTable& table, const GroupRecord& group, Time now) {
  bool gathering = now - table.leadership_start < kReportCollectionTime;
  if (group.owner.empty()) {
    return !gathering && RevocationComplete(table, group, now);
  }
  return LeaseExpired(table, group.owner, now);
}

void AssignEnvironment(const LeaseTable& table, const ControlState& state,
                       const Environment& environment,
                       const std::map<EndpointId, Zone>& zones, Time now,
                       std::vector<AssignOwner>& due) {
  const StoredDocument* document = CurrentDocument(state, environment);
  if (document == nullptr) return;
  std::vector<OwnedGroup> movable;
  std::vector<OwnedGroup> fixed;
  for (const GroupId& id : document->groups) {
    const GroupRecord* record = FindGroupRecord(state, environment, id);
    if (record == nullptr) continue;
    OwnedGroup group{id, record->owner, record->released_by,
                     ZoneOf(zones, record->primary)};
    bool may_move = MayAssign(table, *record, now);
    if (may_move) group.owner = VmId();
    (may_move ? movable : fixed).push_back(group);
  }
  if (movable.empty()) return;
  std::vector<OwnedGroup> groups = fixed;
  groups.insert(groups.end(), movable.begin(), movable.end());
  std::vector<OwnerChoice> choices =
      ChooseOwners(groups, Candidates(table, state, environment));
  for (const OwnerChoice& choice : choices) {
    bool may_move = std::any_of(
        movable.begin(), movable.end(),
        [&choice](const OwnedGroup& g) { return g.id == choice.group; });
    if (!may_move) continue;
    const GroupRecord* record =
        FindGroupRecord(state, environment, choice.group);
    due.push_back(AssignOwner{environment, choice.group, choice.vm,
                              record->epoch.Next()});
  }
}

bool OwnsAny(const ControlState& state, const VmId& vm) {
  for (const auto& [environment, record] : state.environments) {
    for (const auto& [id, group] : record.groups) {
      if (group.owner == vm || group.revoked_from == vm) return true;
    }
  }
  return false;
}

}  // namespace

bool EarlierLeasesExpired(const LeaseTable& table, Time now) {
  return now - table.leadership_start >= kLease + kDriftMargin;
}

RenewalVerdict OnRenewal(LeaseTable& table, const ControlState& state,
                         const VmReport& report, Time now) {
  const VmRecord* record = Registered(state, report.vm);
  bool registered =
      record != nullptr && record->incarnation == report.incarnation;
  if (!registered) {
    bool free = record == nullptr || LeaseExpired(table, report.vm, now);
    return free ? RenewalVerdict::kRegister : RenewalVerdict::kWait;
  }
  VmLease& lease = table.vms[report.vm];
  bool news = lease.report.known != report.known ||
              lease.report.incarnation != report.incarnation;
  if (news) lease.known_since = now;
  lease.report = report;
  lease.heard = now;
  return RenewalVerdict::kGrant;
}

void OnGrant(LeaseTable& table, const VmId& vm, Time now) {
  auto it = table.vms.find(vm);
  if (it == table.vms.end()) return;
  it->second.expires_at = now + kLease + kDriftMargin;
  it->second.alive = true;
}

std::vector<VmId> ExpireLeases(LeaseTable& table, Time now) {
  std::vector<VmId> expired;
  for (auto& [id, lease] : table.vms) {
    bool over =
        lease.alive && lease.expires_at > Time() && now >= lease.expires_at;
    if (!over) continue;
    lease.alive = false;
    expired.push_back(id);
  }
  return expired;
}

bool LeaseExpired(const LeaseTable& table, const VmId& vm, Time now) {
  if (!EarlierLeasesExpired(table, now)) return false;
  auto it = table.vms.find(vm);
  return it == table.vms.end() || now >= it->second.expires_at;
}

std::vector<AssignOwner> DueAssignments(const LeaseTable& table,
                                        const ControlState& state,
                                        const std::map<EndpointId, Zone>& zones,
                                        Time now) {
  std::vector<AssignOwner> due;
  for (const auto& [environment, record] : state.environments) {
    AssignEnvironment(table, state, environment, zones, now, due);
  }
  return due;
}

std::vector<ForgetVm> DueForgets(const LeaseTable& table,
                                 const ControlState& state, Time now) {
  std::vector<ForgetVm> due;
  if (now - table.leadership_start < kForgetVmAfter) return due;
  for (const auto& [id, record] : state.vms) {
    if (record.forgotten) continue;
    auto it = table.vms.find(id);
    bool silent =
        it == table.vms.end() || now - it->second.heard >= kForgetVmAfter;
    if (!silent || OwnsAny(state, id)) continue;
    due.push_back(ForgetVm{id, record.incarnation});
  }
  return due;
}

}  // namespace cardamomchute
