/// Carries out what policy/failover.h decides for one group.
#ifndef CARDAMOMCHUTE_ENDPOINTS_SRC_FAILOVER_EXECUTOR_H_
#define CARDAMOMCHUTE_ENDPOINTS_SRC_FAILOVER_EXECUTOR_H_

#include <functional>
#include <memory>
#include <string>

#include "cardamomchute/endpoints/owner.h"
#include "cardamomchute/policy/failover.h"
#include "members.h"
#include "sql_runner.h"

namespace cardamomchute {

class FailoverExecutor : public std::enable_shared_from_this<FailoverExecutor> {
 public:
  /// Learns where the old term ended, just before a promotion.
  using TermEnded = std::function<void(Term, Position)>;

  FailoverExecutor(const OwnerParams& params, GroupId group, Epoch epoch,
                   Members* members, TermEnded on_term_ended);

  void SetLogin(const std::string& user, const std::string& database);
  /// Whether statements run at the primary; a leaving one may finish them.
  void SetPrimaryBusy(bool busy) { primary_busy_ = busy; }
  /// Takes the next step, if one is due.
  void Tick(Time now);
  void Stop() { stopped_ = true; }

  /// Whether the primary on record may be taken for the one in force.
  bool MayUsePrimary(Time now) const;

 private:
  FailoverInputs Inputs(Time now) const;
  void CarryOut(const FailoverAction& action);
  void AskObservers(const FailoverAction& action);
  void Propose(const FailoverAction& action, GroupChange::Kind kind,
               FailoverEvent::Kind answer);
  void Promote(const FailoverAction& action);
  void Promoted(const FailoverAction& action, const Result<SqlRows>& rows);
  void DirectReplicas(Time now);
  void Follow(Member* member, const Member& primary, Time now);
  void Feed(FailoverEvent::Kind kind, bool ok, Term term);
  EndpointLogin LoginFor(const Member& member) const;

  OwnerParams params_;
  GroupId group_;
  Epoch epoch_;
  Members* members_;
  TermEnded on_term_ended_;
  std::string user_;
  std::string database_;
  FailoverState state_;
  bool primary_busy_ = false;
  bool stopped_ = false;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_SRC_FAILOVER_EXECUTOR_H_
