#include "control_leader.h"

#include <algorithm>

#include "cardamomchute/base/log.h"
#include "cardamomchute/peers/link.h"

namespace cardamomchute {
namespace {

constexpr Duration kAssignInterval = Millis(200);
constexpr Duration kForgetInterval = Seconds(10);

void SendMessage(const std::shared_ptr<Link>& link,
                 const ControlMessage& message) {
  link->Send(FrameType::kControl, PackVariant(message));
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
    : member_(member),
      reign_(member.quorum().vote.term),
      rounds_([&member] { return member.host_->BeginRound(); }) {
  leases_.leadership_start = now;
  soft_.start = now;
}

void ControlLeader::Tick(Time now) {
  ExpireVms(now);
  MarkUnheardVms(now);
  ExpireEndpoints(soft_, now);
  AssignOwners(now);
  ForgetVms(now);
  rounds_.StartIfDue();
}

// ---- rounds and leases ---------------------------------------------------

void ControlLeader::AfterRound(const LinkPtr& link, std::function<void()> run) {
  rounds_.Add({std::move(run),
               [member = &member_, link] { member->SendRedirect(link); }});
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
  AfterRound(link, [this, link, renew] { Grant(link, renew); });
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
  if (unheard_marked_ || !EarlierLeasesExpired(leases_, now)) return;
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

}  // namespace cardamomchute
