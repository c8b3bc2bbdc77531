/// The functions that an agent hands out.
#include "cardamomchute/base/log.h"
#include "cardamomchute/peers/control_agent.h"

namespace cardamomchute {
namespace {

Result<SubmitOutcome> ReadOutcome(const Result<std::string>& packed) {
  if (!packed) return packed.error();
  BOOST_OUTCOME_TRY(result, Unpack<CommandResult>(packed.value()));
  return SubmitOutcome{result.version, result.hash, result.repeated};
}

Result<std::vector<DocumentRecord>> ReadHistory(
    const Result<std::string>& packed) {
  if (!packed) return packed.error();
  BOOST_OUTCOME_TRY(stored,
                    Unpack<std::vector<StoredDocument>>(packed.value()));
  std::vector<DocumentRecord> history;
  for (const StoredDocument& document : stored) {
    history.push_back(DocumentRecord{document.version, document.hash,
                                     document.submitter, document.origin,
                                     document.text});
  }
  return history;
}

Status ReadDone(const Result<std::string>& packed) {
  if (!packed) return packed.error();
  return Ok();
}

GroupChangeKind ToKind(GroupChange::Kind kind) {
  switch (kind) {
    case GroupChange::Kind::kFailoverIntent:
      return GroupChangeKind::kFailoverIntent;
    case GroupChange::Kind::kRelease:
      return GroupChangeKind::kRelease;
    case GroupChange::Kind::kPrimary:
      break;
  }
  return GroupChangeKind::kPrimary;
}

}  // namespace

ProposeGroupChange ControlAgent::group_changes() {
  std::weak_ptr<ControlAgent> weak = weak_from_this();
  return [weak](const GroupChange& change, std::function<void(Status)> done) {
    std::shared_ptr<ControlAgent> self = weak.lock();
    if (!self) return;
    ChangeGroup command{
        self->settings_.environment, change.group,    change.epoch,
        ToKind(change.kind),         change.endpoint, change.term};
    self->StartCall(command, [done](const Result<std::string>& packed) {
      done(ReadDone(packed));
    });
  };
}

OperatorApi ControlAgent::operators() {
  std::weak_ptr<ControlAgent> weak = weak_from_this();
  OperatorApi api;
  api.submit = [weak](const Submission& submission,
                      std::function<void(Result<SubmitOutcome>)> done) {
    std::shared_ptr<ControlAgent> self = weak.lock();
    if (!self) return;
    SubmitDocument command;
    command.environment = submission.environment;
    command.replaces = submission.replaces;
    command.id = submission.id;
    command.submitter = submission.submitter;
    command.text = submission.text;
    self->StartCall(command, [done](const Result<std::string>& packed) {
      done(ReadOutcome(packed));
    });
  };
  api.promote = [weak](const Promotion& promotion,
                       std::function<void(Result<SubmitOutcome>)> done) {
    std::shared_ptr<ControlAgent> self = weak.lock();
    if (!self) return;
    PromoteDocument command{promotion.from,         promotion.to,
                            promotion.from_version, promotion.replaces,
                            promotion.id,           promotion.submitter};
    self->StartCall(command, [done](const Result<std::string>& packed) {
      done(ReadOutcome(packed));
    });
  };
  api.history =
      [weak](const Environment& environment,
             std::function<void(Result<std::vector<DocumentRecord>>)> done) {
        std::shared_ptr<ControlAgent> self = weak.lock();
        if (!self) return;
        self->StartCall(HistoryCall{environment},
                        [done](const Result<std::string>& packed) {
                          done(ReadHistory(packed));
                        });
      };
  api.status = [weak](const Environment& environment,
                      std::function<void(Result<StatusReport>)> done) {
    std::shared_ptr<ControlAgent> self = weak.lock();
    if (!self) return;
    self->StartCall(StatusCall{environment},
                    [self, done](const Result<std::string>& packed) {
                      if (!packed) return done(packed.error());
                      done(self->ReadStatus(packed.value()));
                    });
  };
  return api;
}

MemberApi ControlAgent::members() {
  std::weak_ptr<ControlAgent> weak = weak_from_this();
  MemberApi api;
  api.admit = [weak](const VmId& vm, const Address& address,
                     std::function<void(Status)> done) {
    std::shared_ptr<ControlAgent> self = weak.lock();
    if (!self) return;
    self->StartCall(
        AdmitMember{vm, address},
        [done](const Result<std::string>& packed) { done(ReadDone(packed)); });
  };
  api.exclude = [weak](const VmId& vm, std::function<void(Status)> done) {
    std::shared_ptr<ControlAgent> self = weak.lock();
    if (!self) return;
    self->StartCall(
        ExcludeMember{vm},
        [done](const Result<std::string>& packed) { done(ReadDone(packed)); });
  };
  return api;
}

Result<StatusReport> ControlAgent::ReadStatus(const std::string& packed) const {
  BOOST_OUTCOME_TRY(result, Unpack<StatusResult>(packed));
  ViewRecords records;
  records.environment = result.view.environment;
  BOOST_OUTCOME_TRY(ApplyDelta(records, result.view, read_));
  ApplySoftDelta(records, result.soft);
  StatusReport report;
  report.quorum_term = result.term.value();
  report.view = BuildView(records);
  for (const auto& [id, version] : result.applied) {
    auto it = report.view.vms.find(id);
    if (it != report.view.vms.end()) it->second.applied = version;
  }
  for (const MemberReport& member : result.members) {
    report.members.push_back(ControlMemberStatus{
        member.vm, member.leader, member.reachable, member.applied_index});
  }
  for (const ProblemReport& problem : result.problems) {
    report.problems.push_back(Problem{problem.what, problem.remedy});
  }
  return report;
}

}  // namespace cardamomchute
