/// The duties of the leading control member, for the length of one reign:
/// leases, owners, endpoints, calls of agents.
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

  void OnRenew(const LinkPtr& link, const Renew& renew);
  void OnCall(const LinkPtr& link, const Call& call);
  /// Rounds up to this one are confirmed.
  void OnConfirmed(Round round) { rounds_.OnConfirmed(round); }
  void OnApplied(LogIndex index);
  void Tick(Time now);
  /// The reign is over: sends those who wait elsewhere.
  void Abandon() { rounds_.Abandon(); }

  const SoftState& soft() const { return soft_; }
  QuorumTerm reign() const { return reign_; }

 private:
  void AfterRound(const LinkPtr& link, std::function<void()> run);
  void Grant(const LinkPtr& link, const Renew& renew);
  void Register(const VmReport& report);
  void ExpireVms(Time now);
  void MarkUnheardVms(Time now);
  void AssignOwners(Time now);
  void ForgetVms(Time now);

  void Run(const LinkPtr& link, uint64_t id, SubmitDocument command);
  void Run(const LinkPtr& link, uint64_t id, const PromoteDocument& command);
  void Run(const LinkPtr& link, uint64_t id, const ChangeGroup& command);
  void Run(const LinkPtr& link, uint64_t id, const AdmitMember& command);
  void Run(const LinkPtr& link, uint64_t id, const ExcludeMember& command);
  void Run(const LinkPtr& link, uint64_t id, const HistoryCall& call);
  void Run(const LinkPtr& link, uint64_t id, const StatusCall& call);
  void ProposeFor(const LinkPtr& link, uint64_t id,
                  const ControlCommand& command);
  StatusResult MakeStatus(const Environment& environment) const;
  std::vector<ProblemReport> FindProblems(const Environment& environment) const;

  ControlMember& member_;
  QuorumTerm reign_;
  LeaseTable leases_;
  SoftState soft_;
  LeadershipBarrier rounds_;
  /// Proposals under way, so that none is made twice.
  std::map<std::pair<Environment, GroupId>, LogIndex> assigning_;
  std::map<VmId, LogIndex> registering_;
  bool assign_due_ = true;
  bool unheard_marked_ = false;
  Time next_assign_;
  Time next_forget_;
};

/// Sends an answer to a call.
void SendAnswer(const std::shared_ptr<Link>& link, uint64_t id,
                const Error& error);
void SendAnswer(const std::shared_ptr<Link>& link, uint64_t id,
                std::string result);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_SRC_CONTROL_LEADER_H_
