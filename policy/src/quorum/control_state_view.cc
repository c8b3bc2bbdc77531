#include "cardamomchute/policy/quorum/control_state_view.h"

namespace cardamomchute {
namespace {

Status ApplyDocument(ViewRecords& records, const StoredDocument& stored,
                     const DocumentReader& read) {
  bool newer = !records.document || records.document->version < stored.version;
  if (!newer) return Ok();
  if (HashText(stored.text) != stored.hash) {
    return Error{ErrorKind::kCorrupt,
                 "document version " + std::to_string(stored.version.value()) +
                     " does not match its hash",
                 "replace the control member that sent it"};
  }
  BOOST_OUTCOME_TRY(document, read(stored.text));
  records.document = AcceptedDocument{stored.version, stored.text, stored.hash,
                                      std::move(document)};
  return Ok();
}

template <typename Id, typename Record>
void MergeNewer(std::map<Id, Record>& known,
                const std::map<Id, Record>& delta) {
  for (const auto& [id, record] : delta) {
    auto it = known.find(id);
    bool newer = it == known.end() || it->second.changed < record.changed;
    if (newer) known[id] = record;
  }
}

}  // namespace

Result<bool> ApplyDelta(ViewRecords& records, const ViewDelta& delta,
                        const DocumentReader& read) {
  bool gap = delta.since > records.revision;
  if (gap || delta.environment != records.environment) {
    return Error{
        ErrorKind::kInvalidInput,
        "delta begins at revision " + std::to_string(delta.since.value()) +
            ", known revision: " + std::to_string(records.revision.value()),
        "request the changes since the known revision"};
  }
  if (delta.revision <= records.revision) return false;
  MergeNewer(records.groups, delta.groups);
  MergeNewer(records.vms, delta.vms);
  std::erase_if(records.vms,
                [](const auto& item) { return item.second.forgotten; });
  if (delta.document) {
    BOOST_OUTCOME_TRY(ApplyDocument(records, *delta.document, read));
  }
  records.revision = delta.revision;
  return true;
}

void ApplySoftDelta(ViewRecords& records, const SoftDelta& delta) {
  if (delta.full) {
    records.endpoints.clear();
    records.soft_vms.clear();
  }
  for (const SoftEndpoint& endpoint : delta.endpoints) {
    records.endpoints[endpoint.id] = endpoint;
  }
  for (const EndpointId& id : delta.removed) records.endpoints.erase(id);
  for (const auto& [id, vm] : delta.vms) records.soft_vms[id] = vm;
}

ClusterView BuildView(const ViewRecords& records) {
  ClusterView view;
  view.environment = records.environment;
  view.revision = records.revision;
  view.document = records.document;
  for (const auto& [id, group] : records.groups) {
    view.groups.emplace(id, ToGroupState(group));
  }
  for (const auto& [id, endpoint] : records.endpoints) {
    view.endpoints.emplace(
        id, EndpointState{endpoint.id, endpoint.group, endpoint.address,
                          endpoint.zone, endpoint.leaving});
  }
  for (const auto& [id, vm] : records.vms) {
    VmState state{id, vm.zone, vm.peer_address, true, false, Version()};
    auto soft = records.soft_vms.find(id);
    if (soft != records.soft_vms.end()) {
      state.alive = soft->second.alive;
      state.draining = soft->second.draining;
    }
    view.vms.emplace(id, state);
  }
  return view;
}

}  // namespace cardamomchute
