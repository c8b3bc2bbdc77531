/// One VM's connections to one endpoint, and the statements queued for them.
/// Runs on the traffic thread.
///
/// At most `slots` statements run at a time, fewer where the endpoint takes no
/// more well, in order of their rank. Statements
/// that must run on the primary are fenced by the endpoint: they run in a
/// read-write transaction, which an endpoint that is no longer primary refuses.
/// Where a replaced primary goes on serving, reads in such a transaction also
/// need a lease on the primary.
///
/// Commits of writes always need one: a primary acknowledges a commit as soon
/// as one replica has it, also while another replica is being promoted. A
/// single write and a COMMIT after writes are sent only under a lease. A
/// success that arrives while no lease on the answer's term covers it is held
/// back until one does; its outcome is unknown if that does not happen in time.
#ifndef CARDAMOMCHUTE_RELAY_ENDPOINT_POOL_H_
#define CARDAMOMCHUTE_RELAY_ENDPOINT_POOL_H_

#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cardamomchute/policy/admission/queue.h"
#include "cardamomchute/policy/admission/session_limits.h"
#include "cardamomchute/policy/lease/primary_lease.h"
#include "cardamomchute/policy/routing/concurrency_limit.h"
#include "cardamomchute/policy/routing/connection_plan.h"
#include "cardamomchute/policy/routing/directory.h"
#include "cardamomchute/policy/routing/position.h"
#include "cardamomchute/relay/command_connection.h"
#include "cardamomchute/relay/run.h"

namespace cardamomchute {

/// Identifies a caller's session across all relays and their restarts.
struct SessionKey {
  RelayLink link;
  uint64_t session = 0;
  friend auto operator<=>(const SessionKey&, const SessionKey&) = default;
};

/// Problem with an endpoint, as reported to the control members.
enum class EndpointProblem : uint8_t {
  kRefused,  ///< the endpoint refuses connections
  kSilent,   ///< it accepted a connection but does not respond
  kStalled,  ///< reads complete, but writes do not
  kNotPrimary,
  kLagging  ///< a replica exceeds the staleness that reads allow
};

std::string_view ToString(EndpointProblem trouble);

/// Why an endpoint that leaves gets no new statements.
inline constexpr char kEndpointLeaves[] = "the endpoint is leaving";

struct PoolBounds {
  uint32_t slots = 1;
  uint32_t sharers = 1;  ///< holders of the endpoint, with this one
  uint32_t connections = 2;
  bool is_primary = false;
  std::optional<Time> leaving_since;  ///< when this VM learned of it
  /// Opens connections for the pool's own commands; empty: callers need no key.
  OrganisationName own_organisation;
  /// Get connections ahead of their first statements, in this order.
  std::vector<OrganisationName> warm_organisations;
};

struct EndpointPoolParams {
  boost::asio::any_io_executor executor;
  const EndpointProtocol* protocol = nullptr;
  EndpointId endpoint;
  GroupId group;
  Address address;
  std::function<void(EndpointProblem)> report;
  /// Requests the primary's log position from the VM connected to it; nullopt
  /// if there is no answer.
  std::function<void(std::function<void(std::optional<FloorAnswer>)>)>
      ask_floor;
  /// Requests a lease on the primary; empty if none is needed for anything.
  std::function<void()> renew_lease;
  /// Reads at the primary need a lease, too: a replaced one goes on serving.
  bool reads_need_lease = false;
  /// Of the statements that wait or run in all pools of this VM.
  std::shared_ptr<size_t> statement_bytes = std::make_shared<size_t>(0);
  /// A statement that would exceed it is refused as busy.
  size_t max_statement_bytes = SessionLimits().waiting_bytes;
};

class EndpointPool : public std::enable_shared_from_this<EndpointPool> {
 public:
  explicit EndpointPool(EndpointPoolParams params);

  void SetBounds(const PoolBounds& bounds);
  /// Sets the lease on this endpoint as the group's primary.
  void SetLease(const HeldLease& lease);
  /// Opens connections ahead of the first statements: the slots plus a spare.
  void Warm();
  void Submit(RunRequest request, const SessionKey& key, RunDone done);
  /// Ends a transaction that its caller abandoned: its statements that have not
  /// been sent are refused, and it is rolled back, also if BEGIN is under way.
  void Abandon(const SessionKey& key, uint64_t run);
  /// Abandons all statements and transactions that arrived on `link`, which is
  /// lost.
  void AbandonAll(const RelayLink& link);
  /// Rolls back the transactions of which no statement runs or waits.
  void EndRestingTransactions();
  /// Calls `done` with the last known log position of the primary and its
  /// `age`: it contains every commit acknowledged more than `age` before this
  /// call. `at` is empty if no position is known.
  void AnswerFloor(std::function<void(FloorAnswer)> done);
  /// Refreshes the known log positions of the primary. Without older positions,
  /// the first reads after an idle period would require the replica to have the
  /// newest one.
  void KeepFloor();
  /// Refuses what waits to begin once an endpoint that leaves gets nothing new.
  void NoteDrain(Time now);
  /// Closes connections that a peak of load has left unused.
  void Trim(Time now);
  /// Closes all connections and fails all statements.
  void Close();

  bool Idle() const {
    return jobs_.empty() && running_ == 0 && withheld_.empty() && !AnyPinned();
  }
  size_t connections() const { return held_.size(); }
  /// Statements that may run at a time at present.
  uint32_t limit() const { return AllowedUnderWay(limit_); }
  uint32_t slots() const { return bounds_.slots; }
  /// Expected time in the queue of a statement that arrives now.
  Duration ExpectedWait() const;
  Time last_used() const { return last_used_; }
  const Address& address() const { return params_.address; }
  const GroupId& group() const { return params_.group; }

 private:
  struct Job {
    RunRequest request;
    SessionKey key;
    RunDone done;
    Time target;
    Time hold_until;
    Time deadline;
    bool late =
        false;  ///< past its target; queued behind statements that are not
    std::optional<Floor> min_position;
    bool by_age = false;  ///< `min_position` follows from max_staleness
    bool fenced = false;
    size_t bytes = 0;  ///< of the request, counted in `statement_bytes`
  };
  struct Held {
    std::shared_ptr<CommandConnection> link;
    OrganisationName organisation;  ///< the endpoint was told
    bool ready = false;
    bool busy = false;  ///< answers are due
    std::optional<SessionKey> pinned;
    uint64_t run = 0;
    bool wrote = false;        ///< the pinned transaction may have writes
    bool leased = false;       ///< the pinned transaction began under a lease
    bool abandoned = false;    ///< roll back; send nothing more of the job
    std::unique_ptr<Job> job;  ///< running
    bool sent = false;         ///< the job's statement has been sent
    Time sent_at;
    WorkStart work;                    ///< the job, for the limit
    std::optional<Time> verify_until;  ///< closed if no answer by then
    std::map<std::string, std::string> values;
    std::set<std::string> prepared;
  };
  using HeldPtr = std::shared_ptr<Held>;
  /// A success that no lease allows to pass on yet.
  struct Acknowledgement {
    std::unique_ptr<Job> job;
    RunAnswer answer;
    Time sent_at;
  };
  /// Selects transactions by their owner.
  using OwnerFilter = std::function<bool(const SessionKey&, uint64_t run)>;
  using JobFilter = std::function<bool(const Job&)>;

  static std::string RefusalDetail(Admission admission);
  void Enqueue(std::unique_ptr<Job> job);
  void RefuseDisplaced();
  void LogShareUsedUp(const Job& job) const;
  bool PlanFloor(Job* job, Time now);
  void ParkForFloor(std::unique_ptr<Job> job);
  void AskFloor();
  void Dispatch();
  bool CanRun(const Job& job);
  /// Whether the statement waits in the queue for a lease.
  bool AwaitsLease(const Job& job, Time now);
  /// Whether a statement outside of a transaction, or a read in one, may run.
  bool LeaseAllows(const Job& job, Time now);
  /// Whether a statement may run in the transaction on `held`.
  bool LeaseAllowsIn(const Held& held, const Job& job, Time now);
  /// Whether a lease covers reads sent at `at`; true if none is needed.
  bool Leased(Time at, Duration max_staleness) const;
  /// Whether a lease covers commits of writes; true if none is needed.
  bool CommitsLeased(Time now) const;
  /// Requests a lease, or its renewal if it ends soon.
  void KeepLease(Time now);
  /// Keeps the lease while acknowledgements are due or held back.
  void KeepLeaseForCommits(Time now);
  bool MayAcknowledge(const Acknowledgement& held, Time now) const;
  /// Passes a success on, now or once a lease allows it.
  void Acknowledge(Acknowledgement done);
  /// Passes on what the lease allows, and ends what no lease can allow.
  void SettleWithheld(Time now);
  /// Returns why `held` will never be passed on; empty if it still may be.
  std::string WithheldForGood(const Acknowledgement& held, Time now) const;
  void EndWithheld(const OwnerFilter& which, const std::string& reason);
  void Withhold(Acknowledgement held, const std::string& reason);
  HeldPtr FindPinned(const SessionKey& key, uint64_t run);
  HeldPtr FindIdle(const Job& job);
  bool AnyPinned() const;
  /// Returns whether a statement waits for the connection's transaction.
  bool IsAwaited(const Held& held) const;
  static bool IsIdle(const Held& held);
  bool HasConnectionOf(const OrganisationName& organisation) const;
  std::vector<ConnectionDemand> Demands() const;
  /// Opens connections for what waits.
  void Grow();
  bool MakeRoom(const OrganisationName& organisation,
                const std::vector<ConnectionDemand>& demands);
  void Connect(const OrganisationName& organisation);
  void OnConnected(const HeldPtr& held, StatementStatus outcome);
  void FailWaiting(StatementStatus outcome, const std::string& detail);

  void Start(const HeldPtr& held, std::unique_ptr<Job> job);
  std::vector<EndpointCommand> Setup(const HeldPtr& held);
  void SendSetup(const HeldPtr& held, std::vector<EndpointCommand> commands);
  void SendStatement(const HeldPtr& held);
  void EndUnsent(const HeldPtr& held, TransactionState state,
                 StatementStatus outcome, const std::string& detail);
  void EndAbandoned(const HeldPtr& held, TransactionState state);
  void AbandonWhere(const OwnerFilter& abandoned);
  std::vector<std::unique_ptr<Job>> TakeWaiting(const JobFilter& taken_if);
  /// Whether the statement would be the endpoint's first of its transaction, or
  /// a single one, after the endpoint has drained.
  bool TooLateToBegin(const Job& job, Time now) const;
  void OnStatementAnswer(const HeldPtr& held, const CommandAnswer& answer);
  void NoteProof(const HeldPtr& held, const CommandAnswer& answer);
  void EndRun(const HeldPtr& held, TransactionState state);
  void Release(const HeldPtr& held);
  void OnLost(const HeldPtr& held);
  void Drop(const HeldPtr& held);
  void Finish(std::unique_ptr<Job> job, RunAnswer answer);
  void Refuse(std::unique_ptr<Job> job, StatementStatus outcome,
              const std::string& detail);
  /// Learns from the end of a statement how many the endpoint takes well.
  void LearnLimit(const Held& held, const Job& job, StatementStatus outcome,
                  Time now);
  void ApplyLimit(Time now);

  void ScheduleTick();
  void Tick();
  void ExpireWaiting(Time now);
  void MoveLate(Time now);
  /// Returns true if this pool considers the endpoint unresponsive.
  bool Down(Time now) const;
  void NoteDown(Time now);
  void ExpireRunning(Time now);
  /// Returns true if the answer to a retryable statement is considered lost: it
  /// is long overdue, and the endpoint has answered others since.
  bool AnswerLost(const Held& held, Time now) const;
  void VerifyIdle(Time now);
  void WatchForTrouble(Time now);
  void ReportAnswer(const Job& job, StatementStatus outcome);
  void Report(EndpointProblem trouble, Time now);
  void ServeFloorWaiters(Time now, bool give_up);
  void ProbePrimary(Time now);

  EndpointPoolParams params_;
  PoolBounds bounds_;
  HeldLease lease_;
  bool replaced_ = false;  ///< was the primary, and another one is now
  std::vector<Acknowledgement> withheld_;
  boost::asio::steady_timer timer_;
  bool ticking_ = false;
  bool closed_ = false;
  bool drained_ = false;  ///< and what waited to begin has been refused
  std::vector<HeldPtr> held_;
  size_t connecting_ = 0;
  size_t running_ = 0;
  Time next_connect_;
  Duration connect_pause_;
  bool connect_failed_ = false;  ///< the last attempt failed
  RankQueue queue_;
  ConcurrencyLimit limit_;
  uint32_t limit_applied_ = 0;  ///< the queue's capacity
  uint32_t limit_logged_ = 0;
  bool limit_lowered_ = false;  ///< below the slots, when logged last
  Time limit_logged_at_;
  uint64_t next_job_ = 0;
  std::map<uint64_t, std::unique_ptr<Job>> jobs_;  ///< queued, by item id
  std::vector<std::unique_ptr<Job>> parked_;       ///< waiting for a position
  bool asking_floor_ = false;
  PositionHistory history_;  ///< of the primary
  std::optional<PositionSample> proof_;
  struct FloorWaiter {
    Time asked;
    std::function<void(FloorAnswer)> done;
  };
  std::vector<FloorWaiter> floor_waiters_;
  bool probing_ = false;
  Time last_read_;
  Time last_write_done_;
  double service_ms_ = 0;            ///< moving average of execution time
  std::array<double, 2> kind_ms_{};  ///< the same, of reads and of writes
  Time last_report_;
  Time last_used_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_RELAY_ENDPOINT_POOL_H_
