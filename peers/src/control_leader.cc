#include "control_leader.h"

#include <algorithm>

#include "cardamomchute/base/log.h"
#include "cardamomchute/peers/link.h"
#include "member_links.h"

namespace cardamomchute {
namespace {

constexpr Duration kAssignInterval = Millis(200);
constexpr Duration kForgetInterval = Seconds(10);
constexpr Duration kReviewInterval = Millis(200);
constexpr Duration kGreetingValid = Seconds(2);

void SendMessage(const std::shared_ptr<Link>& link,
                 const ControlMessage& message) {
  link->Send(FrameType::kControl, PackVariant(message));
}

/// Nothing if no voter would be left.
std::optional<QuorumConfig> Without(const QuorumConfig& config,
                                    const MemberId& id) {
  bool last_voter = IsVoter(config, id) && VoterCount(config) == 1;
  if (last_voter) return std::nullopt;
  QuorumConfig next = config;
  next.members.erase(id);
  return next;
}

}  // namespace

void SendAnswer(const std::shared_ptr<Link>& link, uint64_t id,
                const Error& error) {
  CallAnswer answer;
  answer.id = id;
  answer.error_kind = static_cast<uint8_t>(error.kind);
  answer.message = error.message;
  answer.remedy = error.remedy;
  SendMessage(link, answer);
}

void SendAnswer(const std::shared_ptr<Link>& link, uint64_t id,
                std::string result) {
  CallAnswer answer;
  answer.id = id;
  answer.ok = true;
  answer.result = std::move(result);
  SendMessage(link, answer);
}

ControlLeader::ControlLeader(ControlMember& member, Time now)
    : member_(member), reign_(member.quorum_.vote.term) {
  leases_.reign_start = now;
  soft_.start = now;
}

void ControlLeader::Abandon() {
  for (std::vector<Waiting>* list : {&next_round_, &in_round_}) {
    for (const Waiting& waiting : *list) member_.SendRedirect(waiting.link);
    list->clear();
  }
}

void ControlLeader::Tick(Time now) {
  ExpireVms(now);
  MarkUnheardVms(now);
  ExpireEndpoints(soft_, now);
  AssignOwners(now);
  ForgetVms(now);
  ReviewMembers(now);
  StartRoundIfDue();
}

// ---- rounds and leases ---------------------------------------------------

void ControlLeader::AfterRound(Waiting waiting) {
  next_round_.push_back(std::move(waiting));
  StartRoundIfDue();
}

/// One round at a time; what arrives meanwhile waits for the next, since only
/// a round that began later proves anything.
void ControlLeader::StartRoundIfDue() {
  if (round_ || next_round_.empty()) return;
  round_ = StartRound(member_.quorum_);
  if (!round_) return;
  in_round_ = std::exchange(next_round_, {});
  member_.ScheduleDrive();
}

void ControlLeader::OnConfirmed(Round round) {
  if (!round_ || round < *round_) return;
  round_.reset();
  std::vector<Waiting> confirmed = std::exchange(in_round_, {});
  for (const Waiting& waiting : confirmed) waiting.run();
  StartRoundIfDue();
}

void ControlLeader::OnRenew(const LinkPtr& link, const Renew& renew) {
  Time now = Now();
  for (const SoftAnnouncement& announcement : renew.announcements) {
    OnAnnouncement(soft_, renew.report.environment, announcement, now);
  }
  RenewalVerdict verdict =
      OnRenewal(leases_, member_.state_, renew.report, now);
  if (verdict == RenewalVerdict::kRegister) Register(renew.report);
  if (verdict != RenewalVerdict::kGrant) return;
  AfterRound(Waiting{link, [this, link, renew] { Grant(link, renew); }});
}

void ControlLeader::Grant(const LinkPtr& link, const Renew& renew) {
  const VmReport& report = renew.report;
  // The VM may have been registered anew since.
  RenewalVerdict verdict = OnRenewal(leases_, member_.state_, report, Now());
  if (verdict != RenewalVerdict::kGrant) return;
  OnGrant(leases_, report.vm, Now());
  auto known = soft_.vms.find(report.vm);
  bool joined = known == soft_.vms.end() || !known->second.vm.alive ||
                known->second.vm.draining != report.draining;
  if (joined) assign_due_ = true;
  SetVm(soft_, report.environment, report.vm, SoftVm{true, report.draining});
  // A grant tells the VM that it holds all that was committed before.
  member_.PushTo(link);
  SendMessage(link, Granted{renew.nonce, kLease, reign_});
}

void ControlLeader::Register(const VmReport& report) {
  if (registering_.contains(report.vm)) return;
  std::optional<LogIndex> index = member_.ProposeCommand(
      RegisterVm{report.vm, report.incarnation, report.environment, report.zone,
                 report.peer_address},
      nullptr);
  if (!index) return;
  registering_[report.vm] = *index;
  LogLine(LogLevel::kInfo, "vm_register")
      .Field("for", report.vm)
      .Field("zone", report.zone)
      .Field("environment", report.environment);
}

void ControlLeader::OnApplied(LogIndex index) {
  std::erase_if(assigning_,
                [index](const auto& item) { return item.second <= index; });
  std::erase_if(registering_,
                [index](const auto& item) { return item.second <= index; });
  assign_due_ = true;
}

void ControlLeader::ExpireVms(Time now) {
  for (const VmId& vm : ExpireLeases(leases_, now)) {
    const VmLease& lease = leases_.vms.at(vm);
    LogLine(LogLevel::kWarn, "vm_lease_expired")
        .Field("for", vm)
        .Field("silent_ms", (now - lease.heard).ms());
    SetVm(soft_, lease.report.environment, vm,
          SoftVm{false, lease.report.draining});
    assign_due_ = true;
  }
}

/// VMs that this leader never heard of, once their old leases are over.
void ControlLeader::MarkUnheardVms(Time now) {
  if (unheard_marked_ || !EarlierLeasesOver(leases_, now)) return;
  unheard_marked_ = true;
  assign_due_ = true;
  for (const auto& [id, record] : member_.state_.vms) {
    bool unheard = !record.forgotten && !soft_.vms.contains(id);
    if (unheard) SetVm(soft_, record.environment, id, SoftVm{false, false});
  }
}

void ControlLeader::AssignOwners(Time now) {
  if (!assign_due_ && now < next_assign_) return;
  assign_due_ = false;
  next_assign_ = now + kAssignInterval;
  std::vector<AssignOwner> due =
      DueAssignments(leases_, member_.state_, EndpointZones(soft_), now);
  for (const AssignOwner& command : due) {
    std::pair<Environment, GroupId> key(command.environment, command.group);
    if (assigning_.contains(key)) continue;
    std::optional<LogIndex> index = member_.ProposeCommand(command, nullptr);
    if (!index) return;
    assigning_[key] = *index;
    const GroupRecord* record =
        FindGroupRecord(member_.state_, command.environment, command.group);
    LogLine(LogLevel::kInfo, "assign_owner")
        .Field("environment", command.environment)
        .Field("group", command.group)
        .Field("from", record->owner)
        .Field("to", command.vm)
        .Field("epoch", command.epoch);
  }
}

void ControlLeader::ForgetVms(Time now) {
  if (now < next_forget_) return;
  next_forget_ = now + kForgetInterval;
  for (const ForgetVm& command : DueForgets(leases_, member_.state_, now)) {
    LogLine(LogLevel::kInfo, "vm_forget").Field("for", command.vm);
    member_.ProposeCommand(command, nullptr);
    leases_.vms.erase(command.vm);
  }
}

// ---- membership ----------------------------------------------------------

bool ControlLeader::Admitted(const MemberHello& hello) const {
  const ControlState& state = member_.state_;
  if (state.excluded.contains(hello.vm)) return false;
  if (state.admitted.contains(hello.vm)) return true;
  const QuorumConfig& config = member_.quorum_.config;
  return std::any_of(
      config.members.begin(), config.members.end(),
      [&hello](const auto& item) { return item.second.vm == hello.vm; });
}

/// The next step of a learner that has caught up: its predecessor on the same
/// VM goes first, then it may vote.
std::optional<QuorumConfig> ControlLeader::WithPromotion(Time now) const {
  const QuorumState& quorum = member_.quorum_;
  for (const auto& [id, info] : quorum.config.members) {
    if (info.voter || !CaughtUp(quorum, id, now)) continue;
    for (const auto& [other, other_info] : quorum.config.members) {
      bool predecessor = other != id && other_info.vm == info.vm;
      if (predecessor) return Without(quorum.config, other);
    }
    QuorumConfig next = quorum.config;
    next.members[id].voter = true;
    return next;
  }
  return std::nullopt;
}

std::optional<QuorumConfig> ControlLeader::NextConfig(Time now) const {
  const QuorumState& quorum = member_.quorum_;
  for (const auto& [id, info] : quorum.config.members) {
    if (member_.state_.excluded.contains(info.vm)) {
      return Without(quorum.config, id);
    }
  }
  for (const auto& [vm, heard] : member_.heard_) {
    const MemberHello& hello = heard.hello;
    bool recent = now - heard.at < kGreetingValid;
    bool known = quorum.config.members.contains(hello.id);
    if (!recent || known || !Admitted(hello)) continue;
    QuorumConfig next = quorum.config;
    std::erase_if(next.members, [&vm = vm](const auto& item) {
      return item.second.vm == vm && !item.second.voter;
    });
    next.members[hello.id] = QuorumMember{vm, hello.address, false};
    return next;
  }
  return WithPromotion(now);
}

void ControlLeader::ReviewMembers(Time now) {
  if (now < next_review_) return;
  next_review_ = now + kReviewInterval;
  std::optional<QuorumConfig> next = NextConfig(now);
  if (!next) return;
  Result<LogIndex> index = ProposeConfig(member_.quorum_, *next);
  if (!index) return;
  LogLine line(LogLevel::kInfo, "membership_change");
  for (const auto& [id, info] : next->members) {
    line.Field(id.value(), info.voter ? "voter" : "learner");
  }
}

}  // namespace cardamomchute
