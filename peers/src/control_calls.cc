/// The calls of agents on the leading control member.
#include <algorithm>

#include "agent_sessions.h"
#include "cardamomchute/base/log.h"
#include "cardamomchute/peers/link.h"
#include "control_leader.h"

namespace cardamomchute {
namespace {

std::vector<StoredDocument> ToStored(const EnvironmentRecord* record) {
  if (record == nullptr) return {};
  return std::vector<StoredDocument>(record->history.begin(),
                                     record->history.end());
}

}  // namespace

void ControlLeader::OnCall(const LinkPtr& link, const Call& call) {
  Result<CallBody> body = UnpackVariant<CallBody>(call.body);
  if (!body) return SendAnswer(link, call.id, body.error());
  std::visit([&](const auto& command) { Run(link, call.id, command); },
             body.value());
}

void ControlLeader::ProposeFor(const LinkPtr& link, uint64_t id,
                               const ControlCommand& command) {
  std::optional<LogIndex> index = member_.ProposeCommand(
      command, [member = &member_, link, id](const ControlResult& answer) {
        // Whoever asked has the change in its view before the answer.
        member->PushTo(link);
        if (!answer) return SendAnswer(link, id, answer.error());
        const SubmitOutcome& outcome = answer.value();
        SendAnswer(link, id,
                   Pack(CommandResult{outcome.version, outcome.hash,
                                      outcome.repeated}));
      });
  if (index) return;
  SendAnswer(link, id,
             Error{ErrorKind::kNotLeader, "another member leads now",
                   "send the same request again"});
}

void ControlLeader::Run(const LinkPtr& link, uint64_t id,
                        SubmitDocument command) {
  Result<Document> document = member_.read_(command.text);
  if (!document) return SendAnswer(link, id, document.error());
  command.hash = HashText(command.text);
  command.groups.clear();
  for (const GroupSpec& group : document.value().groups) {
    command.groups.push_back(group.id);
  }
  LogLine(LogLevel::kInfo, "submit")
      .Field("environment", command.environment)
      .Field("replaces", command.replaces)
      .Field("submission", command.id)
      .Field("by", command.submitter);
  ProposeFor(link, id, command);
}

void ControlLeader::Run(const LinkPtr& link, uint64_t id,
                        const PromoteDocument& command) {
  LogLine(LogLevel::kInfo, "promote")
      .Field("from", command.from)
      .Field("to", command.to)
      .Field("version", command.from_version)
      .Field("by", command.submitter);
  ProposeFor(link, id, command);
}

void ControlLeader::Run(const LinkPtr& link, uint64_t id,
                        const ChangeGroup& command) {
  LogLine(LogLevel::kInfo, "change_group")
      .Field("environment", command.environment)
      .Field("group", command.group)
      .Field("epoch", command.epoch)
      .Field("kind", static_cast<int>(command.kind))
      .Field("endpoint", command.endpoint)
      .Field("term", command.term);
  ProposeFor(link, id, command);
}

void ControlLeader::Run(const LinkPtr& link, uint64_t id,
                        const AdmitMember& command) {
  ProposeFor(link, id, command);
}

void ControlLeader::Run(const LinkPtr& link, uint64_t id,
                        const ExcludeMember& command) {
  ProposeFor(link, id, command);
}

void ControlLeader::Run(const LinkPtr& link, uint64_t id,
                        const HistoryCall& call) {
  AfterRound(link, [this, link, id, call] {
    SendAnswer(
        link, id,
        Pack(ToStored(FindEnvironment(member_.state_, call.environment))));
  });
}

void ControlLeader::Run(const LinkPtr& link, uint64_t id,
                        const StatusCall& call) {
  AfterRound(link, [this, link, id, call] {
    SendAnswer(link, id, Pack(MakeStatus(call.environment)));
  });
}

StatusResult ControlLeader::MakeStatus(const Environment& environment) const {
  const QuorumState& quorum = member_.quorum();
  StatusResult status;
  status.term = quorum.vote.term;
  status.view = DeltaSince(member_.state_, environment, Revision());
  status.soft = SoftSnapshot(soft_, environment, Now());
  for (const auto& [id, lease] : leases_.vms) {
    if (lease.report.environment != environment) continue;
    status.applied[id] = lease.report.applied;
  }
  for (const auto& [id, info] : quorum.config.members) {
    MemberReport report{info.vm, id == quorum.self, id == quorum.self,
                        quorum.applied.value()};
    auto it = quorum.progress.find(id);
    if (it != quorum.progress.end()) {
      report.reachable =
          Now() - it->second.last_answer < quorum.timing.election_max;
      report.applied_index = it->second.match.value();
    }
    status.members.push_back(report);
  }
  status.problems = FindProblems(environment);
  return status;
}

std::vector<ProblemReport> ControlLeader::FindProblems(
    const Environment& environment) const {
  std::vector<ProblemReport> problems;
  const QuorumState& quorum = member_.quorum();
  for (const auto& [id, info] : quorum.config.members) {
    auto it = quorum.progress.find(id);
    if (it == quorum.progress.end()) continue;
    bool silent = Now() - it->second.last_answer >= quorum.timing.election_max;
    if (silent) {
      problems.push_back(
          {"control member " + id.value() + " does not answer",
           "restart it, or start it with an empty data folder if its disk is "
           "lost"});
    } else if (!info.voter) {
      problems.push_back({"control member " + id.value() +
                              " has not caught up and does not vote yet",
                          "wait; it votes once it has caught up"});
    }
  }
  const StoredDocument* document = CurrentDocument(member_.state_, environment);
  if (document == nullptr) {
    problems.push_back(
        {"environment " + environment.value() + " has no document",
         "submit one with replaces = 0"});
    return problems;
  }
  for (const GroupId& id : document->groups) {
    const GroupRecord* group = FindGroupRecord(member_.state_, environment, id);
    if (group == nullptr || group->owner.empty()) {
      problems.push_back({"group " + id.value() + " has no owner",
                          "start a VM of environment " + environment.value()});
    } else if (group->primary.empty()) {
      problems.push_back({"group " + id.value() + " has no known primary",
                          "see that its endpoints announce themselves"});
    }
  }
  for (const auto& [id, lease] : leases_.vms) {
    if (lease.report.environment != environment) continue;
    if (!lease.alive) {
      problems.push_back({"VM " + id.value() + " is silent",
                          "restart or replace it; its groups have moved"});
      continue;
    }
    bool behind = lease.report.applied < document->version;
    if (behind) {
      problems.push_back({"VM " + id.value() + " serves under version " +
                              std::to_string(lease.report.applied.value()) +
                              ", not " +
                              std::to_string(document->version.value()),
                          "wait some seconds; if it stays, see the VM's log"});
    }
  }
  return problems;
}

}  // namespace cardamomchute
