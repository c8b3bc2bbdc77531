/// Executes the failover decisions of policy/failover.h for one group.
#ifndef CARDAMOMCHUTE_ENDPOINTS_SRC_FAILOVER_EXECUTOR_H_
#define CARDAMOMCHUTE_ENDPOINTS_SRC_FAILOVER_EXECUTOR_H_

#include <functional>
#include <memory>
#include <string>

#include "cardamomchute/endpoints/owner.h"
#include "cardamomchute/policy/replacement/failover.h"
#include "members.h"
#include "sql_runner.h"

namespace cardamomchute {

class FailoverExecutor : public std::enable_shared_from_this<FailoverExecutor> {
 public:
  /// Receives the last log position of the old term, once its successor has
  /// been promoted.
  using TermEnded = std::function<void(Term, Position)>;

  FailoverExecutor(const OwnerParams& params, GroupId group, Epoch epoch,
                   Members* members, TermEnded on_term_ended);

  void SetLogin(const std::string& user, const std::string& database);
  /// Sets whether statements run at the primary. A primary that is leaving may
  /// finish them before it is replaced.
  void SetPrimaryBusy(bool busy) { primary_busy_ = busy; }
  /// Sets whether acknowledged writes must be at a replica, so that a successor
  /// must have them.
  void SetReplicated(bool replicated) { replicated_ = replicated; }
  /// Records that a write up to `at` is acknowledged as replicated. Call before
  /// the caller is told.
  void RecordAcknowledged(const Floor& at);
  /// Starts the next failover step if one is due. Call on every group tick.
  void Tick(Time now);
  void Stop() { stopped_ = true; }

  /// Returns whether the recorded primary may be used, that is, no failover of
  /// it is in progress.
  bool MayUsePrimary(Time now) const;

 private:
  FailoverInputs MakeInputs(Time now) const;
  void Execute(const FailoverAction& action);
  void AskObservers(const FailoverAction& action);
  void Propose(const FailoverAction& action, GroupChange::Kind kind,
               FailoverEvent::Kind answer);
  void Promote(const FailoverAction& action);
  void Promoted(const FailoverAction& action, const Result<SqlRows>& rows);
  void RepointReplicas(Time now);
  void Follow(Member* member, const Member& primary, Time now);
  void ApplyEvent(FailoverEvent::Kind kind, bool ok, Term term);
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
  bool replicated_ = true;
  Floor acknowledged_;
  bool stopped_ = false;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_SRC_FAILOVER_EXECUTOR_H_
