/// The work of the control member that leads, during one term: leases, group
/// owners, endpoint announcements and the calls of agents.
#ifndef CARDAMOMCHUTE_PEERS_SRC_CONTROL_LEADER_H_
#define CARDAMOMCHUTE_PEERS_SRC_CONTROL_LEADER_H_

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "cardamomchute/peers/control_member.h"
#include "cardamomchute/peers/leadership_barrier.h"

namespace cardamomchute {

class ControlLeader {
 public:
  using LinkPtr = std::shared_ptr<Link>;

  ControlLeader(ControlMember& member, Time now);

  void OnRenewRequest(const LinkPtr& link, const RenewRequest& renew);
  void OnCall(const LinkPtr& link, const Call& call);
  /// A quorum has confirmed this member's leadership for rounds up to `round`.
  void OnConfirmed(Round round) { rounds_.OnConfirmed(round); }
  void OnApplied(LogIndex index);
  void Tick(Time now);
  /// Leadership has ended: redirects the agents whose requests are pending.
  void Abandon() { rounds_.Abandon(); }

  const SoftState& soft() const { return soft_; }
  QuorumTerm term() const { return term_; }

 private:
  void RunAfterConfirmation(const LinkPtr& link, std::function<void()> run);
  void Grant(const LinkPtr& link, const RenewRequest& renew);
  void Register(const VmReport& report);
  void ExpireVms(Time now);
  void MarkMissingVms(Time now);
  void AssignOwners(Time now);
  void ForgetVms(Time now);

  void HandleCall(const LinkPtr& link, uint64_t id, SubmitDocument command);
  void HandleCall(const LinkPtr& link, uint64_t id,
                  const PromoteDocument& command);
  void HandleCall(const LinkPtr& link, uint64_t id, const ChangeGroup& command);
  void HandleCall(const LinkPtr& link, uint64_t id, const AdmitMember& command);
  void HandleCall(const LinkPtr& link, uint64_t id,
                  const ExcludeMember& command);
  void HandleCall(const LinkPtr& link, uint64_t id, const HistoryCall& call);
  void HandleCall(const LinkPtr& link, uint64_t id, const StatusCall& call);
  void ProposeFor(const LinkPtr& link, uint64_t id,
                  const ControlCommand& command);
  StatusResult MakeStatus(const Environment& environment) const;
  std::vector<ProblemReport> FindProblems(const Environment& environment) const;

  ControlMember& member_;
  QuorumTerm term_;
  LeaseTable leases_;
  SoftState soft_;
  LeadershipBarrier rounds_;
  /// Proposals that are not applied yet; prevents duplicate proposals.
  std::map<std::pair<Environment, GroupId>, LogIndex> pending_assignments_;
  std::map<VmId, LogIndex> pending_registrations_;
  bool assign_due_ = true;
  bool missing_vms_marked_ = false;
  Time next_assign_;
  Time next_forget_;
};

/// Sends the answer to a call: an error, or a packed result.
void SendAnswer(const std::shared_ptr<Link>& link, uint64_t id,
                const Error& error);
void SendAnswer(const std::shared_ptr<Link>& link, uint64_t id,
                std::string result);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_SRC_CONTROL_LEADER_H_
