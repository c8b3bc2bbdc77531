#include "cardamomchute/policy/quorum/control_state.h"

#include <openssl/sha.h>

#include <algorithm>
#include <utility>

namespace cardamomchute {
namespace {

Error Conflict(std::string message, std::string remedy) {
  return Error{ErrorKind::kConflict, std::move(message), std::move(remedy)};
}

Revision Changed(ControlState& state) {
  state.revision = state.revision.Next();
  return state.revision;
}

Version CurrentVersion(const EnvironmentRecord& record) {
  return record.history.empty() ? Version() : record.history.back().version;
}

const SubmissionResult* FindSubmissionResult(const EnvironmentRecord& record,
                                             const SubmissionId& id) {
  auto it = std::find_if(
      record.answers.begin(), record.answers.end(),
      [&id](const SubmissionResult& answer) { return answer.id == id; });
  return it == record.answers.end() ? nullptr : &*it;
}

ControlResult Replay(const SubmissionResult& answer) {
  if (answer.version == Version()) {
    return Error{static_cast<ErrorKind>(answer.error_kind), answer.message,
                 answer.remedy};
  }
  return SubmitOutcome{answer.version, answer.hash, true};
}

/// Stores the result of a submission, to return it for resends.
ControlResult StoreSubmissionResult(EnvironmentRecord& record,
                                    const SubmissionId& id,
                                    ControlResult answer) {
  SubmissionResult kept;
  kept.id = id;
  if (answer) {
    kept.version = answer.value().version;
    kept.hash = answer.value().hash;
  } else {
    kept.error_kind = static_cast<uint8_t>(answer.error().kind);
    kept.message = answer.error().message;
    kept.remedy = answer.error().remedy;
  }
  record.answers.push_back(std::move(kept));
  if (record.answers.size() > kMaxSubmissionResults) record.answers.pop_front();
  return answer;
}

Error StaleVersion(const Environment& environment,
                   const EnvironmentRecord& record, Version replaces) {
  const std::string& name = environment.value();
  if (record.history.empty()) {
    return Conflict(name + " has no document yet, but version " +
                        std::to_string(replaces.value()) +
                        " was to be replaced",
                    "submit with replaces = 0");
  }
  const StoredDocument& winner = record.history.back();
  return Conflict(
      name + " is at version " + std::to_string(winner.version.value()) +
          " by " + winner.submitter + " (sha256 " + winner.hash + "), not " +
          std::to_string(replaces.value()),
      "compare with the current version, then submit again with replaces = " +
          std::to_string(winner.version.value()));
}

/// Creates records for new groups. Groups that are no longer in the document
/// keep their record with its epoch and term, but lose their owner.
void SyncGroups(EnvironmentRecord& record, const std::vector<GroupId>& groups,
                Revision changed) {
  for (const GroupId& id : groups) {
    if (!record.groups.contains(id)) record.groups[id].changed = changed;
  }
  for (auto& [id, group] : record.groups) {
    bool wanted = std::find(groups.begin(), groups.end(), id) != groups.end();
    if (wanted || group.owner.empty()) continue;
    group.revoked_from = group.owner;
    group.owner = VmId();
    group.epoch = group.epoch.Next();
    group.changed = changed;
  }
}

void TrimHistory(EnvironmentRecord& record) {
  if (record.history.size() > kHistoryVersions) record.history.pop_front();
  if (record.history.size() <= kHistoryTexts) return;
  StoredDocument& old =
      record.history[record.history.size() - 1 - kHistoryTexts];
  old.text.clear();
  old.groups.clear();
}

SubmitOutcome Accept(ControlState& state, EnvironmentRecord& record,
                     StoredDocument document) {
  document.version = CurrentVersion(record).Next();
  Revision changed = Changed(state);
  SyncGroups(record, document.groups, changed);
  SubmitOutcome outcome{document.version, document.hash, false};
  record.history.push_back(std::move(document));
  record.document_changed = changed;
  TrimHistory(record);
  return outcome;
}

ControlResult ApplyOne(ControlState& state, const SubmitDocument& command) {
  EnvironmentRecord& record = state.environments[command.environment];
  const SubmissionResult* first = FindSubmissionResult(record, command.id);
  if (first != nullptr) return Replay(*first);
  if (command.replaces != CurrentVersion(record)) {
    return StoreSubmissionResult(
        record, command.id,
        StaleVersion(command.environment, record, command.replaces));
  }
  StoredDocument document{Version(), command.hash, command.submitter,
                          "submit",  command.text, command.groups};
  return StoreSubmissionResult(record, command.id,
                               Accept(state, record, std::move(document)));
}

ControlResult Promote(ControlState& state, EnvironmentRecord& target,
                      const PromoteDocument& command) {
  const StoredDocument* source = CurrentDocument(state, command.from);
  if (source == nullptr || source->version != command.from_version) {
    std::string now =
        source == nullptr ? "none" : std::to_string(source->version.value());
    return Conflict(command.from.value() + " is no longer at version " +
                        std::to_string(command.from_version.value()) +
                        "; current: " + now,
                    "test the current version, then promote it");
  }
  if (command.replaces != CurrentVersion(target)) {
    return StaleVersion(command.to, target, command.replaces);
  }
  StoredDocument document = *source;
  document.submitter = command.submitter;
  document.origin = "promote " + command.from.value() + " " +
                    std::to_string(command.from_version.value());
  return Accept(state, target, std::move(document));
}

ControlResult ApplyOne(ControlState& state, const PromoteDocument& command) {
  EnvironmentRecord& target = state.environments[command.to];
  const SubmissionResult* first = FindSubmissionResult(target, command.id);
  if (first != nullptr) return Replay(*first);
  return StoreSubmissionResult(target, command.id,
                               Promote(state, target, command));
}

GroupRecord* FindGroupRecord(ControlState& state,
                             const Environment& environment,
                             const GroupId& group) {
  return const_cast<GroupRecord*>(
      cardamomchute::FindGroupRecord(std::as_const(state), environment, group));
}

Error GroupNotFound(const GroupId& group) {
  return Error{ErrorKind::kNotFound,
               "group " + group.value() + " is not in any document",
               "add it to the environment's document"};
}

Error StaleEpoch(const GroupId& group, const GroupRecord& record, Epoch epoch) {
  return Conflict("group " + group.value() + " is at epoch " +
                      std::to_string(record.epoch.value()) + " of " +
                      (record.owner.empty() ? "nobody" : record.owner.value()) +
                      ", not " + std::to_string(epoch.value()),
                  "wait for the current view");
}

ControlResult ApplyOne(ControlState& state, const AssignOwner& command) {
  GroupRecord* record =
      FindGroupRecord(state, command.environment, command.group);
  if (record == nullptr) return GroupNotFound(command.group);
  if (command.epoch != record->epoch.Next()) {
    return StaleEpoch(command.group, *record, command.epoch);
  }
  record->owner = command.vm;
  record->revoked_from = VmId();
  record->epoch = command.epoch;
  record->changed = Changed(state);
  return SubmitOutcome();
}

Error StaleTerm(const ChangeGroup& command, Term current) {
  return Conflict("group " + command.group.value() + " is in term " +
                      std::to_string(current.value()) + ", past " +
                      std::to_string(command.term.value()),
                  "observe the group's members again");
}

Status ChangePrimary(GroupRecord& record, const ChangeGroup& command) {
  if (command.term < record.term) return StaleTerm(command, record.term);
  bool rival = command.term == record.term && !record.primary.empty() &&
               record.primary != command.endpoint;
  if (rival) {
    return Conflict("term " + std::to_string(command.term.value()) +
                        " of group " + command.group.value() +
                        " belongs to primary " + record.primary.value(),
                    "promote the new primary to a later term");
  }
  record.primary = command.endpoint;
  record.term = command.term;
  record.candidate = EndpointId();
  record.old_term = Term();
  return Ok();
}

Status StartFailover(GroupRecord& record, const ChangeGroup& command) {
  if (command.term < record.term) return StaleTerm(command, record.term);
  record.candidate = command.endpoint;
  record.old_term = command.term;
  return Ok();
}

Status Release(GroupRecord& record) {
  record.released_by = record.owner;
  record.owner = VmId();
  record.epoch = record.epoch.Next();
  return Ok();
}

Status ChangeRecord(GroupRecord& record, const ChangeGroup& command) {
  switch (command.kind) {
    case GroupChangeKind::kFailoverIntent:
      return StartFailover(record, command);
    case GroupChangeKind::kPrimary:
      return ChangePrimary(record, command);
    case GroupChangeKind::kRelease:
      return Release(record);
  }
  return Error{ErrorKind::kInvalidInput, "unknown kind of group change",
               "run the same release on all VMs"};
}

/// Whether the change has already been applied, as with a resend.
bool IsAlreadyApplied(const GroupRecord& record, const ChangeGroup& command) {
  if (command.kind == GroupChangeKind::kRelease) {
    return record.owner.empty() && !record.released_by.empty() &&
           record.epoch == command.epoch.Next();
  }
  if (record.epoch != command.epoch) return false;
  if (command.kind == GroupChangeKind::kPrimary) {
    return record.primary == command.endpoint && record.term == command.term &&
           record.candidate.empty();
  }
  return record.candidate == command.endpoint &&
         record.old_term == command.term;
}

ControlResult ApplyOne(ControlState& state, const ChangeGroup& command) {
  GroupRecord* record =
      FindGroupRecord(state, command.environment, command.group);
  if (record == nullptr) return GroupNotFound(command.group);
  if (IsAlreadyApplied(*record, command)) return SubmitOutcome();
  bool current = command.epoch == record->epoch && !record->owner.empty();
  if (!current) return StaleEpoch(command.group, *record, command.epoch);
  BOOST_OUTCOME_TRY(ChangeRecord(*record, command));
  record->changed = Changed(state);
  return SubmitOutcome();
}

ControlResult ApplyOne(ControlState& state, const RegisterVm& command) {
  VmRecord& record = state.vms[command.vm];
  bool known = !record.forgotten && record.incarnation == command.incarnation;
  if (known) return SubmitOutcome();
  record = VmRecord{command.incarnation,
                    command.environment,
                    command.zone,
                    command.peer_address,
                    false,
                    Changed(state)};
  return SubmitOutcome();
}

ControlResult ApplyOne(ControlState& state, const ForgetVm& command) {
  auto it = state.vms.find(command.vm);
  bool current = it != state.vms.end() && !it->second.forgotten &&
                 it->second.incarnation == command.incarnation;
  if (!current) return SubmitOutcome();
  it->second.forgotten = true;
  it->second.changed = Changed(state);
  return SubmitOutcome();
}

ControlResult ApplyOne(ControlState& state, const AdmitMember& command) {
  state.excluded.erase(command.vm);
  state.admitted[command.vm] = command.address;
  Changed(state);
  return SubmitOutcome();
}

ControlResult ApplyOne(ControlState& state, const ExcludeMember& command) {
  state.admitted.erase(command.vm);
  state.excluded[command.vm] = Changed(state);
  return SubmitOutcome();
}

}  // namespace

ControlResult Apply(ControlState& state, const ControlCommand& command) {
  return std::visit(
      [&state](const auto& body) { return ApplyOne(state, body); }, command);
}

std::string HashText(std::string_view text) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest);
  constexpr char kHex[] = "0123456789abcdef";
  std::string hex;
  for (unsigned char byte : digest) {
    hex.push_back(kHex[byte >> 4]);
    hex.push_back(kHex[byte & 15]);
  }
  return hex;
}

const EnvironmentRecord* FindEnvironment(const ControlState& state,
                                         const Environment& environment) {
  auto it = state.environments.find(environment);
  return it == state.environments.end() ? nullptr : &it->second;
}

const GroupRecord* FindGroupRecord(const ControlState& state,
                                   const Environment& environment,
                                   const GroupId& group) {
  const EnvironmentRecord* record = FindEnvironment(state, environment);
  if (record == nullptr) return nullptr;
  auto it = record->groups.find(group);
  return it == record->groups.end() ? nullptr : &it->second;
}

const StoredDocument* CurrentDocument(const ControlState& state,
                                      const Environment& environment) {
  const EnvironmentRecord* record = FindEnvironment(state, environment);
  if (record == nullptr || record->history.empty()) return nullptr;
  return &record->history.back();
}

std::vector<DocumentRecord> History(const ControlState& state,
                                    const Environment& environment) {
  std::vector<DocumentRecord> history;
  const EnvironmentRecord* record = FindEnvironment(state, environment);
  if (record == nullptr) return history;
  for (const StoredDocument& document : record->history) {
    history.push_back(DocumentRecord{document.version, document.hash,
                                     document.submitter, document.origin,
                                     document.text});
  }
  return history;
}

ViewDelta DeltaSince(const ControlState& state, const Environment& environment,
                     Revision since) {
  ViewDelta delta;
  delta.environment = environment;
  delta.since = since;
  delta.revision = state.revision;
  for (const auto& [id, vm] : state.vms) {
    bool wanted = vm.environment == environment && vm.changed > since;
    if (wanted) delta.vms.emplace(id, vm);
  }
  const EnvironmentRecord* record = FindEnvironment(state, environment);
  if (record == nullptr) return delta;
  bool new_document =
      !record->history.empty() && record->document_changed > since;
  if (new_document) delta.document = record->history.back();
  for (const auto& [id, group] : record->groups) {
    if (group.changed > since) delta.groups.emplace(id, group);
  }
  return delta;
}

GroupState ToGroupState(const GroupRecord& record) {
  GroupState group;
  group.owner = record.owner;
  group.epoch = record.epoch;
  group.primary = record.primary;
  group.term = record.term;
  if (!record.candidate.empty()) {
    group.failover = FailoverIntent{record.candidate, record.old_term};
  }
  return group;
}

}  // namespace cardamomchute
