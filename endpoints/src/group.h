/// One database group at its owner: caller channels, statement queue,
/// connections and failover. Runs on one traffic thread.
#ifndef CARDAMOMCHUTE_ENDPOINTS_SRC_GROUP_H_
#define CARDAMOMCHUTE_ENDPOINTS_SRC_GROUP_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "cardamomchute/endpoints/owner.h"
#include "cardamomchute/policy/routing/routing.h"
#include "failover_executor.h"
#include "job.h"
#include "members.h"
#include "owner_metrics.h"
#include "pool.h"
#include "session_floor_cache.h"

namespace cardamomchute {

class Group : public std::enable_shared_from_this<Group> {
 public:
  Group(const OwnerParams& params, GroupId id, Epoch epoch);

  void Start();
  void OnView(const ViewPtr& view);
  /// Ends all channels and closes all connections.
  void Stop(const std::string& reason);

  ToOwnerSink Open(const OpenChannel& open, FromOwnerSink sink);

  /// Refuses waiting and new statements, lets running ones finish, then
  /// releases the group. Calls `done` when the release was decided.
  void Drain(std::function<void()> done);

  Epoch epoch() const { return epoch_; }

 private:
  // group.cc: cluster view, members and timers.
  void SetDocument(const Document& document);
  void SetRecord(const GroupState& record);
  void OnMemberAnswer(const EndpointId& id);
  void OnTermEnded(Term term, Position end);
  void ScheduleTick();
  void Tick();
  void CheckPrimaryInForce(Time now);
  void CheckRunning(Time now);
  bool LooksSilent(const Job& job, Time now) const;
  void CheckReplicaWaits(Time now);
  void SchedulePoll();
  void FinishDrain();

  // channels.cc: messages from callers.
  void OnMessage(const ChannelPtr& channel, ToOwner message);
  void OnStatement(const ChannelPtr& channel, Statement statement);
  void OnStatementData(const ChannelPtr& channel, StatementData data);
  void OnCancel(const ChannelPtr& channel, const CancelStatement& cancel);
  void OnCredit(const ChannelPtr& channel, const Credit& credit);
  void OnClose(const ChannelPtr& channel);
  void Admit(const ChannelPtr& channel, const JobPtr& job);
  void Reset(const ChannelPtr& channel, const std::string& reason);
  void RollBack(const ChannelPtr& channel, bool keep_connection);
  bool RefuseWithoutReplica(const ChannelPtr& channel, const JobPtr& job,
                            Time now);

  // dispatch.cc: routing of statements to endpoints.
  void Dispatch();
  bool CanRun(const QueueItem& item, Time now);
  ReadRoute RouteFor(const ChannelPtr& channel, const Job& job, Time now);
  std::vector<ReplicaView> ReplicaViews(Time now);
  bool MayBegin(const Job& job, Time now) const;
  FloorVerdict CheckSessionFloor(const ChannelPtr& channel);
  bool RefuseUnmetFloor(const ChannelPtr& channel, Time now);
  void Run(const ChannelPtr& channel, const EndpointId& endpoint);
  void SendJob(const ChannelPtr& channel, const JobPtr& job);
  void AppendFollowUp(const ChannelPtr& channel, const JobPtr& job,
                      std::string* bytes, std::vector<Exchange>* exchanges);
  void AppendPositionQuery(const ChannelPtr& channel, const JobPtr& job,
                           std::string* bytes,
                           std::vector<Exchange>* exchanges);
  Exchange RelayExchange(const ChannelPtr& channel, const JobPtr& job);

  // operation_keys.cc: idempotent statements.
  bool KeysReady();
  void AppendRecordKey(const ChannelPtr& channel, const JobPtr& job,
                       std::string* bytes, std::vector<Exchange>* exchanges);
  void AppendCommit(const ChannelPtr& channel, const JobPtr& job,
                    std::string* bytes, std::vector<Exchange>* exchanges);
  void EndKeyRefused(const ChannelPtr& channel, const JobPtr& job);

  // answers.cc: answers to callers and their fencing.
  void OnPiece(const ChannelPtr& channel, const JobPtr& job, char type,
               bool first, std::string_view piece);
  void OnAnswerEnd(const ChannelPtr& channel, const JobPtr& job,
                   const ExchangeEnd& end);
  void OnPosition(const ChannelPtr& channel, const JobPtr& job,
                  const ExchangeEnd& end);
  void FinishIfSettled(const ChannelPtr& channel, const JobPtr& job);
  void ReturnConnection(const ChannelPtr& channel, const JobPtr& job);
  void FreeSlot(const ChannelPtr& channel, const PooledPtr& connection);
  void Acknowledge(const ChannelPtr& channel, const JobPtr& job);
  void EndFenced(const ChannelPtr& channel, const JobPtr& job,
                 const std::string& fence);
  void DiscardPinned(const ChannelPtr& channel);
  void EndSetupFailed(const ChannelPtr& channel, const JobPtr& job);
  void EndUnknown(const ChannelPtr& channel, const JobPtr& job,
                  const std::string& reason);
  void Refuse(const ChannelPtr& channel, const pgwire::Report& report,
              const std::string& reason);
  void EndWithError(const ChannelPtr& channel, const JobPtr& job,
                    const pgwire::Report& report);
  void EndJob(const ChannelPtr& channel, StatementEnd end);
  void Flush(const ChannelPtr& channel);
  void SendOut(const ChannelPtr& channel, const JobPtr& job);
  void ScheduleFlush(const ChannelPtr& channel);
  void OnConnectionLost(const PooledPtr& connection,
                        const ConnectionLoss& loss);
  void HandleBrokenConnection(const ChannelPtr& channel,
                              const std::string& reason);
  void AbortWorkAt(const EndpointId& endpoint, const std::string& reason);
  std::string FailedFenceOf(const Job& job) const;
  std::optional<Floor> NewFloor(const ChannelPtr& channel);

  bool PrimaryInForce(Time now) const;
  void ResolveSessionFloor(SessionFloor* floor);

  OwnerParams params_;
  GroupId id_;
  Epoch epoch_;
  GroupSpec spec_;
  std::vector<RankSpec> ranks_;
  LimitSpec limits_;
  EndpointId primary_;
  Term term_;
  /// The primary is being replaced and statements at it were aborted.
  bool primary_abandoned_ = false;

  std::unique_ptr<Members> members_;
  std::shared_ptr<Pool> pool_;
  std::shared_ptr<FailoverExecutor> failover_;
  RankQueue queue_;
  SessionFloorCache floor_cache_;
  TermEnds term_ends_;
  TermEnd replaced_term_end_;  ///< of the term whose primary is being replaced
  OwnerMetrics metrics_;

  std::set<ChannelPtr> channels_;
  std::unordered_map<uint64_t, ChannelPtr> waiting_;  ///< by job id
  std::unordered_map<uint64_t, ChannelPtr> working_;  ///< by connection number
  std::set<ChannelPtr> replica_waits_;
  EndpointId chosen_endpoint_;  ///< route of the item CanRun accepted last
  bool dispatching_ = false;
  bool dispatch_again_ = false;
  uint64_t next_job_ = 1;
  uint64_t next_session_ = 1;
  Time replica_alive_at_;  ///< when a replica was last alive
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer poll_timer_;
  bool polling_ = false;
  Term keys_ready_in_;  ///< term whose primary has the operation key table
  bool keys_asked_ = false;
  Time keys_retry_at_;
  bool draining_ = false;
  bool stopped_ = false;
  std::function<void()> on_drained_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_SRC_GROUP_H_
