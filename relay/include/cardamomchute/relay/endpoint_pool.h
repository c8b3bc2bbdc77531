/// The connections that one VM holds to one endpoint, and the statements that
/// wait for them. Lives on the traffic thread.
///
/// At most `slots` statements run at a time, urgent ones first. What must run
/// at the leader is fenced by the endpoint itself: the statement goes into a
/// plain transaction, which an endpoint that lost the lead refuses.
#ifndef CARDAMOMCHUTE_RELAY_ENDPOINT_POOL_H_
#define CARDAMOMCHUTE_RELAY_ENDPOINT_POOL_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cardamomchute/policy/position.h"
#include "cardamomchute/policy/queue.h"
#include "cardamomchute/relay/command_connection.h"
#include "cardamomchute/relay/run.h"

namespace cardamomchute {

/// A caller's session, wherever its relay is.
struct SessionKey {
  VmId relay;
  uint64_t session = 0;
  friend auto operator<=>(const SessionKey&, const SessionKey&) = default;
};

/// What a holder of connections tells control about an endpoint.
enum class EndpointProblem : uint8_t {
  kRefused,  ///< nothing listens there
  kSilent,   ///< it accepts, or accepted, and does not answer
  kStalled,  ///< it answers reads, and no write ends
  kNotPrimary,
  kLagging  ///< a replica is behind what reads may miss
};

std::string_view ToString(EndpointProblem trouble);

struct PoolBounds {
  uint32_t slots = 1;
  uint32_t connections = 2;
  bool is_primary = false;
  bool leaving = false;
};

struct EndpointPoolParams {
  boost::asio::any_io_executor executor;
  const EndpointProtocol* protocol = nullptr;
  EndpointId endpoint;
  GroupId group;
  Address address;
  std::function<void(EndpointProblem)> report;
  /// Asks the holder of the group's leader; no answer: nullopt.
  std::function<void(std::function<void(std::optional<FloorAnswer>)>)>
      ask_floor;
};

class EndpointPool : public std::enable_shared_from_this<EndpointPool> {
 public:
  explicit EndpointPool(EndpointPoolParams params);

  void SetBounds(const PoolBounds& bounds);
  /// Opens the connections that a first burst needs.
  void Warm();
  void Submit(RunRequest request, const SessionKey& key, RunDone done);
  /// The caller gave the transaction up, or left: what waits is dropped, what
  /// is open is rolled back.
  void Abandon(const SessionKey& key, uint64_t run);
  /// Drops everything of callers at `relay`, whose link is lost.
  void AbandonAll(const VmId& relay);
  void AnswerFloor(std::function<void(FloorAnswer)> done);
  /// Keeps positions of the leader at hand. Without older ones, the first
  /// reads after a pause would ask a replica for the very newest.
  void KeepFloor();
  /// Ends all: what did not run is told so.
  void Close();

  bool Idle() const { return jobs_.empty() && running_ == 0 && !AnyPinned(); }
  size_t connections() const { return held_.size(); }
  Time last_used() const { return last_used_; }
  const Address& address() const { return params_.address; }

 private:
  struct Job {
    RunRequest request;
    SessionKey key;
    RunDone done;
    Time target;
    Time hold_until;
    Time deadline;
    bool late = false;  ///< waits behind those that can still be in time
    std::optional<Floor> min_position;
    bool by_age = false;  ///< `min_position` follows from the staleness allowed
    bool fenced = false;
  };
  struct Held {
    std::shared_ptr<CommandConnection> link;
    bool ready = false;
    bool busy = false;  ///< answers are due
    std::optional<SessionKey> pinned;
    uint64_t run = 0;
    bool wrote = false;        ///< the pinned transaction may have written
    bool abandoned = false;    ///< roll back once the job has ended
    std::unique_ptr<Job> job;  ///< under way
    bool sent = false;         ///< the job's own statement has been sent
    Time sent_at;
    std::optional<Time> verify_until;  ///< must answer by then
    std::map<std::string, std::string> values;
    std::set<std::string> prepared;
  };
  using HeldPtr = std::shared_ptr<Held>;

  void Enqueue(std::unique_ptr<Job> job);
  bool PlanFloor(Job* job, Time now);
  void ParkForFloor(std::unique_ptr<Job> job);
  void AskFloor();
  void Dispatch();
  bool CanRun(const Job& job);
  HeldPtr FindPinned(const SessionKey& key, uint64_t run);
  HeldPtr FindIdle(const Job& job);
  bool AnyPinned() const;
  void Grow();
  void Connect();
  void OnConnected(const HeldPtr& held, StatementStatus outcome);
  void FailWaiting(StatementStatus outcome, const std::string& detail);

  void Start(const HeldPtr& held, std::unique_ptr<Job> job);
  std::vector<EndpointCommand> Setup(const HeldPtr& held);
  void SendSetup(const HeldPtr& held, std::vector<EndpointCommand> commands);
  void SendStatement(const HeldPtr& held);
  void OnStatementAnswer(const HeldPtr& held, const CommandAnswer& answer);
  void NoteProof(const HeldPtr& held, const CommandAnswer& answer);
  void EndRun(const HeldPtr& held, TransactionState state);
  void Release(const HeldPtr& held);
  void OnLost(const HeldPtr& held);
  void Drop(const HeldPtr& held);
  void Finish(std::unique_ptr<Job> job, RunAnswer answer);
  void Refuse(std::unique_ptr<Job> job, StatementStatus outcome,
              const std::string& detail);

  void ScheduleTick();
  void Tick();
  void ExpireWaiting(Time now);
  void MoveLate(Time now);
  /// Whether the endpoint answers nothing, as far as is known here.
  bool Down(Time now) const;
  void NoteDown(Time now);
  void ExpireRunning(Time now);
  /// Whether the answer to a statement that may run again is taken for lost:
  /// the endpoint has answered others since, and it is long overdue.
  bool AnswerLost(const Held& held, Time now) const;
  void VerifyIdle(Time now);
  void WatchForTrouble(Time now);
  void ReportAnswer(const Job& job, StatementStatus outcome);
  void Report(EndpointProblem trouble, Time now);
  void ServeFloorWaiters(Time now, bool give_up);

  EndpointPoolParams params_;
  PoolBounds bounds_;
  boost::asio::steady_timer timer_;
  bool ticking_ = false;
  bool closed_ = false;
  std::vector<HeldPtr> held_;
  size_t connecting_ = 0;
  size_t running_ = 0;
  Time next_connect_;
  Duration connect_pause_;
  bool connect_failed_ = false;  ///< the last attempt did
  RankQueue queue_;
  uint64_t next_job_ = 0;
  std::map<uint64_t, std::unique_ptr<Job>> jobs_;  ///< waiting, by queue item
  std::vector<std::unique_ptr<Job>> parked_;       ///< waiting for a floor
  bool asking_floor_ = false;
  PositionHistory history_;  ///< the leader's positions
  std::optional<PositionSample> proof_;
  struct FloorWaiter {
    Time asked;
    std::function<void(FloorAnswer)> done;
  };
  std::vector<FloorWaiter> floor_waiters_;
  bool probing_ = false;
  Time last_read_;
  Time last_write_done_;
  double service_ms_ = 0;  ///< mean time that statements take
  Time last_report_;
  Time last_used_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_RELAY_ENDPOINT_POOL_H_
